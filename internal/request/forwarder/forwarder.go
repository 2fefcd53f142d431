// Package forwarder makes one attempt to have an endpoint answer a request.
//
// It knows nothing of retries, nor of the words of the endpoints: a Dialect
// encodes requests and says what an answer means. The forwarder reports what
// happens as events to the state machine of the attempt: that a byte of the
// request may have left, that the answer began, that it was whole. The
// dispatcher draws the conclusions.
package forwarder

import (
	"context"
	"errors"
	"net/http"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/keeper"
	"foxtailflow.example/foxtailflow/internal/base/linker"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/request/attempter"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
)

// Mode is the way in which an answer is passed on.
type Mode int

// The ways to pass an answer on.
const (
	// Whole reads an answer to its end first, so that one which is cut can be
	// repeated.
	Whole Mode = iota
	// Pieces passes an answer on as it comes.
	Pieces
	// Events passes an event stream on, one whole event after the other.
	Events
)

// Event is one event of a stream.
type Event struct {
	// Data is what the caller is sent; empty means nothing.
	Data []byte
	// ID names the event where the endpoint numbers its events.
	ID string
	// Last marks the end of a whole stream.
	Last  bool
	Usage carrier.Usage
}

// Dialect is how endpoints are spoken to.
type Dialect interface {
	// Encode returns the request of an attempt for which the given time is left.
	Encode(a Attempt, left time.Duration) (linker.Message, error)
	// Belongs reports whether the head of an answer names the request.
	Belongs(r carrier.Request, h carrier.Head) bool
	// Check says, by the head of an answer, why the attempt has failed. The
	// outcome NotRun is the endpoint's own statement that it has not begun.
	Check(a Attempt, h carrier.Head) error
	// Mode says how an answer is passed on.
	Mode(a Attempt, h carrier.Head) Mode
	// Answer checks an answer that was read whole.
	Answer(a Attempt, h carrier.Head, body []byte) (carrier.Usage, error)
	// Event decodes one event with the blank line that ends it.
	Event(a Attempt, event []byte) (Event, error)
	// MarksEnd says that a stream is whole only after an event that is its last.
	MarksEnd() bool
	// Load returns the endpoint's load as the head of an answer tells it.
	Load(h carrier.Head) (carrier.Load, bool)
	// Handle decodes the answer to a request that only has its prompt read.
	Handle(body []byte) (carrier.Handle, error)
}

// Forwarder sends attempts.
type Forwarder struct {
	Clock   timekeeper.Clock
	Linker  *linker.Linker
	Dialect Dialect
}

// Attempt is one attempt at a request.
type Attempt struct {
	Request carrier.Request
	// Endpoint is the identity that the endpoint must have, Address where it is.
	Endpoint string
	Address  string
	// Connections bounds this node's connections to the endpoint; 0 means no
	// bound.
	Connections int
	// Fresh has the request sent on a new connection.
	Fresh bool
	// Start is the state in which the attempt begins.
	Start attempter.Attempt
	// Begun says that the caller has a part of the answer already.
	Begun bool
	// From is the number of stream events that the caller has already, After
	// the name of the last of them.
	From  int
	After string
	// Resume continues the stream at the engine that has begun it.
	Resume bool
	// ReadOnly has the prompt read and kept under a handle.
	ReadOnly bool
	// Source has the prompt already; its zero value means that none has.
	Source carrier.Handle
	// Fetch is the address of an engine from whose cache the beginning of the
	// prompt can be copied; empty means none.
	Fetch string
	// IdleTimeout ends an answer that makes no progress; 0 means none.
	IdleTimeout time.Duration
	// FirstTimeout ends an attempt that has no first event, or no head of
	// another answer, by then; 0 means none.
	FirstTimeout time.Duration
	// OnFirst is called when the first piece of a good answer has come.
	OnFirst func()
}

// Report says how far an attempt came.
type Report struct {
	// Attempt is the attempt, ended.
	Attempt attempter.Attempt
	// Begun says that a part of the answer went to the caller.
	Begun bool
	// Status is the status of the answer that was begun.
	Status int
	// Events is the number of stream events that are done with in all, Last
	// the name of the last one.
	Events int
	Last   string
	Usage  carrier.Usage
	// Load is the endpoint's own account of its load, where Loaded.
	Load   carrier.Load
	Loaded bool
	// Held is a whole answer by which the endpoint failed the request; it was
	// not passed on.
	Held carrier.Answer
	// Sent and Head are when the request left and the head of its answer came.
	Sent time.Time
	Head time.Time
}

// Forward makes the attempt.
func (f Forwarder) Forward(ctx context.Context, a Attempt, reply carrier.Reply) Report {
	rep, _ := f.run(ctx, a, func(ctx context.Context, x *relay) error { return x.pass(ctx, reply) })
	return rep
}

// Read has an endpoint read the prompt of a request and keep it.
func (f Forwarder) Read(ctx context.Context, a Attempt) (carrier.Handle, Report) {
	a.ReadOnly = true
	var h carrier.Handle
	rep, _ := f.run(ctx, a, func(ctx context.Context, x *relay) (err error) {
		h, err = x.handle(ctx)
		return err
	})
	h.Address = a.Address
	return h, rep
}

// run sends the request, checks the head of the answer and takes the answer.
func (f Forwarder) run(ctx context.Context, a Attempt, take func(context.Context, *relay) error) (Report, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	state := &keeper.Cell[attempter.Attempt]{Rank: keeper.RankAttempts}
	note := func(e attempter.Event) {
		state.Update(func(at attempter.Attempt) (attempter.Attempt, bool) { return at.With(e), true })
	}
	state.Update(func(attempter.Attempt) (attempter.Attempt, bool) { return a.Start, true })
	rep := Report{Begun: a.Begun, Events: a.From, Last: a.After}
	x := &relay{forwarder: f, attempt: a, report: &rep, note: note, watch: watchdog{clock: f.Clock, cancel: cancel}}
	defer x.watch.stop()
	err := x.send(ctx)
	if err == nil {
		err = take(ctx, x)
		x.close()
	}
	var refusal refusedError
	switch {
	case err == nil:
		note(attempter.AnswerEnded{})
	case errors.As(err, &refusal):
		note(attempter.EndpointRefused{Err: refusal.error})
	default:
		note(attempter.Failed{Err: err})
	}
	rep.Attempt = state.Get()
	return rep, err
}

// refusedError is an endpoint's own statement that it has not begun.
type refusedError struct{ error }

// send sends the request and checks the head of the answer.
func (x *relay) send(ctx context.Context) error {
	f, a := x.forwarder, x.attempt
	m, err := f.Dialect.Encode(a, a.Request.Deadline.Sub(f.Clock.Now()))
	if err != nil {
		return err
	}
	x.watch.start(a.FirstTimeout, errLate)
	answer, err := f.Linker.Send(ctx, a.Address, m, linker.Options{
		Connections: a.Connections,
		Fresh:       a.Fresh,
		OnSend: func() {
			x.report.Sent = f.Clock.Now()
			x.note(attempter.SendBegan{})
		},
		Accept: func(status int, h http.Header) bool {
			return f.Dialect.Belongs(a.Request, carrier.Head{Status: status, Header: carrier.Header(h)})
		},
	})
	if err != nil {
		return sendFailure(ctx, err)
	}
	x.note(attempter.AnswerBegan{})
	x.report.Head = f.Clock.Now()
	x.answer = answer
	x.head = carrier.Head{
		Status:      answer.Status,
		Header:      carrier.Header(answer.Header),
		Undelimited: !answer.Delimited && m.Method != http.MethodHead,
	}
	x.report.Load, x.report.Loaded = f.Dialect.Load(x.head)
	err = f.Dialect.Check(a, x.head)
	if err == nil {
		return nil
	}
	x.discard()
	if coder.Of(err).Outcome() == coder.NotRun {
		return refusedError{err}
	}
	return err
}

// sendFailure names the failure of an attempt without an answer.
func sendFailure(ctx context.Context, err error) error {
	cause := context.Cause(ctx)
	var known coder.Error
	switch {
	case cause != nil && errors.As(cause, &known):
		return known.WithOutcome(coder.Of(err).Outcome())
	case errors.Is(err, context.DeadlineExceeded):
		return coder.Wrap(coder.DeadlinePassed, err, "the deadline has passed")
	}
	return err
}
