/* Leases: at most one process trusts its lease at any time.
 *
 * Two processes contend for one row. A process may be paused between any two
 * steps, or crash. An answer may be lost, and a commit may take effect late,
 * after its sender has read the row back. A clock tick is the unit of time;
 * rates of clocks are equal here, so the margins of the code are left out. */

#define D 2    /* duration of a lease */
#define MAXT 5 /* ticks */
#define MAXV 4 /* commits */

#ifdef MUTANT_SHORT_WAIT /* a contender does not wait for the whole duration */
#define WAIT (D - 1)
#else
#define WAIT D
#endif

byte now;
byte ver, holder = 2, beat; /* the row; holder 2 is nobody */
bool mine[2];
byte until[2];
byte beats; /* beats ever used, so that none is used twice */

/* Commits that may still take effect. */
bool late[2];
byte lateVer[2], lateBeat[2];

proctype Clock() {
	do
	:: now < MAXT -> now++
	:: now == MAXT -> break
	od
}

proctype Late(byte i) {
end:	do
	:: atomic { late[i] && ver == lateVer[i] && ver < MAXV -> ver++; holder = i; beat = lateBeat[i]; late[i] = false; lateVer[i] = 0; lateBeat[i] = 0 }
	:: atomic { late[i] && ver != lateVer[i] -> late[i] = false; lateVer[i] = 0; lateBeat[i] = 0 }
	od
}

proctype Process(byte i) {
	byte sent, tried, seen, seenAt, myVer, newVer;
	bool ok;
end:	do
	:: mine[i] && ver < MAXV && !late[i] ->
renew:		atomic {
			sent = now;
#ifdef MUTANT_REUSED_BEAT /* a renewal uses a beat again that was given up */
			tried = (myVer + 1);
#else
			beats++; tried = beats;
#endif
		}
		if
		:: atomic { ver == myVer -> ver++; beat = tried; newVer = ver; ok = true }
		:: atomic { ver == myVer -> ver++; beat = tried; ok = false }
		:: atomic { late[i] = true; lateVer[i] = myVer; lateBeat[i] = tried; ok = false }
		:: atomic { ver != myVer -> ok = false }
		fi;
		if
		:: ok ->
			atomic {
				myVer = newVer;
#ifdef MUTANT_SENT_AFTER /* the lease counts from the answer */
				until[i] = now + D
#else
				until[i] = sent + D
#endif
			}
		:: !ok ->
			if
#ifdef MUTANT_NO_READ_BACK /* a renewal without an answer counts */
			:: atomic { true -> myVer = ver; until[i] = sent + D }
#else
			:: atomic { holder == i && beat == tried -> myVer = ver; until[i] = sent + D }
			:: atomic { holder == i && beat != tried -> myVer = ver }
			:: atomic { holder != i -> mine[i] = false }
#endif
			fi
		fi;
		atomic { sent = 0; tried = 0; newVer = 0; ok = false }
	:: !mine[i] && ver < MAXV ->
#ifdef MUTANT_SEEN_BEFORE /* time counts from before the read */
		seenAt = now;
		seen = ver;
#else
		seen = ver;
		seenAt = now;
#endif
		now >= seenAt + WAIT || holder == 2;
		sent = now;
		if
#ifdef MUTANT_NO_COMPARE /* takeover without the check on the row's version */
		:: atomic { true ->
#else
		:: atomic { ver == seen && ver < MAXV ->
#endif
			ver++; beats++; holder = i; beat = beats; myVer = ver; mine[i] = true; until[i] = sent + D }
		:: else -> skip
		fi;
		atomic { sent = 0; seen = 0; seenAt = 0 }
	:: break /* crash */
	od
}

proctype Monitor() {
	atomic { mine[0] && now < until[0] && mine[1] && now < until[1] -> assert(false) }
}

init {
	atomic { run Clock(); run Late(0); run Late(1); run Process(0); run Process(1); run Monitor() }
}
