package attempter

import (
	"foxtailflow.example/foxtailflow/internal/base/coder"
)

// Request is what the permission to retry depends on beside the attempts.
type Request struct {
	// Idempotent says that the request may run more than once.
	Idempotent bool
	// Repeatable says that its body can be sent again.
	Repeatable bool
	// Continues says that its answer can be continued where it broke.
	Continues bool
	// Attempts limits the attempts, Runs those of them that may have run; 0
	// means no limit of its own.
	Attempts int
	Runs     int
}

// Refusal says why no further attempt is allowed.
type Refusal string

// The reasons against a further attempt; Allowed is none.
const (
	Allowed        Refusal = ""
	AnswerWhole    Refusal = "answer-whole"
	AttemptRuns    Refusal = "attempt-runs"
	CallerLeft     Refusal = "caller-left"
	MayHaveRun     Refusal = "may-have-run"
	BodyConsumed   Refusal = "body-consumed"
	AnswerBegun    Refusal = "answer-begun"
	AttemptsSpent  Refusal = "attempts-spent"
	NothingWasDone Refusal = "nothing-done"
)

// History is the attempts of one request so far.
//
// It is an immutable value; the With methods return extended copies.
type History struct {
	count int
	// runs counts the attempts whose outcome is unknown.
	runs int
	last Attempt
	// begun says that the caller has a part of the answer.
	begun bool
}

// WithAttempt returns a copy with one more attempt that has ended; begun says
// whether the caller got a part of its answer.
func (h History) WithAttempt(a Attempt, begun bool) History {
	h.count++
	h.last = a
	if a.Outcome() == coder.Unknown {
		h.runs++
	}
	h.begun = h.begun || begun
	return h
}

// WithResumed returns a copy whose last attempt was resumed at the same
// endpoint; that is no further attempt, since the endpoint has the work done.
func (h History) WithResumed(a Attempt) History {
	h.last = a
	return h
}

// Count returns the number of attempts.
func (h History) Count() int { return h.count }

// Begun reports whether the caller has a part of the answer.
func (h History) Begun() bool { return h.begun }

// Outcome says what is known about the effect of all attempts together: once
// one may have run, no later one makes the request "not run" again.
func (h History) Outcome() coder.Outcome {
	if h.runs > 0 {
		return coder.Unknown
	}
	return coder.NotRun
}

// Err returns the failure of the last attempt with the outcome of all.
func (h History) Err() error {
	if err := h.last.Err(); err != nil {
		return coder.Of(err).WithOutcome(h.Outcome())
	}
	return nil
}

// Retry says whether another attempt is allowed, or why not.
func (h History) Retry(r Request) Refusal {
	switch {
	case h.count == 0:
		return NothingWasDone
	case h.last.State() != Ended:
		return AttemptRuns
	case h.last.Whole():
		return AnswerWhole
	case coder.Is(h.last.Err(), coder.CallerGone):
		return CallerLeft
	case !r.Repeatable:
		return BodyConsumed
	case h.runs > 0 && !r.Idempotent:
		return MayHaveRun
	case h.begun && !r.Continues:
		return AnswerBegun
	case h.count >= r.Attempts, r.Runs > 0 && h.runs >= r.Runs:
		return AttemptsSpent
	}
	return Allowed
}
