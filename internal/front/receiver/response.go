package receiver

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/acceptor"
	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/front/encoder"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
)

// response sends one response over HTTP.
type response struct {
	clock   timekeeper.Clock
	w       http.ResponseWriter
	control *http.ResponseController
	// writeTimeout limits one write, as a caller that does not read must not occupy
	// an engine's memory.
	writeTimeout time.Duration
	stream       bool
	begun        bool
}

func newResponse(clock timekeeper.Clock, w http.ResponseWriter, r carrier.Request, writeTimeout time.Duration) *response {
	return &response{clock: clock, w: w, control: http.NewResponseController(w), stream: r.Stream, writeTimeout: writeTimeout}
}

// connectionHeaders apply to one connection only and are not forwarded.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Begin sends the status and header.
func (resp *response) Begin(_ context.Context, h carrier.ResponseHead) error {
	resp.begun = true
	header := resp.w.Header()
	for name, values := range h.Header {
		if slices.Contains(connectionHeaders, name) || strings.HasPrefix(name, "Engine-") || name == encoder.HeaderRequestID {
			continue
		}
		header[name] = slices.Clone(values)
	}
	resp.w.WriteHeader(h.Status)
	return nil
}

// Write sends a chunk of the response at once.
func (resp *response) Write(_ context.Context, b []byte) error {
	_ = resp.control.SetWriteDeadline(resp.clock.Now().Add(resp.writeTimeout))
	if _, err := resp.w.Write(b); err != nil {
		return coder.Wrap(coder.CallerGone, err, "the caller does not read the response")
	}
	if err := resp.control.Flush(); err != nil {
		return coder.Wrap(coder.CallerGone, err, "the caller does not read the response")
	}
	return nil
}

// finish sends the refusal or error event that is due after the handler has returned.
//
// A response that was begun and is incomplete never ends normally: a stream gets an
// error event, and the connection is closed in any case.
func (resp *response) finish(r *http.Request, result carrier.Result) {
	if result.Err == nil {
		return
	}
	f := coder.FromError(result.Err)
	if !resp.begun {
		encoder.WriteRefusal(resp.w, f)
		return
	}
	if resp.stream {
		_ = resp.control.SetWriteDeadline(resp.clock.Now().Add(resp.writeTimeout))
		_, _ = resp.w.Write(encoder.EncodeErrorEvent(f))
		_ = resp.control.Flush()
	}
	acceptor.Abort(resp.w, r)
}
