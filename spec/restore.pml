/*
 * A lease in a table that comes back from an older copy.
 *
 * Two processes want the lease; each may stop between any two statements. The table
 * keeps one record under a revision. A copy of it is taken once, and the table comes
 * back from it up to twice: what was written since is gone, and revisions and epochs
 * are given out again. Each answer shows the table's generation. Time passes in ticks;
 * a process compares only its own timers.
 *
 * Broken variants: NOGENERATION (the number is the epoch alone), NOSETTLE (no wait after
 * a new generation), NORESET (a revision that was seen before a restore counts as seen
 * since), NOFRESH (one that starts waits for nothing), NOSAME (an acquisition
 * counts whatever the generation was at its read). REACH asks whether the lease is
 * acquired after both restores.
 */
#define TERM   2
#define CAP    3
#define STEP   8 /* more than the tenures of one generation here */
#define LAST   3 /* epochs that are played, in each generation */
#define WRITES 3 /* revisions that are played */
#define NOBODY 2
#define NONE   255

byte holder = NOBODY, rev, epoch, generation = 1;
byte copyHolder = NOBODY, copyRev, copyEpoch;
bool copied;
byte restores;
byte given; /* ghost: the highest number that a holder has had */

bool holds[2];
byte mine[2];          /* the revision that the holder wrote */
byte known[2];         /* the newest generation that an answer has shown; 0 before the first */
byte own[2] = CAP;     /* ticks since before the last good write was sent */
byte sent[2] = CAP;    /* ticks since the running write was sent */
byte seen[2] = CAP;    /* ticks since the record was first seen unchanged */
byte seenRev[2];
byte settled[2] = CAP; /* ticks since a new generation was seen */

#define valid(i) (holds[i] && own[i] < TERM)
#define bump(x) if :: x < CAP -> x++ :: else fi

inline look(i, shown) {
	changed = false;
	if
	:: shown != known[i] ->
#ifdef NOFRESH
		changed = known[i] != 0;
#else
		changed = known[i] != 0 || shown > 1;
#endif
		known[i] = shown;
		if
		:: changed ->
			holds[i] = false;
#ifndef NORESET
			seenRev[i] = NONE;
#endif
#ifndef NOSETTLE
			settled[i] = 0
#endif
		:: else
		fi
	:: else
	fi
}

active proctype Platform() {
	do
	:: atomic { !copied -> copyHolder = holder; copyRev = rev; copyEpoch = epoch; copied = true }
	:: atomic { copied && restores < 2 ->
		holder = copyHolder; rev = copyRev; epoch = copyEpoch;
		generation++; restores++ }
	:: atomic { true ->
		bump(own[0]); bump(sent[0]); bump(seen[0]); bump(settled[0]);
		bump(own[1]); bump(sent[1]); bump(seen[1]); bump(settled[1]) }
	od
}

proctype Process(byte i) {
	byte r, e, shown, before;
	bool ok, changed;
	do
	:: atomic { holds[i] && mine[i] < WRITES -> sent[i] = 0 };
		atomic {
			ok = rev == mine[i];
			if :: ok -> rev++; holder = i :: else fi;
			shown = generation
		};
		atomic {
			look(i, shown);
			if
			:: changed
			:: !changed && ok -> mine[i]++; own[i] = sent[i]
			:: !changed && !ok -> holds[i] = false
			fi;
			shown = 0; ok = false; changed = false
		}
	:: atomic { holds[i] && rev == mine[i] && rev < WRITES -> holder = NOBODY; rev++; holds[i] = false }
	:: atomic { !holds[i] && epoch < LAST && rev < WRITES ->
			r = rev; e = epoch; before = generation;
			look(i, before);
			if :: seenRev[i] != r -> seenRev[i] = r; seen[i] = 0 :: else fi;
			ok = settled[i] >= TERM && (holder == NOBODY || holder == i || seen[i] >= TERM)
		};
		if
		:: ok ->
			atomic { sent[i] = 0 };
			atomic {
				ok = rev == r && epoch == e;
				shown = generation;
				if
				:: ok ->
					rev++; holder = i; epoch = e + 1;
#ifndef NOSAME
					if
					:: shown == before ->
#endif
#ifdef NOGENERATION
						e = e + 1;
#else
						e = e + 1 + before * STEP;
#endif
						assert(e > given); /* numbers only rise */
						given = e;
#ifndef NOSAME
					:: else
					fi
#endif
				:: else
				fi
			};
			atomic {
				look(i, shown);
#ifdef NOSAME
				if :: ok ->
#else
				if :: ok && shown == before ->
#endif
					holds[i] = true;
					mine[i] = r + 1;
					own[i] = sent[i];
					assert(!(valid(i) && valid(1 - i))); /* nobody else may act */
#ifdef REACH
					assert(restores < 2 || shown < 3)
#endif
				:: else
				fi;
				r = 0; e = 0; shown = 0; before = 0; ok = false; changed = false
			}
		:: else -> atomic { r = 0; e = 0; shown = 0; before = 0; changed = false }
		fi
	od
}

init { atomic { run Process(0); run Process(1) } }
