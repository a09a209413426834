/*
 * The membership record (lost.go and membership.go in internal/replicaset, membership.go in
 * internal/failover). One primary has two replicas and acknowledges a commit once one of them
 * has received it. Replicas are deaf for a while or lost for good, after which their
 * registration lapses. One host watches, records what it knows, and may restart at any time;
 * then it knows the registrations and the record only. It may promote a replica at any time.
 *
 * With REBORN a replica may start again at once, without its log and behind its old registration. The host
 * keeps the highest position that it has seen of each replica, and takes one that has less for a lost one.
 * It has to have seen the whole log before, and not to restart itself from then on: nothing in the store tells
 * of the loss. Once it has noticed it, it acknowledges nothing by the word of that replica.
 *
 * Property: a promoted replica has received every acknowledged commit.
 *
 * Each macro below removes one guard, and spec/check.sh requires that the model then has a
 * counterexample:
 *   NO_EARLIER    a host that has just started takes the registered replicas for all
 *   STRIKE_EARLY  a lost replica leaves the record before its loss is covered
 *   OLD_POSITION  a position of the primary from before the loss covers it
 *   ANY_ANSWER    a registered replica need not answer
 *   BACKS         with REBORN: one that was taken for lost backs commits
 *   NO_LOG_CHECK  with REBORN: a replica that has less than before is taken for the one before
 *
 * UNSEEN and FORGETS change assumptions of REBORN: the host need not have seen the log, and may restart after it
 * has noticed the loss. The property does not hold then.
 */
#ifndef COMMITS
#define COMMITS 3
#define STARTS 2
#endif

byte written = 0;    /* length of the primary's log */
byte acked = 0;
byte received[2];
bool up[2];
bool deaf[2];
bool registered[2];
byte deafness = 0;

/* The record in the store. */
bool recorded = false;
bool listed[2];

/* What the host knows. Positions are one higher than those of the log, 0 if none. */
byte starts = 0;
bool complete = false;
byte earlierCover = 0;
bool sees[2];
bool lost[2];
bool covered[2];
byte coverPoint[2];
#ifdef REBORN
/* The highest position that the host has seen of each replica, whether one has started again, and of which
 * the host has noticed it. */
byte highest[2];
bool reborn = false;
bool emptied[2];
#ifdef FORGETS
#define remembers false
#else
#define remembers (emptied[0] || emptied[1])
#endif
#define backs(i) (up[i] && received[i] == written && !emptied[i])
#else
#define remembers false
#define backs(i) (up[i] && received[i] == written)
#endif
bool done = false;

#if defined(REBORN) && !defined(NO_LOG_CHECK)
#define dropped(i) (sees[i] && received[i] + 1 < highest[i])
#else
#define dropped(i) false
#endif
#define missing(i) (lost[i] && !covered[i])
#ifdef ANY_ANSWER
#define answers(i) (!sees[i] || up[i] || up[1 - i])
#else
#define answers(i) (!sees[i] || up[i])
#endif

inline restart() {
  starts++;
#ifdef REBORN
  highest[0] = 0; highest[1] = 0;
  emptied[0] = false; emptied[1] = false;
#endif
#ifdef NO_EARLIER
  complete = true;
#else
  complete = false;
#endif
  earlierCover = 0;
  sees[0] = registered[0]; sees[1] = registered[1];
  lost[0] = false; lost[1] = false;
  covered[0] = false; covered[1] = false;
  coverPoint[0] = 0; coverPoint[1] = 0
}

#define receives(i) (up[i] && !deaf[i] && received[i] < written)

proctype primary() {
  do
  :: done -> break
  :: !done && written < COMMITS && written == acked -> written++
  :: atomic { !done && receives(0) -> received[0] = written }
  :: atomic { !done && receives(1) -> received[1] = written }
  :: !done && acked < written && (backs(0) || backs(1)) -> acked = written
  od
}

proctype faults(byte i) {
  do
  :: done -> break
#ifdef REBORN
#ifdef UNSEEN
  :: atomic { !done && !reborn && up[i] -> received[i] = 0; reborn = true }
#else
  :: atomic { !done && !reborn && up[i] && highest[i] == received[i] + 1 -> received[i] = 0; reborn = true }
#endif
#endif
  :: !done && up[i] -> up[i] = false
  :: !done && !up[i] && registered[i] -> registered[i] = false
  :: atomic { !done && !deaf[i] && deafness < 2 -> deaf[i] = true; deafness++ }
  :: !done && deaf[i] -> deaf[i] = false
  od
}

inline noteLoss(i) {
  sees[i] = false; lost[i] = true; covered[i] = false;
#ifdef OLD_POSITION
  coverPoint[i] = 1
#else
  coverPoint[i] = 0
#endif
}

inline noteEmptied(i) {
  noteLoss(i);
#ifdef REBORN
  highest[i] = 0;
#ifndef BACKS
  emptied[i] = true
#endif
#endif
}

inline adopt(i) {
  if
  :: listed[i] && !sees[i] && !lost[i] -> lost[i] = true; covered[i] = false; coverPoint[i] = 0
  :: else
  fi
}

inline sample() {
  if :: earlierCover == 0 -> earlierCover = written + 1 :: else fi;
  if :: lost[0] && coverPoint[0] == 0 -> coverPoint[0] = written + 1 :: else fi;
  if :: lost[1] && coverPoint[1] == 0 -> coverPoint[1] = written + 1 :: else fi
}

/* Replica i reports its position. */
inline report(i) {
#ifdef REBORN
  if :: received[i] + 1 > highest[i] -> highest[i] = received[i] + 1 :: else fi;
#endif
  if :: earlierCover > 0 && received[i] + 1 >= earlierCover -> complete = true :: else fi;
  if :: lost[1 - i] && coverPoint[1 - i] > 0 && received[i] + 1 >= coverPoint[1 - i] -> covered[1 - i] = true :: else fi
}

inline record() {
  recorded = true;
#ifdef STRIKE_EARLY
  listed[0] = sees[0]; listed[1] = sees[1]
#else
  listed[0] = sees[0] || missing(0); listed[1] = sees[1] || missing(1)
#endif
}

#define eligible(i) (complete && !missing(0) && !missing(1) && answers(0) && answers(1) && !dropped(0) && !dropped(1) && sees[i] && up[i] && \
  (!sees[1 - i] || !up[1 - i] || received[i] >= received[1 - i]))

inline promote(i) {
  assert(received[i] >= acked);
  done = true
}

proctype host() {
  do
  :: done -> break
  :: atomic { !done && starts < STARTS && !dropped(0) && !dropped(1) && !remembers -> restart() }
  :: atomic { !done && sees[0] && !registered[0] -> noteLoss(0) }
  :: atomic { !done && sees[1] && !registered[1] -> noteLoss(1) }
  :: atomic { !done && dropped(0) -> noteEmptied(0) }
  :: atomic { !done && dropped(1) -> noteEmptied(1) }
  :: atomic { !done && recorded && starts > 0 -> complete = true; adopt(0); adopt(1) }
  :: atomic { !done -> sample() }
  :: atomic { !done && sees[0] && up[0] && !dropped(0) -> report(0) }
  :: atomic { !done && sees[1] && up[1] && !dropped(1) -> report(1) }
  :: atomic { !done && complete -> record() }
  :: atomic { !done && eligible(0) -> promote(0) }
  :: atomic { !done && eligible(1) -> promote(1) }
  od
}

init {
  atomic {
    up[0] = true; up[1] = true; registered[0] = true; registered[1] = true; sees[0] = true; sees[1] = true;
#ifdef NO_EARLIER
    complete = true;
#endif
    run primary(); run faults(0); run faults(1); run host()
  }
}
