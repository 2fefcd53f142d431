package applier_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/config/applier"
	"foxtailflow.example/foxtailflow/internal/inner/messenger"
	"foxtailflow.example/foxtailflow/internal/lab/provider"
	"foxtailflow.example/foxtailflow/internal/member/gossiper"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

// TestCluster runs nodes over a fake clock and links that can be cut; each file
// says which failure it guards against.
func TestCluster(t *testing.T) {
	datadriven.Walk(t, "testdata/cluster", func(t *testing.T, path string) {
		clock := timekeeper.NewFake(time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC))
		c := &cluster{clock: clock, nodes: map[string]*node{}, cut: map[string]bool{}}
		c.store = &provider.Memory{Clock: clock}
		datadriven.RunTest(t, path, c.run)
	})
}

// cluster is nodes in one process without real time and network.
type cluster struct {
	clock *timekeeper.Fake
	store *provider.Memory

	mu    sync.Mutex
	nodes map[string]*node
	cut   map[string]bool // "a b" for a link, "a store" and so on

	stepping atomic.Bool
	sinceRun time.Duration
}

type node struct {
	id      string
	c       *cluster
	paused  atomic.Bool
	steps   int
	gossip  *gossiper.Gossiper
	applier *applier.Applier
	rows    *gossiper.Rows
}

// link is a node's side of the network and the store.
type link struct {
	transactor.Table
	from string
	c    *cluster
}

func (l link) to(address string) (*node, error) {
	l.c.mu.Lock()
	defer l.c.mu.Unlock()
	n, ok := l.c.nodes[address]
	if !ok || n.paused.Load() || l.c.cut[l.from+" "+address] || l.c.cut[address+" "+l.from] ||
		l.c.cut[l.from+" peers"] || l.c.cut[address+" peers"] {
		return nil, coder.New(coder.NodeNotReached, "cut")
	}
	return n, nil
}

func (l link) Pull(_ context.Context, address string, p messenger.Pull) ([]messenger.State, error) {
	n, err := l.to(address)
	if err != nil {
		return nil, err
	}
	return n.gossip.Answer(p), nil
}

func (link) Forget(string) {}

func (l link) Announce(ctx context.Context, address string, a messenger.Announcement) (messenger.Applied, error) {
	n, err := l.to(address)
	if err != nil {
		return messenger.Applied{}, err
	}
	return n.applier.Announce(ctx, a)
}

func (l link) Changes(ctx context.Context, address string, after uint64, limit int) (messenger.Changes, error) {
	n, err := l.to(address)
	if err != nil {
		return messenger.Changes{}, err
	}
	return n.applier.Changes(ctx, after, limit)
}

func (l link) Roster(_ context.Context, address string) (messenger.Roster, error) {
	n, err := l.to(address)
	if err != nil {
		return messenger.Roster{}, err
	}
	return n.applier.RosterMessage(), nil
}

func (l link) reach() error {
	l.c.mu.Lock()
	defer l.c.mu.Unlock()
	if l.c.cut[l.from+" store"] {
		return coder.Refuse(coder.PlatformUnavailable, "cut")
	}
	return nil
}

func (l link) Get(ctx context.Context, key string) (transactor.Row, error) {
	if err := l.reach(); err != nil {
		return transactor.Row{}, err
	}
	return l.Table.Get(ctx, key)
}

func (l link) Scan(ctx context.Context, prefix, after string, limit int) ([]transactor.Row, error) {
	if err := l.reach(); err != nil {
		return nil, err
	}
	return l.Table.Scan(ctx, prefix, after, limit)
}

func (l link) Commit(ctx context.Context, tx transactor.Tx) (uint64, error) {
	if err := l.reach(); err != nil {
		return 0, err
	}
	return l.Table.Commit(ctx, tx)
}

func (c *cluster) start(id string) {
	l := link{Table: c.store, from: id, c: c}
	now := c.clock.Now()
	self := messenger.State{ID: id, PeersAddress: id, DataCentre: "dc-1", Incarnation: uint64(now.UnixMilli())}
	a := &applier.Applier{Clock: c.clock, Table: l, Objects: c.store.Store(), Self: self.Member(), Started: now, Transport: l}
	var seeds []string
	c.mu.Lock()
	for id := range c.nodes {
		seeds = append(seeds, id)
	}
	c.mu.Unlock()
	g := &gossiper.Gossiper{Clock: c.clock, Transport: l, Self: self, Fill: a.State, Seeds: seeds}
	a.Peers = g
	n := &node{id: id, c: c, gossip: g, applier: a}
	n.rows = &gossiper.Rows{Clock: c.clock, Table: l, Gossiper: g, Roster: a}
	c.mu.Lock()
	c.nodes[id] = n
	c.mu.Unlock()
}

// step is what the periodic tasks of a node do in one second.
func (n *node) step() {
	ctx := context.Background()
	if n.paused.Load() {
		return
	}
	_ = n.applier.Follow(ctx)
	_ = n.gossip.Round(ctx)
	_ = n.applier.Learn(ctx)
	_ = n.applier.Join(ctx)
	if n.steps%60 == 0 {
		_ = n.rows.Refresh(ctx)
	}
	_ = n.rows.Scan(ctx)
	n.steps++
}

func (c *cluster) sorted() []*node {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ns []*node
	for _, n := range c.nodes {
		ns = append(ns, n)
	}
	slices.SortFunc(ns, func(a, b *node) int { return strings.Compare(a.id, b.id) })
	return ns
}

// advance moves the clock a little and lets all nodes work each second.
func (c *cluster) advance() {
	const step = 20 * time.Millisecond
	c.clock.Advance(step)
	if c.sinceRun += step; c.sinceRun >= time.Second && c.stepping.CompareAndSwap(false, true) {
		c.sinceRun = 0
		go func() {
			defer c.stepping.Store(false)
			var wg sync.WaitGroup
			for _, n := range c.sorted() {
				wg.Go(n.step)
			}
			wg.Wait()
		}()
	}
}

// drive moves the clock until f returns, and returns the time that took.
func (c *cluster) drive(f func()) time.Duration {
	began := c.clock.Now()
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	for {
		select {
		case <-done:
			return c.clock.Now().Sub(began)
		case <-time.After(time.Millisecond):
			c.advance()
		}
	}
}

func (c *cluster) tick(d time.Duration) {
	for end := c.clock.Now().Add(d); c.clock.Now().Before(end); {
		c.advance()
		for end := time.Now().Add(2 * time.Millisecond); c.stepping.Load() && time.Now().Before(end); {
			time.Sleep(50 * time.Microsecond)
		}
	}
}

func (c *cluster) propose(id, file, data string, seen uint64) string {
	c.mu.Lock()
	n := c.nodes[id]
	c.mu.Unlock()
	accepted, err := n.applier.Propose(context.Background(), applier.Change{File: file, Data: []byte(data), Removed: data == ""}, seen)
	switch e := coder.Of(err); {
	case err == nil:
		return fmt.Sprintf("version %d in force", accepted.Version)
	case coder.Is(err, coder.ConfigNotInForce):
		var missing []string
		for _, m := range accepted.Missing {
			missing = append(missing, applier.NodeOf(m))
		}
		return fmt.Sprintf("version %d %d, missing %s", accepted.Version, e.Code(), strings.Join(missing, " "))
	default:
		return fmt.Sprintf("%d %s: %s", e.Code(), e.Outcome(), e.Message())
	}
}

func (c *cluster) show() string {
	var b strings.Builder
	for _, n := range c.sorted() {
		if n.paused.Load() {
			continue
		}
		state := "fresh"
		if n.applier.Current() != nil {
			state = "stale"
		}
		fmt.Fprintf(&b, "%s version %d %s, roster", n.id, n.applier.View().Version(), state)
		for _, m := range n.applier.MemberNames() {
			b.WriteString(" " + applier.NodeOf(m))
		}
		b.WriteString("\n")
	}
	return b.String()
}
