/*
 * The core protocol: write, replication, acknowledgement, fence, promotion,
 * promoters that stop anywhere, sessions, and requests that run at most once.
 *
 * Bounds: 3 members, terms 1 to TERMS, logs of up to LEN entries, two
 * promoters with TRIES attempts each. Nothing is timed: a paused host is one
 * whose next step comes late, with the knowledge it had.
 *
 * Each NO_... macro takes one guard away; spec/check.sh demands that the
 * model then has a counterexample.
 */
#ifndef TERMS
#define TERMS 3
#endif
#ifndef LEN
#define LEN 4
#endif
#define N 3
#define MAJORITY 2

/* Kinds of entries: the first of a term, a plain write, the request with an
 * id, and the tombstone that settles the id as not run. */
#define FIRST 0
#define PLAIN 1
#define REQUEST 2
#define TOMBSTONE 3

#define ENTRY(t, k) ((t) * 4 + (k))
#define TERM(e) ((e) / 4)
#define KIND(e) ((e) % 4)
#define AT(m, p) log[(m) * LEN + (p) - 1]
#define LASTTERM(m) (len[m] == 0 -> 0 : TERM(AT(m, len[m])))

byte log[N * LEN];
byte len[N];
byte fenced[N];
byte nonce[N];
byte leads[N];
byte follows[N];

/* What entry hosts last heard of each member. */
byte heardTerm[N];
byte heardLen[N];

/* Ghosts: the acknowledged entry at each position, and who led each term. */
byte acked[LEN];
byte led[TERMS + 1];
bool saidDone, saidNotRun;
byte tokenTerm, tokenPos;

byte i, n, p, prev, best;
bool found;

#define LEADS(m) (leads[m] != 0 && leads[m] == fenced[m])

/* Every acknowledged entry of an earlier term stands in m's log. */
inline checkLog(m) {
	p = 1;
	do
	:: p <= LEN ->
		assert(acked[p - 1] == 0 || TERM(acked[p - 1]) >= leads[m] || (p <= len[m] && AT(m, p) == acked[p - 1]));
		p++
	:: else -> break
	od;
	p = 0
}

/* The request runs at most once, and never with its tombstone. */
inline checkOnce(m) {
	n = 0; p = 1;
	do
	:: p <= len[m] ->
		if
		:: KIND(AT(m, p)) == REQUEST || KIND(AT(m, p)) == TOMBSTONE -> n++
		:: else
		fi;
		assert(!saidNotRun || KIND(AT(m, p)) != REQUEST || len[m] == 0 || !LEADS(m) || leads[m] < tombTerm);
		p++
	:: else -> break
	od;
	assert(n <= 1);
	n = 0; p = 0
}
byte tombTerm;

inline hasRecord(m) {
	found = false; p = 1;
	do
	:: p <= len[m] ->
		if
		:: KIND(AT(m, p)) == REQUEST || KIND(AT(m, p)) == TOMBSTONE -> found = true
		:: else
		fi;
		p++
	:: else -> break
	od;
	p = 0
}

/* write appends an entry on a member that takes itself for the primary. */
inline write(m, k) {
	d_step {
		found = false;
#ifndef NO_RECORD
		if
		:: k != PLAIN -> hasRecord(m)
		:: else
		fi;
#endif
		if
		:: !found ->
			AT(m, len[m] + 1) = ENTRY(leads[m], k);
			len[m] = len[m] + 1;
			checkOnce(m)
		:: else
		fi;
		found = false
	}
}

/* replicate is one step of the stream from the primary m to r. */
inline replicate(m, r) {
	d_step {
		fenced[r] = fenced[m]; leads[r] = 0; follows[r] = fenced[m];
		p = 1;
		do
		:: p <= len[r] && p <= len[m] && AT(r, p) == AT(m, p) -> p++
		:: else -> break
		od;
		if
		:: p <= len[r] -> /* a tail that the primary does not have */
			do
			:: len[r] >= p -> AT(r, len[r]) = 0; len[r] = len[r] - 1
			:: else -> break
			od
		:: p > len[r] && p <= len[m] ->
			AT(r, p) = AT(m, p); len[r] = p
		:: else
		fi;
		p = 0
	}
}

inline report(m) {
	d_step { heardTerm[m] = LASTTERM(m); heardLen[m] = len[m]
#ifdef NO_LAST_ENTRY_EVIDENCE
		; heardTerm[m] = fenced[m]
#endif
	}
}

/* FateOf in the core: an entry of term t is safe when a majority holds it
 * from t's own log. */
inline acknowledge(m) {
	d_step {
		n = 0; i = 0;
		do
		:: i < N ->
			if
			:: heardTerm[i] == heardTerm[m] && heardLen[i] >= heardLen[m] -> n++
			:: else
			fi;
			i++
		:: else -> break
		od;
		if
#ifdef NO_MAJORITY_ACK
		:: n >= 1 && heardLen[m] > 0 && LEADS(m) && heardTerm[m] == leads[m] ->
#else
		:: n >= MAJORITY && heardLen[m] > 0 && led[heardTerm[m]] != 0 ->
#endif
			best = led[heardTerm[m]] - 1;
			/* the answer is that of the term's own primary */
			p = heardLen[m];
			if
			:: leads[best] == heardTerm[m] && p <= len[best] ->
				if
				:: TERM(AT(best, p)) == heardTerm[m] ->
					assert(acked[p - 1] == 0 || acked[p - 1] == AT(best, p));
					acked[p - 1] = AT(best, p);
					if
					:: KIND(AT(best, p)) == REQUEST -> saidDone = true
					:: KIND(AT(best, p)) == TOMBSTONE -> saidNotRun = true; tombTerm = heardTerm[m]
					:: else
					fi;
					assert(!(saidDone && saidNotRun));
					tokenTerm = heardTerm[m]; tokenPos = p;
					/* no acknowledgement by an old primary */
					i = 0;
					do
					:: i < N ->
						assert(!LEADS(i) || leads[i] <= heardTerm[m] || (p <= len[i] && AT(i, p) == acked[p - 1]));
						i++
					:: else -> break
					od
				:: else
				fi
			:: else
			fi
		:: else
		fi;
		n = 0; i = 0; p = 0; best = 0
	}
}

/* prevOf finds the position before the first entry of m's last term. */
inline prevOf(m) {
	prev = len[m];
	do
	:: prev > 0 && TERM(AT(m, prev)) == LASTTERM(m) -> prev--
	:: else -> break
	od
}

/* read checks the session token on a member: if the rule of Satisfies lets
 * the read pass, the write that the token names must be there. */
inline read(m) {
	d_step {
		prevOf(m);
		p = tokenPos;
		if
		:: LASTTERM(m) > tokenTerm && prev < p -> p = prev
		:: else
		fi;
		if
#ifdef NO_TOKEN_TERM
		:: len[m] >= p ->
#else
		:: LASTTERM(m) >= tokenTerm && len[m] >= p ->
#endif
			assert(tokenPos <= len[m] && AT(m, tokenPos) == acked[tokenPos - 1])
		:: else
		fi;
		prev = 0; p = 0
	}
}

/* A token never waits for ever: the primary of a later term satisfies it,
 * also where it names a position that was lost. */
inline checkToken(m) {
	prevOf(m);
	i = 1;
	do
	:: i <= LEN ->
		p = i;
#ifndef NO_CLAMP
		if
		:: prev < p -> p = prev
		:: else
		fi;
#endif
		assert(len[m] >= p);
		i++
	:: else -> break
	od;
	prev = 0; p = 0; i = 0
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
		AT(0, 1) = ENTRY(1, FIRST); len[0] = 1;
		m = 0
	}
	run Promoter(1);
	run Promoter(2);
	do
	:: d_step {
		select_m:
		m = 0; r = 0
	   };
	   if :: m = 0 :: m = 1 :: m = 2 fi;
	   if
	   :: LEADS(m) && len[m] < LEN -> write(m, PLAIN)
	   :: LEADS(m) && len[m] < LEN -> write(m, REQUEST)
	   :: LEADS(m) && len[m] < LEN -> write(m, TOMBSTONE)
	   :: LEADS(m) ->
		if :: r = 0 :: r = 1 :: r = 2 fi;
		if
		:: r != m && fenced[r] <= fenced[m] && !(LEADS(r) && leads[r] == leads[m]) -> replicate(m, r)
		:: else
		fi
	   :: report(m)
	   :: heardLen[m] > 0 -> acknowledge(m)
	   :: tokenPos > 0 -> read(m)
	   fi
	od
}

/* Promoter is an entry host that replaces the primary. It may stop at any
 * step, and another may go on. */
proctype Promoter(byte id) {
	byte t, count, m, bestTerm, bestLen, bestM;
	bool got[N];
	t = 1;
	do
	:: t < TERMS ->
		t++;
		count = 0; bestTerm = 0; bestLen = 0; bestM = 0;
		got[0] = false; got[1] = false; got[2] = false;
		do
		:: count < N ->
			if :: m = 0 :: m = 1 :: m = 2 fi;
			d_step {
				if
#ifdef NO_NONCE
				:: !got[m] && fenced[m] <= t ->
#else
				:: !got[m] && (fenced[m] < t || (fenced[m] == t && nonce[m] == id)) ->
#endif
					if
					:: fenced[m] < t -> leads[m] = 0; follows[m] = 0
					:: else
					fi;
#ifndef NO_FENCE
					fenced[m] = t; nonce[m] = id;
#endif
					got[m] = true; count++;
					if
#ifdef NO_LAST_ENTRY_CHOICE
					:: count == 1 || len[m] > bestLen ->
#else
					:: count == 1 || LASTTERM(m) > bestTerm || (LASTTERM(m) == bestTerm && len[m] > bestLen) ->
#endif
						bestTerm = LASTTERM(m); bestLen = len[m]; bestM = m
					:: else
					fi
				:: else
				fi
			}
		:: count >= MAJORITY -> goto promote
		:: goto next
		od;
promote:
		d_step {
			if
#ifdef NO_FENCE
			:: len[bestM] < LEN && leads[bestM] < t ->
				fenced[bestM] = t;
#else
#ifdef NO_NONCE
			:: fenced[bestM] == t && follows[bestM] == 0 && len[bestM] < LEN ->
#else
			:: fenced[bestM] == t && nonce[bestM] == id && follows[bestM] == 0 && len[bestM] < LEN && leads[bestM] != t ->
#endif
#endif
				assert(led[t] == 0 || led[t] == bestM + 1);
				led[t] = bestM + 1;
				leads[bestM] = t;
				checkLog(bestM);
				AT(bestM, len[bestM] + 1) = ENTRY(t, FIRST);
				len[bestM] = len[bestM] + 1;
				checkOnce(bestM);
				checkToken(bestM)
			:: else
			fi
		};
next:		skip
	:: break
	od
}
