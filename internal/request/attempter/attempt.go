// Package attempter is the state machine of one attempt at a request.
//
// An attempt moves through its states by events and by nothing else, so what
// may be said of a request that failed follows from the states it reached: it
// has not run if no byte of it can have left, or if the endpoint itself said
// so. A History adds up the attempts of one request. The package is pure: the
// forwarder reports events, the dispatcher acts on the conclusions.
package attempter

import (
	"foxtailflow.example/foxtailflow/internal/base/coder"
)

// State is how far an attempt has come.
type State int

// The states of an attempt, in their order.
const (
	// Queued means that nothing was done yet.
	Queued State = iota
	// Claimed means that the claim of the request's idempotency key is held.
	Claimed
	// Sending means that a byte of the request may have left.
	Sending
	// Sent means that the whole request has left.
	Sent
	// Answering means that the endpoint has begun its answer.
	Answering
	// Ended means that no event changes the attempt any more.
	Ended
)

// String returns the state as log lines have it.
func (s State) String() string {
	return [...]string{"queued", "claimed", "sending", "sent", "answering", "ended"}[s]
}

// Event is something that happened to an attempt; the set is closed.
type Event interface{ event() }

type (
	// ClaimHeld says that the claim is committed and known to be so.
	ClaimHeld struct{}
	// SendBegan says that a connection is there and the request goes out.
	SendBegan struct{}
	// SendEnded says that the last byte of the request has left.
	SendEnded struct{}
	// AnswerBegan says that the header of the answer has come.
	AnswerBegan struct{}
	// AnswerEnded says that the answer is whole.
	AnswerEnded struct{}
	// EndpointRefused says that the endpoint states that it has not begun.
	EndpointRefused struct{ Err error }
	// Failed says that the attempt broke.
	Failed struct{ Err error }
)

func (ClaimHeld) event()       {}
func (SendBegan) event()       {}
func (SendEnded) event()       {}
func (AnswerBegan) event()     {}
func (AnswerEnded) event()     {}
func (EndpointRefused) event() {}
func (Failed) event()          {}

// Attempt is one attempt as far as it has come.
//
// It is an immutable value; the zero value is queued.
type Attempt struct {
	state State
	// reached is the last state before the end.
	reached State
	// denied says that the endpoint stated that it has not begun.
	denied bool
	err    error
}

// With returns the attempt after an event.
//
// An event that comes late, such as the end of sending after the header of the
// answer, never leads back to an earlier state, and nothing follows the end.
func (a Attempt) With(e Event) Attempt {
	if a.state == Ended {
		return a
	}
	switch e := e.(type) {
	case ClaimHeld:
		return a.advance(Claimed)
	case SendBegan:
		return a.advance(Sending)
	case SendEnded:
		return a.advance(Sent)
	case AnswerBegan:
		return a.advance(Answering)
	case AnswerEnded:
		return a.advance(Answering).end(nil)
	case EndpointRefused:
		a.denied = true
		return a.end(e.Err)
	case Failed:
		return a.end(e.Err)
	}
	return a
}

func (a Attempt) advance(s State) Attempt {
	a.state = max(a.state, s)
	a.reached = max(a.reached, s)
	return a
}

func (a Attempt) end(err error) Attempt {
	a.state = Ended
	a.err = err
	return a
}

// State returns the state.
func (a Attempt) State() State { return a.state }

// Reached returns the last state before the end.
func (a Attempt) Reached() State { return a.reached }

// Whole reports whether the attempt ended with a whole answer.
func (a Attempt) Whole() bool { return a.state == Ended && a.err == nil }

// Outcome says what is known about the effect of the attempt.
func (a Attempt) Outcome() coder.Outcome {
	if a.denied || a.reached < Sending {
		return coder.NotRun
	}
	return coder.Unknown
}

// Err returns why the attempt failed, with its outcome; nil if it did not.
func (a Attempt) Err() error {
	if a.err == nil {
		return nil
	}
	return coder.Of(a.err).WithOutcome(a.Outcome())
}
