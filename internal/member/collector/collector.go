// Package collector spreads what nodes have in progress.
//
// In each data centre one node is the hub: the first, in the order of the node
// rows, that can be reached. The others join it. Several times a second each
// sends a statement of its work and gets the sum of what all others have; the
// hubs send each other the sums of their data centres. So a node talks to one
// other, a hub to the nodes of its data centre and to one node of each other
// data centre. Nothing that is spread here has to last or to be agreed: a node
// without a hub decides from what it knows itself, and two hubs in one data
// centre only know less of each other.
package collector

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/inner/courier"
	"foxtailflow.example/foxtailflow/internal/member/registrar"
)

// Stream is a stream to a hub.
type Stream interface {
	Send(s courier.Statement) error
	Receive() (courier.Summary, error)
}

// Links opens streams.
type Links interface {
	Join(ctx context.Context, address string) (Stream, error)
	Forget(address string)
}

// Nodes knows the nodes by their rows.
type Nodes interface {
	Nodes() []registrar.Node
	Of(dataCentre string) []registrar.Node
	DataCentres() []string
}

// Work is what the node has and learns.
type Work interface {
	// Own returns what this node has in progress.
	Own() courier.Work
	// SetOthers takes what all other nodes have in progress.
	SetOthers(w courier.Work, at time.Time)
	// Learn takes a beginning that an engine has read for another node.
	Learn(b courier.Beginning)
	// Evidence returns what this node knows of the newest configuration.
	Evidence() courier.Evidence
	// Confirm takes the evidence of another node that was asked for it at a time.
	Confirm(e courier.Evidence, asked time.Time)
}

// Usage keeps the counts of requests by window, node and client account.
type Usage interface {
	// Since returns what nodes of this data centre have counted after a revision,
	// and the present revision. With own set it returns this node's counts only.
	Since(revision uint64, own bool) ([]courier.NodeUsage, uint64)
	// Merge takes counts of other nodes; local says that they come from nodes of
	// this data centre.
	Merge(counts []courier.NodeUsage, local bool)
}

// The times of statements.
const (
	// stateEvery is how often a node states its work while that changes.
	stateEvery = 200 * time.Millisecond
	// hubEvery is how often hubs state the sums of their data centres.
	hubEvery = 400 * time.Millisecond
	// restEvery is how often a node that has nothing new states so.
	restEvery = 600 * time.Millisecond
	// silentAfter is how long a hub may be silent.
	silentAfter = 1500 * time.Millisecond
	// avoidFor is how long a node that was not reached is not tried again.
	avoidFor = 5 * time.Second
	// keepFor is how long the statement of a node or hub counts without a newer.
	keepFor = 2 * time.Second
	// newsLife is how long a beginning is told to nodes that come later.
	newsLife = 8 * time.Second
)

// Collector exchanges statements for this node.
type Collector struct {
	Clock timekeeper.Clock
	Log   zerolog.Logger
	Self  registrar.Node
	Nodes Nodes
	Links Links
	Work  Work
	Usage Usage

	mu      sync.Mutex
	members map[string]*member
	hubs    map[string]heard
	news    news
	avoid   map[string]time.Time
	hub     string
	nodes   int
	number  uint64
}

// heard is the newest statement of a node or hub.
type heard struct {
	statement courier.Statement
	at        time.Time
}

// member is a node that has joined this one.
type member struct {
	heard
	// told is the place in the news up to which the node knows them.
	told uint64
}

// Note notes that an engine works on beginnings for a request of this node.
func (c *Collector) Note(engine string, keys []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	c.news.add(item{origin: c.Self.ID, local: true, at: now, engine: courier.EngineOf(engine), keys: keys}, now)
}

// Hub returns the identifier of the hub that this node uses, its own if it is
// the hub, or "" while it has none.
func (c *Collector) Hub() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hub
}

// IsHub reports whether this node is a hub.
func (c *Collector) IsHub() bool { return c.Hub() == c.Self.ID }

// Count returns the number of nodes that may run, at least 1: those that have
// rows or that state their work, as one that is cut off from here may still
// serve.
func (c *Collector) Count() int {
	rows := len(c.Nodes.Nodes())
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(c.nodes, rows, 1)
}

// Run exchanges statements until ctx is done.
func (c *Collector) Run(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { c.visitHubs(ctx) })
	for ctx.Err() == nil {
		n, ok := c.pick(c.Self.DataCentre)
		switch {
		case !ok:
			c.setHub("")
			_ = c.Clock.Sleep(ctx, stateEvery)
		case n.ID == c.Self.ID:
			c.setHub(n.ID)
			c.tick()
			_ = c.Clock.Sleep(ctx, stateEvery)
		default:
			c.follow(ctx, n)
		}
	}
}

// pick returns the first node of a data centre that is worth trying.
func (c *Collector) pick(dataCentre string) (registrar.Node, bool) {
	now := c.Clock.Now()
	nodes := c.Nodes.Of(dataCentre)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range nodes {
		if n.ID == c.Self.ID || !now.Before(c.avoid[n.Address]) {
			return n, true
		}
	}
	return registrar.Node{}, false
}

func (c *Collector) setHub(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hub != id {
		c.Log.Info().Str("hub", id).Str("before", c.hub).Msg("hub changed")
	}
	c.hub = id
}

// lost notes that a node was not reached or is silent.
func (c *Collector) lost(n registrar.Node, err error) {
	c.Log.Info().Str("peer", n.ID).Str("address", n.Address).Err(err).Msg("node not reached")
	c.Links.Forget(n.Address)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.avoid == nil {
		c.avoid = make(map[string]time.Time)
	}
	c.avoid[n.Address] = c.Clock.Now().Add(avoidFor)
	if c.hub == n.ID {
		c.hub = ""
	}
}

// tick takes the sum of what is known as the work of the other nodes.
func (c *Collector) tick() {
	now := c.Clock.Now()
	c.mu.Lock()
	c.expire(now)
	sum, nodes := c.sum("")
	c.nodes = nodes + 1
	c.mu.Unlock()
	c.Work.SetOthers(sum, now)
}
