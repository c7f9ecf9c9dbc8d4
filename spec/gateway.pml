/*
 * One request that must not run twice, sent by its caller through gateways
 * without sidecars. Its caller sends it again, under another identifier, only
 * after a refusal, and at most twice.
 *
 * A gateway tries up to three endpoints. An attempt may find no connection, be
 * refused by an endpoint that says so, be refused by something that does not
 * say so, break before or after it has run, run long after its connection broke,
 * or be held until the deadline. A prompt may be read by another endpoint first,
 * which runs nothing; its handle may be gone. A gateway may die at any moment:
 * its caller sees the connection close and does not send again.
 *
 * Broken variants: REPEATBROKEN, REPEATBARE, REFUSEBROKEN, REFUSEATDEADLINE,
 * REFUSELOST, READRUNS. REACH asks whether a request that was refused is served
 * when it comes back; REACHMOVED whether a lost handle leads to an answer.
 */
#define SENDINGS 2
#define TRIES 3

mtype = { open, served, refused, failed, closed };

mtype told = open; /* what the caller saw of its last sending */
byte runs;         /* ghost: how often the work ran */
byte late;         /* attempts whose connection is gone and that may still run */
bool promised;     /* the caller was told that the request has not run */
bool moved;        /* a handle was lost on the way */

inline work() { atomic { runs++; assert(runs <= 1); assert(!promised) } }

/* What is on the wire, or in an endpoint's queue, may run whenever it likes. */
active proctype Network() {
	do
	:: atomic { late > 0 -> late--; if :: work() :: skip fi }
	:: atomic { told != open && late == 0 -> break }
	od
}

active proctype Caller() {
	byte sending, tries;
	bool spent;  /* an attempt may have run: no other is made */
	bool bare;   /* refused by something that proves nothing */
	bool handle; /* the prompt was read for this attempt */
sent:
	sending++;
	atomic { told = open; promised = false; tries = 0; spent = false; bare = false; handle = false }
	do
	:: tries == TRIES || spent -> break
	:: tries < TRIES && !spent ->
		tries++;
		if /* a prompt may be read elsewhere first */
		:: handle = true;
#ifdef READRUNS
			work()
#endif
		:: skip
		fi;
		if
		:: skip /* no connection: nothing was sent */
		:: skip /* refused, and said so */
		:: handle -> handle = false; moved = true /* cannot be fetched: not run, and said so */
		:: bare = true; /* refused by something on the way */
			if :: late++ :: skip fi;
#ifndef REPEATBARE
			spent = true
#endif
		:: /* the connection breaks */
			if :: work() :: late++ :: skip fi;
#ifdef REFUSELOST
			bare = true;
#endif
#ifndef REPEATBROKEN
			spent = true
#endif
		:: /* held until the deadline */
			if :: work() :: late++ :: skip fi;
#ifdef REFUSEATDEADLINE
			atomic { told = refused; promised = true }; goto answered
#else
			told = failed; goto answered
#endif
		:: work(); told = served; goto answered
		:: told = closed; goto answered /* the gateway dies */
		:: /* it dies after it has sent */
			if :: work() :: late++ :: skip fi;
			told = closed; goto answered
		fi
	od;
	if
#ifndef REFUSEBROKEN
	:: spent ->
#ifdef REFUSELOST
		if :: bare -> atomic { told = refused; promised = true } :: else -> told = failed fi
#else
		told = failed
#endif
	:: else -> atomic { told = refused; promised = true }
#else
	:: true -> atomic { told = refused; promised = true }
#endif
	fi;
answered:
	if
	:: told == refused -> assert(runs == 0)
	:: else
	fi;
	if
	:: told == refused && sending < SENDINGS -> goto sent
	:: else
	fi;
#ifdef REACH
	assert(!(told == served && sending == SENDINGS))
#endif
#ifdef REACHMOVED
	assert(!(told == served && moved))
#endif
}
