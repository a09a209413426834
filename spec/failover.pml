/*
 * The core protocol: writes, replication, acknowledgement, fencing, promotion,
 * promoters that may stop at any step, session tokens, and requests that run at
 * most once.
 *
 * Bounds: 3 members, terms 1 to TERMS, logs of up to LEN entries, and two
 * promoters that each attempt every term after the first at most once. Time is
 * not modeled: a paused host is one whose next step is late and uses outdated
 * information.
 *
 * Each NO_... macro removes one guard; spec/check.sh requires that the model then
 * has a counterexample.
 */
#ifndef TERMS
#define TERMS 3
#endif
#ifndef LEN
#define LEN 4
#endif
#define N 3
#define MAJORITY 2

/* Kinds of entries: the first entry of a term, a plain write, a request with an
 * id, and a tombstone, which records that the request was not run and never will
 * be. */
#define FIRST 0
#define PLAIN 1
#define REQUEST 2
#define TOMBSTONE 3

#define ENTRY(t, k) ((t) * 4 + (k))
#define TERM(e) ((e) / 4)
#define KIND(e) ((e) % 4)
#define AT(m, p) log[(m) * LEN + (p) - 1]
/* For an empty log this reads the first slot, which is then 0. */
#define LASTTERM(m) TERM(log[(m) * LEN + (size[m] == 0 -> 0 : size[m] - 1)])

byte log[N * LEN];
byte size[N];
byte fenced[N];  /* the highest term that the member has accepted */
byte nonce[N];   /* the promoter that last fenced the member */
byte leads[N];   /* the term in which the member became primary, or 0 */
byte follows[N]; /* the term whose primary the member follows, or 0 */

/* HELD(m, t) is the length of the longest log ending in an entry of term t that
 * member m ever held. Status reports that an entry host has may be arbitrarily
 * old, so any past log counts as evidence for an acknowledgement. */
byte held[N * (TERMS + 1)];
#define HELD(m, t) held[(m) * (TERMS + 1) + (t)]

/* Ghost variables: they serve the assertions and are no part of the protocol. */
byte acked[LEN];   /* the acknowledged entry at each position, or 0 */
byte ackTerm[LEN]; /* the term in which it was acknowledged */
byte led[TERMS + 1];     /* the primary of each term plus 1, or 0 */
byte ackedIn[TERMS + 1]; /* the last position acknowledged in each term */
bool saidDone, saidNotRun; /* the client was told that the request ran, or did not run */

hidden byte member, votes, at_pos, bound, of_term, before;
hidden byte found;

/* LEADS(m): m is a primary that has not been fenced at a later term. */
#define LEADS(m) (leads[m] != 0 && leads[m] == fenced[m])

/* checkLog asserts that m's log contains every entry acknowledged in an earlier
 * term than the one that m leads. */
inline checkLog(m) {
	at_pos = 1;
	do
	:: at_pos <= LEN ->
		assert(acked[at_pos - 1] == 0 || ackTerm[at_pos - 1] >= leads[m] || (at_pos <= size[m] && AT(m, at_pos) == acked[at_pos - 1]));
		at_pos++
	:: else -> break
	od;
}

/* checkOnce asserts that m's log has at most one REQUEST or TOMBSTONE entry: the
 * request runs at most once, and never after a tombstone. */
inline checkOnce(m) {
	votes = 0; at_pos = 1;
	do
	:: at_pos <= size[m] ->
		if
		:: KIND(AT(m, at_pos)) == REQUEST || KIND(AT(m, at_pos)) == TOMBSTONE -> votes++
		:: else
		fi;
		at_pos++
	:: else -> break
	od;
	assert(votes <= 1)
}

/* acknowledge models advanceAcked in internal/core: an entry is acknowledged in
 * term t once a majority has held it in logs whose last entry is of term t. The
 * model acknowledges as early as possible, which is the strictest requirement on
 * every later log. */
inline acknowledge(m) {
#ifdef NO_LAST_ENTRY_EVIDENCE
	of_term = fenced[m];
#else
	of_term = LASTTERM(m);
#endif
	if
	:: HELD(m, of_term) < size[m] -> HELD(m, of_term) = size[m]
	:: else
	fi;
	/* bound becomes the last position that a majority has held */
	bound = 0; member = 0;
	do
	:: member < N ->
		votes = 0; at_pos = 0;
		do
		:: at_pos < N ->
			if
			:: HELD(at_pos, of_term) >= HELD(member, of_term) -> votes++
			:: else
			fi;
			at_pos++
		:: else -> break
		od;
		if
#ifdef NO_MAJORITY_ACK
		:: led[of_term] == member + 1 && HELD(member, of_term) > bound -> bound = HELD(member, of_term)
#else
		:: votes >= MAJORITY && HELD(member, of_term) > bound -> bound = HELD(member, of_term)
#endif
		:: else
		fi;
		member++
	:: else -> break
	od;
	member = (led[of_term] == 0 -> 1 : led[of_term]);
	if
	:: led[of_term] != 0 && leads[member - 1] == of_term && bound > ackedIn[of_term] && bound <= size[member - 1] ->
		ackedIn[of_term] = bound;
		do
		:: bound > 0 ->
			assert(acked[bound - 1] == 0 || acked[bound - 1] == AT(member - 1, bound));
			if
			:: acked[bound - 1] == 0 || ackTerm[bound - 1] > of_term -> ackTerm[bound - 1] = of_term
			:: else
			fi;
			acked[bound - 1] = AT(member - 1, bound);
			if
			:: KIND(acked[bound - 1]) == REQUEST -> saidDone = true
			:: KIND(acked[bound - 1]) == TOMBSTONE -> saidNotRun = true
			:: else
			fi;
			bound--
		:: else -> break
		od;
		assert(!(saidDone && saidNotRun));
		checkOld()
	:: else
	fi;
	checkRead()
}

/* checkOld asserts that an old primary acknowledges nothing that a later one
 * lacks: every unfenced primary has all entries acknowledged in earlier terms. */
inline checkOld() {
	votes = 0;
	do
	:: votes < N ->
		at_pos = 1;
		do
		:: at_pos <= LEN ->
			assert(!LEADS(votes) || acked[at_pos - 1] == 0 || ackTerm[at_pos - 1] >= leads[votes] || (at_pos <= size[votes] && AT(votes, at_pos) == acked[at_pos - 1]));
			at_pos++
		:: else -> break
		od;
		votes++
	:: else -> break
	od;
	member = 0; votes = 0; at_pos = 0; bound = 0
}

/* checkRead asserts that a read with a session token sees the acknowledged entry
 * that the token names, on every member that MemberStatus.Satisfies in
 * internal/core accepts for the read. */
inline checkRead() {
	member = 0;
	do
	:: member < N ->
		of_term = 1;
		do
		:: of_term <= TERMS ->
			prevOf(member);
			at_pos = ackedIn[of_term];
			do
			:: at_pos > 0 ->
				bound = at_pos;
				if
				:: LASTTERM(member) > of_term && before < bound -> bound = before
				:: else
				fi;
				if
#ifdef NO_TOKEN_TERM
				:: size[member] >= bound ->
#else
				:: LASTTERM(member) >= of_term && size[member] >= bound ->
#endif
					assert(at_pos <= size[member] && AT(member, at_pos) == acked[at_pos - 1])
				:: else
				fi;
				at_pos--
			:: else -> break
			od;
			of_term++
		:: else -> break
		od;
		member++
	:: else -> break
	od;
	member = 0; votes = 0; at_pos = 0; bound = 0
}

/* hasRecord sets found if m's log has a REQUEST or TOMBSTONE entry. */
inline hasRecord(m) {
	found = 0; at_pos = 1;
	do
	:: at_pos <= size[m] ->
		if
		:: KIND(AT(m, at_pos)) == REQUEST || KIND(AT(m, at_pos)) == TOMBSTONE -> found = 1
		:: else
		fi;
		at_pos++
	:: else -> break
	od;
	member = 0; votes = 0; at_pos = 0; bound = 0
}

/* write appends an entry on an unfenced primary. Requests and tombstones are
 * skipped if the log already has either. */
inline write(m, k) {
	d_step {
		found = 0;
#ifndef NO_RECORD
		if
		:: k != PLAIN -> hasRecord(m)
		:: else
		fi;
#endif
		if
#ifdef NO_TOMBSTONE
		:: found == 0 && k == TOMBSTONE -> saidNotRun = true; found = 1
		:: found == 0 && k != TOMBSTONE ->
#else
		:: found == 0 ->
#endif
			AT(m, size[m] + 1) = ENTRY(leads[m], k);
			size[m] = size[m] + 1;
			checkOnce(m);
			acknowledge(m)
		:: else
		fi
	}
}

/* replicate is one step of the replication stream from primary m to r: r accepts
 * m's term, and either truncates its log from the first entry that differs from
 * m's or appends the next missing entry. */
inline replicate(m, r) {
	d_step {
		fenced[r] = fenced[m]; leads[r] = 0; follows[r] = fenced[m];
		at_pos = 1;
		do
		:: at_pos > LEN -> break
		:: else ->
			if
			:: at_pos <= size[r] && at_pos <= size[m] && AT(r, at_pos) == AT(m, at_pos) -> at_pos++
			:: else -> break
			fi
		od;
		if
		:: at_pos <= size[r] -> /* entries that the primary does not have */
			do
			:: size[r] >= at_pos -> AT(r, size[r]) = 0; size[r] = size[r] - 1
			:: else -> break
			od
		:: at_pos > size[r] && at_pos <= size[m] ->
			AT(r, at_pos) = AT(m, at_pos); size[r] = at_pos
		:: else
		fi;
		acknowledge(r)
	}
}

/* prevOf sets before to the last position before the entries of m's last term. */
inline prevOf(m) {
	before = size[m];
	do
	:: before == 0 -> break
	:: else ->
		if
		:: TERM(AT(m, before)) != LASTTERM(m) -> break
		:: else -> before = before - 1
		fi
	od
}

/* checkToken asserts that no read waits forever because of its token: a new primary
 * satisfies the tokens of earlier terms, including those that name a position
 * discarded in a failover. */
inline checkToken(m) {
	prevOf(m);
	member = 1;
	do
	:: member <= LEN ->
		at_pos = member;
#ifndef NO_CLAMP
		if
		:: before < at_pos -> at_pos = before
		:: else
		fi;
#endif
		assert(size[m] >= at_pos);
		member++
	:: else -> break
	od;
	member = 0; votes = 0; at_pos = 0; bound = 0
}

active proctype System() {
	byte m, r;
	d_step {
		m = 0;
		do
		:: m < N -> fenced[m] = 1; follows[m] = 1; m++
		:: else -> break
		od;
		follows[0] = 0; leads[0] = 1; led[1] = 1;
		AT(0, 1) = ENTRY(1, FIRST); size[0] = 1;
		m = 0
	}
	run Promoter(1);
	run Promoter(2);
	do
	:: atomic {
		if :: m = 0 :: m = 1 :: m = 2 fi;
		if
#ifdef REQUESTS
		:: LEADS(m) && size[m] < LEN -> write(m, REQUEST)
		:: LEADS(m) && size[m] < LEN -> write(m, TOMBSTONE)
#else
		:: LEADS(m) && size[m] < LEN -> write(m, PLAIN)
#endif
		:: LEADS(m) ->
			if :: r = 0 :: r = 1 :: r = 2 fi;
			if
			:: r != m && fenced[r] <= fenced[m] && !(LEADS(r) && leads[r] == leads[m]) -> replicate(m, r)
			:: else
			fi
		fi;
		m = 0; r = 0
	   }
	od;
	member = 0; votes = 0; at_pos = 0; bound = 0
}

/* Promoter is an entry host that replaces the primary. It may stop at any step,
 * and the other promoter may then carry out the promotion. */
proctype Promoter(byte id) {
	byte term, count, m, bestTerm, bestLen, bestM;
	bool got[N];
	term = 1;
	do
	:: term < TERMS ->
		term++;
		count = 0; bestTerm = 0; bestLen = 0; bestM = 0;
		got[0] = false; got[1] = false; got[2] = false;
		do
		:: count < N -> atomic {
			if :: m = 0 :: m = 1 :: m = 2 fi;
			d_step {
				if
#ifdef NO_NONCE
				:: !got[m] && fenced[m] <= term ->
#else
				:: !got[m] && (fenced[m] < term || (fenced[m] == term && nonce[m] == id)) ->
#endif
					if
					:: fenced[m] < term -> leads[m] = 0; follows[m] = 0
					:: else
					fi;
#ifndef NO_FENCE
					fenced[m] = term; nonce[m] = id;
#endif
					got[m] = true; count++;
#ifdef NO_LAST_ENTRY_EVIDENCE
					acknowledge(m);
#endif
					if
#ifdef NO_LAST_ENTRY_CHOICE
					:: count == 1 || size[m] > bestLen ->
#else
					:: count == 1 || LASTTERM(m) > bestTerm || (LASTTERM(m) == bestTerm && size[m] > bestLen) ->
#endif
						bestTerm = LASTTERM(m); bestLen = size[m]; bestM = m
					:: else
					fi
				:: else
				fi;
				m = 0
			} }
		:: count >= MAJORITY -> goto promote
		:: goto next
		od;
promote:	skip;
		d_step {
			if
#ifdef NO_FENCE
			:: size[bestM] < LEN && leads[bestM] < term ->
				fenced[bestM] = term;
#else
#ifdef NO_NONCE
			:: fenced[bestM] == term && follows[bestM] == 0 && size[bestM] < LEN ->
#else
			:: fenced[bestM] == term && nonce[bestM] == id && follows[bestM] == 0 && size[bestM] < LEN && leads[bestM] != term ->
#endif
#endif
				assert(led[term] == 0 || led[term] == bestM + 1);
				led[term] = bestM + 1;
				leads[bestM] = term;
				checkLog(bestM);
				AT(bestM, size[bestM] + 1) = ENTRY(term, FIRST);
				size[bestM] = size[bestM] + 1;
				checkOnce(bestM);
				checkToken(bestM);
				acknowledge(bestM)
			:: else
			fi
		};
next:		skip
	:: goto stop
	od;
stop:	count = 0; bestTerm = 0; bestLen = 0; bestM = 0;
	got[0] = false; got[1] = false; got[2] = false
}
