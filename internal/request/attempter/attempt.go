// Package attempter is the state machine of one attempt at a request.
//
// An attempt changes state only by events, so the outcome of a failed request
// follows from the states that its attempts reached: a request has not run if
// none of its bytes can have been sent, or if the endpoint itself reported so.
// A History combines the attempts of one request. The package is pure: the
// forwarder reports events, the dispatcher acts on the conclusions.
package attempter

import (
	"foxtailflow.example/foxtailflow/internal/base/coder"
)

// State is the progress of an attempt.
type State int

// The states of an attempt, in their order.
const (
	// Queued means that nothing has been done yet.
	Queued State = iota
	// Claimed means that the claim of the request's idempotency key is held.
	Claimed
	// Sending means that a byte of the request may have been sent.
	Sending
	// Sent means that the complete request has been sent.
	Sent
	// Responding means that the endpoint has begun its response.
	Responding
	// Ended means that the attempt is over; no event changes it any more.
	Ended
)

// String returns the name of the state as used in logs.
func (s State) String() string {
	return [...]string{"queued", "claimed", "sending", "sent", "answering", "ended"}[s]
}

// Event is something that happened to an attempt; the set of events is closed.
type Event interface{ event() }

type (
	// ClaimHeld reports that the claim is known to be committed.
	ClaimHeld struct{}
	// SendBegan reports that a connection is established and sending begins.
	SendBegan struct{}
	// SendEnded reports that the last byte of the request was sent.
	SendEnded struct{}
	// ResponseBegan reports that the header of the response was received.
	ResponseBegan struct{}
	// ResponseEnded reports that the response is complete.
	ResponseEnded struct{}
	// EndpointRefused reports that the endpoint stated that it has not begun
	// the request.
	EndpointRefused struct{ Err error }
	// Failed reports that the attempt failed.
	Failed struct{ Err error }
)

func (ClaimHeld) event()       {}
func (SendBegan) event()       {}
func (SendEnded) event()       {}
func (ResponseBegan) event()   {}
func (ResponseEnded) event()   {}
func (EndpointRefused) event() {}
func (Failed) event()          {}

// Attempt is the state of one attempt.
//
// It is an immutable value; the zero value is queued.
type Attempt struct {
	state State
	// reached is the last state before the end.
	reached State
	// notExecuted says that the endpoint stated that it has not begun the
	// request.
	notExecuted bool
	err         error
}

// With returns the attempt after an event.
//
// A late event, such as the end of sending after the header of the response,
// never leads back to an earlier state, and no event changes an ended attempt.
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
	case ResponseBegan:
		return a.advance(Responding)
	case ResponseEnded:
		return a.advance(Responding).end(nil)
	case EndpointRefused:
		a.notExecuted = true
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

// Complete reports whether the attempt ended with a complete response.
func (a Attempt) Complete() bool { return a.state == Ended && a.err == nil }

// Outcome returns what is known about whether the attempt ran.
func (a Attempt) Outcome() coder.Outcome {
	if a.notExecuted || a.reached < Sending {
		return coder.NotRun
	}
	return coder.Unknown
}

// Err returns why the attempt failed, with its outcome; nil if it did not fail.
func (a Attempt) Err() error {
	if a.err == nil {
		return nil
	}
	return coder.FromError(a.err).WithOutcome(a.Outcome())
}
