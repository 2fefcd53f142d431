package hedger

// Attempt is one of the two attempts of a race; the zero value is neither.
type Attempt int

// The attempts of a race.
const (
	Neither Attempt = iota
	First
	Second
)

// other returns the other attempt.
func (a Attempt) other() Attempt { return First + Second - a }

// Event is something that happened in a race; the set of events is closed.
type Event interface{ event() }

type (
	// SecondSent reports that the second attempt was started.
	SecondSent struct{}
	// Responded reports that an attempt has a valid head or first event.
	Responded struct{ Attempt Attempt }
	// Failed reports that an attempt has ended without a response that can be used. Ran is
	// unset if it certainly did not run.
	Failed struct {
		Attempt Attempt
		Ran     bool
	}
	// CallerLeft reports that the caller has disconnected or the deadline has passed.
	CallerLeft struct{}
)

func (SecondSent) event() {}
func (Responded) event()  {}
func (Failed) event()     {}
func (CallerLeft) event() {}

// Race is the state of a request with up to two attempts in progress: it says whose response
// the caller gets and which attempt is to be cancelled.
//
// It is an immutable value; in the zero value the first attempt is in progress.
type Race struct {
	second bool
	// winner is the attempt whose response is used.
	winner Attempt
	failed [Second + 1]bool
	ran    bool
	left   bool
}

// With returns the race after an event. An event that comes too late changes nothing: a
// response after the other one, or a second attempt after the race is over.
func (r Race) With(e Event) Race {
	switch e := e.(type) {
	case SecondSent:
		r.second = r.second || !r.Over()
	case Responded:
		if r.InProgress(e.Attempt) {
			r.winner = e.Attempt
		}
	case Failed:
		r.failed[e.Attempt] = true
		r.ran = r.ran || e.Ran
	case CallerLeft:
		r.left = true
	}
	return r
}

// InProgress reports whether an attempt was started, has not failed and is not to be
// cancelled.
func (r Race) InProgress(a Attempt) bool {
	started := a == First || a == Second && r.second
	return started && !r.failed[a] && !r.Cancelled(a)
}

// Passes reports whether the response of an attempt is the one that the caller gets.
func (r Race) Passes(a Attempt) bool { return r.winner == a && a != Neither }

// Winner returns the attempt whose response is used, Neither before one has responded.
func (r Race) Winner() Attempt { return r.winner }

// Cancelled reports whether an attempt is to be cancelled: the other one has responded, or
// the caller does not wait any more.
func (r Race) Cancelled(a Attempt) bool {
	return r.left || r.winner != Neither && r.winner == a.other()
}

// Over reports whether no response can become the one that is used any more, or one has.
func (r Race) Over() bool {
	return r.winner != Neither || r.left || r.failed[First] && (!r.second || r.failed[Second])
}

// MayHaveRun reports whether one of the attempts may have run: a request has not run only if
// neither has. An attempt that did not report its end may have run.
func (r Race) MayHaveRun() bool {
	return r.ran || r.winner != Neither || !r.failed[First] || r.second && !r.failed[Second]
}
