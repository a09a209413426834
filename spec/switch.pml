/*
 * Replacing a primary by pause, promote and announcement, with synchronous
 * commits (internal/failover, internal/engine proof.go, internal/replicaset
 * lost.go). One primary (0) and two replicas; a commit is answered once one
 * replica has it. The old primary stays alive and reachable all the while.
 *
 * Guards that can be taken away, each of which must give a counterexample:
 *   NO_PAUSE      promote without pausing the replicas
 *   ONE_PAUSE     pause only the replica that is promoted
 *   ANY_REPLICA   promote a replica that is not the furthest
 *   NO_WAIT       announce before old proofs have run out
 *   NO_MISSING    promote although a replica came back without its log
 *   NO_AHEAD      pause for the next term only: the promotion ends the pause, and
 *                 a replica that has not heard of it follows the old primary again
 *   NO_DEMOTE     resume the other replica without demoting the old primary
 *   LATE_CLAIM    record the switch only once the proofs have run out
 *   NO_WORD       take a replica's word without that of the primary itself
 *   RESTART       not a guard but an assumption: no replica restarts between
 *                 its pause and the promotion, for it would forget the pause
 */
#ifndef LEN
#define LEN 3
#endif
#ifdef NO_WORD
#define PRIMARY_WORD true
#else
#define PRIMARY_WORD !demoted
#endif

byte got[3];          /* received log */
byte chosen = 0;
bool paused[3];
bool follows[3];      /* still follows the old primary */
byte acked = 0;       /* acknowledged commits of the old term */
bool proof = false;   /* some host holds a proof that counts */
bool effective = false;
bool announced = false;
bool claimed = false; /* the store records that the group is switching */
bool demoted = false; /* the old primary says that it leads no more */
bool missing = false; /* a replica that is gone may hold the only copy */
bool reborn = false;
byte restarts = 0;
bool window = false;  /* the replicas are being paused, or the promotion is on its way */

active proctype endpoints_and_hosts() {
  follows[1] = true; follows[2] = true;
end:
  do
  :: atomic { !demoted && got[0] < LEN -> got[0]++ }
  :: atomic { !demoted && follows[1] && !paused[1] && got[1] < got[0] -> got[1]++; assert(!effective) }
  :: atomic { !demoted && follows[2] && !paused[2] && got[2] < got[0] -> got[2]++; assert(!effective) }
  :: atomic { /* a replica hears of the new primary */
       effective && !paused[1] -> follows[1] = false }
  :: atomic { effective && !paused[2] -> follows[2] = false }
  :: atomic { /* a commit is answered and acknowledged */
       !demoted && acked < got[0] && (got[1] > acked || got[2] > acked) -> acked++;
       assert(!effective || got[chosen] >= acked) }
  :: atomic { /* prove: a replica's word, then that of the primary */
       PRIMARY_WORD && ((follows[1] && !paused[1]) || (follows[2] && !paused[2])) -> proof = true }
  :: atomic { /* prove by the store, where no replica answers */
       !claimed -> proof = true }
  :: atomic { /* a read of the latest state at the old primary */
       proof -> assert(!announced) }
  :: atomic { /* a replica comes back without its log */
       !reborn && !window -> reborn = true; got[2] = 0; paused[2] = false; missing = true }
  :: atomic { /* another replica has passed the primary's position */
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
