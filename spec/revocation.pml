/*
 * How long a request may run under a revoked key at a process that learns the
 * configuration from a peer.
 *
 * The key is revoked once, at any step. The reader reads the store at any step: the
 * answer says what held and what the store's steady clock showed. It may be suspended
 * once, for as long as the checker likes, between reading and telling. One message is
 * under way at a time and arrives at any later step, or never. The follower relates the
 * store's clock to its own uptime by one exchange, of which the answer may arrive late;
 * it may be suspended once as well. At any step it may be asked to run a request.
 *
 * What must hold: no request that is sent later than BOUND steps after the revocation
 * runs. Requests are sent as they are admitted here, the latest moment for them.
 * Broken variants: RECEIPT (evidence counts from the receipt of a message), CLAIMEDAGE
 * (it counts from the age that the sender states by a clock that stands still in
 * suspension), STANDSTILL (the follower's clock does), LATEANSWER (the store's clock is
 * related to the receipt of its answer, not to the question), NOVERSION (evidence is
 * taken of a configuration that the follower does not hold). REACH asks whether a
 * request runs on evidence that a peer has passed on.
 */
#define BOUND 2
#define LAST 7

byte now = 1;
byte revoked; /* the step; zero before it */

/* The reader: what it has read, and how long ago by its own clock. */
bit version;
byte stamp;
byte age;
bool reads, asleep, slept;

/* The message under way. */
bool sent;
bit sentVersion;
byte sentStamp, sentAge;

/* The follower. */
bit held;
byte evidence;      /* reading of the store's clock; zero for none */
short ahead;        /* by how much the latest that the store's can show is ahead of its own clock */
byte lag;           /* steps for which its own clock stood still */
byte asked, shown;   /* the exchange under way; zero for none */
bool related, drowsy, drowsed;
bool passedOn;      /* its evidence came from the peer */

/* Its own clock, and the latest that the store's can show by its view. */
#define own (now - lag)
#define view (own + ahead)

init {
	do
	/* Time passes. */
	:: now < LAST -> atomic {
		now++;
		if :: reads && !asleep -> age++ :: else fi;
#ifdef STANDSTILL
		if :: drowsy -> lag++ :: else fi;
#endif
		skip
	}
	:: !revoked && now > 1 -> revoked = now

	/* The reader. */
	:: !asleep -> atomic { reads = true; version = (revoked > 0); stamp = now; age = 0 }
	:: !asleep && !slept -> atomic { asleep = true; slept = true }
	:: asleep -> asleep = false
	:: !asleep && reads && !sent -> atomic { sent = true; sentVersion = version; sentStamp = stamp; sentAge = age }

	/* The follower: an exchange with the store, whose answer shows a reading taken in
	   between. */
	:: !drowsy && !related && !asked -> atomic { asked = own; shown = 0 }
	:: asked && !shown -> shown = now
	:: !drowsy && shown && !related -> atomic {
#ifdef LATEANSWER
		ahead = shown - own;
#else
		ahead = shown - asked;
#endif
		related = true
	}
	:: !drowsy && !drowsed -> atomic { drowsy = true; drowsed = true }
	:: drowsy -> drowsy = false

	/* A message arrives. */
	:: sent && !drowsy -> atomic {
		sent = false;
		if
		:: sentVersion > held -> held = sentVersion
		:: skip /* the contents are lost, the claim is not */
		fi;
		if
#ifdef NOVERSION
		:: true ->
#else
		:: held >= sentVersion ->
#endif
#ifdef RECEIPT
			evidence = now;
#else
#ifdef CLAIMEDAGE
			evidence = now - sentAge;
#else
			if :: sentStamp > evidence -> evidence = sentStamp :: else fi;
#endif
#endif
			passedOn = true
		:: else
		fi
	}

	/* A request under the key. */
	:: !drowsy && related && evidence && !held && view <= evidence + BOUND -> atomic {
#ifdef REACH
		assert(!passedOn);
#else
		assert(!revoked || now <= revoked + BOUND);
#endif
		skip
	}
	:: now == LAST -> break
	od
}
