/*
 * Reads of the latest state at an old primary that was not demoted, by a host without the store
 * (internal/replicaset/evidence.go). Two recorded replicas (1, 2) and one (3) that joins. A switch
 * records itself, pauses the recorded replicas, waits, and announces the new primary, whose commits are
 * acknowledged from then on. Pauses end after that, and the replicas may follow the old primary again.
 *
 * The switch may take replica 1 as gone and not pause it, although the host still reaches it.
 *
 * The host has evidence from a read of the record without a switch, or from the words of all recorded
 * replicas, as old as the oldest of them, while earlier evidence is valid. Times are whole ticks; evidence is
 * valid for one.
 *
 * Property (STALE): no read that arrives after the announcement is served by the old primary.
 *
 * Each macro below removes one guard, and spec/check.sh requires a counterexample then:
 *   SEPARATE     accept a word without earlier evidence
 *   ONE_WORD     accept the word of one recorded replica
 *   UNRECORDED   accept the word of a replica that is not recorded
 *   LATE_CLAIM   record the switch only when the new primary is announced
 *   SHORT_WAIT   wait no longer than evidence is valid
 *
 * EARLY_END changes an assumption: a pause may end before the announcement, as by a restart of the
 * replica. The property does not hold then.
 */
#define VALID 1
#define EXPIRED 2
#ifdef SHORT_WAIT
#define WAIT 1
#else
#define WAIT 2
#endif

bool paused[4];
bool switching = false, announced = false;
byte evidence = EXPIRED;
byte since = WAIT;

/* followed is how long ago the word of a replica was requested. */
byte followed[4] = EXPIRED;

inline accept(age) {
#ifdef SEPARATE
  evidence = age
#else
  if :: evidence <= VALID && age < evidence -> evidence = age :: else fi
#endif
}

inline hear(i) {
  followed[i] = 0;
#ifdef ONE_WORD
  accept(0)
#else
  if
  :: followed[1] > followed[2] -> accept(followed[1])
  :: else -> accept(followed[2])
  fi
#endif
}

active proctype host() {
end:
  do
  :: atomic { !switching && !announced -> evidence = 0 } /* a read of the record */
  :: atomic { !paused[1] -> hear(1) }
  :: atomic { !paused[2] -> hear(2) }
#ifdef UNRECORDED
  :: atomic { !paused[3] -> accept(0) }
#endif
  :: atomic { evidence <= VALID -> assert(!announced) } /* a read */
  :: atomic { evidence < EXPIRED || since < WAIT || followed[1] < EXPIRED || followed[2] < EXPIRED -> /* a tick */
       if :: evidence < EXPIRED -> evidence++ :: else fi;
       if :: followed[1] < EXPIRED -> followed[1]++ :: else fi;
       if :: followed[2] < EXPIRED -> followed[2]++ :: else fi;
       if :: since < WAIT -> since++ :: else fi }
#ifdef EARLY_END
  :: atomic { paused[1] -> paused[1] = false }
  :: atomic { paused[2] -> paused[2] = false }
#else
  :: atomic { announced && paused[1] -> paused[1] = false }
  :: atomic { announced && paused[2] -> paused[2] = false }
#endif
  od
}

active proctype holder() {
#ifndef LATE_CLAIM
  switching = true;
#endif
  if :: paused[1] = true :: skip fi; /* replica 1 is taken as gone */
  atomic { paused[2] = true; since = 0 }
  since == WAIT;
  atomic { switching = true; announced = true }
}
