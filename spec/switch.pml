/*
 * Replacement of a primary with synchronous commits: pause the replicas, promote
 * one of them, announce the new primary (internal/failover, proof.go in
 * internal/engine, lost.go in internal/replicaset). There is one primary (0) and
 * two replicas (1, 2); a commit is acknowledged once one replica has it. The old
 * primary remains alive and reachable throughout.
 *
 * A proof is a host's confirmation that the primary still leads; it allows reads
 * of the latest state and expires after a fixed time.
 *
 * Each macro below removes one guard or assumption, and spec/check.sh requires
 * that the model then has a counterexample:
 *   NO_PAUSE      promote without pausing the replicas
 *   ONE_PAUSE     pause only replica 1, the default candidate
 *   ANY_REPLICA   promote a replica that may not have the longest log
 *   NO_WAIT       announce the new primary before earlier proofs have expired
 *   NO_MISSING    promote although a replica that lost its log may have held the
 *                 only replicated copy of an acknowledged commit
 *   NO_AHEAD      pause for the next term only: the promotion then ends the pause,
 *                 and a replica that has not learned of the promotion follows the
 *                 old primary again
 *   NO_DEMOTE     resume the other replica without demoting the old primary
 *   LATE_CLAIM    record the switch in the store only after the proofs have expired
 *   NO_WORD       accept a replica's confirmation as proof without querying the
 *                 primary as well
 *   RESTART       removes an assumption: no replica restarts between its pause
 *                 and the promotion, because a restart discards the pause
 */
#ifndef LEN
#define LEN 3
#endif
#ifdef NO_WORD
#define PRIMARY_WORD true
#else
#define PRIMARY_WORD !demoted
#endif

byte got[3];          /* length of each endpoint's log */
byte chosen = 0;      /* the promoted endpoint */
bool paused[3];
bool follows[3];      /* the replica still follows the old primary */
byte acked = 0;       /* number of acknowledged commits of the old term */
bool proof = false;   /* some host holds an unexpired proof */
bool effective = false; /* the promotion has taken effect */
bool announced = false; /* the hosts have been told of the new primary */
bool claimed = false; /* the store records that a switch is in progress */
bool demoted = false; /* the old primary no longer acts as primary */
bool missing = false; /* a lost log may have been the only replicated copy of a commit */
bool reborn = false;  /* replica 2 has restarted without its log */
byte restarts = 0;
bool window = false;  /* the replicas are being paused or promoted; none loses its log from then on */

active proctype endpoints_and_hosts() {
  follows[1] = true; follows[2] = true;
end:
  do
  :: atomic { !demoted && got[0] < LEN -> got[0]++ }
  :: atomic { !demoted && follows[1] && !paused[1] && got[1] < got[0] -> got[1]++; assert(!effective) }
  :: atomic { !demoted && follows[2] && !paused[2] && got[2] < got[0] -> got[2]++; assert(!effective) }
  :: atomic { /* a replica learns of the new primary */
       effective && !paused[1] -> follows[1] = false }
  :: atomic { effective && !paused[2] -> follows[2] = false }
  :: atomic { /* a commit that a replica has is acknowledged */
       !demoted && acked < got[0] && (got[1] > acked || got[2] > acked) -> acked++;
       assert(!effective || got[chosen] >= acked) }
  :: atomic { /* proof: a replica confirms that it follows the primary, then the primary confirms its role */
       PRIMARY_WORD && ((follows[1] && !paused[1]) || (follows[2] && !paused[2])) -> proof = true }
  :: atomic { /* proof from the store, used if no replica answers */
       !claimed -> proof = true }
  :: atomic { /* a read of the latest state at the old primary */
       proof -> assert(!announced) }
  :: atomic { /* replica 2 restarts without its log */
       !reborn && !window -> reborn = true; got[2] = 0; paused[2] = false; missing = true }
  :: atomic { /* replica 1 has caught up with the primary */
       missing && got[1] == got[0] -> missing = false }
#ifdef RESTART
  :: atomic { restarts == 0 && !effective -> restarts++; paused[1] = false }
  :: atomic { restarts == 0 && !effective -> restarts++; paused[2] = false }
#endif
  od
}

active proctype promoter() {
  byte candidate = 1;
  byte other = 2;
  window = true;
#ifndef LATE_CLAIM
  claimed = true;
#endif
#ifndef NO_PAUSE
  paused[1] = true;
#ifndef ONE_PAUSE
  paused[2] = true;
#endif
#endif
  atomic {
#ifndef ANY_REPLICA
    if
    :: got[2] > got[1] -> candidate = 2; other = 1
    :: else
    fi;
#endif
#ifndef NO_MISSING
    if
    :: missing -> goto given_up
    :: else
    fi;
#endif
    skip
  }
  atomic { /* the promotion takes effect */
#ifndef NO_MISSING
    if
    :: missing -> goto given_up
    :: else
    fi;
#endif
    assert(got[candidate] >= acked);
    effective = true;
    chosen = candidate;
#ifdef NO_AHEAD
    paused[other] = false;
#endif
    follows[candidate] = false }
#ifndef NO_DEMOTE
  demoted = true;
#endif
#ifndef NO_WAIT
  proof = false;
#endif
#ifdef LATE_CLAIM
  claimed = true;
#endif
  paused[other] = false;
  announced = true;
given_up:
  skip
}
