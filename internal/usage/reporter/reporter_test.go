package reporter_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"foxtailflow.example/foxtailflow/internal/authority/leaser"
	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/inner/messenger"
	"foxtailflow.example/foxtailflow/internal/lab/provider"
	"foxtailflow.example/foxtailflow/internal/lab/seeder"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
	"foxtailflow.example/foxtailflow/internal/usage/counter"
	"foxtailflow.example/foxtailflow/internal/usage/reporter"
	"foxtailflow.example/foxtailflow/internal/usage/sealer"
)

const groups = 2

// TestUsage guards H6 and the loss of usage: nodes count, copy, seal and are
// killed, holders of the duties change and old ones go on, and commits and
// reports lose their answers, never arrive or arrive late. Every answered
// request is reported once, but for those that no peer and no row had.
func TestUsage(t *testing.T) {
	seed := seeder.Seed()
	t.Logf("seed %d", seed)
	var total sums
	for run := range uint64(40) {
		total = total.plus(simulate(t, rand.New(rand.NewPCG(seed, run))))
	}
	t.Logf("%+v", total)
	is.New(t).True(total.Lost > 0 && total.Reports > 0) // the faults were not met
}

type sums struct{ Counted, Reported, Lost, Reports int64 }

func (s sums) plus(o sums) sums {
	return sums{s.Counted + o.Counted, s.Reported + o.Reported, s.Lost + o.Lost, s.Reports + o.Reports}
}

// world is all parts around one table.
type world struct {
	r      *rand.Rand
	clock  *timekeeper.Fake
	m      *provider.Memory
	late   []func()
	swept  time.Time
	calm   bool
	nodes  []*node
	owners []*owner
	epochs [groups]uint64
	sums   sums
	// accounts is the number of client accounts; many do not fit into a report.
	accounts int
}

type node struct {
	copies *sealer.Copies
	dead   bool
	// kept is the number of requests of each other node that it got copies of.
	kept map[string]int64
}

// owner is a process that has or had the duties of reporting.
type owner struct {
	grants   map[string]leaser.Grant
	reporter *reporter.Reporter
}

func (o *owner) Grant(duty string) (leaser.Grant, bool) {
	g, ok := o.grants[duty]
	return g, ok
}

// Check trusts every grant, as a process does that was paused after its check.
func (o *owner) Check(leaser.Grant) error { return nil }

// Commit loses some commits, some answers, and delays some commits.
func (w *world) Commit(ctx context.Context, tx transactor.Tx) (uint64, error) {
	unsure := coder.New(coder.PlatformUnsure, "no answer")
	switch p := w.r.Float64(); {
	case w.calm || p > 0.25:
		return w.m.Commit(ctx, tx)
	case p < 0.08:
		w.late = append(w.late, func() { _, _ = w.m.Commit(ctx, tx) })
	case p < 0.16:
		_, _ = w.m.Commit(ctx, tx)
	}
	return 0, unsure
}

func (w *world) Get(ctx context.Context, key string) (transactor.Row, error) {
	return w.m.Get(ctx, key)
}

func (w *world) Scan(ctx context.Context, prefix, after string, limit int) ([]transactor.Row, error) {
	return w.m.Scan(ctx, prefix, after, limit)
}

// Report loses some reports and some answers.
func (w *world) Report(ctx context.Context, r counter.UsageReport) error {
	if len(counter.EncodeReport(r)) > 15<<10 {
		return coder.Refuse(coder.BodyTooLarge, "the report is too large")
	}
	if !w.calm && w.r.IntN(4) == 0 {
		return coder.New(coder.PlatformUnsure, "no answer")
	}
	if err := w.m.Report(ctx, r); err != nil || !w.calm && w.r.IntN(3) == 0 {
		return coder.New(coder.PlatformUnsure, "no answer")
	}
	return nil
}

func (w *world) Reported(ctx context.Context, id string) (bool, error) { return w.m.Reported(ctx, id) }

// KeepUsage takes a copy to the node whose number is the address.
func (w *world) KeepUsage(_ context.Context, address string, u messenger.UsageCopy) error {
	var i int
	_, _ = fmt.Sscan(address, &i)
	if w.nodes[i].dead {
		return coder.New(coder.NodeNotReached, "dead")
	}
	for _, f := range u.Figures {
		w.nodes[i].kept[u.Node] += f.Requests
	}
	return w.nodes[i].copies.Keep(u)
}

func (w *world) live(except int) []sealer.Peer {
	var peers []sealer.Peer
	for i, n := range w.nodes {
		if i != except && !n.dead {
			peers = append(peers, sealer.Peer{ID: fmt.Sprint(i), Address: fmt.Sprint(i)})
		}
	}
	return peers
}

func (w *world) addNode() {
	i := len(w.nodes)
	c := &sealer.Copies{
		Sealer:  &sealer.Sealer{Clock: w.clock, Table: w, Groups: func() int { return groups }},
		Node:    fmt.Sprintf("node-%d", i),
		Counter: &counter.Counter{},
		Sender:  w,
		Live:    func() []sealer.Peer { return w.live(i) },
	}
	w.nodes = append(w.nodes, &node{copies: c, kept: make(map[string]int64)})
}

// takeOver gives a new owner all duties; the former one keeps its grants.
func (w *world) takeOver(t *testing.T) {
	o := &owner{grants: make(map[string]leaser.Grant)}
	for g := range groups {
		duty := reporter.Duty(g)
		w.epochs[g]++
		version, err := w.m.Commit(context.Background(), transactor.Tx{}.WithPut(leaser.EpochKey(duty), []byte(fmt.Sprint(w.epochs[g]))))
		is.New(t).NoErr(err)
		o.grants[duty] = leaser.Grant{Duty: duty, Token: w.epochs[g], Epoch: version}
	}
	o.reporter = &reporter.Reporter{
		Clock: w.clock, Log: zerolog.Nop(), Table: w, Leases: o,
		Reports: func(leaser.Grant) counter.Reports { return w },
		Groups:  func() int { return groups },
		Window:  func() time.Duration { return 10 * time.Second },
	}
	w.owners = append(w.owners, o)
}

func (w *world) count(n *node) {
	n.copies.Counter.Count(counter.Figures{
		Account: fmt.Sprintf("account-%d", w.r.IntN(w.accounts)), Model: "m", Requests: 1, PromptTokens: 10, OutputTokens: w.r.Int64N(50),
	})
	w.sums.Counted++
}

// kill ends a node. Its usage that no live peer has may be lost, and what it
// kept of nodes that are dead already.
func (w *world) kill(n *node) {
	n.dead = true
	n.copies.Counter.Cut()
	for _, p := range n.copies.Counter.Pieces() {
		var keeper int
		if _, err := fmt.Sscan(p.Keeper, &keeper); err == nil && !w.nodes[keeper].dead {
			continue
		}
		for _, f := range p.Figures {
			w.sums.Lost += f.Requests
		}
	}
	for _, other := range w.nodes {
		if other.dead && other != n {
			w.sums.Lost += n.kept[other.copies.Node]
		}
	}
}

// each lets every live node do something.
func (w *world) each(do func(*sealer.Copies)) {
	for _, n := range w.nodes {
		if !n.dead {
			do(n.copies)
		}
	}
}

func (w *world) step(t *testing.T) {
	ctx := context.Background()
	n := w.nodes[w.r.IntN(len(w.nodes))]
	w.clock.Advance(time.Duration(w.r.IntN(1500)) * time.Millisecond)
	// A gap is given up after twelve passes of every node.
	if now := w.clock.Now(); now.Sub(w.swept) >= 5*time.Second {
		w.swept = now
		w.each(func(c *sealer.Copies) {
			_ = c.Send(ctx)
			_ = c.SealOrphans(ctx)
		})
	}
	switch p := w.r.IntN(100); {
	case n.dead:
	case p < 50:
		for range 1 + w.accounts/40 {
			w.count(n)
		}
	case p < 55:
		_ = n.copies.Send(ctx)
	case p < 65:
		_ = n.copies.SealOwn(ctx)
	case p < 66 && len(w.live(-1)) > 2:
		w.kill(n)
		w.addNode()
	case p < 68:
		w.takeOver(t)
	case p < 72 && len(w.late) > 0:
		i := w.r.IntN(len(w.late))
		w.late[i]()
		w.late = slices.Delete(w.late, i, i+1)
	default:
		_ = w.owners[w.r.IntN(len(w.owners))].reporter.Run(ctx)
	}
}

func simulate(t *testing.T, r *rand.Rand) sums {
	is := is.New(t)
	ctx := context.Background()
	clock := timekeeper.NewFake(time.UnixMilli(1_000_000))
	w := &world{r: r, accounts: 4 + 400*r.IntN(2), clock: clock, m: &provider.Memory{Clock: clock}}
	for range 4 {
		w.addNode()
	}
	w.takeOver(t)
	for range 400 {
		w.step(t)
	}
	// In the end everything that is left is sealed, closed and reported.
	w.calm = true
	w.takeOver(t)
	last := w.owners[len(w.owners)-1]
	for range 20 {
		clock.Advance(20 * time.Second)
		w.each(func(c *sealer.Copies) {
			is.NoErr(c.SealOwn(ctx))
			is.NoErr(c.SealOrphans(ctx))
		})
		is.NoErr(last.reporter.Run(ctx))
	}
	w.compare(is)
	return w.sums
}

// compare checks the reports received against what was counted.
func (w *world) compare(is *is.I) {
	figures := make(map[string]counter.Figures)
	for _, line := range w.m.Record() {
		is.True(!strings.HasPrefix(line, "different-figures")) // a window has two sets of figures
		var id string
		var token uint64
		var f counter.Figures
		if n, _ := fmt.Sscanf(line, "report id=%s fencing-token=%d client-account=%s model=%s requests=%d", &id, &token, &f.Account, &f.Model, &f.Requests); n == 5 {
			figures[id+"/"+f.Account] = f
			w.sums.Reports++
		}
	}
	for _, f := range figures {
		w.sums.Reported += f.Requests
	}
	is.True(w.sums.Reported <= w.sums.Counted)             // usage was reported twice
	is.True(w.sums.Reported >= w.sums.Counted-w.sums.Lost) // usage was lost that a peer had
}
