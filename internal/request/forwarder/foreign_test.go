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

// expandBytes replaces escapes of bytes that a script cannot have.
var expandBytes = strings.NewReplacer(`\r`, "\r", `\0`, "\x00", `\xff`, "\xff")

// TestForeignEvents guards against bytes in the stream of an OpenAI engine that are no event
// of the request and that its caller receives.
func TestForeignEvents(t *testing.T) {
	datadriven.RunTest(t, "testdata/foreign-events", func(t *testing.T, d *datadriven.TestData) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			for _, line := range strings.Split(d.Input, "\n") {
				_, _ = io.WriteString(w, expandBytes.Replace(expand(line)))
				_ = http.NewResponseController(w).Flush()
			}
		}))
		defer server.Close()
		f := forwarder.Forwarder{
			Clock: timekeeper.System{}, Dialect: translator.Translator{},
			Transport: &roundtripper.Transport{Clock: timekeeper.System{}, IdleTimeout: time.Minute, Dial: roundtripper.Dialer{Timeout: time.Second}.Dial},
		}
		w := &text{}
		rep := f.Forward(t.Context(), forwarder.Attempt{
			Address: server.Listener.Addr().String(),
			Request: carrier.Request{
				ID: "r1", Method: http.MethodPost, Target: "/v1/chat/completions", Deadline: time.Now().Add(5 * time.Second), Stream: true,
				Route: definer.Route{Kind: definer.Model},
			},
		}, w)
		out := "complete"
		if err := rep.Attempt.Err(); err != nil {
			out = fmt.Sprintf("%d, %s", coder.FromError(err).Code(), coder.FromError(err).Message())
		}
		return fmt.Sprintf("%s, %d events\n%s", out, rep.Events, strings.ReplaceAll(fmt.Sprintf("%q\n", w.String()), `{\"id\":\"chatcmpl-r1\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"x\"}}]}`, "TOKEN"))
	})
}
