package verifier_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/roundtripper"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/decision/picker"
	"foxtailflow.example/foxtailflow/internal/fleet/verifier"
)

// TestScripts guards against a request that is written to an endpoint although the list has
// it as leaving by then, or is too old to tell; and against a node that serves nobody while
// the store is away, or refuses callers although a current list arrives at once.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		h := newHarness(t)
		datadriven.RunTest(t, path, h.run)
	})
}

// harness is a node with one endpoint at a real server.
type harness struct {
	address   string
	received  atomic.Int64
	clock     *timekeeper.Fake
	verifier  *verifier.Verifier
	transport *roundtripper.Transport

	mu        sync.Mutex
	endpoints map[string]picker.Endpoint
	list      verifier.State
	next      chan struct{}
	// whileDialling runs while the next connection is opened.
	whileDialling func()
}

func newHarness(t *testing.T) *harness {
	h := &harness{clock: timekeeper.NewFake(time.Unix(1000, 0)), endpoints: make(map[string]picker.Endpoint), next: make(chan struct{})}
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		h.received.Add(1)
	}))
	t.Cleanup(server.Close)
	h.address = server.Listener.Addr().String()
	h.verifier = &verifier.Verifier{Endpoint: h.endpoint, List: verifier.Freshness{
		Clock: h.clock, MaxAge: 2700 * time.Millisecond, State: h.listState, Next: h.nextList, Code: coder.ListOutdated,
	}}
	h.transport = &roundtripper.Transport{Clock: h.clock, Gate: h.verifier, Dial: func(ctx context.Context, address string) (net.Conn, error) {
		if h.whileDialling != nil {
			h.whileDialling()
		}
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}}
	return h
}

func (h *harness) endpoint(id string) (picker.Endpoint, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e, ok := h.endpoints[id]
	return e, ok
}

func (h *harness) listState() verifier.State {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.list
}

func (h *harness) nextList() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.next
}

// set changes the table and the list.
func (h *harness) set(change func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change()
	close(h.next)
	h.next = make(chan struct{})
}

// change runs a command that changes the table or the list; false means that it is none.
func (h *harness) change(t *testing.T, cmd string, d *datadriven.TestData) bool {
	switch cmd {
	case "live", "leaving":
		h.set(func() { h.endpoints["e"] = picker.Endpoint{ID: "e"}.WithLeaving(cmd == "leaving") })
	case "gone":
		h.set(func() { clear(h.endpoints) })
	case "list":
		var age string
		d.ScanArgs(t, "age", &age)
		span, err := time.ParseDuration(age)
		if err != nil {
			t.Fatal(err)
		}
		h.set(func() { h.list = verifier.State{Age: span, InOutage: d.HasArg("outage")} })
	default:
		return false
	}
	return true
}

func (h *harness) run(t *testing.T, d *datadriven.TestData) string {
	if h.change(t, d.Cmd, d) {
		return ""
	}
	switch d.Cmd {
	case "send":
		meanwhile := ""
		d.MaybeScanArgs(t, "meanwhile", &meanwhile)
		h.whileDialling = func() { h.change(t, meanwhile, d) }
		return h.send(t, d)
	case "await":
		return h.await(t, d)
	}
	d.Fatalf(t, "unknown command %s", d.Cmd)
	return ""
}

// send sends a request on a new connection.
func (h *harness) send(t *testing.T, d *datadriven.TestData) string {
	size := 1
	d.MaybeScanArgs(t, "size", &size)
	before := h.received.Load()
	resp, err := h.transport.Send(t.Context(), h.address, roundtripper.Request{Method: http.MethodPost, Target: "/", Body: make([]byte, size)},
		roundtripper.Options{Endpoint: "e", Control: d.HasArg("control"), NewConnection: true})
	if err == nil {
		_ = resp.Body.Close()
		return fmt.Sprintf("sent, %d received\n", h.received.Load()-before)
	}
	e := coder.FromError(err)
	return fmt.Sprintf("%d %s, retry after %v, %d received\n", e.Code(), e.Outcome(), e.RetryAfter(), h.received.Load()-before)
}

// await waits for a current list, which may arrive meanwhile.
func (h *harness) await(t *testing.T, d *datadriven.TestData) string {
	result := make(chan error, 1)
	timers := h.clock.PendingTimers()
	go func() { result <- h.verifier.Await(t.Context()) }()
	for h.clock.PendingTimers() == timers {
		time.Sleep(time.Millisecond)
	}
	if d.HasArg("age") {
		h.change(t, "list", d)
	} else {
		h.clock.Advance(time.Second)
	}
	if err := <-result; err != nil {
		return fmt.Sprintf("%d %s\n", coder.FromError(err).Code(), coder.FromError(err).Outcome())
	}
	return "current\n"
}
