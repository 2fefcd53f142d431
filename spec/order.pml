/* Orders: an engine applies orders in the sequence in which they were recorded.
 *
 * Process 0 has the lease first; process 1 takes the duty over after the lease
 * has ended. Each may be paused between any two steps or crash. Responses may be
 * lost, and a request whose response was lost may arrive, even repeatedly, until
 * the receiver closes its connection. With FENCING the engine refuses an old
 * fencing token; without it the engine accepts every order. */

#define LIMIT 2      /* connection limit of the receiver in ticks */
#define LEASE_END 2  /* end of the lease of process 0 */
#define MAX_TIME 6   /* ticks */
#define MAX_SENDS 3  /* requests of one process */
#define MAX_ORDERS 2 /* recorded orders */

byte now;
byte epoch = 1;        /* fencing token of the last takeover */
byte recorded;         /* newest order in the row; ids grow by one */
bool confirmed = true; /* the row says that the newest order took effect */
byte applied;          /* the last order that the engine applied */
byte newestToken;      /* the newest token that the engine has seen */
byte arrivesUntil[4];  /* until when the request with an order id and a token may arrive */

#define slot(id, token) ((id - 1) * 2 + token - 1)

inline apply(id, token) {
	if
#ifdef FENCING
	:: token < newestToken -> skip
#endif
	:: else ->
		newestToken = (token > newestToken -> token : newestToken);
		/* no order is applied after a newer one, and none is left out */
		assert(id == applied || id == applied + 1);
		applied = id
	fi
}

proctype Clock() {
	do
	:: now < MAX_TIME -> now++
	:: now == MAX_TIME -> break
	od
}

proctype Network() {
	do
	:: atomic { now < arrivesUntil[0] -> apply(1, 1) }
	:: atomic { now < arrivesUntil[1] -> apply(1, 2) }
	:: atomic { now < arrivesUntil[2] -> apply(2, 1) }
	:: atomic { now < arrivesUntil[3] -> apply(2, 2) }
	:: now == MAX_TIME -> break
	od
}

#define valid(i) (i == 1 || now < LEASE_END)

#ifdef MUTANT_NO_LIMIT /* the receiver never closes a connection */
#define OPEN true
#define DEADLINE (MAX_TIME + 1)
#else
#define OPEN now < openedAt + LIMIT
#define DEADLINE (openedAt + LIMIT)
#endif

/* write sends a request on an open connection. */
inline write(id, token) {
	if
	:: apply(id, token) /* the response arrives */
	:: arrivesUntil[slot(id, token)] = DEADLINE; unconfirmed = openedAt + 1
	fi
}

/* send sends an order once: dial, check the lease, write. */
inline send(i, id, token) {
	sends++;
#ifdef MUTANT_CHECK_FIRST /* the lease is checked before the dial only */
	held = valid(i);
	openedAt = now;
#else
	openedAt = now;
	held = valid(i);
#endif
	if
	:: atomic { held && OPEN -> write(id, token) }
#ifdef MUTANT_REDIAL /* a closed connection is dialled again */
	:: atomic { held && !(OPEN) -> openedAt = now; write(id, token) }
#else
	:: held && !(OPEN) -> skip
#endif
	:: !held -> goto stopped
	fi;
	held = false
}

#ifdef FENCING
#define SETTLED true
#else
#ifdef MUTANT_NO_WAIT /* a new holder does not wait for the connection limit */
#define SETTLED true
#else
#define SETTLED (i == 0 || now >= takenAt + LIMIT)
#endif
#endif

proctype Holder(byte i; byte token) {
	/* unconfirmed is when the connection of a request without a response was
	 * opened, plus one; 0 is none. */
	byte openedAt, takenAt, id, sends, unconfirmed;
	bool held;
	if
	:: i == 1 ->
		now >= LEASE_END;
		takenAt = now;
		epoch = 2
	:: else -> skip
	fi;
	do
	:: !confirmed && applied == recorded -> /* read back: the order took effect */
		if
		:: atomic { epoch == token -> confirmed = true }
		:: epoch != token -> goto stopped
		fi
#ifdef MUTANT_NO_READ_BACK /* an order that was sent counts as applied */
	:: atomic { !confirmed && unconfirmed > 0 && epoch == token -> confirmed = true }
#endif
	:: !confirmed && applied != recorded && sends < MAX_SENDS -> /* repeat */
		id = recorded;
		SETTLED;
		send(i, id, token)
#ifdef MUTANT_NO_FINISH /* an unfinished order of the former holder is skipped */
	:: (confirmed || i == 1) && recorded < MAX_ORDERS && sends < MAX_SENDS ->
#else
	:: confirmed && recorded < MAX_ORDERS && sends < MAX_SENDS ->
#endif
		id = recorded + 1;
		SETTLED;
#ifndef MUTANT_NO_SETTLE /* after a lost response, the holder's own order may still be in flight */
		unconfirmed == 0 || now >= unconfirmed - 1 + LIMIT;
#endif
		if
#ifdef MUTANT_NO_GUARD /* the commit does not check the epoch row */
		:: atomic { true -> recorded = id; confirmed = false }
#else
		:: atomic { epoch == token && recorded + 1 == id -> recorded = id; confirmed = false }
		:: epoch != token -> goto stopped
#endif
		fi;
		unconfirmed = 0;
		send(i, id, token)
	:: true -> goto stopped /* crash */
	od;
stopped:	skip
}

init {
	atomic { run Clock(); run Network(); run Holder(0, 1); run Holder(1, 2) }
}
