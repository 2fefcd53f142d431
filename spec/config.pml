/* Configuration: once a change is in force, no node serves the old version.
 *
 * Five nodes are registered. Node 0 stands for the three whose updates reach the
 * accepting node; nodes 1 and 2 serve keyed requests while the configuration is
 * known to have been the newest less than MAX_AGE ago. Each may be paused between
 * any two steps, the store may be unavailable, a new version may reach a node late
 * or never, and the accepting node may crash. The check of the age and the use of
 * the key are one step here. */

#define MAX_AGE 2  /* ticks */
#define MAX_TIME 4 /* ticks */

byte now;
byte head;     /* newest version in the store */
bool down;     /* the store is unavailable */
bool accepted; /* the change counts as in force */
byte toggles;  /* of down */
byte ver[3], knownAt[3]; /* version in force, and when it was last known to be the newest */

proctype Clock() {
	do
	:: now < MAX_TIME -> now++
	:: atomic { toggles < 1 -> down = !down; toggles++ }
	:: now == MAX_TIME -> break
	od
}

inline advance(at) {
	if
	:: at > knownAt[i] -> knownAt[i] = at
	:: else -> skip
	fi
}

/* receiveSummary takes the summary that node j returns for an update sent at sentAt. */
#ifdef MUTANT_NO_AGE /* the age of another node's evidence is ignored */
#define receiveSummary(j) atomic { received = ver[j]; evidenceAt = sentAt; sentAt = 0 }
#else
#define receiveSummary(j) atomic { received = ver[j]; evidenceAt = (now - knownAt[j] <= sentAt -> sentAt - (now - knownAt[j]) : 0); sentAt = 0 }
#endif

proctype Node(byte i; byte other) {
	byte sentAt, received, evidenceAt;
	do
	:: now == MAX_TIME -> break
	:: /* read the newest version from the store */
		sentAt = now;
		if
		:: atomic { !down -> received = head }
		:: down -> received = 2
		fi;
		atomic {
#ifdef MUTANT_DATED_AFTER /* evidence counts from the response of the store */
			sentAt = now;
#endif
			if
			:: received < 2 && received >= ver[i] -> ver[i] = received; advance(sentAt)
			:: else -> skip
			fi;
			sentAt = 0; received = 0
		}
	:: /* send an update and take the evidence in the summary */
		sentAt = now;
		if
		:: receiveSummary(0)
		:: receiveSummary(other)
		fi;
		atomic {
			if
			:: received >= ver[i] -> ver[i] = received; advance(evidenceAt)
			:: else -> skip
			fi;
			received = 0; evidenceAt = 0
		}
	:: /* store outage: unavailable for most of the five, one of the three among them */
		sentAt = now;
		if
		:: atomic { down -> received = ver[0] }
		:: !down -> received = 2
		fi;
		atomic {
			if
#ifdef MUTANT_ALONE /* a node that cannot reach the store ignores the versions of the others */
			:: received < 2 -> advance(sentAt)
#else
			:: received <= ver[i] -> advance(sentAt)
#endif
			:: else -> skip
			fi;
			sentAt = 0; received = 0
		}
	:: /* serve a keyed request */
#ifdef MUTANT_ALWAYS_SERVE /* the age of the evidence is not checked */
		atomic { now < MAX_TIME -> assert(!accepted || ver[i] == 1) }
#else
		atomic { now < knownAt[i] + MAX_AGE -> assert(!accepted || ver[i] == 1) }
#endif
	od
}

proctype Acceptor() {
	byte waitFrom;
	atomic { !down -> head = 1 };
	waitFrom = now;
	if
	:: atomic { ver[1] = 1 }
	:: skip
	fi;
	if
	:: atomic { ver[2] = 1 }
	:: skip
	fi;
#ifndef MUTANT_NO_MAJORITY /* the time since the commit suffices */
	ver[0] = 1;
	waitFrom = now;
#endif
#ifndef MUTANT_NO_WAIT /* a majority suffices */
	(ver[0] == 1 && ver[1] == 1 && ver[2] == 1) || now >= waitFrom + MAX_AGE;
#endif
	accepted = true
}

init {
	atomic { run Clock(); run Node(1, 2); run Node(2, 1); run Acceptor() }
}
