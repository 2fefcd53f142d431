// Package collector exchanges load and usage between the nodes.
//
// In each data centre one node is the hub: the first reachable node in the order
// of the node rows. The other nodes join it. Several times a second each node
// sends its hub an update of the work it has in progress and receives a summary
// of the work on all other nodes. Hubs send each other the totals of their data
// centres. A node therefore has a stream to one other node, and a hub has streams
// to the nodes of its data centre and to one node of each other data centre.
// Nothing exchanged here has to be durable or consistent: a node without a hub
// decides from its own state, and two hubs in one data centre only know less of
// each other's nodes.
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
	Send(u courier.NodeUpdate) error
	Receive() (courier.Summary, error)
}

// Dialer opens streams to other nodes.
type Dialer interface {
	Join(ctx context.Context, address string) (Stream, error)
	Disconnect(address string)
}

// Nodes lists the nodes that have rows.
type Nodes interface {
	Nodes() []registrar.Node
	InDataCentre(dataCentre string) []registrar.Node
	DataCentres() []string
	// WasListed reports whether the row of a start of a node was ever read.
	WasListed(id string, incarnation uint64) bool
}

// WorkTracker provides the state of this node and takes that of the others.
type WorkTracker interface {
	// LocalWork returns what this node has in progress.
	LocalWork() courier.Work
	// SetRemoteWork sets the work in progress on all other nodes, as of a time.
	SetRemoteWork(w courier.Work, at time.Time)
	// AddPrefix records a prefix that an engine has prefilled for another node.
	AddPrefix(p courier.PrefixReport)
	// ConfigFreshness returns which configuration version this node knows to be the
	// newest, and how long ago that was confirmed.
	ConfigFreshness() courier.ConfigFreshness
	// ConfirmConfig takes the confirmation of another node; asked is when it was
	// requested.
	ConfirmConfig(e courier.ConfigFreshness, asked time.Time)
}

// UsageLedger keeps the counts of requests by window, node and client account.
type UsageLedger interface {
	// ChangedSince returns the counts of the nodes of this data centre that
	// have changed after a revision, and the current revision. With own set it
	// returns only this node's counts.
	ChangedSince(revision uint64, own bool) ([]courier.NodeUsage, uint64)
	// Merge takes counts of other nodes; local means that these nodes are in this
	// data centre.
	Merge(counts []courier.NodeUsage, local bool)
}

// Crashes holds what nodes know of crashed endpoints.
type Crashes interface {
	// ChangedSince returns the reports that have changed after a revision, and the
	// current revision.
	ChangedSince(revision uint64) ([]courier.CrashReport, uint64)
	// Merge takes reports of other nodes.
	Merge(reports []courier.CrashReport)
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}

// The intervals and timeouts of updates.
const (
	// updateInterval is how often a node sends updates while its work changes.
	updateInterval = 200 * time.Millisecond
	// hubUpdateInterval is how often hubs send the totals of their data centres.
	hubUpdateInterval = 400 * time.Millisecond
	// idleUpdateInterval is how often a node sends updates while nothing changes.
	idleUpdateInterval = 600 * time.Millisecond
	// hubTimeout is how long a hub may send no response before it is given up.
	hubTimeout = 1500 * time.Millisecond
	// reconnectDelay is how long an unreachable node is not tried again.
	reconnectDelay = 5 * time.Second
	// updateLifetime is how long the last update of a node or hub is used.
	updateLifetime = 2 * time.Second
	// prefixLifetime is the age up to which a prefix is sent to nodes that join.
	prefixLifetime = 8 * time.Second
)

// Collector exchanges updates and summaries for this node.
type Collector struct {
	Clock  timekeeper.Clock
	Log    zerolog.Logger
	Self   registrar.Node
	Nodes  Nodes
	Dialer Dialer
	Work   WorkTracker
	Usage  UsageLedger
	// Crashes are exchanged at once: the next request may crash the next endpoint.
	Crashes Crashes

	mu         sync.Mutex
	members    map[string]*member
	unlisted   unlistedNodes
	hubs       map[string]receivedUpdate
	prefixes   prefixLog
	avoidUntil map[string]time.Time
	hub        string
	nodeCount  int
	lastNumber uint64
}

// receivedUpdate is the newest update of a node or hub.
type receivedUpdate struct {
	update     courier.NodeUpdate
	receivedAt time.Time
}

// work returns the work in the update, with its age.
func (u receivedUpdate) work(now time.Time) courier.Work {
	return u.update.Work.WithAge(now.Sub(u.receivedAt))
}

// member is a node that has joined this one.
type member struct {
	receivedUpdate
	// sent is what the node was sent; the hub does not send usage.
	sent cursor
}

// cursor is the position up to which a node was sent what has changed: the sequence
// number of the last prefix, and the revisions of the usage and of the crashes.
type cursor struct {
	prefixes uint64
	usage    uint64
	crashes  uint64
}

// RecordPrefixes records the keys of the prefixes on which an engine works for
// a request of this node, and the tokens that its cache takes for that.
func (c *Collector) RecordPrefixes(engine string, keys []uint64, tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	c.prefixes.add(prefixEntry{origin: c.Self.ID, local: true, addedAt: now, engine: courier.HashEngine(engine), keys: keys, tokens: tokens}, now)
}

// Hub returns the identifier of this node's hub: its own if it is the hub, or ""
// while it has none.
func (c *Collector) Hub() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hub
}

// IsHub reports whether this node is a hub.
func (c *Collector) IsHub() bool { return c.Hub() == c.Self.ID }

// NodeCount returns the number of nodes that may be running, at least 1. A node
// counts while it has a row or sends updates, as a node that this one cannot
// reach may still serve requests.
func (c *Collector) NodeCount() int {
	rows := len(c.Nodes.Nodes())
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(c.nodeCount, rows, 1)
}

// ReachedNodes returns the number of nodes whose state the last summary contains, this one
// included; 0 before the first.
func (c *Collector) ReachedNodes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodeCount
}

// Run exchanges updates until ctx is done.
func (c *Collector) Run(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { c.connectHubs(ctx) })
	for ctx.Err() == nil {
		n, ok := c.firstCandidate(c.Self.DataCentre)
		switch {
		case !ok:
			c.setHub("")
			_ = c.Clock.Sleep(ctx, updateInterval)
		case n.ID == c.Self.ID:
			c.setHub(n.ID)
			c.applyTotal()
			_ = c.Clock.Sleep(ctx, updateInterval)
		default:
			c.follow(ctx, n)
		}
	}
}

// firstCandidate returns the first node of a data centre that was not found
// unreachable within the reconnect delay.
func (c *Collector) firstCandidate(dataCentre string) (registrar.Node, bool) {
	now := c.Clock.Now()
	nodes := c.Nodes.InDataCentre(dataCentre)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range nodes {
		if n.ID == c.Self.ID || !now.Before(c.avoidUntil[n.Address]) {
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

// markUnreachable records that a node could not be reached or sends no responses.
func (c *Collector) markUnreachable(n registrar.Node, err error) {
	c.Log.Info().Str("peer", n.ID).Str("address", n.Address).Err(err).Msg("node unreachable")
	c.Dialer.Disconnect(n.Address)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.avoidUntil == nil {
		c.avoidUntil = make(map[string]time.Time)
	}
	c.avoidUntil[n.Address] = c.Clock.Now().Add(reconnectDelay)
	if c.hub == n.ID {
		c.hub = ""
	}
}

// pause waits for d, or until there is news of a crash.
func (c *Collector) pause(ctx context.Context, d time.Duration, crash <-chan struct{}) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-crash:
	case <-c.Clock.After(d):
	}
	return nil
}

// applyTotal sets the work of the other nodes from the updates this hub has
// received.
func (c *Collector) applyTotal() {
	now := c.Clock.Now()
	c.mu.Lock()
	c.expire(now)
	sum, nodes := c.sum("", now)
	c.nodeCount = nodes + 1
	c.mu.Unlock()
	c.Work.SetRemoteWork(sum, now)
}
