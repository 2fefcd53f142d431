package measurer

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/jx"

	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/engine/controller"
)

// caller sends requests and records what it observes of each.
type caller struct {
	clock     timekeeper.Clock
	transport http.RoundTripper
	secret    string
}

// response is what a caller has observed of one request.
type response struct {
	status   int
	outcome  string
	replayed bool
	body     string
	// connected means that the node accepted the connection, complete that the
	// response ended as its protocol requires.
	connected bool
	complete  bool
	duration  time.Duration
	// firstByte is the time to the first bytes of the response body.
	firstByte time.Duration
}

func (r response) succeeded() bool { return r.complete && r.status == http.StatusOK }

// notRun reports whether the caller knows that the request did not run.
func (r response) notRun() bool { return !r.connected || r.complete && r.outcome == "not-run" }

func (c caller) send(ctx context.Context, method, url, body, key string) response {
	began := c.clock.Now()
	var result response
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return result
	}
	req.Header.Set("Authorization", "Bearer "+c.secret)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		// Only a refused connection proves that the node was not reached.
		result.connected = !strings.Contains(err.Error(), "connection refused")
		result.duration = c.clock.Now().Sub(began)
		return result
	}
	defer func() { _ = resp.Body.Close() }()
	result.connected, result.status = true, resp.StatusCode
	result.outcome, result.replayed = resp.Header.Get("Foxtailflow-Outcome"), resp.Header.Get("Foxtailflow-Replayed") != ""
	var b strings.Builder
	buf := make([]byte, 32<<10)
	for err == nil {
		var n int
		n, err = resp.Body.Read(buf)
		if n > 0 && result.firstByte == 0 {
			result.firstByte = c.clock.Now().Sub(began)
		}
		_, _ = b.Write(buf[:n])
	}
	result.body, result.duration = b.String(), c.clock.Now().Sub(began)
	result.complete = err == io.EOF //nolint:errorlint // The end of a body is this value itself.
	if result.complete && strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		result.complete = strings.HasSuffix(result.body, "data: [DONE]\n\n")
	}
	return result
}

// responseText returns the text of a model response, which is a JSON object or a
// stream of events.
func responseText(body string) string {
	if !strings.HasPrefix(body, "data:") {
		return messageContent([]byte(body))
	}
	var text strings.Builder
	for line := range strings.Lines(body) {
		data, ok := controller.EventData([]byte(line))
		if ok && !controller.IsDone(data) {
			_, _ = text.WriteString(messageContent(data))
		}
	}
	return text.String()
}

// messageContent returns the content of the first choice.
func messageContent(data []byte) (text string) {
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
