package forwarder_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
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

// TestStalls guards against slow but sound streams that are cut off, and against stalled
// ones that go on because they send a byte or a comment now and then.
func TestStalls(t *testing.T) {
	datadriven.RunTest(t, "testdata/stalls", func(t *testing.T, d *datadriven.TestData) string {
		var every, idle, first int
		d.ScanArgs(t, "every-ms", &every)
		d.ScanArgs(t, "idle-ms", &idle)
		d.MaybeScanArgs(t, "first-ms", &first)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			for _, piece := range strings.Split(strings.TrimSpace(d.Input), "\n") {
				_, _ = io.WriteString(w, expand(piece))
				_ = http.NewResponseController(w).Flush()
				select {
				case <-r.Context().Done():
					return
				case <-time.After(time.Duration(every) * time.Millisecond):
				}
			}
		}))
		defer server.Close()
		f := forwarder.Forwarder{
			Clock: timekeeper.System{}, Dialect: translator.Translator{},
			Transport: &roundtripper.Transport{Clock: timekeeper.System{}, IdleTimeout: time.Minute, Dial: roundtripper.Dialer{Timeout: time.Second}.Dial},
		}
		w := &text{}
		rep := f.Forward(t.Context(), forwarder.Attempt{
			Address:          server.Listener.Addr().String(),
			IdleTimeout:      time.Duration(idle) * time.Millisecond,
			FirstByteTimeout: time.Duration(first) * time.Millisecond,
			Request: carrier.Request{
				ID: "r1", Method: http.MethodPost, Target: "/v1/chat/completions", Deadline: time.Now().Add(5 * time.Second), Stream: true,
				Route: definer.Route{Kind: definer.Model},
			},
		}, w)
		if err := rep.Attempt.Err(); err != nil {
			return fmt.Sprintf("%d %s after %d events\n", coder.FromError(err).Code(), rep.Attempt.Outcome(), rep.Events)
		}
		return fmt.Sprintf("complete, %d events\n", rep.Events)
	})
}

// expand replaces \n by a line end and TOKEN by an event with a token.
func expand(piece string) string {
	piece = strings.ReplaceAll(piece, "TOKEN", `data: {"id":"chatcmpl-r1","choices":[{"index":0,"delta":{"content":"x"}}]}\n\n`)
	return strings.ReplaceAll(piece, `\n`, "\n")
}
