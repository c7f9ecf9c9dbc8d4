/*
 * What two gateways know of one endpoint and of the routes: from the store, and
 * from each other while the store does not answer them.
 *
 * The store gives each state a version. The endpoint announces that it leaves;
 * an older write of its own may take effect after that, with a newer version of
 * the store and a smaller sequence number of the endpoint. The operator changes
 * the routes once. A gateway may lose the store and find it again, read what the
 * store holds, keep an answer for as long as the checker likes before it takes
 * it, ask the other gateway, or start anew and know nothing.
 *
 * What must hold: a gateway that has taken the leaving sends the endpoint nothing
 * more, and one that has taken routes never follows older ones, until it starts
 * anew. Broken variants: NOVERSION (what a peer hands on is taken whatever its
 * version), NOSEQUENCE (a smaller sequence number is taken), NOROUTEVERSION.
 * REACH asks whether a gateway that the store never answered learns from its peer.
 */
#define GATEWAYS 2

/* The store. */
byte version = 1;
byte sequence = 1; /* of the endpoint's entry; zero: there is none */
bool leaves;       /* what the entry says */
byte routes = 1;

/* The gateways. */
byte knows[GATEWAYS];    /* the store's version of the list; zero: nothing */
byte seen[GATEWAYS];     /* the endpoint's sequence number */
bool leaving[GATEWAYS];  /* the endpoint is not sent to */
byte follows[GATEWAYS];  /* routes; zero: none */
bool answers[GATEWAYS];  /* the store answers this gateway */

/* Ghosts. */
bool took[GATEWAYS];     /* the leaving was taken since the start */
byte newest[GATEWAYS];   /* routes taken since the start */
bool asked[GATEWAYS];    /* the store has answered since the start */

inline take(me, v, s, l, r, peer) {
	if
#ifdef NOVERSION
	:: v > 0 && (peer || v >= knows[me]) ->
#else
	:: v > 0 && v >= knows[me] ->
#endif
		knows[me] = v;
		if
		:: s == 0 -> seen[me] = 0; leaving[me] = true /* no entry any more */
#ifndef NOSEQUENCE
		:: s > 0 && s < seen[me] -> skip
#endif
		:: else -> seen[me] = s; leaving[me] = l
		fi
	:: else
	fi;
	if
#ifdef NOROUTEVERSION
	:: r > 0 -> follows[me] = r
#else
	:: r > follows[me] -> follows[me] = r
#endif
	:: else
	fi;
	if :: leaving[me] -> took[me] = true :: else fi;
	if :: follows[me] > newest[me] -> newest[me] = follows[me] :: else fi;
	assert(!took[me] || leaving[me]);
	assert(follows[me] == newest[me]);
#ifdef REACH
	assert(!(peer && !asked[me] && follows[me] == 2 && leaving[me]))
#endif
}

active proctype World() {
	bool late; /* a write of the endpoint is under way that says: ready */
	if :: late = true :: skip fi;
	atomic { sequence = 2; leaves = true; version++ };
	if
	:: late -> atomic { sequence = 1; leaves = false; version++ };
		atomic { sequence = 3; leaves = true; version++ }
	:: else
	fi;
	atomic { routes = 2; version++ };
	atomic { sequence = 0; version++ } /* the entry is removed */
}

proctype Gateway(byte me) {
	byte v, s, r, other = 1 - me, starts;
	bool l;
	do
	:: atomic { answers[me] = !answers[me] }
	:: answers[me] ->
		atomic { v = version; s = sequence; l = leaves; r = routes; asked[me] = true };
		atomic { take(me, v, s, l, r, false); v = 0; s = 0; l = false; r = 0 }
	:: !answers[me] && knows[other] > 0 ->
		atomic { knows[other] > 0 -> v = knows[other]; s = seen[other]; l = leaving[other]; r = follows[other] };
		atomic { take(me, v, s, l, r, true); v = 0; s = 0; l = false; r = 0 }
	:: starts < 1 ->
		atomic {
			starts++; knows[me] = 0; seen[me] = 0; leaving[me] = false; follows[me] = 0;
			took[me] = false; newest[me] = 0; asked[me] = false
		}
	:: break
	od
}

init { atomic { run Gateway(0); run Gateway(1) } }
