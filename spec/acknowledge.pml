/*
 * Acknowledgements beside the replacement of a primary (internal/engine, internal/failover): the
 * evidence that a commit needs, and the steps of a switch. The old primary remains alive and
 * reachable. There are two recorded replicas (1, 2) and one (3) that joins at any time. A commit is
 * done at the primary once one replica has received it. The host acknowledges it once a recorded one
 * has it: those are the replicas that every switch asks.
 *
 * One host answers callers. It may read the record in the store, or ask the two replicas that it
 * knows of; it need not do either, so it may not have heard of the switch or of replica 3. One host
 * is enough, as a single acknowledgement loses a commit, and hosts that know more replicas need
 * more answers.
 *
 * Two hosts switch, one after the other. The first is stopped at any step; its PAUSE requests arrive at
 * any time later. The record is put back by the holder when it gives up, or by anybody before the holder
 * looks at it after the wait. Any pause may end at any time: by RESUME of a failed or a finished switch,
 * however late, or by a restart. A promotion takes effect at any time after its call.
 *
 * Times are whole ticks. Evidence is valid for one tick after its request. A request and its answer
 * are one step, as an earlier request only makes the evidence expire earlier.
 *
 * Property (LOST): when a promotion takes effect, the promoted replica has every acknowledged commit,
 * and none that it lacks is acknowledged later. It implies ONE: what the old primary writes after the
 * effect is not in the new log.
 *
 * Each macro below removes one guard, and spec/check.sh requires that the model then has a
 * counterexample:
 *   NO_EVIDENCE      acknowledge what the primary answers
 *   ANY_COPY         with UNREGISTERED: acknowledge what any replica has received, recorded or not
 *   SEPARATE         accept answers of replicas without earlier evidence
 *   LATE_ANSWER      accept answers if earlier evidence was valid at the request, but not at the
 *                    last answer
 *   UNRECORDED       accept the answer of a replica that is not recorded
 *   SINGLE           with SEPARATE and KEEPS: accept the answer of one of the recorded replicas
 *   LATE_CLAIM       record the switch only after the wait
 *   NO_WAIT          read positions as soon as all replicas are paused
 *   SHORT_WAIT       wait no longer than evidence is valid
 *   NO_SECOND_LOOK   do not check after the wait that replicas are still paused
 *   ANY_PAUSE        accept a pause by an earlier switch in that check
 *   REPEATED_PAUSE   send PAUSE again with the same term, so that the first one may arrive late
 *   OLD_LIST         with ANY_COPY: ask only the replicas that were registered when the switch began
 *   NO_RECORD_LOOK   do not read the record after the wait
 *   NO_LEASE         promote although the lease has ended
 *   NO_COVER         with LOSES_LOG: promote although a replica has lost its log, and no other one
 *                    has reached what the primary had after that
 *   LATE_COVER       with LOSES_LOG: check that only after positions are read
 *
 * Without these the property holds as well: SINGLE alone, and EARLY_POSITIONS, which takes the
 * positions from the answers to PAUSE.
 *
 * Each macro below changes an assumption:
 *   LOSES_LOG        one replica restarts without its log; not the chosen one after it was asked
 *   KEEPS            one recorded replica stays paused from the last look until a recorded one
 *                    leads and earlier rounds of questions have ended; SEPARATE holds with it
 *   KEEPS_TO_EFFECT  the same, but only until the effect; SEPARATE does not hold
 *   UNREGISTERED     replica 3 receives before it is registered
 *   PASSED_OVER      recorded replicas that do not answer the switch, but answer the host, count as
 *                    gone; does not hold
 *   PUT_BACK         the record is put back after the switch has looked at it; does not hold
 */
#ifndef LEN
#define LEN 1
#endif
#define VALID 1
#define EXPIRED 2
#ifdef SHORT_WAIT
#define WAIT 1
#else
#define WAIT 2
#endif

#define EARLIER 1 /* paused by an earlier switch */
#define CURRENT 2
#define REQUESTED 3

byte written = 0;  /* length of the primary's log */
byte got[4];       /* lengths of the replicas' logs */
byte paused[4];
bool joined = false;
byte done = 0;     /* commits that the primary has answered or may answer */
byte acked = 0;
byte lostLog = 0;  /* the replica that has lost its log */
bool covered = false;

byte evidence = EXPIRED; /* time since the request of the host's evidence */
byte asked = EXPIRED;    /* time since the first answer of a round that is not complete */
byte answered = 0;       /* the replica that gave it */
byte waiting = 0;        /* commits that were done before a later answer completes the round */

bool switching = false; /* the record in the store */
bool late = false;      /* a PAUSE of the first switch may be delivered */
bool looked = false;    /* the holder has looked at the record after its wait */
byte since = WAIT;      /* time since all are paused */
byte stale = 0;         /* the choice of a holder whose lease has ended */
byte best = 0;
byte chosen = 0;        /* the promoted replica, once the promotion has taken effect */
byte promotedAt = 0;    /* length of its log then */

#define follows(i) (chosen != (i) && paused[i] == 0)

inline acknowledge(n) {
  if :: n > acked -> acked = n :: else fi;
  assert(chosen == 0 || acked <= promotedAt)
}

inline receive(i) {
  got[i]++;
  if :: got[i] > done -> done = got[i] :: else fi
}

/* Replica i answers the host that it follows the primary and is not paused. */
inline answer(i) {
  if
#ifdef SEPARATE
  :: answered == 0 || answered == i -> answered = i; asked = 0; waiting = 0
  :: answered != 0 && answered != i ->
       if :: asked < evidence -> evidence = asked :: else fi;
       acknowledge(waiting); answered = 0; asked = EXPIRED; waiting = 0
#else
#ifdef LATE_ANSWER
  :: answered == REQUESTED -> answered = i
  :: answered != 0 && answered != REQUESTED && answered != i ->
#else
  :: evidence <= VALID && (answered == 0 || answered == i) -> answered = i; asked = 0
  :: evidence <= VALID && answered != 0 && answered != i ->
#endif
       if :: asked < evidence -> evidence = asked :: else fi;
       answered = 0; asked = EXPIRED
#endif
  :: else
  fi
}

#ifdef KEEPS
#define mayEnd(i) (!looked || (chosen == 1 || chosen == 2) && answered != chosen || i == 3 || paused[3 - i] == CURRENT)
#else
#ifdef KEEPS_TO_EFFECT
#define mayEnd(i) (!looked || chosen != 0 || i == 3 || paused[3 - i] == CURRENT)
#else
#define mayEnd(i) true
#endif
#endif

inline forgetLog(i) {
  got[i] = 0; paused[i] = 0; lostLog = i
}

inline promote(i) {
  chosen = i; paused[i] = 0; promotedAt = got[i];
  assert(acked <= promotedAt)
}

active proctype group() {
end:
  do
  :: atomic { written < LEN -> written++ }
  :: atomic { follows(1) && got[1] < written -> receive(1) }
  :: atomic { follows(2) && got[2] < written -> receive(2) }
  :: atomic { joined && follows(3) && got[3] < written -> receive(3) }
  :: atomic { !joined -> joined = true }
  :: atomic { paused[1] != 0 && mayEnd(1) -> paused[1] = 0 }
  :: atomic { paused[2] != 0 && mayEnd(2) -> paused[2] = 0 }
  :: atomic { paused[3] != 0 && mayEnd(3) -> paused[3] = 0 }
  :: atomic { late && chosen != 1 && paused[1] == 0 -> paused[1] = EARLIER }
  :: atomic { late && chosen != 2 && paused[2] == 0 -> paused[2] = EARLIER }
  :: atomic { late && chosen != 3 && joined && paused[3] == 0 -> paused[3] = EARLIER }
#ifdef REPEATED_PAUSE
  :: atomic { chosen != 1 && switching && paused[1] == 0 -> paused[1] = CURRENT }
  :: atomic { chosen != 2 && switching && paused[2] == 0 -> paused[2] = CURRENT }
#endif
#ifdef LOSES_LOG
  :: atomic { lostLog == 0 && (!looked || best == 2 || best == 3) && chosen != 1 && mayEnd(1) -> forgetLog(1) }
  :: atomic { lostLog == 0 && (!looked || best == 1 || best == 3) && chosen != 2 && mayEnd(2) -> forgetLog(2) }
  :: atomic { !covered && (lostLog == 1 && got[2] == written || lostLog == 2 && got[1] == written) -> covered = true }
#endif
  :: atomic { chosen != 1 && paused[1] == 0 -> answer(1) }
  :: atomic { chosen != 2 && paused[2] == 0 -> answer(2) }
#ifdef LATE_ANSWER
  :: atomic { answered == 0 && evidence <= VALID -> answered = REQUESTED; asked = 0 }
#endif
#ifdef SINGLE
#ifdef SEPARATE
  :: atomic { follows(1) || follows(2) -> evidence = 0 }
#else
  :: atomic { evidence <= VALID && (follows(1) || follows(2)) -> evidence = 0 }
#endif
#endif
#ifdef UNRECORDED
  :: atomic { joined && chosen != 3 && paused[3] == 0 -> evidence = 0 }
#endif
  :: atomic { !switching && chosen == 0 -> evidence = 0 } /* a read of the record */
#ifdef NO_EVIDENCE
  :: atomic { acked < done -> acknowledge(done) }
#endif
#ifdef ANY_COPY
  :: atomic { acked < done && evidence <= VALID -> acknowledge(done) }
#else
  :: atomic { acked < done && evidence <= VALID && (got[1] >= done || got[2] >= done) -> acknowledge(done) }
#endif
#ifdef SEPARATE
  :: atomic { answered != 0 && asked <= VALID && waiting < done -> waiting = done }
  :: atomic { answered != 0 -> answered = 0; asked = EXPIRED; waiting = 0 } /* the round times out */
#endif
  :: atomic { evidence < EXPIRED || asked < EXPIRED || since < WAIT -> /* a tick */
       if :: evidence < EXPIRED -> evidence++ :: else fi;
       if :: asked < EXPIRED -> asked++ :: else fi;
       if :: since < WAIT -> since++ :: else fi
#if !defined(SEPARATE) && !defined(LATE_ANSWER)
       ;
       if :: evidence == EXPIRED -> answered = 0; asked = EXPIRED :: else fi
#endif
     }
#ifdef PUT_BACK
  :: atomic { switching && chosen == 0 -> switching = false }
#else
  :: atomic { switching && !looked -> switching = false }
#endif
#ifdef NO_LEASE
  :: atomic { stale != 0 && chosen == 0 -> promote(stale) }
#endif
  od
}

/* The holder may be stopped after any step. */
inline mayStop() {
  if :: true :: goto stopped fi
}

inline pauseReplica(i) {
  paused[i] = CURRENT; seen[i] = got[i]
}

inline look(i) {
#ifndef NO_SECOND_LOOK
#ifdef ANY_PAUSE
  if :: paused[i] == 0 -> goto stopped :: else fi;
#else
  if :: paused[i] != CURRENT -> goto stopped :: else fi;
#endif
#endif
#ifdef EARLY_POSITIONS
  skip
#else
  seen[i] = got[i]
#endif
}

inline checkCover() {
  if :: lostLog != 0 && !covered -> goto stopped :: else fi
}

inline startSwitch() {
#ifndef LATE_CLAIM
  switching = true;
#endif
#ifndef UNREGISTERED
  listed = joined;
#endif
  if :: paused[1] == CURRENT -> paused[1] = EARLIER :: else fi;
  if :: paused[2] == CURRENT -> paused[2] = EARLIER :: else fi;
  if :: paused[3] == CURRENT -> paused[3] = EARLIER :: else fi
}

active proctype holder() {
  byte switches = 0;
  byte seen[4];
  bool listed = false;

next:
  atomic { chosen == 0 && switches < 2 -> switches++; startSwitch() }
#ifndef PASSED_OVER
  atomic { pauseReplica(1); mayStop() }
#endif
  atomic { if :: listed -> pauseReplica(3) :: else fi; mayStop() }
#ifndef PASSED_OVER
  atomic { pauseReplica(2); since = 0 }
#endif
#ifndef NO_WAIT
  atomic { since == WAIT -> skip }
#endif
  atomic {
    mayStop();
#ifndef NO_RECORD_LOOK
#ifdef LATE_CLAIM
    switching = true;
#else
    if :: !switching -> goto stopped :: else fi;
#endif
#endif
#ifndef OLD_LIST
#ifndef UNREGISTERED
    listed = joined;
#endif
#endif
#if !defined(NO_COVER) && !defined(LATE_COVER)
    checkCover();
#endif
    looked = true }
#ifndef PASSED_OVER
  atomic { look(1) }
  atomic { look(2) }
#endif
  atomic {
    /* Replica 3 is not recorded: no host takes its word, so that its pause needs no wait. */
    if :: listed -> pauseReplica(3) :: else -> seen[3] = 0 fi;
#ifdef LATE_COVER
    checkCover();
#endif
    if
#ifdef PASSED_OVER
    :: listed -> best = 3
    :: else -> goto stopped
#else
    :: seen[1] >= seen[2] && seen[1] >= seen[3] -> best = 1
    :: seen[2] >= seen[1] && seen[2] >= seen[3] -> best = 2
    :: listed && seen[3] >= seen[1] && seen[3] >= seen[2] -> best = 3
#endif
    fi;
    seen[1] = 0; seen[2] = 0; seen[3] = 0 }
  atomic { mayStop() } /* the call is sent */
  atomic { chosen == 0 -> promote(best) }
  goto end;
stopped:
  atomic {
    if :: switching = false :: skip fi;
#ifdef NO_LEASE
    stale = best;
#endif
    late = true; looked = false; best = 0; since = WAIT;
    seen[1] = 0; seen[2] = 0; seen[3] = 0; listed = false }
  goto next;
end:
  skip
}
