package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/roundtripper"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
	"foxtailflow.example/foxtailflow/internal/request/forwarder"
)

// TestEndlessBody guards against a body or an event without end that takes the memory
// of the node, and against one that is passed on as complete.
func TestEndlessBody(t *testing.T) {
	datadriven.RunTest(t, "testdata/endless", func(t *testing.T, d *datadriven.TestData) string {
		var mode string
		size, status := -1, http.StatusOK
		d.ScanArgs(t, "mode", &mode)
		d.MaybeScanArgs(t, "size", &size)
		d.MaybeScanArgs(t, "status", &status)
		unit := strings.Repeat("x", 1<<10)
		if d.HasArg("lines") {
			unit = "data: x\n"
		}
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			writeUnits(w, unit, size)
		}))
		defer server.Close()
		var received atomic.Int64
		f := forwarder.Forwarder{
			Clock: timekeeper.System{}, Dialect: dialect{mode: modes[mode]},
			Transport: &roundtripper.Transport{Clock: timekeeper.System{}, IdleTimeout: time.Minute, Dial: countReceived(&received)},
		}
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		r := &counter{}
		rep := f.Forward(ctx, forwarder.Attempt{Address: server.Listener.Addr().String(), Request: carrier.Request{
			ID: "r1", Method: http.MethodGet, Target: "/", Deadline: time.Now().Add(time.Minute),
			Route: definer.Route{Kind: definer.Plain, RetryPolicy: definer.RetryAlways},
		}}, r)
		err := coder.FromError(rep.Attempt.Err())
		if rep.Attempt.Err() == nil {
			return fmt.Sprintf("complete, %d bytes passed on\n", r.bytes)
		}
		kept := received.Load()*chunkSize/(chunkSize+chunkFraming) - int64(r.bytes)
		return fmt.Sprintf("%d %s, begun %t, kept no more than 2 MiB: %t, ended before the deadline: %t\n",
			err.Code(), err.Outcome(), rep.ResponseBegun, kept <= 2<<20, ctx.Err() == nil)
	})
}

var modes = map[string]forwarder.Mode{"buffered": forwarder.Buffered, "prefetched": forwarder.Prefetched, "events": forwarder.Events}

// The server sends a long body in chunks of chunkSize bytes with chunkFraming bytes around
// each, which no part of the node keeps.
const (
	chunkSize    = 2048
	chunkFraming = int64(len("800\r\n") + len("\r\n"))
)

// maxUnits bounds an endless body in bytes.
const maxUnits = 4 << 30

// writeUnits repeats a unit for size bytes, or until the connection is closed if size
// is negative.
func writeUnits(w io.Writer, unit string, size int) {
	if size < 0 {
		size = maxUnits
	}
	for n := 0; n < size; n += len(unit) {
		if _, err := io.WriteString(w, unit); err != nil {
			return
		}
	}
}

// countReceived returns a dial function whose connections count the bytes read.
func countReceived(received *atomic.Int64) roundtripper.DialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		c, err := roundtripper.Dialer{Timeout: time.Second}.Dial(ctx, address)
		return receivedConn{Conn: c, received: received}, err
	}
}

type receivedConn struct {
	net.Conn
	received *atomic.Int64
}

func (c receivedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// counter counts the bytes that are passed on.
type counter struct{ bytes int }

// Begin does nothing.
func (*counter) Begin(context.Context, carrier.ResponseHead) error { return nil }

// Write counts the bytes.
func (c *counter) Write(_ context.Context, p []byte) error {
	c.bytes += len(p)
	return nil
}
