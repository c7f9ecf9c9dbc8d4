/*
 * The plan of roles of one service.
 *
 * Two entries want to be its planner. A lease may pass at any moment, so that
 * nothing here depends on time. The plan is written in one transaction with a
 * check of the lease. The answer to a write may be lost, and the write may take
 * effect after its planner has given up on it. Two readers carry out plans that
 * they read earlier.
 *
 * Broken variants: NOCHECK, NOREV, NODROP, NOREADBACK. REACH asks whether a
 * plan of the second holder is carried out.
 */
#define MAXEPOCH 2
#define MAXPLAN  3

byte leaseEpoch;
byte planNumber; /* revision of the plan */
byte planEpoch;  /* epoch of the planner that wrote it */

#ifdef NOCHECK
#define holds true
#else
#define holds (leaseEpoch == epoch)
#endif
#ifdef NOREV
#define unread true
#else
#define unread (planNumber == basis)
#endif

byte late; /* writes that were given up on */
byte started[2]; /* the newest plan that a sidecar has begun */

inline store(e, b) {
	assert(e >= planEpoch); /* a planner that lost its lease has no effect */
	assert(b == planNumber); /* no plan is overwritten unread */
	planNumber++;
	planEpoch = e
}

/* A write whose answer did not come in time. */
proctype Late(byte epoch, basis) {
	atomic { planNumber < MAXPLAN && holds && unread -> store(epoch, basis) }
}

proctype Entry() {
	byte epoch, basis, told, plans;
	do
	:: atomic { leaseEpoch < MAXEPOCH -> leaseEpoch++; epoch = leaseEpoch }
	:: epoch > 0 && plans < 2 ->
		plans++;
		/* A pause may come here or before the write. */
		basis = planNumber;
		assert(told <= basis); /* a plan that was called written stays */
		atomic {
			if
			:: planNumber < MAXPLAN && holds && unread ->
				store(epoch, basis);
				told = planNumber
#ifdef NOREADBACK
			:: planNumber < MAXPLAN ->
				/* The answer is lost before the write and taken for a success. */
				told = basis + 1;
				assert(told <= planNumber)
#endif
			:: true -> told = 0 /* refused: read again before the next plan */
			:: late < 1 -> late++; told = 0; run Late(epoch, basis)
			fi
		}
	:: break
	od
}

proctype Sidecar(byte me) {
	byte got, n;
	do
	:: got = planNumber; /* an answer that may be used much later */
		if
		:: n < 2 -> n++
		:: else -> break
		fi;
		atomic {
			if
#ifndef NODROP
			:: got <= started[me] -> skip
#endif
			:: else ->
				assert(got >= started[me]); /* no order of an outdated plan */
				started[me] = got
			fi
		};
#ifdef REACH
		assert(!(planEpoch >= 2 && started[me] >= 2))
#endif
	od
}

/* A second reader of the same sidecar: an answer that overtakes another. */
proctype Reader(byte me) {
	byte got;
	got = planNumber;
	atomic {
		if
#ifndef NODROP
		:: got <= started[me] -> skip
#endif
		:: else -> assert(got >= started[me]); started[me] = got
		fi
	}
}

init { atomic { run Entry(); run Entry(); run Sidecar(0); run Reader(0) } }
