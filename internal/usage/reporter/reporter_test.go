package reporter_test

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
	"foxtailflow.example/foxtailflow/internal/usage/ledger"
	"foxtailflow.example/foxtailflow/internal/usage/reporter"
)

// TestScripts guards against a usage window that is reported twice with different
// figures, by any nodes and after any faults.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		clock := timekeeper.NewFake(time.Unix(100, 0))
		c := &cluster{
			clock:    clock,
			memory:   &provider.Memory{Clock: clock},
			nodes:    make(map[string]*node),
			received: make(map[int64]string),
			late:     10 * time.Second,
		}
		datadriven.RunTest(t, path, c.run)
	})
}

// cluster has the store, the receiver of reports, and the nodes, one of which holds
// the duty.
type cluster struct {
	clock  *timekeeper.Fake
	memory *provider.Memory
	nodes  map[string]*node
	holder string
	grant  leaser.Grant
	// received has the first report of each window.
	received       map[int64]string
	reports        []string
	refusesReports bool
	losesResponses bool
	// late is how long after its end a window can be reported.
	late time.Duration
	// copied is the copy from which the store comes back.
	copied provider.Copy
}

type node struct {
	cluster  *cluster
	name     string
	ledger   *ledger.Ledger
	reporter *reporter.Reporter
}

// Grant returns the lease of the holder.
func (n *node) Grant(string) (leaser.Grant, bool) { return n.cluster.grant, n.cluster.holder == n.name }

// Check accepts every lease.
func (n *node) Check(leaser.Grant) error { return nil }

// ReportUsage receives a report.
func (n *node) ReportUsage(_ context.Context, g leaser.Grant, window int64, counts map[courier.Meter]int) error {
	c := n.cluster
	if c.refusesReports {
		return coder.Refuse(coder.PlatformUnavailable, "the receiver is unavailable")
	}
	var parts []string
	for _, m := range slices.SortedFunc(maps.Keys(counts), courier.Meter.Compare) {
		parts = append(parts, fmt.Sprintf("%s=%d", m.Account, counts[m]))
	}
	text := strings.Join(parts, " ")
	if len(parts) > 5 {
		text = fmt.Sprintf("%d accounts, of the first %s", len(parts), parts[0])
	}
	if first, ok := c.received[window]; ok && first != text {
		text += " DIFFERS from " + first
	} else {
		c.received[window] = text
	}
	c.reports = append(c.reports, fmt.Sprintf("%s token %d window %d: %s", n.name, g.Token, window, text))
	if c.losesResponses {
		return coder.New(coder.PlatformUnsure, "the response was lost")
	}
	return nil
}

// limitedTable is a table that refuses large rows, as the store of a platform does.
type limitedTable struct{ transactor.Table }

// Commit runs a transaction.
func (l limitedTable) Commit(ctx context.Context, tx transactor.Tx) (transactor.Version, error) {
	for _, write := range tx.Writes() {
		if len(write.Value) > rowBytes {
			return 0, coder.Refuse(coder.PlatformRefused, "a row has %d bytes", len(write.Value))
		}
	}
	return l.Table.Commit(ctx, tx)
}

const rowBytes = 64 << 10

func (c *cluster) node(name string) *node {
	n, ok := c.nodes[name]
	if !ok {
		n = &node{cluster: c, name: name, ledger: &ledger.Ledger{Self: name}}
		n.reporter = &reporter.Reporter{
			Settings: reporter.Settings{WindowLength: func() time.Duration { return 5 * time.Second }, SettleDelay: time.Second, MaxReportDelay: c.late, SaveInterval: time.Second},
			Clock:    c.clock, Table: limitedTable{c.memory}, Leases: n, Receiver: n, Ledger: n.ledger, Now: c.clock.Now,
		}
		c.nodes[name] = n
	}
	return n
}

func (c *cluster) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "late":
		var err error
		if c.late, err = time.ParseDuration(d.CmdArgs[0].Key); err != nil {
			t.Fatal(err)
		}
		return ""
	case "count":
		n, err := strconv.Atoi(d.CmdArgs[2].Key)
		if err != nil {
			t.Fatal(err)
		}
		l := c.node(d.CmdArgs[0].Key).ledger
		for range n {
			l.Count(c.clock.Now().Unix()/5, meter(d.CmdArgs[1].Key), 1)
		}
		return ""
	case "crowd":
		c.crowd(t, d)
		return ""
	case "spread":
		for _, from := range c.nodes {
			counts, _ := from.ledger.ChangedSince(0, true)
			for _, to := range c.nodes {
				to.ledger.Merge(counts, true)
			}
		}
		return ""
	case "hold":
		c.take(t, d.CmdArgs[0].Key)
	case "copy", "restore", "keep":
		c.changeStore(t, d.Cmd)
	case "crash":
		delete(c.nodes, d.CmdArgs[0].Key)
	case "leave":
		if err := c.node(d.CmdArgs[0].Key).reporter.Save(t.Context()); err != nil {
			t.Fatal(err)
		}
		delete(c.nodes, d.CmdArgs[0].Key)
	case "row":
		return c.putRow(t, d)
	case "keys":
		return c.keys(t, d.CmdArgs[0].Key)
	case "store":
		c.memory.SetFaults(provider.Faults{TableDown: d.HasArg("down")})
		return ""
	case "lose":
		c.memory.SetFaults(provider.Faults{LoseResponses: 1})
		return ""
	case "receiver":
		c.refusesReports, c.losesResponses = d.HasArg("refuses"), d.HasArg("loses-answers")
		return ""
	case "pass":
		var busy string
		d.MaybeScanArgs(t, "busy", &busy)
		c.pass(t, d.CmdArgs[0].Key, busy)
	}
	reports := c.reports
	c.reports = nil
	return strings.Join(append(reports, ""), "\n")
}

// putRow writes a row as another writer would.
func (c *cluster) putRow(t *testing.T, d *datadriven.TestData) string {
	if _, err := c.memory.Commit(t.Context(), transactor.Tx{}.WithPut(d.CmdArgs[0].Key, []byte(d.Input))); err != nil {
		t.Fatal(err)
	}
	return ""
}

// keys lists the keys of the rows with a prefix.
func (c *cluster) keys(t *testing.T, prefix string) string {
	rows, err := transactor.ScanAll(t.Context(), c.memory, prefix)
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	for _, row := range rows {
		b.WriteString(row.Key + "\n")
	}
	return b.String()
}

// crowd counts requests of many client accounts on many nodes in the current
// window.
func (c *cluster) crowd(t *testing.T, d *datadriven.TestData) {
	var nodes, accounts int
	d.ScanArgs(t, "nodes", &nodes)
	d.ScanArgs(t, "accounts", &accounts)
	for i := range nodes {
		l := &ledger.Ledger{Self: fmt.Sprintf("front-%d.dlty2srfdqfv", i)}
		for j := range accounts {
			l.Count(c.clock.Now().Unix()/5, meter(fmt.Sprintf("account-%d", j)), 1)
		}
		counts, _ := l.ChangedSince(0, true)
		c.node(d.CmdArgs[0].Key).ledger.Merge(counts, true)
	}
}

// pass advances the time and runs the reporter of each node; a busy node counts two
// requests a second.
func (c *cluster) pass(t *testing.T, span, busy string) {
	d, err := time.ParseDuration(span)
	if err != nil {
		t.Fatal(err)
	}
	for end := c.clock.Now().Add(d); c.clock.Now().Before(end); c.clock.Advance(500 * time.Millisecond) {
		if busy != "" {
			c.node(busy).ledger.Count(c.clock.Now().Unix()/5, meter("zug"), 1)
		}
		for _, name := range slices.Sorted(maps.Keys(c.nodes)) {
			// A failed run is repeated in the next step.
			_ = c.nodes[name].reporter.Run(t.Context())
		}
	}
}

// take gives the duty to a node, as a takeover of the lease does.
func (c *cluster) take(t *testing.T, name string) {
	version, err := c.memory.Commit(t.Context(), transactor.Tx{}.WithPut(leaser.EpochKey(reporter.Duty), []byte(name)))
	if err != nil {
		t.Fatal(err)
	}
	c.node(name)
	c.holder = name
	// The first takeover of an era has a token above all earlier ones.
	token := max(c.grant.Token+1, c.memory.Era()<<32+1)
	c.grant = leaser.Grant{Duty: reporter.Duty, Token: token, Epoch: version}
}

// changeStore copies the store, or lets it come back from the copy.
func (c *cluster) changeStore(t *testing.T, cmd string) {
	switch cmd {
	case "copy":
		c.copied = c.memory.Copy()
	case "restore":
		c.memory.Restore(c.copied)
	case "keep":
		c.keep(t)
	}
}

// keep lets the holder write the epoch row again that the store has lost, as the leaser does.
func (c *cluster) keep(t *testing.T) {
	version, err := c.memory.Commit(t.Context(), transactor.Tx{}.WithPut(leaser.EpochKey(reporter.Duty), nil))
	if err != nil {
		t.Fatal(err)
	}
	c.grant.Epoch = version
}

// meter returns the meter of a client account's requests.
func meter(account string) courier.Meter {
	return courier.Meter{Account: account, Unit: courier.Requests}
}
