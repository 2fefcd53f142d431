package forwarder_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/roundtripper"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/engine/translator"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
	"foxtailflow.example/foxtailflow/internal/request/forwarder"
)

// TestLateCopies guards against a second copy of a response, late, on a connection that is
// in use again: the caller of the next request would get it.
func TestLateCopies(t *testing.T) {
	datadriven.RunTest(t, "testdata/late-copies", func(t *testing.T, d *datadriven.TestData) string {
		e := newCopyingEndpoint(t, d)
		f := forwarder.Forwarder{
			Clock: timekeeper.System{}, Dialect: translator.Translator{},
			Transport: &roundtripper.Transport{Clock: timekeeper.System{}, IdleTimeout: time.Minute, Dial: roundtripper.Dialer{Timeout: time.Second}.Dial},
		}
		var out strings.Builder
		for _, id := range []string{"r1", "r2"} {
			w := &text{}
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			rep := f.Forward(ctx, forwarder.Attempt{Address: e.listener.Addr().String(), Request: carrier.Request{
				ID: id, Method: http.MethodGet, Target: "/" + id, Deadline: time.Now().Add(5 * time.Second),
				Route: definer.Route{Kind: definer.Plain, RetryPolicy: definer.RetryAlways},
			}}, w)
			cancel()
			if err := rep.Attempt.Err(); err != nil {
				_, _ = fmt.Fprintf(&out, "%s: %d %s\n", id, coder.FromError(err).Code(), rep.Attempt.Outcome())
			} else {
				_, _ = fmt.Fprintf(&out, "%s: %q\n", id, w.String())
			}
			// A copy in the same packets has arrived before the next request.
			time.Sleep(20 * time.Millisecond)
		}
		return out.String()
	})
}

// text is what a caller receives.
type text struct{ strings.Builder }

// Begin does nothing.
func (*text) Begin(context.Context, carrier.ResponseHead) error { return nil }

// Write adds a part of the body.
func (w *text) Write(_ context.Context, p []byte) error {
	_, err := w.Builder.Write(p)
	return err
}

// copyingEndpoint responds to each request and, as a script says, writes the response once
// more: at once, before the next response, or after the first bytes of that.
type copyingEndpoint struct {
	listener net.Listener
	named    bool
	chunked  bool
	status   int
	copies   string
}

func newCopyingEndpoint(t *testing.T, d *datadriven.TestData) *copyingEndpoint {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	e := &copyingEndpoint{listener: l, named: d.HasArg("named"), chunked: d.HasArg("chunked"), status: http.StatusOK}
	d.MaybeScanArgs(t, "copy", &e.copies)
	d.MaybeScanArgs(t, "status", &e.status)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	return e
}

func (e *copyingEndpoint) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for last := ""; ; {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		response := e.response(req)
		switch {
		case e.copies == "at-once":
			_, _ = io.WriteString(c, response+response)
		case e.copies == "before-next":
			_, _ = io.WriteString(c, last+response)
		case e.copies == "instead-of-next" && last != "":
			_, _ = io.WriteString(c, last)
		default:
			_, _ = io.WriteString(c, response)
		}
		last = response
	}
}

func (e *copyingEndpoint) response(r *http.Request) string {
	body := "response to " + r.URL.Path
	head := fmt.Sprintf("HTTP/1.1 %d Status\r\n", e.status)
	if e.named {
		head += "Foxtailflow-Request-Id: " + r.Header.Get("Foxtailflow-Request-Id") + "\r\n"
	}
	if e.status == http.StatusServiceUnavailable {
		head += "Foxtailflow-Outcome: not-run\r\n"
	}
	if e.chunked {
		return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
	}
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
}
