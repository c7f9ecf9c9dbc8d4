/*
 * Orders to one engine across a change of sidecar.
 *
 * Two sidecars want authority over the same engine. Either may be killed, and
 * either may stop between any two statements for as long as the checker likes,
 * which is what a paused process looks like. The engine may sleep and may
 * crash in the middle of a change. Time passes in ticks: a sidecar compares
 * only its own timers, and an order stays unread for at most FLIGHT ticks of an
 * awake engine.
 *
 * -DCHECKS   the engine refuses an order with an old fencing number.
 *            Otherwise it ignores the number, and the sidecars use the order
 *            guard and the settle wait before they take the lease.
 * -DFORGETS  an engine that crashes forgets the number and the ids it has seen.
 * -DGUARD    with CHECKS: the sidecars use the guard and the wait as well.
 *
 * Broken variants: NOFENCE, NORAISE, NOGUARD, NOWAIT, NOPROBE, NOREADBACK,
 * FROMANSWER. REACH asks whether a successor gets its orders through at all.
 */
#define LEASE   1
#define FLIGHT  1
#if !defined(CHECKS) && !defined(NOGUARD)
#define GUARD
#endif
#if defined(CHECKS) && !defined(GUARD)
#define CAP     2
#define SLEEPS  0 /* the fence needs no bound on the flight */
#else
#define CAP     3
#define SLEEPS  1
#endif
#define NOBODY  2
#define SLOTS   6 /* per sidecar: raise of the fence, first order, second order */

byte recHolder = NOBODY; /* the lease record in the table */
byte recEpoch;
byte recRev;

/* Timers stop at CAP and rest there while nobody reads them. */
byte own[2] = CAP;     /* ticks since before the last good write was sent */
byte sent[2] = CAP;    /* ticks since the running write was sent */
byte seen[2] = CAP;    /* ticks since the record was first seen unchanged */
byte settled[2] = CAP; /* ticks counted by the settle wait */
bool settling[2];
bool killed[2];
byte guard = NOBODY;

bool there[SLOTS]; /* on the wire or unread in the engine's socket buffers */
byte age[SLOTS];
byte epochOf[SLOTS];
bool acked[SLOTS];
bool done[SLOTS]; /* ids that the engine has carried out */

bool awake = true;
bool changing;
byte running;
byte fence;
byte authority; /* ghost: the highest epoch whose holder may rely on it */
byte sleeps, crashes;

inline deliver(s) {
	atomic {
		awake && there[s] ->
		there[s] = false;
		age[s] = 0;
		if
#if defined(CHECKS) && !defined(NOFENCE)
		:: epochOf[s] < fence -> skip /* refused */
#endif
		:: else ->
			if :: epochOf[s] > fence -> fence = epochOf[s] :: else fi;
			if
			:: s % 3 == 0 || done[s] -> acked[s] = true
			:: else ->
				assert(epochOf[s] >= authority); /* lost authority has no effect */
				assert(!changing || running == s); /* no conflicting orders */
				changing = true;
				running = s
			fi
		fi
	}
}

#define lose(s) there[s] = false; age[s] = 0

active proctype Engine() {
	do
	:: deliver(0)
	:: deliver(1)
	:: deliver(2)
	:: deliver(3)
	:: deliver(4)
	:: deliver(5)
	:: atomic { awake && changing -> changing = false; done[running] = true; acked[running] = true }
	:: atomic { changing && crashes < 1 ->
		crashes++;
		changing = false;
#ifdef FORGETS
		fence = 0;
		done[1] = false; done[2] = false; done[4] = false; done[5] = false;
#endif
		lose(0); lose(1); lose(2); lose(3); lose(4); lose(5) }
	:: atomic { awake && sleeps < SLEEPS -> sleeps++; awake = false }
	:: atomic { !awake -> awake = true }
	od
}

#if defined(CHECKS) && !defined(GUARD)
#define late(s) false
#define grow(s) skip
#else
#define late(s) (awake && there[s] && age[s] >= FLIGHT)
#define grow(s) if :: awake && there[s] -> age[s]++ :: else -> age[s] = age[s] fi
#endif
#define bump(x) if :: x < CAP -> x++ :: else fi

inline tickOf(i) {
	bump(own[i]);
	bump(sent[i]);
	bump(seen[i]);
	if
#ifndef NOPROBE
	:: !awake && settling[i] -> settled[i] = 0 /* the probe is late: start again */
#endif
	:: else -> bump(settled[i])
	fi
}

active proctype Clock() {
	do
	:: d_step {
		!(late(0) || late(1) || late(2) || late(3) || late(4) || late(5)) ->
		grow(0); grow(1); grow(2); grow(3); grow(4); grow(5);
		tickOf(0);
		tickOf(1) }
	od
}

active proctype Killer() {
	if :: killed[0] = true :: killed[1] = true fi
}

inline put(s) {
	atomic { there[s] = true; age[s] = 0; epochOf[s] = epoch }
}

inline renew() {
	d_step { sent[me] = 0 };
	atomic {
		if
		:: recHolder == me && recEpoch == epoch -> recRev++
		:: else -> goto lost
		fi
	};
	renewals++;
#ifdef FROMANSWER
	d_step { own[me] = 0; sent[me] = CAP }
#else
	d_step { own[me] = sent[me]; sent[me] = CAP }
#endif
}

proctype Sidecar(byte me) {
	byte epoch, rev, k = 1, renewals, tries;
	{
#ifdef GUARD
		atomic { guard == NOBODY -> guard = me };
#ifndef NOWAIT
		d_step { settling[me] = true; settled[me] = 0 };
		atomic { settled[me] > FLIGHT + 1 -> settling[me] = false };
#endif
#endif
		epoch = 0;
acquire:	if
		:: atomic { recHolder == NOBODY -> rev = recRev }
		:: else ->
			atomic { rev = recRev; seen[me] = 0 };
			seen[me] > LEASE
		fi;
		d_step { seen[me] = CAP; sent[me] = 0 };
		atomic {
			if
			:: recRev == rev ->
				recHolder = me;
				recEpoch++;
				recRev++;
				epoch = recEpoch;
#if defined(GUARD) || !defined(CHECKS)
				authority = epoch
#endif
			:: else -> goto acquire
			fi
		};
#ifdef FROMANSWER
		d_step { own[me] = 0; sent[me] = CAP };
#else
		d_step { own[me] = sent[me]; sent[me] = CAP };
#endif
#if defined(CHECKS) && !defined(NORAISE)
		put(me * 3);
		do
		:: atomic { acked[me * 3] -> if :: epoch > authority -> authority = epoch :: else fi; break }
		:: tries < 1 -> tries++; put(me * 3)
		od;
#endif
		do
		:: k <= 2 ->
			atomic {
				if
				:: own[me] < LEASE -> assert(recHolder == me && recEpoch == epoch)
				:: else -> goto lost
				fi
			};
#ifndef NOREADBACK
			awake && !changing;
#endif
			put(me * 3 + k);
			tries = 0;
			do
			:: acked[me * 3 + k] -> break
#ifdef NOREADBACK
			:: true -> break /* a timeout is taken for an end */
#else
			:: tries < 1 && awake && !changing && !done[me * 3 + k] -> tries++; put(me * 3 + k)
#endif
			od;
			k++
		:: renewals < 1 -> renew()
		:: k > 2 -> break
		od;
#ifdef REACH
		assert(!(done[1] && done[4] && done[5]));
#endif
	}
	unless { killed[me] };
lost:
	atomic {
		own[me] = CAP; sent[me] = CAP; seen[me] = CAP; settled[me] = CAP; settling[me] = false;
		if :: guard == me -> guard = NOBODY :: else fi
	}
}

init { atomic { run Sidecar(0); run Sidecar(1) } }
