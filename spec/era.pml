/*
 * The promotion lease and its fencing token, with a store that comes back from a copy
 * (lease.go, era.go and nextToken in internal/failover, writeLead in platform). Two hosts
 * claim the lease and send promote calls. The store may lose what it acknowledged since a
 * copy was made: claims, openings of eras and versions, which are given out again. One copy is made at
 * any time, and the store comes back from it once.
 *
 * Times are whole ticks. A promote call is delivered at most FLIGHT after it was sent.
 *
 * Property: the token of a delivered promote call is not below an earlier one, and no two
 * hosts use the same.
 *
 * Each macro below removes one guard, and spec/check.sh requires that the model then has a
 * counterexample:
 *   NO_SETTLE     open an era as soon as it is seen
 *   NO_PROOF      send promote calls until the lease ends, without a recent read that
 *                 shows it
 *   NO_TOKEN_ERA  count the fencing token from the stored one alone
 */
#define PROOF 1   /* age up to which a read that shows the lease allows a call */
#define FLIGHT 1  /* time until a call has been delivered */
#define LEASE 4
#define ENDS 6    /* length of a run */
#define ERAS 2
#ifdef NO_SETTLE
#define SETTLE 0
#else
#define SETTLE (PROOF + FLIGHT + 1)
#endif
#define VERSIONS 16 /* more than a run writes */

typedef state {
  byte ver;
  byte holder;  /* 0: the lease is free */
  byte token;
  byte until;
  byte row;     /* version of the lease */
  byte opened;  /* version of the opening, and the era that it opens */
  byte openEra
};

byte now = 0;
byte era = 1;
state store;
state copied;
bool made = false;  /* the copy has been made */
byte inFlight[3];   /* token of a host's promote call, 0 if there is none */
byte flightEnds[3];
byte lastToken = 0;
byte lastHolder = 0;

inline clear(s) {
  s.ver = 0; s.holder = 0; s.token = 0; s.until = 0; s.row = 0; s.opened = 0; s.openEra = 0
}

inline copy(to, from) {
  to.ver = from.ver; to.holder = from.holder; to.token = from.token; to.until = from.until;
  to.row = from.row; to.opened = from.opened; to.openEra = from.openEra
}

active proctype time_and_store() {
end:
  do
  :: atomic { now < ENDS && (inFlight[1] == 0 || flightEnds[1] > now) && (inFlight[2] == 0 || flightEnds[2] > now) -> now++ }
  :: atomic { !made -> made = true; copy(copied, store) }
  :: atomic { made && era < ERAS -> copy(store, copied); clear(copied); era++ }
  od
}

proctype host(byte me) {
  byte seenEra = 0, seenAt = 0;
  byte readAt = 0, readEra = 0;
  bool asked = false;
  state read;
  bool held = false;
  byte heldEra = 0, heldToken = 0, shownAt = 0, leaseEnds = 0;
  byte token = 0;
end:
  do
  :: atomic { !asked -> asked = true; readAt = now; readEra = 0 } /* a read is requested */
  :: atomic { asked && readEra == 0 -> readEra = era; copy(read, store);
       if
       :: era > seenEra -> seenEra = era; seenAt = now
       :: else
       fi;
       if
       :: held && heldEra == era && store.holder == me && store.token == heldToken -> shownAt = readAt
       :: else
       fi }
  :: atomic { readEra != 0 && read.openEra != readEra && now >= seenAt + SETTLE && era == readEra && store.openEra == read.openEra ->
       store.ver++; store.opened = store.ver; store.openEra = era; readEra = 0; readAt = 0; clear(read); asked = false }
  :: atomic { !held && readEra != 0 && read.openEra == readEra &&
       (read.row < read.opened || read.holder == 0 || now > read.until) &&
       era == readEra && store.row == read.row && store.opened == read.opened && store.openEra == read.openEra ->
#ifdef NO_TOKEN_ERA
       token = read.token + 1;
#else
       token = (read.token + 1 > readEra * VERSIONS + read.ver -> read.token + 1 : readEra * VERSIONS + read.ver);
#endif
       store.ver++; store.row = store.ver; store.holder = me; store.token = token; store.until = now + LEASE;
       held = true; heldEra = era; heldToken = token; shownAt = readAt; leaseEnds = readAt + LEASE; token = 0; readEra = 0; readAt = 0; clear(read); asked = false }
#ifdef NO_PROOF
  :: atomic { held && inFlight[me] == 0 && now < leaseEnds ->
#else
  :: atomic { held && inFlight[me] == 0 && now < leaseEnds && now <= shownAt + PROOF ->
#endif
       inFlight[me] = heldToken; flightEnds[me] = now + FLIGHT }
  :: atomic { inFlight[me] != 0 ->
       assert(inFlight[me] > lastToken || inFlight[me] == lastToken && lastHolder == me);
       lastToken = inFlight[me]; lastHolder = me; inFlight[me] = 0; flightEnds[me] = 0 }
  :: atomic { readEra != 0 -> readEra = 0; readAt = 0; clear(read); asked = false } /* nothing is to be done, or it is too late */
  :: atomic { held -> held = false; heldToken = 0; heldEra = 0; shownAt = 0; leaseEnds = 0 } /* the switch has ended, or is given up */
  od
}

init {
  atomic { run host(1); run host(2) }
}
