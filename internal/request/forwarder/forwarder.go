// Package forwarder makes one attempt at a request at an endpoint.
//
// It knows nothing of retries or of the protocol of the endpoints: a Dialect
// encodes requests and interprets responses. The forwarder reports events to
// the state machine of the attempt: that a byte of the request may have been
// sent, that the response began, that it is complete. The dispatcher draws the
// conclusions.
package forwarder

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/keeper"
	"foxtailflow.example/foxtailflow/internal/base/recorder"
	"foxtailflow.example/foxtailflow/internal/base/reserver"
	"foxtailflow.example/foxtailflow/internal/base/roundtripper"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/request/attempter"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
)

// Mode is the way in which a response is passed on.
type Mode int

// The ways to pass a response on.
const (
	// Buffered reads a response to its end before it passes it on, so that it can be
	// checked as a whole, and the request repeated if the response is cut off.
	Buffered Mode = iota
	// Prefetched does the same with a response of usual length; a longer one is passed
	// on as it arrives.
	Prefetched
	// Streamed passes a response on as it arrives.
	Streamed
	// Events passes an event stream on, one complete event at a time.
	Events
)

// Event is one event of a stream.
type Event struct {
	// Data is what the caller is sent; empty means nothing.
	Data []byte
	// Number is the place of the event in the stream from 1 if the endpoint numbers its
	// events, or 0.
	Number uint64
	// Last marks the end of a complete stream.
	Last bool
	// Comment marks what is no event, such as a line that keeps a connection open: it
	// is no progress and has no number.
	Comment bool
	Usage   carrier.Usage
}

// IsComment reports whether the lines of an event are comments only.
func IsComment(event []byte) bool {
	for line := range bytes.Lines(event) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// Dialect encodes requests for endpoints and interprets their responses.
type Dialect interface {
	// Encode returns the request of an attempt; left is the time until its
	// deadline.
	Encode(a Attempt, left time.Duration) (roundtripper.Request, error)
	// Matches reports whether the head of a response names the request; first means that
	// nothing was received on the connection before.
	Matches(r carrier.Request, h carrier.ResponseHead, first bool) bool
	// KeepsConnection reports whether other requests may be sent on the connection of a
	// response: one more copy of that can be told from the response to them.
	KeepsConnection(r carrier.Request, h carrier.ResponseHead) bool
	// CheckHead returns why the attempt has failed, judging by the head of a
	// response. The outcome NotRun means that the endpoint itself reports that
	// it has not begun the request.
	CheckHead(a Attempt, h carrier.ResponseHead) error
	// Mode returns how a response is passed on.
	Mode(a Attempt, h carrier.ResponseHead) Mode
	// CheckResponse checks a response that was read completely.
	CheckResponse(a Attempt, h carrier.ResponseHead, body []byte) (carrier.Usage, error)
	// Event decodes one event, including the blank line that ends it. It fails for bytes
	// that are no event of this protocol.
	Event(a Attempt, event []byte) (Event, error)
	// MarksEnd reports whether a stream is complete only after an event that is
	// marked as its last.
	MarksEnd() bool
	// Load returns the load that the endpoint reports in the head of a
	// response.
	Load(h carrier.ResponseHead) (carrier.Load, bool)
	// Handle decodes the response to a request that only prefills a prompt.
	Handle(body []byte) (carrier.PromptHandle, error)
}

// Forwarder makes attempts at requests.
type Forwarder struct {
	Clock     timekeeper.Clock
	Log       zerolog.Logger
	Transport *roundtripper.Transport
	Dialect   Dialect
	// Memory bounds what is held of responses; nil means no bound.
	Memory *reserver.Memory
	// ListAge returns how old the list of endpoints is; nil means that it is not known.
	ListAge func() time.Duration
}

// Attempt is one attempt at a request.
type Attempt struct {
	Request carrier.Request
	// Endpoint is the identity that the endpoint must have, EndpointID that of its
	// start, Address its network address.
	Endpoint   string
	EndpointID string
	Address    string
	// Connections bounds this node's connections to the endpoint; 0 means no
	// bound.
	Connections int
	// NewConnection sends the request on a new connection.
	NewConnection bool
	// Resent means that the request, or its prompt, was sent to the endpoint before.
	Resent bool
	// InitialState is the initial state of the attempt.
	InitialState attempter.Attempt
	// ResponseBegun says that the caller already has a part of the response.
	ResponseBegun bool
	// EventsDone is the number of stream events that the caller already has,
	// LastEvent the number of the last of them, which counts those that it had before
	// the request.
	EventsDone int
	LastEvent  uint64
	// Resume continues the stream at the engine that began it.
	Resume bool
	// PrefillOnly only prefills the prompt, which the engine keeps under a handle.
	PrefillOnly bool
	// Source is the handle of the prefilled prompt; its zero value means that
	// no engine has prefilled it.
	Source carrier.PromptHandle
	// FetchFrom is the address of an engine from whose cache the prefix of the
	// prompt can be copied; empty means none.
	FetchFrom string
	// IdleTimeout ends a response that makes no progress; 0 means no limit.
	IdleTimeout time.Duration
	// FirstByteTimeout ends an attempt that has received no first event by then,
	// or, for a response that is no stream, no head; 0 means no limit.
	FirstByteTimeout time.Duration
	// Check is the last check of the request itself, called between the opening of a
	// connection and the first byte; if it fails, nothing is sent. Nil allows all.
	Check func() error
	// OnFirstData is called when the first data of a valid response has arrived.
	OnFirstData func()
}

// Report is the result of an attempt.
type Report struct {
	// Attempt is the ended attempt.
	Attempt attempter.Attempt
	// ResponseBegun says that a part of the response was sent to the caller.
	ResponseBegun bool
	// Status is the status of the response that was begun.
	Status int
	// Events is the total number of stream events processed, LastEvent the number
	// of the last one.
	Events    int
	LastEvent uint64
	Usage     carrier.Usage
	// Load is the load that the endpoint reports, valid if HasLoad is set.
	Load    carrier.Load
	HasLoad bool
	// FailureResponse is a complete response by which the endpoint failed the
	// request; it was not passed on.
	FailureResponse carrier.Response
	// ConnectionReused says that the connection of the response had carried a request
	// before.
	ConnectionReused bool
	// SentAt is when sending began, HeadAt when the head of the response was
	// received.
	SentAt time.Time
	HeadAt time.Time
	// ListAge is how old the list of endpoints was when sending began.
	ListAge time.Duration
}

// Forward makes the attempt and passes the response to w.
func (f Forwarder) Forward(ctx context.Context, a Attempt, w carrier.ResponseWriter) Report {
	rep, _ := f.run(ctx, a, func(ctx context.Context, x *relay) error { return x.passOn(ctx, w) })
	return rep
}

// Prefill has an endpoint prefill the prompt of a request and keep it.
func (f Forwarder) Prefill(ctx context.Context, a Attempt) (carrier.PromptHandle, Report) {
	a.PrefillOnly = true
	var h carrier.PromptHandle
	rep, _ := f.run(ctx, a, func(ctx context.Context, x *relay) (err error) {
		h, err = x.readHandle(ctx)
		return err
	})
	h.Address, h.Endpoint = a.Address, a.EndpointID
	return h, rep
}

// run sends the request, checks the head of the response and calls receive for
// the rest.
func (f Forwarder) run(ctx context.Context, a Attempt, receive func(context.Context, *relay) error) (Report, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	state := &keeper.Cell[attempter.Attempt]{Rank: keeper.RankAttempts}
	record := func(e attempter.Event) {
		state.Update(func(at attempter.Attempt) (attempter.Attempt, bool) { return at.With(e), true })
	}
	state.Update(func(attempter.Attempt) (attempter.Attempt, bool) { return a.InitialState, true })
	rep := Report{ResponseBegun: a.ResponseBegun, Events: a.EventsDone, LastEvent: a.LastEvent}
	x := &relay{forwarder: f, attempt: a, report: &rep, record: record, watchdog: watchdog{clock: f.Clock, cancel: cancel}}
	defer x.watchdog.stop()
	err := x.send(ctx)
	if err == nil {
		err = receive(ctx, x)
		x.close()
	}
	var refusal refusedError
	switch {
	case err == nil:
		record(attempter.ResponseEnded{})
	case errors.As(err, &refusal):
		record(attempter.EndpointRefused{Err: refusal.error})
	default:
		record(attempter.Failed{Err: err})
	}
	rep.Attempt = state.Get()
	f.recordClosed(a.Request, rep)
	return rep, err
}

// The times from the close of a caller's connection, as the kernel saw it, to the last write
// of the request and to the end of the attempt, by which its connection is closed.
var (
	closeToSend = recorder.Publish("caller-close-to-send-ms")
	closeToEnd  = recorder.Publish("caller-close-to-end-ms")
)

// slowRelease is how long an attempt may go on after its caller has closed the connection
// before that is logged.
const slowRelease = 250 * time.Millisecond

// recordClosed records how long an attempt that may have reached its endpoint went on after
// its caller had closed the connection.
func (f Forwarder) recordClosed(r carrier.Request, rep Report) {
	if rep.Attempt.Err() == nil || rep.SentAt.IsZero() || r.NeedsClaim() {
		return
	}
	closedAt, ok := r.CallerClosedAt()
	if !ok {
		return
	}
	late := f.Clock.Now().Sub(closedAt)
	closeToEnd.Record(late)
	if rep.SentAt.After(closedAt) {
		closeToSend.Record(rep.SentAt.Sub(closedAt))
	}
	if late > slowRelease {
		f.Log.Warn().Str("request", r.ID).Dur("close-to-end-ms", late).Dur("close-to-send-ms", max(rep.SentAt.Sub(closedAt), 0)).Msg("attempt ended late after its caller had left")
	}
}

// refusedError says that the endpoint itself reports that it has not begun the
// request.
type refusedError struct{ error }

// send sends the request and checks the head of the response.
func (x *relay) send(ctx context.Context) error {
	f, a := x.forwarder, x.attempt
	m, err := f.Dialect.Encode(a, a.Request.Deadline.Sub(f.Clock.Now()))
	if err != nil {
		return err
	}
	x.watchdog.start(a.FirstByteTimeout, errFirstTimeout)
	response, err := f.Transport.Send(ctx, a.Address, m, roundtripper.Options{
		Endpoint:       a.EndpointID,
		MaxConnections: a.Connections,
		NewConnection:  a.NewConnection,
		Fresh:          a.Resent,
		Guard:          a.Check,
		OnSend: func() {
			x.report.SentAt = f.Clock.Now()
			if f.ListAge != nil {
				x.report.ListAge = f.ListAge()
			}
			x.record(attempter.SendBegan{})
		},
		Accept: func(status int, h http.Header, first bool) bool {
			return f.Dialect.Matches(a.Request, carrier.ResponseHead{Status: status, Header: carrier.Header(h)}, first)
		},
		Keep: func(status int, h http.Header) bool {
			return f.Dialect.KeepsConnection(a.Request, carrier.ResponseHead{Status: status, Header: carrier.Header(h)})
		},
	})
	if err != nil {
		return sendFailure(ctx, err)
	}
	x.record(attempter.ResponseBegan{})
	x.report.HeadAt = f.Clock.Now()
	x.report.ConnectionReused = response.Reused
	x.response = response
	x.head = carrier.ResponseHead{
		Status:      response.Status,
		Header:      carrier.Header(response.Header),
		Undelimited: !response.Delimited && m.Method != http.MethodHead,
	}
	x.report.Load, x.report.HasLoad = f.Dialect.Load(x.head)
	err = f.Dialect.CheckHead(a, x.head)
	if err == nil {
		return nil
	}
	x.discard()
	if coder.FromError(err).Outcome() == coder.NotRun {
		return refusedError{err}
	}
	return err
}

// sendFailure returns the error of an attempt without a response.
func sendFailure(ctx context.Context, err error) error {
	cause := context.Cause(ctx)
	var known coder.Error
	switch {
	case cause != nil && errors.As(cause, &known):
		return known.WithOutcome(coder.FromError(err).Outcome())
	case errors.Is(err, context.DeadlineExceeded):
		return coder.Wrap(coder.DeadlinePassed, err, "the deadline has passed")
	}
	return err
}
