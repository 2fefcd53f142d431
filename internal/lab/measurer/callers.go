package measurer

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/jx"

	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/engine/speaker"
)

// caller sends requests as callers do.
type caller struct {
	clock     timekeeper.Clock
	transport http.RoundTripper
	secret    string
}

// reply is what a caller knows at the end of one request.
type reply struct {
	status   int
	outcome  string
	replayed bool
	body     string
	// reached says that the node took the connection, whole that the answer
	// ended as its protocol demands.
	reached bool
	whole   bool
	took    time.Duration
	// first is the time to the first piece of the answer.
	first time.Duration
}

func (r reply) answered() bool { return r.whole && r.status == http.StatusOK }

// notRun reports whether the request is said not to have run.
func (r reply) notRun() bool { return !r.reached || r.whole && r.outcome == "not-run" }

func (c caller) send(ctx context.Context, method, url, body, key string) reply {
	began := c.clock.Now()
	var out reply
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return out
	}
	req.Header.Set("Authorization", "Bearer "+c.secret)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		// Only a refused connection shows that the node was not reached.
		out.reached = !strings.Contains(err.Error(), "connection refused")
		out.took = c.clock.Now().Sub(began)
		return out
	}
	defer func() { _ = resp.Body.Close() }()
	out.reached, out.status = true, resp.StatusCode
	out.outcome, out.replayed = resp.Header.Get("Foxtailflow-Outcome"), resp.Header.Get("Foxtailflow-Replayed") != ""
	var b strings.Builder
	buf := make([]byte, 32<<10)
	for err == nil {
		var n int
		n, err = resp.Body.Read(buf)
		if n > 0 && out.first == 0 {
			out.first = c.clock.Now().Sub(began)
		}
		_, _ = b.Write(buf[:n])
	}
	out.body, out.took = b.String(), c.clock.Now().Sub(began)
	out.whole = err == io.EOF //nolint:errorlint // The end of a body is this value itself.
	if out.whole && strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		out.whole = strings.HasSuffix(out.body, "data: [DONE]\n\n")
	}
	return out
}

// textOf returns the text of a model's answer, whole or in events.
func textOf(body string) string {
	if !strings.HasPrefix(body, "data:") {
		return contentOf([]byte(body))
	}
	var text strings.Builder
	for line := range strings.Lines(body) {
		data, ok := speaker.EventData([]byte(line))
		if ok && !speaker.IsDone(data) {
			_, _ = text.WriteString(contentOf(data))
		}
	}
	return text.String()
}

// contentOf returns the content of the first choice.
func contentOf(data []byte) (text string) {
	_ = jx.DecodeBytes(data).Obj(func(d *jx.Decoder, name string) error {
		if name != "choices" {
			return d.Skip()
		}
		return d.Arr(func(d *jx.Decoder) error {
			return d.Obj(func(d *jx.Decoder, name string) error {
				if name != "message" {
					return d.Skip()
				}
				return d.Obj(func(d *jx.Decoder, name string) (err error) {
					if name != "content" {
						return d.Skip()
					}
					text, err = d.Str()
					return err
				})
			})
		})
	})
	return text
}
