/*
 * Two operators concurrently change one client account's template. Answers of the
 * platform may be lost, and entry hosts read the template from the table and from
 * each other.
 *
 * Bounds: two operators with up to TRIES commit attempts each, two entry hosts.
 * Each NO_... macro removes one guard; spec/check.sh requires that the model then
 * has a counterexample.
 */
#ifndef TRIES
#define TRIES 3
#endif

byte version, value, revision;   /* the template's row in the table */
bool recorded[3];                /* the operator's change has an audit row; index 0 is unused */
byte appliedTimes[3];            /* ghost: how often the operator's change was applied */
byte base[3], tries[3];          /* version the change is based on; commit attempts */
bool told[3], toldNot[3];        /* ghost: the operator was told that the change was, or was not, applied */
byte hostRevision[2], hostValue[2];
byte sent[2], sentValue[2];      /* last message from the peer, which may be delivered late */
byte overwritten;                /* ghost: a change based on an outdated version was applied */

/* commit applies an operator's change at most once, and only if the row still has
 * the version that the change is based on. The answer may be lost, in which case
 * the operator retries. */
inline commit(me) {
	d_step {
		tries[me]++;
		if
#ifdef NO_OPERATION_ID
		:: version == base[me] || recorded[me] ->
#else
#ifdef NO_BASE_VERSION
		:: !recorded[me] ->
#else
		:: !recorded[me] && version == base[me] ->
#endif
#endif
			if
			:: version != base[me] && !recorded[me] -> overwritten = 1
			:: else
			fi;
			version++; revision++; value = me;
			recorded[me] = true; appliedTimes[me]++
		:: else
		fi
	}
}

proctype Operator(byte me) {
	base[me] = version;
	do
	:: tries[me] < TRIES && !told[me] && !toldNot[me] ->
		commit(me);
		if
		:: skip /* the answer is lost */
		:: d_step {
			if
			:: recorded[me] -> told[me] = true
			:: else -> toldNot[me] = true
			fi
		   }
		fi
	:: else -> break
	od
}

proctype Host(byte me) {
	do
	:: d_step { /* reads the table */
		hostRevision[me] = revision; hostValue[me] = value
	   }
	:: d_step { /* sends its state to the peer; the message may be delivered much later */
		sent[1 - me] = hostRevision[me]; sentValue[1 - me] = hostValue[me]
	   }
	:: d_step { /* receives the peer's message */
		if
#ifdef NO_REVISION_ORDER
		:: sent[me] > 0 ->
#else
		:: sent[me] > hostRevision[me] ->
#endif
			assert(sent[me] >= hostRevision[me]); /* a host never goes back to an older revision */
			hostRevision[me] = sent[me]; hostValue[me] = sentValue[me]
		:: else
		fi
	   }
	:: revision >= 2 && told[1] + toldNot[1] + told[2] + toldNot[2] == 2 -> break
	od
}

active proctype Check() {
	version = 1; revision = 1;
	run Operator(1);
	run Operator(2);
	run Host(0);
	run Host(1);
	do
	:: d_step {
		assert(appliedTimes[1] <= 1 && appliedTimes[2] <= 1);
		assert(!overwritten);
		assert(!toldNot[1] || appliedTimes[1] == 0);
		assert(!toldNot[2] || appliedTimes[2] == 0);
		assert(!told[1] || appliedTimes[1] == 1);
		assert(!told[2] || appliedTimes[2] == 1)
	   }
	:: told[1] + toldNot[1] + told[2] + toldNot[2] == 2 -> break
	od
}
