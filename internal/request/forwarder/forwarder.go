// Package forwarder makes one attempt to have an endpoint answer a request.
//
// It knows HTTP and nothing of retries. What it reports is how far the attempt
// came: whether a byte of the request may have left, and whether the answer
// was whole. The dispatcher draws the conclusions.
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
	"sync/atomic"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/engine/speaker"
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
	// From is the number of stream events that the caller has already.
	From int
	// IdleTimeout ends an answer that makes no progress.
	IdleTimeout time.Duration
}

// Report says how far an attempt came.
type Report struct {
	// Sent says that a byte of the request may have left this node.
	Sent bool
	// Begun says that a part of the answer went to the caller.
	Begun bool
	// Events is the number of stream events that the caller has in all.
	Events int
	Usage  carrier.Usage
	// Err is nil if the answer was whole.
	Err error
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
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		// From here on a byte may leave, whatever error follows.
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	req, err := f.build(ctx, a)
	if err != nil {
		return Report{Err: err, Events: a.From}
	}
	transport := f.Fresh
	if a.Request.MayRepeat() {
		transport = f.Shared
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return Report{Sent: sent.Load(), Events: a.From, Err: attemptFailure(ctx, err, sent.Load())}
	}
	defer func() { _ = resp.Body.Close() }()
	rep := Report{Sent: true, Events: a.From}
	if err := checkIdentity(a.Request, resp.Header); err != nil {
		rep.Err = err
		return rep
	}
	if refused(resp) {
		rep.Err = coder.Refuse(coder.EndpointRefused, "endpoint %s refused the request: not run", a.Address)
		return rep
	}
	watch := newWatchdog(f.Clock, a.IdleTimeout, cancel)
	defer watch.stop()
	r := relay{attempt: a, reply: reply, report: &rep, watch: watch}
	if isStream(resp) && a.Request.Route.Kind == definer.Model {
		rep.Err = r.events(ctx, resp)
	} else {
		rep.Err = r.whole(ctx, resp)
	}
	return rep
}

func (f Forwarder) build(ctx context.Context, a Attempt) (*http.Request, error) {
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
	left := r.Deadline.Sub(f.Clock.Now())
	req.Header.Set(speaker.HeaderDeadline, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	if a.From > 0 {
		req.Header.Set(speaker.HeaderResumeFrom, strconv.Itoa(a.From))
	}
	return req, nil
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
func attemptFailure(ctx context.Context, err error, sent bool) error {
	if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, context.Canceled) {
		err = cause
	}
	var op *net.OpError
	code, text := coder.EndpointFailed, "the endpoint did not answer"
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		code, text = coder.DeadlinePassed, "the deadline has passed"
	case errors.As(err, &op) && op.Op == "dial":
		code, text = coder.EndpointUnreachable, "the endpoint cannot be reached"
	}
	f := coder.Wrap(code, err, "%s", text)
	if !sent {
		f = f.WithOutcome(coder.NotRun)
	}
	return f
}
