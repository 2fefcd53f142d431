/* Leases: at most one process trusts its lease at any time.
 *
 * Two processes contend for one row. A process may be paused between any two
 * steps, or crash. A response may be lost, and a commit may take effect late,
 * after its sender has read the row back. Time is counted in clock ticks. All
 * clocks run at the same rate here, so the margins of the code are left out. */

#define DURATION 2    /* duration of a lease in ticks */
#define MAX_TIME 5    /* ticks */
#define MAX_VERSION 4 /* commits */

#ifdef MUTANT_SHORT_WAIT /* a contender does not wait for the full duration */
#define WAIT (DURATION - 1)
#else
#define WAIT DURATION
#endif

byte now;
/* The row: its version, the holder (2 is none) and the number of the renewal. */
byte ver, holder = 2, beat;
bool held[2];
byte validUntil[2]; /* end of the lease as the process knows it */
byte beats;         /* numbers used so far, so that none is used twice */

/* Commits that may still take effect. */
bool pending[2];
byte pendingVer[2], pendingBeat[2];

proctype Clock() {
	do
	:: now < MAX_TIME -> now++
	:: now == MAX_TIME -> break
	od
}

proctype PendingCommit(byte i) {
end:	do
	:: atomic { pending[i] && ver == pendingVer[i] && ver < MAX_VERSION -> ver++; holder = i; beat = pendingBeat[i]; pending[i] = false; pendingVer[i] = 0; pendingBeat[i] = 0 }
	:: atomic { pending[i] && ver != pendingVer[i] -> pending[i] = false; pendingVer[i] = 0; pendingBeat[i] = 0 }
	od
}

proctype Process(byte i) {
	byte sentAt, sentBeat, seenVer, seenAt, myVer, newVer;
	bool ok;
end:	do
	:: held[i] && ver < MAX_VERSION && !pending[i] ->
renew:		atomic {
			sentAt = now;
#ifdef MUTANT_REUSED_BEAT /* a renewal reuses the number of an abandoned one */
			sentBeat = (myVer + 1);
#else
			beats++; sentBeat = beats;
#endif
		}
		if
		:: atomic { ver == myVer -> ver++; beat = sentBeat; newVer = ver; ok = true }
		:: atomic { ver == myVer -> ver++; beat = sentBeat; ok = false }
		:: atomic { pending[i] = true; pendingVer[i] = myVer; pendingBeat[i] = sentBeat; ok = false }
		:: atomic { ver != myVer -> ok = false }
		fi;
		if
		:: ok ->
			atomic {
				myVer = newVer;
#ifdef MUTANT_SENT_AFTER /* the lease counts from the response */
				validUntil[i] = now + DURATION
#else
				validUntil[i] = sentAt + DURATION
#endif
			}
		:: !ok ->
			if
#ifdef MUTANT_NO_READ_BACK /* a renewal without a response counts as done */
			:: atomic { true -> myVer = ver; validUntil[i] = sentAt + DURATION }
#else
			:: atomic { holder == i && beat == sentBeat -> myVer = ver; validUntil[i] = sentAt + DURATION }
			:: atomic { holder == i && beat != sentBeat -> myVer = ver }
			:: atomic { holder != i -> held[i] = false }
#endif
			fi
		fi;
		atomic { sentAt = 0; sentBeat = 0; newVer = 0; ok = false }
	:: !held[i] && ver < MAX_VERSION ->
#ifdef MUTANT_SEEN_BEFORE /* time counts from before the read */
		seenAt = now;
		seenVer = ver;
#else
		seenVer = ver;
		seenAt = now;
#endif
		now >= seenAt + WAIT || holder == 2;
		sentAt = now;
		if
#ifdef MUTANT_NO_COMPARE /* takeover without the check on the row's version */
		:: atomic { true ->
#else
		:: atomic { ver == seenVer && ver < MAX_VERSION ->
#endif
			ver++; beats++; holder = i; beat = beats; myVer = ver; held[i] = true; validUntil[i] = sentAt + DURATION }
		:: else -> skip
		fi;
		atomic { sentAt = 0; seenVer = 0; seenAt = 0 }
	:: break /* crash */
	od
}

proctype Monitor() {
	atomic { held[0] && now < validUntil[0] && held[1] && now < validUntil[1] -> assert(false) }
}

init {
	atomic { run Clock(); run PendingCommit(0); run PendingCommit(1); run Process(0); run Process(1); run Monitor() }
}
