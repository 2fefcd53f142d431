package attempter

import (
	"foxtailflow.example/foxtailflow/internal/base/coder"
)

// Request holds what the permission to retry depends on besides the attempts.
type Request struct {
	// Idempotent says that the request may run more than once.
	Idempotent bool
	// Repeatable says that its body can be sent again.
	Repeatable bool
	// Continuable says that a broken response can be continued where it ended.
	Continuable bool
	// MaxAttempts limits the number of attempts, MaxRuns the number of those
	// that may have run; MaxRuns = 0 means no separate limit.
	MaxAttempts int
	MaxRuns     int
}

// Refusal is the reason why no further attempt is allowed.
type Refusal string

// The reasons against a further attempt; Allowed means that there is none.
const (
	Allowed            Refusal = ""
	ResponseComplete   Refusal = "answer-whole"
	AttemptRunning     Refusal = "attempt-runs"
	CallerDisconnected Refusal = "caller-left"
	MayHaveRun         Refusal = "may-have-run"
	BodyConsumed       Refusal = "body-consumed"
	PartlyDelivered    Refusal = "answer-begun"
	AttemptsExhausted  Refusal = "attempts-spent"
	NoAttempt          Refusal = "nothing-done"
)

// History holds the attempts made so far at one request.
//
// It is an immutable value; the With methods return extended copies.
type History struct {
	count int
	// runs counts the attempts whose outcome is unknown.
	runs int
	last Attempt
	// begun says that the caller has received a part of the response.
	begun bool
}

// WithAttempt returns a copy with one more ended attempt; begun says whether
// the caller received a part of its response.
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
// endpoint. Resuming does not count as a further attempt, because the endpoint
// has kept its work.
func (h History) WithResumed(a Attempt) History {
	h.last = a
	return h
}

// Count returns the number of attempts.
func (h History) Count() int { return h.count }

// PartlyDelivered reports whether the caller has received a part of the response.
func (h History) PartlyDelivered() bool { return h.begun }

// Outcome returns what is known about whether any of the attempts ran: once one
// may have run, a later one does not make the request "not run" again.
func (h History) Outcome() coder.Outcome {
	if h.runs > 0 {
		return coder.Unknown
	}
	return coder.NotRun
}

// Err returns the failure of the last attempt with the outcome of all attempts.
func (h History) Err() error {
	if err := h.last.Err(); err != nil {
		return coder.FromError(err).WithOutcome(h.Outcome())
	}
	return nil
}

// Retry returns Allowed if another attempt is allowed, or else the reason
// against it.
func (h History) Retry(r Request) Refusal {
	switch {
	case h.count == 0:
		return NoAttempt
	case h.last.State() != Ended:
		return AttemptRunning
	case h.last.Complete():
		return ResponseComplete
	case coder.Is(h.last.Err(), coder.CallerGone):
		return CallerDisconnected
	case !r.Repeatable:
		return BodyConsumed
	case h.runs > 0 && !r.Idempotent:
		return MayHaveRun
	case h.begun && !r.Continuable:
		return PartlyDelivered
	case h.count >= r.MaxAttempts, r.MaxRuns > 0 && h.runs >= r.MaxRuns:
		return AttemptsExhausted
	}
	return Allowed
}
