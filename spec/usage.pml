/* Usage: each request is counted once, and a usage window has one set of figures.
 *
 * A node's count of a window only grows, and the node reports it repeatedly in its
 * updates, which may arrive late, more than once and out of order. Two processes
 * close windows; the second takes the duty over at any time. Each may be paused
 * between any two steps or crash. Responses may be lost, and a commit may take
 * effect late. A window's figure is the count that the closing process has
 * received. The second window has no requests; it shows whether a commit closes
 * the wrong window. */

#define MAX_REQUESTS 2 /* requests in a window */
#define NO_WINDOW 3    /* no commit is pending */

byte epoch = 1;
byte counted[2];             /* requests of each window at the node */
byte counts[6];              /* counts of each window that processes 1 and 2 have received */
byte closed;                 /* number of closed windows */
byte figure[3], reported[3]; /* of each window, plus one; 0 is none */

/* The commit of each process that may still take effect: window and figure. */
byte pendingWindow[3] = NO_WINDOW, pendingFigure[3];

#define received(token, window) counts[(token - 1) * 2 + window]

proctype Node() {
	do
	:: atomic { counted[0] < MAX_REQUESTS -> counted[0]++ }
	:: break
	od
}

/* Updates delivers a count to a process: the current one or an older one, as
 * updates may arrive late. */
proctype Updates(byte token) {
	byte count;
	do
	:: atomic {
		if
		:: count = counted[0]
		:: counted[0] > 0 -> count = counted[0] - 1
		fi;
#ifdef MUTANT_ADD /* counts are added up; the greatest should be taken */
		received(token, 0) = received(token, 0) + count;
#else
		received(token, 0) = (received(token, 0) > count -> received(token, 0) : count);
#endif
		assert(received(token, 0) <= counted[0]); /* no request is counted twice */
		count = 0 }
	:: break
	od
}

/* apply is the commit that closes a window. */
inline apply(token, window, sum) {
	assert(token == epoch); /* only by the holder of the duty */
	assert(figure[window] == 0); /* once */
	figure[window] = sum + 1;
	closed = (closed > window + 1 -> closed : window + 1)
}

#ifdef MUTANT_NO_GUARD /* the commit does not check the epoch row */
#define GUARD(token) true
#else
#define GUARD(token) (epoch == token)
#endif
#ifdef MUTANT_NO_ABSENT /* the commit does not check that the window is absent */
#define ABSENT(window) true
#else
#define ABSENT(window) (closed == window)
#endif

proctype PendingCommit(byte token) {
	do
	:: atomic {
		pendingWindow[token] < NO_WINDOW ->
		if
		:: GUARD(token) && ABSENT(pendingWindow[token]) -> apply(token, pendingWindow[token], pendingFigure[token])
		:: else -> skip
		fi;
		pendingWindow[token] = NO_WINDOW; pendingFigure[token] = 0 }
	:: break
	od
}

proctype Closer(byte token) {
	byte window, sum, recorded;
	if
	:: token == 2 -> epoch = 2
	:: else -> skip
	fi;
	do
	:: closed < 2 -> /* close */
		window = closed;
		sum = (window < 2 -> received(token, window) : 0);
#ifdef MUTANT_REPORT_FIRST /* the figures are reported before they are recorded */
		atomic {
			assert(window >= 2 || reported[window] == 0 || reported[window] == sum + 1);
			if
			:: window < 2 -> reported[window] = sum + 1
			:: else -> skip
			fi
		};
#endif
		if
		:: window >= 2 -> skip
		:: atomic { window < 2 && GUARD(token) && ABSENT(window) -> apply(token, window, sum) }
		:: atomic { window < 2 && pendingWindow[token] == NO_WINDOW -> pendingWindow[token] = window; pendingFigure[token] = sum }
		:: else -> skip
		fi;
		window = 0; sum = 0
	:: closed > 0 -> /* report repeatedly */
		if
		:: window = 0
		:: closed > 1 -> window = 1
		fi;
		recorded = figure[window];
		atomic {
			assert(reported[window] == 0 || reported[window] == recorded);
			reported[window] = recorded;
			window = 0; recorded = 0
		}
	:: break /* crash */
	od
}

init {
	atomic { run Node(); run Updates(1); run Updates(2); run Closer(1); run Closer(2); run PendingCommit(1); run PendingCommit(2) }
}
