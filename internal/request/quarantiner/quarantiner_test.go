package quarantiner_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/rs/zerolog"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/decision/indexer"
	"foxtailflow.example/foxtailflow/internal/decision/picker"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
	"foxtailflow.example/foxtailflow/internal/request/quarantiner"
	"foxtailflow.example/foxtailflow/internal/store/follower"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

// TestScripts guards against prompts that crash endpoint after endpoint, also when the
// nodes start again, the store is away or an operator releases them, and against
// prompts that are blamed for broken connections, endpoints that leave or faults of
// other kinds. Each command is an event at a node or passing time, in a synctest bubble;
// the output is what becomes of a prompt.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			h := &harness{ctx: ctx, store: &store{rows: make(map[string]transactor.Row)}, endpoints: make(map[string]string)}
			h.start()
			datadriven.RunTest(t, path, h.run)
		})
	})
}

type harness struct {
	ctx        context.Context
	quarantine *quarantiner.Quarantine
	store      *store
	stores     bool
	requests   int

	mu sync.Mutex
	// endpoints has the states of endpoints: up, refusing, silent or leaving.
	endpoints map[string]string
}

// start starts a node that knows nothing but what is stored.
func (h *harness) start() {
	q := quarantiner.New()
	q.Clock, q.Log, q.Table = timekeeper.System{}, zerolog.Nop(), h.store
	q.Endpoint, q.Connect = h.endpoint, h.connect
	q.StoresFindings = func() bool { return h.stores }
	h.quarantine = q
	go q.Run(h.ctx)
	h.follow()
}

// follow passes the rows of the store to the node.
func (h *harness) follow() {
	h.quarantine.Apply(follower.NewSnapshot(h.store.version, slices.Collect(maps.Values(h.store.rows))))
}

func (h *harness) state(id string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.endpoints[id]
}

func (h *harness) endpoint(id string) (picker.Endpoint, bool) {
	state := h.state(id)
	return picker.Endpoint{ID: id, Address: id, Leaving: state == "leaving"}, state != ""
}

func (h *harness) connect(ctx context.Context, address string) error {
	switch h.state(address) {
	case "refusing", "leaving":
		return &timeoutlessError{syscall.ECONNREFUSED}
	case "silent":
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

// timeoutlessError wraps an error as a dialer does.
type timeoutlessError struct{ error }

func (e *timeoutlessError) Unwrap() error { return e.error }

func (h *harness) run(t *testing.T, d *datadriven.TestData) string {
	q := h.quarantine
	var endpoint string
	for _, a := range d.CmdArgs {
		if len(a.Vals) == 0 {
			endpoint = a.Key
		}
	}
	r := h.request(t, d)
	switch d.Cmd {
	case "start":
		h.start()
	case "endpoints":
		h.mu.Lock()
		for _, a := range d.CmdArgs {
			h.endpoints[a.Key] = a.Vals[0]
		}
		h.mu.Unlock()
	case "broken":
		q.RecordBroken(endpoint, r)
		synctest.Wait()
	case "responded":
		q.RecordResponse(endpoint, time.Now())
	case "answered":
		q.RecordAnswered(r)
	case "wait":
		h.wait(t, endpoint)
	case "check":
		return h.check(r)
	case "turn":
		return h.turn(r)
	case "told":
		// What another node knows arrives here.
		reports, _ := q.ChangedSince(0)
		h.start()
		h.quarantine.Merge(reports)
	case "store":
		h.store.down = d.HasArg("down")
		h.stores = !d.HasArg("other-node")
	case "removed", "restored":
		if d.Cmd == "restored" {
			// The store comes back from a copy without the rows.
			h.store.version = transactor.NewVersion(h.store.version.Era()+1, 0)
		}
		clear(h.store.rows)
		h.follow()
	case "list":
		var b strings.Builder
		for _, e := range q.List() {
			fmt.Fprintf(&b, "%v after %v\n", e.Parts, e.Endpoints)
		}
		return b.String()
	case "release":
		if err := q.Release(h.ctx, q.List()[0].Key); err != nil {
			return err.Error() + "\n"
		}
		h.follow()
	default:
		d.Fatalf(t, "unknown command %s", d.Cmd)
	}
	return ""
}

// request returns a request with the given parts and one of its own, a new one if none is
// given, or one without a prompt for the given path.
func (h *harness) request(t *testing.T, d *datadriven.TestData) (r carrier.Request) {
	h.requests++
	own := fmt.Sprint("own", h.requests)
	d.MaybeScanArgs(t, "own", &own)
	r.Target = own
	d.MaybeScanArgs(t, "path", &r.Target)
	for _, a := range d.CmdArgs {
		if a.Key == "parts" {
			for _, name := range append(a.Vals, own) {
				r.PromptParts = append(r.PromptParts, indexer.Segment{Name: name})
			}
		}
	}
	return r
}

// wait lets time pass, with the periodic task and the changes of the store.
func (h *harness) wait(t *testing.T, text string) {
	span, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	step := max(span/1000, quarantiner.AssessInterval)
	for end := time.Now().Add(span); time.Now().Before(end); {
		time.Sleep(min(step, time.Until(end)))
		version := h.store.version
		_ = h.quarantine.Assess(h.ctx)
		if h.store.version != version {
			h.follow()
		}
	}
}

// check prints what becomes of a request.
func (h *harness) check(r carrier.Request) string {
	q := h.quarantine
	var out string
	switch err := q.Check(r); {
	case coder.Is(err, coder.PromptHarmful):
		return "refused\n"
	case coder.Is(err, coder.PromptSuspected):
		return fmt.Sprintf("held back for %v\n", coder.FromError(err).RetryAfter())
	default:
		out = "sent"
	}
	if q.Suspects(r) {
		out += ", suspected"
	}
	if !q.MayRepeat(r) {
		out += ", not repeated"
	}
	return out + "\n"
}

// turn sends two requests at once, of which the first begins after 300 ms, and prints
// when the second one goes.
func (h *harness) turn(r carrier.Request) string {
	done, err := h.quarantine.Enter(h.ctx, r)
	if err != nil {
		return err.Error() + "\n"
	}
	time.AfterFunc(300*time.Millisecond, done)
	began := time.Now()
	second, err := h.quarantine.Enter(h.ctx, r)
	if err != nil {
		return err.Error() + "\n"
	}
	second()
	return fmt.Sprintf("the second one goes after %v\n", time.Since(began))
}

// store is a table in memory.
type store struct {
	transactor.Table
	rows    map[string]transactor.Row
	version transactor.Version
	down    bool
}

// Commit runs a transaction.
func (s *store) Commit(_ context.Context, tx transactor.Tx) (transactor.Version, error) {
	if s.down {
		return 0, coder.Wrap(coder.PlatformUnavailable, errors.New("no response"), "the store is away")
	}
	for _, c := range tx.Checks() {
		if s.rows[c.Key].Version != c.Version {
			return 0, coder.New(coder.PlatformConflict, "row %s was changed", c.Key)
		}
	}
	s.version++
	for _, w := range tx.Writes() {
		s.rows[w.Key] = transactor.Row{Key: w.Key, Value: w.Value, Version: s.version}
		if w.Delete {
			delete(s.rows, w.Key)
		}
	}
	return s.version, nil
}
