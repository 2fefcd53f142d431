/* Orders: an engine applies recorded orders in the order of their recording.
 *
 * Process 0 has the lease first; process 1 takes the duty over after the lease
 * has ended. Each may be paused between any two steps or crash; answers may be
 * lost, and a request whose answer was lost may arrive, even again and again,
 * until the receiver closes its connection. FENCING is an engine that refuses
 * an old fencing token; without it the engine takes every order. */

#define L 2    /* connection limit of the receiver */
#define END 2  /* end of the lease of process 0 */
#define MAXT 6 /* ticks */
#define SENDS 3
#define ORDERS 2

byte now;
byte epoch = 1;     /* fencing token of the last takeover */
byte recorded;      /* newest order in the row; ids grow by one */
bool done = true;   /* the row says that it took effect */
byte applied;       /* the engine's last order */
byte newest;        /* the engine's newest token */
byte arrives[4];    /* until when order id with token may arrive */

#define slot(id, token) ((id - 1) * 2 + token - 1)

inline apply(id, token) {
	if
#ifdef FENCING
	:: token < newest -> skip
#endif
	:: else ->
		newest = (token > newest -> token : newest);
		/* never back, and none is left out */
		assert(id == applied || id == applied + 1);
		applied = id
	fi
}

proctype Clock() {
	do
	:: now < MAXT -> now++
	:: now == MAXT -> break
	od
}

proctype Network() {
	do
	:: atomic { now < arrives[0] -> apply(1, 1) }
	:: atomic { now < arrives[1] -> apply(1, 2) }
	:: atomic { now < arrives[2] -> apply(2, 1) }
	:: atomic { now < arrives[3] -> apply(2, 2) }
	:: now == MAXT -> break
	od
}

#define valid(i) (i == 1 || now < END)

#ifdef MUTANT_NO_LIMIT /* the receiver never closes a connection */
#define OPEN true
#define DEADLINE (MAXT + 1)
#else
#define OPEN now < opened + L
#define DEADLINE (opened + L)
#endif

/* write hands a request to an open connection. */
inline write(id, token) {
	if
	:: apply(id, token) /* the answer arrives */
	:: arrives[slot(id, token)] = DEADLINE; unsure = opened + 1
	fi
}

/* send sends order id once: dial, check, write. */
inline send(i, id, token) {
	sends++;
#ifdef MUTANT_CHECK_FIRST /* the lease is checked before the dial only */
	held = valid(i);
	opened = now;
#else
	opened = now;
	held = valid(i);
#endif
	if
	:: atomic { held && OPEN -> write(id, token) }
#ifdef MUTANT_REDIAL /* a closed connection is dialled again */
	:: atomic { held && !(OPEN) -> opened = now; write(id, token) }
#else
	:: held && !(OPEN) -> skip
#endif
	:: !held -> goto over
	fi;
	held = false
}

#ifdef FENCING
#define SETTLED true
#else
#ifdef MUTANT_NO_WAIT /* a new holder does not wait the connection limit */
#define SETTLED true
#else
#define SETTLED (i == 0 || now >= taken + L)
#endif
#endif

proctype Holder(byte i; byte token) {
	byte opened, taken, id, sends, unsure;
	bool held;
	if
	:: i == 1 ->
		now >= END;
		taken = now;
		epoch = 2
	:: else -> skip
	fi;
	do
	:: !done && applied == recorded -> /* read back: it took effect */
		if
		:: atomic { epoch == token -> done = true }
		:: epoch != token -> goto over
		fi
#ifdef MUTANT_NO_READ_BACK /* an order that was sent counts as applied */
	:: atomic { !done && unsure > 0 && epoch == token -> done = true }
#endif
	:: !done && applied != recorded && sends < SENDS -> /* repeat */
		id = recorded;
		SETTLED;
		send(i, id, token)
#ifdef MUTANT_NO_FINISH /* a predecessor's order is passed over */
	:: (done || i == 1) && recorded < ORDERS && sends < SENDS ->
#else
	:: done && recorded < ORDERS && sends < SENDS ->
#endif
		id = recorded + 1;
		SETTLED;
#ifndef MUTANT_NO_SETTLE /* after a loss, an own order may still be under way */
		unsure == 0 || now >= unsure - 1 + L;
#endif
		if
#ifdef MUTANT_NO_GUARD /* the commit does not check the epoch row */
		:: atomic { true -> recorded = id; done = false }
#else
		:: atomic { epoch == token && recorded + 1 == id -> recorded = id; done = false }
		:: epoch != token -> goto over
#endif
		fi;
		unsure = 0;
		send(i, id, token)
	:: true -> goto over /* crash */
	od;
over:	skip
}

init {
	atomic { run Clock(); run Network(); run Holder(0, 1); run Holder(1, 2) }
}
