package closer_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"foxtailflow.example/foxtailflow/internal/authority/leaser"
	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/inner/courier"
	"foxtailflow.example/foxtailflow/internal/lab/provider"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
	"foxtailflow.example/foxtailflow/internal/usage/closer"
	"foxtailflow.example/foxtailflow/internal/usage/ledger"
)

// TestScripts guards H6: a window that is reported twice with different
// figures, by whichever nodes and after whatever faults, fails a script.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		clock := timekeeper.NewFake(time.Unix(100, 0))
		w := &world{
			clock:    clock,
			memory:   &provider.Memory{Clock: clock},
			nodes:    make(map[string]*node),
			received: make(map[int64]string),
			late:     10 * time.Second,
		}
		datadriven.RunTest(t, path, w.do)
	})
}

// world has the store, the receiver of reports, and nodes of which one holds the
// duty.
type world struct {
	clock  *timekeeper.Fake
	memory *provider.Memory
	nodes  map[string]*node
	holder string
	grant  leaser.Grant
	// received has the first report of each window.
	received map[int64]string
	reports  []string
	refuses  bool
	loses    bool
	// late is how long after its end a window can be reported.
	late time.Duration
}

type node struct {
	world  *world
	name   string
	ledger *ledger.Ledger
	closer *closer.Closer
}

// Grant returns the lease of the holder.
func (n *node) Grant(string) (leaser.Grant, bool) { return n.world.grant, n.world.holder == n.name }

// Check fails on a node that is not the holder.
func (n *node) Check(leaser.Grant) error { return nil }

// ReportUsage receives a report.
func (n *node) ReportUsage(_ context.Context, g leaser.Grant, window int64, counts map[courier.Meter]int) error {
	w := n.world
	if w.refuses {
		return coder.Refuse(coder.PlatformUnavailable, "the receiver is away")
	}
	var parts []string
	for _, m := range slices.SortedFunc(maps.Keys(counts), courier.Meter.Compare) {
		parts = append(parts, fmt.Sprintf("%s=%d", m.Account, counts[m]))
	}
	text := strings.Join(parts, " ")
	if len(parts) > 5 {
		text = fmt.Sprintf("%d accounts, of the first %s", len(parts), parts[0])
	}
	if first, ok := w.received[window]; ok && first != text {
		text += " DIFFERS from " + first
	} else {
		w.received[window] = text
	}
	w.reports = append(w.reports, fmt.Sprintf("%s token %d window %d: %s", n.name, g.Token, window, text))
	if w.loses {
		return coder.New(coder.PlatformUnsure, "the answer was lost")
	}
	return nil
}

// limited is a table that refuses large rows, as a platform's store does.
type limited struct{ transactor.Table }

// Commit runs a transaction.
func (l limited) Commit(ctx context.Context, tx transactor.Tx) (uint64, error) {
	for _, write := range tx.Writes() {
		if len(write.Value) > rowBytes {
			return 0, coder.Refuse(coder.PlatformRefused, "a row has %d bytes", len(write.Value))
		}
	}
	return l.Table.Commit(ctx, tx)
}

const rowBytes = 64 << 10

func (w *world) node(name string) *node {
	n, ok := w.nodes[name]
	if !ok {
		n = &node{world: w, name: name, ledger: &ledger.Ledger{Self: name}}
		n.closer = &closer.Closer{
			Settings: closer.Settings{Window: func() time.Duration { return 5 * time.Second }, Settle: time.Second, Late: w.late, SaveEvery: time.Second},
			Clock:    w.clock, Table: limited{w.memory}, Leases: n, Reports: n, Ledger: n.ledger, Now: w.clock.Now,
		}
		w.nodes[name] = n
	}
	return n
}

func (w *world) do(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "late":
		var err error
		if w.late, err = time.ParseDuration(d.CmdArgs[0].Key); err != nil {
			t.Fatal(err)
		}
		return ""
	case "count":
		n, err := strconv.Atoi(d.CmdArgs[2].Key)
		if err != nil {
			t.Fatal(err)
		}
		l := w.node(d.CmdArgs[0].Key).ledger
		for range n {
			l.Count(w.clock.Now().Unix()/5, meter(d.CmdArgs[1].Key), 1)
		}
		return ""
	case "crowd":
		w.crowd(t, d)
		return ""
	case "spread":
		for _, from := range w.nodes {
			counts, _ := from.ledger.Since(0, true)
			for _, to := range w.nodes {
				to.ledger.Merge(counts, true)
			}
		}
		return ""
	case "hold":
		w.take(t, d.CmdArgs[0].Key)
	case "crash":
		delete(w.nodes, d.CmdArgs[0].Key)
	case "store":
		w.memory.SetFaults(provider.Faults{TableDown: d.HasArg("down")})
		return ""
	case "lose":
		w.memory.SetFaults(provider.Faults{LoseAnswers: 1})
		return ""
	case "receiver":
		w.refuses, w.loses = d.HasArg("refuses"), d.HasArg("loses-answers")
		return ""
	case "pass":
		var busy string
		d.MaybeScanArgs(t, "busy", &busy)
		w.pass(t, d.CmdArgs[0].Key, busy)
	}
	reports := w.reports
	w.reports = nil
	return strings.Join(append(reports, ""), "\n")
}

// crowd has many nodes count for many client accounts in the present window.
func (w *world) crowd(t *testing.T, d *datadriven.TestData) {
	var nodes, accounts int
	d.ScanArgs(t, "nodes", &nodes)
	d.ScanArgs(t, "accounts", &accounts)
	for i := range nodes {
		l := &ledger.Ledger{Self: fmt.Sprintf("front-%d.dlty2srfdqfv", i)}
		for j := range accounts {
			l.Count(w.clock.Now().Unix()/5, meter(fmt.Sprintf("account-%d", j)), 1)
		}
		counts, _ := l.Since(0, true)
		w.node(d.CmdArgs[0].Key).ledger.Merge(counts, true)
	}
}

// pass lets the nodes do what is due while time passes; a busy node counts a
// request twice a second.
func (w *world) pass(t *testing.T, span, busy string) {
	d, err := time.ParseDuration(span)
	if err != nil {
		t.Fatal(err)
	}
	for end := w.clock.Now().Add(d); w.clock.Now().Before(end); w.clock.Advance(500 * time.Millisecond) {
		if busy != "" {
			w.node(busy).ledger.Count(w.clock.Now().Unix()/5, meter("zug"), 1)
		}
		for _, name := range slices.Sorted(maps.Keys(w.nodes)) {
			// What fails is tried again at the next turn.
			_ = w.nodes[name].closer.Run(t.Context())
		}
	}
}

// take gives the duty to a node, as a takeover of its lease does.
func (w *world) take(t *testing.T, name string) {
	version, err := w.memory.Commit(t.Context(), transactor.Tx{}.WithPut(leaser.EpochKey(closer.Duty), []byte(name)))
	if err != nil {
		t.Fatal(err)
	}
	w.node(name)
	w.holder = name
	w.grant = leaser.Grant{Duty: closer.Duty, Token: w.grant.Token + 1, Epoch: version}
}

// meter returns the meter of a client account's requests.
func meter(account string) courier.Meter {
	return courier.Meter{Account: account, Unit: courier.Requests}
}
