// Package forwarder makes one attempt to have an endpoint answer a request.
//
// It knows HTTP and nothing of retries. It reports what happens as events to
// the state machine of the attempt: that a byte of the request may have left,
// that the answer began, that it was whole. The dispatcher draws the
// conclusions.
package forwarder

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"strings"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/keeper"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/engine/speaker"
	"foxtailflow.example/foxtailflow/internal/request/attempter"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
)

// Forwarder sends attempts.
type Forwarder struct {
	Clock timekeeper.Clock
	// Shared carries requests that may be repeated, over kept connections.
	Shared http.RoundTripper
	// Fresh carries requests that may not, each over a connection of its own:
	// net/http repeats some requests by itself when a kept connection fails.
	Fresh http.RoundTripper
}

// New returns a forwarder with transports for its two kinds of request.
func New(clock timekeeper.Clock, connectWait time.Duration) Forwarder {
	dialer := &net.Dialer{Timeout: connectWait}
	shared := &http.Transport{
		DialContext:         dialer.DialContext,
		DisableCompression:  true,
		MaxIdleConnsPerHost: keptConnections,
		IdleConnTimeout:     keptFor,
	}
	fresh := shared.Clone()
	fresh.DisableKeepAlives = true
	return Forwarder{Clock: clock, Shared: shared, Fresh: fresh}
}

const (
	keptConnections = 256
	keptFor         = 30 * time.Second
)

// Attempt is one attempt at a request.
type Attempt struct {
	Request carrier.Request
	Address string
	// Start is the state in which the attempt begins.
	Start attempter.Attempt
	// Begun says that the caller has a part of the answer already.
	Begun bool
	// From is the number of stream events that the caller has already.
	From int
	// Resume continues the stream at the engine that has begun it.
	Resume bool
	// IdleTimeout ends an answer that makes no progress.
	IdleTimeout time.Duration
}

// Report says how far an attempt came.
type Report struct {
	// Attempt is the attempt, ended.
	Attempt attempter.Attempt
	// Begun says that a part of the answer went to the caller.
	Begun bool
	// Status is the status of the answer that was begun.
	Status int
	// Events is the number of stream events that are done with in all.
	Events int
	Usage  carrier.Usage
}

// hiddenHeaders are never passed to an endpoint: the credentials of the caller
// and what concerns the caller's connection only.
var hiddenHeaders = []string{
	"Authorization", "Cookie", "Proxy-Authorization", "Connection", "Keep-Alive", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Accept-Encoding",
	"Foxtailflow-Timeout",
}

// Forward makes the attempt.
func (f Forwarder) Forward(ctx context.Context, a Attempt, reply carrier.Reply) Report {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	state := &keeper.Cell[attempter.Attempt]{Rank: keeper.RankAttempts}
	note := func(e attempter.Event) {
		state.Update(func(at attempter.Attempt) (attempter.Attempt, bool) { return at.With(e), true })
	}
	state.Update(func(attempter.Attempt) (attempter.Attempt, bool) { return a.Start, true })
	rep := Report{Begun: a.Begun, Events: a.From}
	err := f.forward(traced(ctx, note), cancel, note, a, reply, &rep)
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
	return rep
}

// refusedError is an endpoint's own statement that it has not begun.
type refusedError struct{ error }

// traced reports what happens on the connection as events.
func traced(ctx context.Context, note func(attempter.Event)) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		// From here on a byte may leave, whatever error follows.
		GotConn: func(httptrace.GotConnInfo) { note(attempter.SendBegan{}) },
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if info.Err == nil {
				note(attempter.SendEnded{})
			}
		},
	})
}

func (f Forwarder) forward(ctx context.Context, cancel context.CancelCauseFunc, note func(attempter.Event), a Attempt, reply carrier.Reply, rep *Report) error {
	req, err := f.build(ctx, a)
	if err != nil {
		return err
	}
	transport := f.Fresh
	if a.Request.MayRepeat() {
		transport = f.Shared
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return attemptFailure(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	note(attempter.AnswerBegan{})
	if err := checkAnswer(a, resp); err != nil {
		return err
	}
	watch := newWatchdog(f.Clock, a.IdleTimeout, cancel)
	defer watch.stop()
	r := relay{attempt: a, reply: reply, report: rep, watch: watch}
	if isStream(resp) && a.Request.Route.Kind == definer.Model {
		return r.events(ctx, resp)
	}
	return r.whole(ctx, resp)
}

func (f Forwarder) build(ctx context.Context, a Attempt) (*http.Request, error) {
	if a.Resume {
		return f.buildResume(ctx, a)
	}
	r := a.Request
	var body io.Reader = bytes.NewReader(r.Body.Bytes)
	if r.Body.Stream != nil {
		body = r.Body.Stream
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+a.Address+r.Target, body)
	if err != nil {
		return nil, coder.Refuse(coder.MalformedHeader, "the request cannot be passed on").WithCause(err)
	}
	// The transport must not repeat a request on its own.
	req.GetBody = nil
	req.ContentLength = r.Body.Length
	if r.Body.Stream == nil && len(r.Body.Bytes) == 0 {
		req.Body = http.NoBody
	}
	for name, values := range r.Header {
		if !slices.Contains(hiddenHeaders, name) && !strings.HasPrefix(name, "Engine-") {
			req.Header[name] = values
		}
	}
	req.Header.Set("Foxtailflow-Request-Id", r.ID)
	if r.Route.Kind == definer.Model {
		req.Header.Set(speaker.HeaderRequestID, r.ID)
		req.Header.Set(speaker.HeaderPriority, strconv.Itoa(r.Route.Priority))
	}
	req.Header.Set(speaker.HeaderDeadline, f.timeLeft(r))
	if a.From > 0 {
		req.Header.Set(speaker.HeaderResumeFrom, strconv.Itoa(a.From))
	}
	return req, nil
}

// buildResume asks the engine that has begun a stream to go on with it.
func (f Forwarder) buildResume(ctx context.Context, a Attempt) (*http.Request, error) {
	target := "http://" + a.Address + speaker.ResumePath(a.Request.ID, a.From)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, http.NoBody)
	if err != nil {
		return nil, coder.Refuse(coder.EndpointUnreachable, "malformed endpoint address %q", a.Address).WithCause(err)
	}
	req.Header.Set(speaker.HeaderRequestID, a.Request.ID)
	req.Header.Set(speaker.HeaderDeadline, f.timeLeft(a.Request))
	return req, nil
}

func (f Forwarder) timeLeft(r carrier.Request) string {
	return strconv.FormatInt(max(r.Deadline.Sub(f.Clock.Now()).Milliseconds(), 1), 10)
}

// checkAnswer refuses, by its header, an answer that must not be passed on.
func checkAnswer(a Attempt, resp *http.Response) error {
	if err := checkIdentity(a.Request, resp.Header); err != nil {
		return err
	}
	if refused(resp) {
		return refusedError{coder.Refuse(coder.EndpointRefused, "endpoint %s refused the request: not run", a.Address)}
	}
	if a.From > 0 || a.Begun {
		return checkContinued(a, resp)
	}
	return nil
}

// checkContinued refuses an answer that does not go on where the caller is: an
// engine that does not know how to would begin again.
func checkContinued(a Attempt, resp *http.Response) error {
	from := resp.Header.Get(speaker.HeaderResumeFrom)
	if resp.StatusCode != http.StatusOK || !isStream(resp) || from != strconv.Itoa(a.From) {
		return coder.New(coder.EndpointFailed, "endpoint %s does not continue the stream after %d events", a.Address, a.From)
	}
	return nil
}

// checkIdentity refuses the answer to another request.
func checkIdentity(r carrier.Request, h http.Header) error {
	for _, name := range []string{speaker.HeaderRequestID, "Foxtailflow-Request-Id"} {
		if id := h.Get(name); id != "" && id != r.ID {
			return coder.New(coder.AnswerCrossed, "the answer belongs to request %s", id)
		}
	}
	return nil
}

// refused reports whether the endpoint itself says that it has not begun.
func refused(resp *http.Response) bool {
	return resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Foxtailflow-Outcome") == coder.NotRun.String()
}

func isStream(resp *http.Response) bool {
	return strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// attemptFailure names the failure of an attempt without an answer.
func attemptFailure(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, context.Canceled) {
		err = cause
	}
	var known coder.Error
	var op *net.OpError
	switch {
	case errors.As(err, &known):
		// The caller's body failed on its way.
		return known.WithOutcome(coder.Unknown)
	case errors.Is(err, context.DeadlineExceeded):
		return coder.Wrap(coder.DeadlinePassed, err, "the deadline has passed")
	case errors.As(err, &op) && op.Op == "dial":
		return coder.Wrap(coder.EndpointUnreachable, err, "the endpoint cannot be reached")
	}
	return coder.Wrap(coder.EndpointFailed, err, "the endpoint did not answer")
}
