package receiver

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/front/encoder"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
)

// reply sends one answer over HTTP.
type reply struct {
	clock   timekeeper.Clock
	w       http.ResponseWriter
	control *http.ResponseController
	// wait bounds one write to the caller: one that does not read must not
	// hold an engine's memory.
	wait   time.Duration
	stream bool
	begun  bool
}

func newReply(clock timekeeper.Clock, w http.ResponseWriter, r carrier.Request, wait time.Duration) *reply {
	return &reply{clock: clock, w: w, control: http.NewResponseController(w), stream: r.Stream, wait: wait}
}

// connectionHeaders concern one connection only and are not passed on.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Begin sends the status and header.
func (p *reply) Begin(_ context.Context, h carrier.Head) error {
	p.begun = true
	header := p.w.Header()
	for name, values := range h.Header {
		if slices.Contains(connectionHeaders, name) || strings.HasPrefix(name, "Engine-") || name == encoder.HeaderRequestID {
			continue
		}
		header[name] = slices.Clone(values)
	}
	p.w.WriteHeader(h.Status)
	return nil
}

// Write sends a piece of the answer at once.
func (p *reply) Write(_ context.Context, b []byte) error {
	_ = p.control.SetWriteDeadline(p.clock.Now().Add(p.wait))
	if _, err := p.w.Write(b); err != nil {
		return coder.Wrap(coder.CallerGone, err, "the caller does not read its answer")
	}
	if err := p.control.Flush(); err != nil {
		return coder.Wrap(coder.CallerGone, err, "the caller does not read its answer")
	}
	return nil
}

// end sends what is due after the handler returned.
//
// An answer that was begun and is not whole is never ended in the normal way:
// a stream gets an error event, and the connection is cut in every case.
func (p *reply) end(r carrier.Result) {
	if r.Err == nil {
		return
	}
	f := coder.Of(r.Err)
	if !p.begun {
		encoder.WriteRefusal(p.w, f)
		return
	}
	if p.stream {
		_, _ = p.w.Write(encoder.EncodeErrorEvent(f))
		_ = p.control.Flush()
	}
	panic(http.ErrAbortHandler)
}
