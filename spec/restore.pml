/* Followers of a store that comes back from an older copy.
 *
 * The store numbers its commits, and gives numbers out again after it has come back, in
 * another era. Two nodes follow it. Each reads the store, or takes the content of the other
 * node; both may arrive late. A node takes what has a later version. The content of the store
 * is the identifier of its last commit. */

#define MAX_ERA 2     /* returns of the store */
#define MAX_COMMITS 4 /* in all eras */

byte era, number, content; /* the store */
byte copiedNumber, copiedContent;
byte commits; /* identifiers used so far */

byte nodeEra[2], nodeNumber[2], nodeContent[2];

#ifdef MUTANT_NO_ERA /* versions are ordered by their numbers alone */
#define LATER(e, n) (n > nodeNumber[i])
#else
#define LATER(e, n) (e > nodeEra[i] || e == nodeEra[i] && n > nodeNumber[i])
#endif

#ifdef MUTANT_RELAY_NO_ERA /* the content of another node is ordered by its number alone */
#define LATER_OF_NODE(e, n) (n > nodeNumber[i])
#else
#define LATER_OF_NODE(e, n) LATER(e, n)
#endif

proctype Store() {
	do
	:: atomic { commits < MAX_COMMITS -> commits++; number++; content = commits }
	:: atomic { copiedNumber = number; copiedContent = content }
	:: atomic { era < MAX_ERA -> era++; number = copiedNumber; content = copiedContent }
	:: break
	od
}

proctype Node(byte i) {
	byte e, n, c;
	do
	:: /* read the store */
		atomic { e = era; n = number; c = content };
		atomic {
			if
			:: LATER(e, n) -> nodeEra[i] = e; nodeNumber[i] = n; nodeContent[i] = c
			:: else -> skip
			fi;
			/* A response that is still current leaves the node with what the store has. */
			assert(e != era || n != number || c != content || nodeContent[i] == content);
			e = 0; n = 0; c = 0
		}
	:: /* take the content of the other node */
		atomic { e = nodeEra[1 - i]; n = nodeNumber[1 - i]; c = nodeContent[1 - i] };
		atomic {
			if
			:: LATER_OF_NODE(e, n) -> assert(e >= nodeEra[i]); nodeEra[i] = e; nodeNumber[i] = n; nodeContent[i] = c
			:: else -> skip
			fi;
			e = 0; n = 0; c = 0
		}
	:: break
	od
}

init {
	atomic { run Store(); run Node(0); run Node(1) }
}
