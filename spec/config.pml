/*
 * Accepted configurations, in force and never reverting.
 *
 * Two operators race for the next version; the answer to a write may be lost
 * after it took effect. Daemon 0 is listed as live, daemon 1 starts and is not
 * listed yet. Each reads the log or a peer, may stop before it applies
 * what it read, and serves requests. Time passes in ticks; a daemon whose
 * evidence of freshness is FRESH ticks old refreshes it before it serves, or,
 * when nothing answers, goes on only if it has served before.
 *
 * Broken variants: APPLYOLDER, NOCONFIRM, NOWAIT, NOEVIDENCE, STARTBLIND,
 * NOREADBACK, NOCONDITION. REACH asks whether the second version is in force.
 */
#define MAXV  2
#define FRESH 1
#define CAP   1

byte newest;          /* version in the table */
byte writer[3];       /* operator that wrote a version */
byte sinceAccept;     /* ticks since newest was written */
byte inForce;         /* told to an operator */

byte cur[2];
byte evidence[2] = CAP; /* ticks since the read that proves cur */
byte reading[2] = CAP;  /* ticks since the running read of a reader was sent */

#define bump(x) if :: x < CAP -> x++ :: else fi

active proctype Clock() {
	do
	:: d_step {
		sinceAccept < CAP || evidence[0] < CAP || evidence[1] < CAP ||
			reading[0] < CAP || reading[1] < CAP ->
		bump(sinceAccept);
		bump(evidence[0]); bump(evidence[1]);
		bump(reading[0]); bump(reading[1]) }
	od
}

inline apply(me, got, age) {
	atomic {
		if
		:: got > cur[me] -> cur[me] = got; evidence[me] = age
		:: got == cur[me] && age < evidence[me] -> evidence[me] = age
#ifdef APPLYOLDER
		:: got < cur[me] -> cur[me] = got; evidence[me] = age
#endif
		:: else
		fi
	}
}

/* A poll. A refresh of the same daemon may overtake it. */
proctype Reader(byte me) {
	byte got, age;
	atomic {
		if
		:: got = newest; age = 0
		:: me == 1 && cur[0] > 0 -> got = cur[0]; age = evidence[0] /* a peer, with its age */
		fi;
		reading[me] = 0
	};
	/* The age counts from before the read was sent. */
	atomic { age = age + reading[me]; reading[me] = CAP; if :: age > CAP -> age = CAP :: else fi; apply(me, got, age) }
}

proctype Daemon(byte me) {
	byte n, got;
	do
	:: n < 2 -> n++;
		atomic {
			if
#ifndef NOEVIDENCE
			:: evidence[me] >= FRESH ->
				if
				:: got = newest; apply(me, got, 0)
				:: skip /* neither table nor peer answers */
				fi
#endif
			:: else
			fi;
			if
#if !defined(STARTBLIND) && !defined(NOEVIDENCE)
			:: me == 1 && evidence[me] >= FRESH -> skip /* has never served: not ready */
#endif
			:: else ->
				if :: cur[me] > 0 -> assert(cur[me] >= inForce) :: else fi
			fi
		}
	:: break
	od
}

proctype Operator(byte me) {
	byte base, v, ok;
	base = newest;
	v = base + 1;
	if
	:: v > MAXV -> goto end
	:: else
	fi;
	atomic {
		if
#ifdef NOCONDITION
		:: true -> newest = v; writer[v] = me; sinceAccept = 0; ok = 1
#else
		:: newest == base -> newest = v; writer[v] = me; sinceAccept = 0; ok = 1
		:: newest == base -> newest = v; writer[v] = me; sinceAccept = 0; ok = 2
#endif
		:: newest != base -> ok = 0
		fi
	};
	if
	:: ok == 2 ->
#ifdef NOREADBACK
		ok = 0 /* the repeated write finds its own item and calls it a conflict */
#else
		if :: writer[v] == me -> ok = 1 :: else -> ok = 0 fi
#endif
	:: else
	fi;
	if
	:: ok == 0 -> assert(writer[v] != me); goto end /* told of the conflict */
	:: else -> assert(writer[v] == me) /* told that it is accepted */
	fi;
#ifndef NOCONFIRM
	cur[0] >= v;
#endif
	atomic {
#ifndef NOWAIT
		(newest > v || sinceAccept >= FRESH) ->
#endif
		if :: v > inForce && newest == v -> inForce = v :: else fi
	};
#ifdef REACH
	assert(inForce < 2);
#endif
end:
	skip
}

init {
	atomic {
		newest = 0;
		run Operator(1); run Operator(2);
		run Reader(0); run Reader(1);
		run Daemon(0); run Daemon(1)
	}
}
