/*
 * One non-idempotent request, sent up to three times with one idempotency key
 * through three entries.
 *
 * Any entry may die between two statements or stop for as long as the checker
 * likes. The answer of the table may be lost after or before the write took
 * effect, and the read that should settle it may fail too. An attempt may be
 * delivered late, twice or never; the entry may see its connection cut at any
 * moment. The first entry knows from its caller that the key is new.
 *
 * Broken variants: CLAIMAFTERSEND, NOREADBACK, RETRYAFTERCUT, NOTRUNBLIND,
 * NOTRUNONCUT, NOCONDITION, DONEANYWAY, NOMEMORY, FORGETREFUSED. REACH asks
 * whether a retry is answered from the record.
 */
#define ASKS 3
#define NOBODY 9

mtype = { none, claimed, finished, notRun, unknown };
mtype = { pending, answered, refused, cut };

mtype rec = none;
byte owner = NOBODY;
bool past;      /* the deadline of the claim is over */
byte runs;      /* ghost: how often the work ran */

bool wire[4];   /* attempt 0..2 by entry, 3 is a second attempt of entry 0 */
bool copy[4];   /* the network holds a second copy */
bool known[4];  /* the sidecar remembers the attempt */
mtype result[4] = pending;

bool lateClaim[ASKS]; /* a claim that its entry gave up on may still arrive */

byte copies, lateClaims; /* one of each is enough to find what they break */

bool toldUnknown;
bool abandoned[ASKS], ended[ASKS];

inline judge(a) {
	if
#ifndef NOMEMORY
	:: known[a] -> skip /* duplicate attempt */
#endif
	:: else ->
		if
		:: runs++; assert(runs <= 1); known[a] = true;
			if :: result[a] == pending -> result[a] = answered :: else fi
		:: /* the sidecar refuses before it touches the endpoint */
#ifndef FORGETREFUSED
			known[a] = true;
#endif
			if :: result[a] == pending -> result[a] = refused :: else fi
		fi
	fi
}

active proctype Sidecar() {
	do
	:: atomic { wire[0] -> wire[0] = false; judge(0) }
	:: atomic { wire[1] -> wire[1] = false; judge(1) }
	:: atomic { wire[2] -> wire[2] = false; judge(2) }
	:: atomic { wire[3] -> wire[3] = false; judge(3) }
	:: atomic { copy[0] -> copy[0] = false; judge(0) }
	:: atomic { copy[1] -> copy[1] = false; judge(1) }
	:: atomic { copy[2] -> copy[2] = false; judge(2) }
	:: atomic { copy[3] -> copy[3] = false; judge(3) }
	od
}

inline land(i) {
	atomic {
		lateClaim[i] ->
		lateClaim[i] = false;
		if
		:: rec == none || rec == notRun -> rec = claimed; owner = i; past = false
		:: else
		fi
	}
}

active proctype Network() {
	do :: land(0) :: land(1) :: land(2) od
}

active proctype Clock() {
	do :: atomic { rec == claimed && !past -> past = true } od
}

/* Whether an attempt other than a may still reach an endpoint, copies that the
   sidecar will refuse left out. */
#define live(a) ((wire[a] || copy[a]) && !known[a])
#define inFlight (live(0) || live(1) || live(2) || live(3))

/* True of the key, not only of this sending. Only where a caller gave up on an
   earlier sending that is still under way may that one run afterwards. */
#define pendingElsewhere ((me != 0 && abandoned[0] && !ended[0]) || (me != 1 && abandoned[1] && !ended[1]))

inline tellNotRun(me) {
	atomic {
		assert(abandoned[me] || excused || (runs == 0 && !inFlight));
		ended[me] = true;
		goto end
	}
}
inline tellUnknown(me) { atomic { toldUnknown = true; ended[me] = true; goto end } }
inline tellDone(me) {
	atomic { assert(runs == 1); assert(!toldUnknown); ended[me] = true; goto end }
}
inline tellLater(me) { atomic { ended[me] = true; goto end } } /* nothing is said of the outcome */

inline send(a) {
	atomic { wire[a] = true; if :: copies < 1 -> copies++; copy[a] = true :: skip fi };
	if
	:: result[a] == answered
	:: result[a] == refused
	:: atomic { result[a] == pending -> result[a] = cut }
	fi
}

/* Stores the end of the claim; ok says what is known of it. */
inline finish(me, to) {
	if
	:: atomic { rec == claimed && owner == me -> rec = to; ok = 1 }
#ifdef NOCONDITION
	:: atomic { !(rec == claimed && owner == me) -> rec = to; ok = 1 }
#else
	:: !(rec == claimed && owner == me) -> ok = 0
#endif
	:: atomic { rec == claimed && owner == me -> rec = to; ok = 2 } /* the answer is lost */
	:: ok = 2 /* never arrived */
	fi;
	if
	:: ok == 2 ->
		if
		:: atomic { rec == to && owner == me -> ok = 1 }
		:: atomic { rec != claimed && !(rec == to && owner == me) -> ok = 0 }
		:: skip /* cannot be read */
		fi
	:: else
	fi
}

proctype Entry(byte me) {
	byte ok;
	bool excused = pendingElsewhere;
#ifdef CLAIMAFTERSEND
		if :: rec == none -> send(me) :: else fi;
#endif
		/* Claim: put if the key is free or its record says not run. */
		if
		:: atomic { rec == none || rec == notRun -> rec = claimed; owner = me; past = false; ok = 1 }
		:: !(rec == none || rec == notRun) -> ok = 0
		:: atomic { rec == none || rec == notRun -> rec = claimed; owner = me; past = false; ok = 2 }
		:: atomic { ok = 2; if :: lateClaims < 1 -> lateClaims++; lateClaim[me] = true :: skip fi }
		fi;
		if
		:: ok == 2 ->
#ifdef NOREADBACK
			ok = 1; /* no answer is taken for a success */
#else
			if
			:: atomic { rec == claimed && owner == me -> ok = 1 }
			:: atomic { owner != me && rec != none && rec != notRun -> ok = 0 }
			:: true -> /* not known: this entry will never send */
#ifndef NOTRUNBLIND
				if :: me != 0 -> tellLater(me) :: else fi;
#endif
				tellNotRun(me)
			fi
#endif
		:: else
		fi;

		if
		:: ok == 0 -> /* somebody else's record */
follow:			if
			:: rec == finished ->
#ifdef REACH
				assert(false);
#endif
				tellDone(me)
			:: rec == unknown -> tellUnknown(me)
			:: atomic { rec == claimed && past -> rec = unknown }; tellUnknown(me)
			:: tellLater(me) /* in progress, or the store is down */
			fi
		:: else
		fi;

		/* The claim is ours. */
#ifndef CLAIMAFTERSEND
		send(me);
#endif
#ifdef RETRYAFTERCUT
		if :: me == 0 && result[0] == cut -> send(3); result[0] = result[3] :: else fi;
#endif
#ifdef NOTRUNONCUT
		if :: result[me] == cut -> result[me] = refused :: else fi;
#endif
		if
		:: result[me] == answered ->
			finish(me, finished);
			if
			:: ok == 1 -> tellDone(me)
			:: ok == 0 -> goto follow /* somebody wrote unknown */
#ifdef DONEANYWAY
			:: ok == 2 -> tellDone(me)
#else
			/* Before the deadline nobody can have said unknown. */
			:: atomic { ok == 2 && !past -> tellDone(me) }
			:: ok == 2 -> tellLater(me)
#endif
			fi
		:: result[me] == refused ->
			finish(me, notRun);
			if
			:: ok == 0 -> goto follow
			:: else -> tellNotRun(me)
			fi
		:: result[me] == cut ->
			finish(me, unknown);
			if
			:: ok == 0 -> goto follow
			:: ok == 1 -> tellUnknown(me)
			:: ok == 2 -> tellLater(me)
			fi
		fi
end:
	skip
}

/* Whether an entry died cannot be seen: it is one that never goes on. */

/* The caller: a retry follows an end, or the caller gives up on the one before. */
init {
	run Entry(0);
	if :: ended[0] :: abandoned[0] = true fi;
	run Entry(1);
	if :: ended[1] :: abandoned[1] = true fi;
	run Entry(2)
}
