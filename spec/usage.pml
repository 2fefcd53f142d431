/* Usage: each segment is counted once, and a window has one set of figures.
 *
 * A node and a peer that believes it dead seal the same segments. Two
 * processes close windows; the second takes the duty over at any time. Each
 * may be paused between any two steps or crash; answers may be lost, and a
 * commit may take effect late. A window's figure is the set of its segments. */

#define NONE 255

byte epoch = 1;
byte sealed;                 /* last sealed segment of the node */
byte segments;               /* set of segment rows: 1, 2 or 3 */
byte counted;                /* set of segments in windows */
byte windows;                /* windows closed */
byte figure[3], reported[3];

/* The close of a process that may still take effect: window and segments. */
byte lateWindow[3], lateSegments[3];

#define bit(k) (k == 1 -> 1 : 2)

proctype Sealer() {
	byte k;
	do
	:: k = 1; goto seal
	:: k = 2; goto seal
	:: break
	od;
	goto over;
seal:	if
#ifdef MUTANT_NO_SEALED_ROW /* a segment is sealed if its row is absent */
	:: atomic { !(segments & bit(k)) && (k == 1 || sealed >= 1) -> sealed = (sealed > k -> sealed : k); segments = segments | bit(k) }
#else
	:: atomic { sealed == k - 1 -> sealed = k; segments = segments | bit(k) }
#endif
	:: else -> skip
	fi;
	goto again;
again:	if
	:: k = 1; goto seal
	:: k = 2; goto seal
	:: skip
	fi;
over:	skip
}

/* apply is the commit that closes a window. */
inline apply(token, w, s) {
	assert(token == epoch); /* by the process in charge only */
	assert(!(counted & s)); /* no segment counts twice */
	figure[w] = s;
	counted = counted | s;
#ifndef MUTANT_TWO_COMMITS /* the segments are deleted in a second commit */
	segments = segments & (3 - s);
#endif
	windows = (windows > w + 1 -> windows : w + 1)
}

#ifdef MUTANT_NO_GUARD /* the commit does not check the epoch row */
#define GUARD(token) true
#else
#define GUARD(token) (epoch == token)
#endif
#ifdef MUTANT_NO_ABSENT /* the commit does not check that the window is absent */
#define ABSENT(w) true
#else
#define ABSENT(w) (windows == w)
#endif

proctype Late(byte token) {
	do
	:: atomic {
		lateSegments[token] > 0 ->
		if
		:: GUARD(token) && ABSENT(lateWindow[token]) -> apply(token, lateWindow[token], lateSegments[token])
		:: else -> skip
		fi;
		lateSegments[token] = 0; lateWindow[token] = 0 }
	:: break
	od
}

proctype Closer(byte token) {
	byte w, s, r;
	if
	:: token == 2 -> epoch = 2
	:: else -> skip
	fi;
	do
	:: windows < 2 && segments > 0 -> /* close */
		w = windows;
		s = segments;
#ifdef MUTANT_REPORT_FIRST /* the figures are sent before they are recorded */
		atomic {
			assert(reported[w] == 0 || reported[w] == s);
			reported[w] = s
		};
#endif
		if
		:: s == 0 || w >= 2 -> skip
		:: atomic { s > 0 && w < 2 && GUARD(token) && ABSENT(w) -> apply(token, w, s) }
		:: atomic { s > 0 && w < 2 && lateSegments[token] == 0 -> lateWindow[token] = w; lateSegments[token] = s }
		:: else -> skip
		fi;
#ifdef MUTANT_TWO_COMMITS
		atomic { segments = segments & (3 - s) };
#endif
		w = 0; s = 0
	:: windows > 0 -> /* report, again and again */
		if
		:: w = 0
		:: windows > 1 -> w = 1
		fi;
		r = figure[w];
		atomic {
			assert(reported[w] == 0 || reported[w] == r);
			reported[w] = r;
			w = 0; r = 0
		}
	:: break /* crash */
	od
}

init {
	atomic { run Sealer(); run Sealer(); run Closer(1); run Closer(2); run Late(1); run Late(2) }
}
