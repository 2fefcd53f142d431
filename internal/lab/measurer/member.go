package measurer

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"google.golang.org/grpc"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/keeper"
	"foxtailflow.example/foxtailflow/internal/base/runner"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/config/applier"
	"foxtailflow.example/foxtailflow/internal/inner/messenger"
	"foxtailflow.example/foxtailflow/internal/lab/provider"
	"foxtailflow.example/foxtailflow/internal/member/gossiper"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

// members are nodes that have the parts for membership and configuration only.
//
// They run in one process over real connections on loopback, and over a store
// in memory that counts its calls.
type members struct {
	clock timekeeper.Clock
	store *provider.Memory
	all   keeper.Table[string, *member]
	nodes []*member
	// sent counts the bytes that all nodes have sent to each other.
	sent atomic.Int64
	stop context.CancelFunc
	wg   conc.WaitGroup
}

// member is one of them. It can be paused as a whole, and cut off from the
// store and all peers.
type member struct {
	group   *members
	id      string
	address string
	gossip  *gossiper.Gossiper
	applier *applier.Applier
	rows    *gossiper.Rows
	peers   *messenger.Peers
	server  *grpc.Server
	paused  keeper.Cell[bool]
	cut     atomic.Bool
}

// timings of the periodic tasks, as a node has them.
const (
	everySecond = time.Second
	jitter      = 0.2
	peerWait    = 700 * time.Millisecond
)

// startMembers starts n nodes and waits until all are in the roster.
func startMembers(ctx context.Context, n int) (*members, error) {
	g := &members{clock: timekeeper.System{}}
	g.store = &provider.Memory{Clock: g.clock}
	ctx, g.stop = context.WithCancel(ctx)
	var seeds []string
	for i := range n {
		m, l, err := g.build(fmt.Sprintf("node-%02d", i+1), fmt.Sprintf("dc-%d", i%4+1), seeds)
		if err != nil {
			return nil, err
		}
		if len(seeds) < 3 {
			seeds = append(seeds, m.address)
		}
		g.nodes = append(g.nodes, m)
		g.all.Put(m.address, m)
		g.wg.Go(func() { _ = m.server.Serve(l) })
	}
	for _, m := range g.nodes {
		m.run(ctx)
	}
	err := g.await(ctx, func(m *member) bool { return len(m.applier.MemberNames()) == n && m.applier.Current() == nil })
	return g, err
}

func (g *members) build(id, dataCentre string, seeds []string) (*member, net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	m := &member{group: g, id: id, address: l.Addr().String(), peers: &messenger.Peers{Timeout: peerWait}}
	now := g.clock.Now()
	self := messenger.State{ID: id, PeersAddress: m.address, DataCentre: dataCentre, Incarnation: uint64(now.UnixMilli())}
	m.applier = &applier.Applier{
		Clock: g.clock, Table: table{Table: g.store, m: m}, Objects: g.store.Store(),
		Self: self.Member(), Started: now, Transport: transport{m},
	}
	m.gossip = &gossiper.Gossiper{
		Clock: g.clock, Log: zerolog.Nop(), Transport: transport{m}, Self: self, Fill: m.applier.State, Seeds: append([]string{}, seeds...),
	}
	m.applier.Peers, m.applier.Reader = m.gossip, m.gossip.Reader
	m.rows = &gossiper.Rows{Clock: g.clock, Log: zerolog.Nop(), Table: table{Table: g.store, m: m}, Gossiper: m.gossip, Roster: m.applier}
	m.server = messenger.NewServer(handler{m})
	return m, countingListener{Listener: l, sent: &g.sent}, nil
}

// run starts the periodic tasks of a node.
func (m *member) run(ctx context.Context) {
	gossip := func(ctx context.Context) error {
		if err := m.gossip.Round(ctx); err != nil {
			return err
		}
		return m.applier.Learn(ctx)
	}
	for _, p := range []runner.Periodic{
		{Name: "configuration", Every: everySecond, Task: m.applier.Follow},
		{Name: "gossip", Every: everySecond, Task: gossip},
		{Name: "roster", Every: everySecond, Task: m.applier.JoinOnceLoaded},
		{Name: "node-row", Every: gossiper.RefreshEvery, Task: m.rows.Refresh},
		{Name: "node-rows", Every: everySecond, Task: m.rows.Scan},
	} {
		task := p.Task
		p.Jitter = jitter
		p.Task = func(ctx context.Context) error {
			if err := m.unpaused(ctx); err != nil {
				return err
			}
			return task(ctx)
		}
		m.group.wg.Go(func() { p.Run(ctx, m.group.clock, zerolog.Nop()) })
	}
}

// pause stops the node, or lets it go on.
func (m *member) pause(on bool) {
	m.paused.Update(func(bool) (bool, bool) { return on, true })
}

// unpaused returns once the node is not paused.
func (m *member) unpaused(ctx context.Context) error {
	for {
		on, changed := m.paused.Changed()
		if !on {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// await returns once the condition holds for every node.
func (g *members) await(ctx context.Context, ok func(*member) bool) error {
	const (
		limit = 2 * time.Minute
		pause = 20 * time.Millisecond
	)
	for end := g.clock.Now().Add(limit); g.clock.Now().Before(end); {
		done := true
		for _, m := range g.nodes {
			done = done && ok(m)
		}
		if done {
			return nil
		}
		if err := g.clock.Sleep(ctx, pause); err != nil {
			return err
		}
	}
	return fmt.Errorf("%d nodes did not come to the state awaited within %v", len(g.nodes), limit)
}

func (g *members) close() {
	g.stop()
	for _, m := range g.nodes {
		m.pause(false)
		m.server.Stop()
		m.peers.Close()
	}
	g.wg.Wait()
}

// table is the store as one node reaches it.
type table struct {
	transactor.Table
	m *member
}

func (t table) reach() error {
	if t.m.cut.Load() {
		return coder.Refuse(coder.PlatformUnavailable, "the store cannot be reached")
	}
	return nil
}

// Get returns a row.
func (t table) Get(ctx context.Context, key string) (transactor.Row, error) {
	if err := t.reach(); err != nil {
		return transactor.Row{}, err
	}
	return t.Table.Get(ctx, key)
}

// Scan returns rows in the order of their keys.
func (t table) Scan(ctx context.Context, prefix, after string, limit int) ([]transactor.Row, error) {
	if err := t.reach(); err != nil {
		return nil, err
	}
	return t.Table.Scan(ctx, prefix, after, limit)
}

// Commit runs a transaction.
func (t table) Commit(ctx context.Context, tx transactor.Tx) (uint64, error) {
	if err := t.reach(); err != nil {
		return 0, err
	}
	return t.Table.Commit(ctx, tx)
}

// transport sends the messages of one node.
type transport struct{ m *member }

func (t transport) reach(address string) error {
	to, ok := t.m.group.all.Get(address)
	if !ok || to.cut.Load() || t.m.cut.Load() {
		return coder.New(coder.NodeNotReached, "the peer cannot be reached")
	}
	return nil
}

// Pull pulls from a peer.
func (t transport) Pull(ctx context.Context, address string, p messenger.Pull) ([]messenger.State, error) {
	if err := t.reach(address); err != nil {
		return nil, err
	}
	return t.m.peers.Pull(ctx, address, p)
}

// Forget closes the connection to a peer.
func (t transport) Forget(address string) { t.m.peers.Forget(address) }

// Announce tells a peer of changes.
func (t transport) Announce(ctx context.Context, address string, a messenger.Announcement) (messenger.Applied, error) {
	if err := t.reach(address); err != nil {
		return messenger.Applied{}, err
	}
	return t.m.peers.Announce(ctx, address, a)
}

// Changes asks a peer for changes.
func (t transport) Changes(ctx context.Context, address string, after uint64, limit int) (messenger.Changes, error) {
	if err := t.reach(address); err != nil {
		return messenger.Changes{}, err
	}
	return t.m.peers.Changes(ctx, address, after, limit)
}

// Roster asks a peer for the roster.
func (t transport) Roster(ctx context.Context, address string) (messenger.Roster, error) {
	if err := t.reach(address); err != nil {
		return messenger.Roster{}, err
	}
	return t.m.peers.Roster(ctx, address)
}

// handler answers the messages to one node, once it is not paused.
type handler struct{ m *member }

// Pull answers a pull.
func (h handler) Pull(ctx context.Context, p messenger.Pull) ([]messenger.State, error) {
	if err := h.m.unpaused(ctx); err != nil {
		return nil, err
	}
	return h.m.gossip.Answer(p), nil
}

// Announce applies changes.
func (h handler) Announce(ctx context.Context, a messenger.Announcement) (messenger.Applied, error) {
	if err := h.m.unpaused(ctx); err != nil {
		return messenger.Applied{}, err
	}
	return h.m.applier.Announce(ctx, a)
}

// Changes answers a question for changes.
func (h handler) Changes(ctx context.Context, after uint64, limit int) (messenger.Changes, error) {
	if err := h.m.unpaused(ctx); err != nil {
		return messenger.Changes{}, err
	}
	return h.m.applier.Changes(ctx, after, limit)
}

// Roster answers a question for the roster.
func (h handler) Roster(ctx context.Context) (messenger.Roster, error) {
	return h.m.applier.RosterMessage(), h.m.unpaused(ctx)
}

// KeepUsage keeps nothing; usage is not measured here.
func (handler) KeepUsage(context.Context, messenger.UsageCopy) error { return nil }

// countingListener counts the bytes of its connections in both directions.
type countingListener struct {
	net.Listener
	sent *atomic.Int64
}

// Accept returns the next connection.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{Conn: c, sent: l.sent}, err
}

type countingConn struct {
	net.Conn
	sent *atomic.Int64
}

// Read counts what the peer has sent.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.sent.Add(int64(n))
	return n, err
}

// Write counts what is sent to the peer.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}
