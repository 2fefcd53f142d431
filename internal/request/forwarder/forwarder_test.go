package forwarder_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailflow.example/foxtailflow/internal/base/roundtripper"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/engine/translator"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
	"foxtailflow.example/foxtailflow/internal/request/forwarder"
)

// dialect passes responses on in one mode.
type dialect struct {
	translator.Translator
	mode forwarder.Mode
}

// Mode returns the mode.
func (d dialect) Mode(forwarder.Attempt, carrier.ResponseHead) forwarder.Mode { return d.mode }

// Matches accepts every response.
func (dialect) Matches(carrier.Request, carrier.ResponseHead, bool) bool { return true }

// KeepsConnection keeps every connection.
func (dialect) KeepsConnection(carrier.Request, carrier.ResponseHead) bool { return true }

// CheckHead accepts every response.
func (dialect) CheckHead(forwarder.Attempt, carrier.ResponseHead) error { return nil }

// CheckResponse accepts every response.
func (dialect) CheckResponse(forwarder.Attempt, carrier.ResponseHead, []byte) (carrier.Usage, error) {
	return carrier.Usage{}, nil
}

// reply records the number of idle connections when the response is written.
type reply struct {
	transport *roundtripper.Transport
	address   string
	idle      int
}

// Begin does nothing.
func (*reply) Begin(context.Context, carrier.ResponseHead) error { return nil }

// Write records the number of idle connections.
func (r *reply) Write(context.Context, []byte) error {
	r.idle = r.transport.Stats(r.address).Idle
	return nil
}

// TestConnectionFree guards against a response that occupies the connection to
// its endpoint until the caller has taken it: the caller's next request then
// has to dial, or gets no connection if their number is bounded.
func TestConnectionFree(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "answer")
	}))
	defer server.Close()
	for name, mode := range map[string]forwarder.Mode{"whole": forwarder.Buffered, "pieces": forwarder.Streamed} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := &roundtripper.Transport{Clock: timekeeper.System{}, Dial: roundtripper.Dialer{Timeout: time.Second}.Dial, IdleTimeout: time.Minute}
			r := &reply{transport: l, address: server.Listener.Addr().String()}
			f := forwarder.Forwarder{Clock: timekeeper.System{}, Transport: l, Dialect: dialect{mode: mode}}
			rep := f.Forward(t.Context(), forwarder.Attempt{Address: r.address, Request: carrier.Request{
				ID: "r1", Method: http.MethodGet, Target: "/", Route: definer.Route{Kind: definer.Plain},
				Deadline: time.Now().Add(5 * time.Second),
			}}, r)
			is.NoErr(rep.Attempt.Err())
			is.Equal(r.idle, 1)
		})
	}
}
