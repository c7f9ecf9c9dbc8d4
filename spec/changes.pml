/*
 * What three gateways hold of a configuration of two parts, as one reads the store
 * and all hand changes on to one another.
 *
 * The store has three versions: the second changes a part, the third changes it back
 * and changes the other. The reader reads the whole of the newest, and may miss the
 * second. A gateway asks any other that has a newer version, and is handed the parts
 * that this one saw change after the asker's version, with a digest of all parts, or
 * the whole. It takes the answer whenever the checker likes, when it may hold something
 * else by then, or loses it. A gateway may start anew and know nothing.
 *
 * What must hold: whoever holds a version holds the parts of that version, and its
 * version grows until it starts anew. Broken variants: NODIGEST (changes are taken
 * wherever they lead), NOVERSION (an answer that is older by now is taken), NOPAST (what
 * was taken from a peer is not remembered as changed, and no digest is compared).
 * REACH asks whether a gateway holds the third version by changes alone.
 */
#define GATEWAYS 3
#define LAST 3
#define first_part(v) (v == 2 -> 1 : 0)
#define other_part(v) (v == 3 -> 1 : 0)

byte newest = 1; /* of the store */

byte ver[GATEWAYS], a[GATEWAYS], b[GATEWAYS];
byte since[GATEWAYS];                 /* the first version held; zero: none */
byte changedA[GATEWAYS], changedB[GATEWAYS]; /* the version in which it was seen */
bool whole[GATEWAYS];                 /* ghost: a whole was taken after the first version */

inline hold(me, v, na, nb, seen) {
	if
	:: since[me] == 0 -> since[me] = v
	:: else ->
		if :: seen && na != a[me] -> changedA[me] = v :: else fi;
		if :: seen && nb != b[me] -> changedB[me] = v :: else fi
	fi;
	ver[me] = v; a[me] = na; b[me] = nb;
	assert(na == first_part(v) && nb == other_part(v))
}

active proctype Operator() {
	do
	:: newest < LAST -> newest++
	:: newest == LAST -> break
	od
}

/* Reads the store for the first gateway, beside its questions. */
active proctype Reader() {
	byte v;
	do
	:: atomic { ver[0] < newest -> v = newest; hold(0, v, first_part(v), other_part(v), true); v = 0 }
	:: break
	od
}

proctype Gateway(byte me) {
	byte v, na, nb, after, digest, starts, from;
	bool hasA, hasB;
	do
	:: atomic {
			if :: from = 0 :: from = 1 :: from = 2 fi;
			from != me && ver[from] > ver[me] ->
			v = ver[from]; na = a[from]; nb = b[from]; digest = na + 2 * nb;
			if
			:: since[from] != 0 && ver[me] >= since[from] ->
				after = ver[me]; hasA = changedA[from] > after; hasB = changedB[from] > after
			:: else -> after = 0
			fi
		};
		if
		:: skip /* the answer is lost */
		:: atomic {
				if
#ifdef NOVERSION
				:: after == 0 ->
#else
				:: after == 0 && v > ver[me] ->
#endif
					assert(v >= ver[me]);
					if :: ver[me] > 0 -> whole[me] = true :: else fi;
					hold(me, v, na, nb, true)
				:: after > 0 && after <= ver[me] && v > ver[me] ->
					if :: !hasA -> na = a[me] :: else fi;
					if :: !hasB -> nb = b[me] :: else fi;
					if
#if defined(NODIGEST) || defined(NOPAST)
					:: true ->
#else
					:: na + 2 * nb == digest ->
#endif
#ifdef NOPAST
						hold(me, v, na, nb, false);
#else
						hold(me, v, na, nb, true);
#endif
#ifdef REACH
						assert(!(me == 2 && v == LAST && since[me] == 1 && !whole[me]))
#endif
					:: else -> /* the whole is asked for */
						if
						:: ver[from] > ver[me] ->
							whole[me] = true;
							hold(me, ver[from], a[from], b[from], true)
						:: else
						fi
					fi
				:: else
				fi
			}
		fi;
		atomic { v = 0; na = 0; nb = 0; after = 0; digest = 0; hasA = false; hasB = false; from = 0 }
	:: me != 1 && starts < 1 ->
		atomic {
			starts++; ver[me] = 0; a[me] = 0; b[me] = 0; since[me] = 0;
			changedA[me] = 0; changedB[me] = 0; whole[me] = false
		}
	:: break
	od
}

init { atomic { run Gateway(0); run Gateway(1); run Gateway(2) } }
