package collector

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/inner/courier"
	"foxtailflow.example/foxtailflow/internal/member/registrar"
)

// Answer takes the update of a node that has joined and returns a summary of what
// that node does not know yet.
func (c *Collector) Answer(s courier.Statement) courier.Summary {
	now := c.Clock.Now()
	if len(s.Usage) > 0 {
		c.Usage.Merge(s.Usage, !s.Hub)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Hub {
		c.recordHub(s, now)
		return courier.Summary{Number: s.Number, Evidence: c.Work.Evidence()}
	}
	m := c.recordMember(s, now)
	c.expire(now)
	others, nodes := c.sum(s.Node)
	out := courier.Summary{
		Number:     s.Number,
		Nodes:      nodes + 1,
		Work:       courier.Sum(others, c.Work.Own()),
		Beginnings: c.prefixes.since(m.prefixesSent, now, func(entry prefixEntry) bool { return entry.origin != s.Node }),
		Evidence:   c.Work.Evidence(),
	}
	m.prefixesSent = c.prefixes.last
	return out
}

func (c *Collector) recordMember(s courier.Statement, now time.Time) *member {
	if c.members == nil {
		c.members = make(map[string]*member)
	}
	m, ok := c.members[s.Node]
	if !ok || m.update.Incarnation != s.Incarnation {
		m = &member{}
		c.members[s.Node] = m
	}
	m.receivedUpdate = receivedUpdate{update: s, receivedAt: now}
	c.addPrefixes(s.Beginnings, s.Node, true, now)
	return m
}

func (c *Collector) recordHub(s courier.Statement, now time.Time) {
	if c.hubs == nil {
		c.hubs = make(map[string]receivedUpdate)
	}
	c.hubs[s.DataCentre] = receivedUpdate{update: s, receivedAt: now}
	c.addPrefixes(s.Beginnings, s.Node, false, now)
}

// addPrefixes records the prefixes of an update.
func (c *Collector) addPrefixes(prefixes []courier.Beginning, origin string, local bool, now time.Time) {
	for _, b := range prefixes {
		c.prefixes.add(prefixEntry{origin: origin, local: local, addedAt: now.Add(-b.Age), engine: b.Engine, keys: b.Keys}, now)
		c.Work.Learn(b)
	}
}

// Left drops the last update of a node whose stream has ended.
func (c *Collector) Left(s courier.Statement) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Hub {
		if h, ok := c.hubs[s.DataCentre]; ok && h.update.Node == s.Node {
			delete(c.hubs, s.DataCentre)
		}
		return
	}
	if m, ok := c.members[s.Node]; ok && m.update.Incarnation == s.Incarnation {
		delete(c.members, s.Node)
	}
}

// expire drops updates that are older than their lifetime; the caller holds the
// lock.
func (c *Collector) expire(now time.Time) {
	for id, m := range c.members {
		if now.Sub(m.receivedAt) > updateLifetime {
			delete(c.members, id)
		}
	}
	for name, h := range c.hubs {
		if now.Sub(h.receivedAt) > updateLifetime {
			delete(c.hubs, name)
		}
	}
}

// sum returns the total work of the other nodes without that of one, and the
// number of the other nodes; the caller holds the lock.
func (c *Collector) sum(except string) (courier.Work, int) {
	var works []courier.Work
	nodes := 0
	for id, m := range c.members {
		if id != except {
			works = append(works, m.update.Work)
		}
		nodes++
	}
	for _, h := range c.hubs {
		works = append(works, h.update.Work)
		nodes += h.update.Nodes
	}
	return courier.Sum(works...), nodes
}

// connectHubs keeps a stream to the hub of each other data centre while this node
// is a hub.
func (c *Collector) connectHubs(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	connected := make(map[string]bool)
	for ctx.Err() == nil {
		for _, name := range c.Nodes.DataCentres() {
			if name != c.Self.DataCentre && !connected[name] {
				connected[name] = true
				wg.Go(func() { c.connectHub(ctx, name) })
			}
		}
		_ = c.Clock.Sleep(ctx, time.Second)
	}
}

// connectHub sends the totals of this data centre to the hub of another one.
func (c *Collector) connectHub(ctx context.Context, dataCentre string) {
	for ctx.Err() == nil {
		n, ok := c.firstCandidate(dataCentre)
		if !ok || !c.IsHub() {
			_ = c.Clock.Sleep(ctx, hubUpdateInterval)
			continue
		}
		if err := c.sendTotals(ctx, n); err != nil && ctx.Err() == nil {
			c.markUnreachable(n, err)
		}
	}
}

// sendTotals sends totals to a hub until it times out or another node ranks
// before it.
func (c *Collector) sendTotals(ctx context.Context, n registrar.Node) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stream, err := c.Links.Join(ctx, n.Address)
	if err != nil {
		return err
	}
	responses := c.newResponseTracker()
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel(nil)
	wg.Go(func() { cancel(c.receive(stream, responses, func(courier.Summary) {})) })
	var sequence, revision uint64
	for c.IsHub() {
		var s courier.Statement
		s, sequence, revision = c.nextHubUpdate(sequence, revision)
		responses.recordSent(s.Number)
		if err := stream.Send(s); err != nil {
			return err
		}
		if err := c.Clock.Sleep(ctx, hubUpdateInterval); err != nil {
			return context.Cause(ctx)
		}
		if responses.timedOut(c.Clock.Now()) {
			return coder.New(coder.NodeNotReached, "the hub of another data centre sends no responses")
		}
		if first, ok := c.firstCandidate(n.DataCentre); !ok || first.ID != n.ID {
			return nil
		}
	}
	return nil
}

// nextHubUpdate returns an update with the totals of this data centre, its
// prefixes after a sequence number and its usage after a revision. It also
// returns the sequence number and the revision for the next update.
func (c *Collector) nextHubUpdate(sequence, revision uint64) (courier.Statement, uint64, uint64) {
	usage, revision := c.Usage.Since(revision, false)
	own := c.Work.Own()
	now := c.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire(now)
	works := []courier.Work{own}
	for _, m := range c.members {
		works = append(works, m.update.Work)
	}
	s := c.newUpdate()
	s.Hub, s.Nodes, s.Work, s.Usage = true, len(c.members)+1, courier.Sum(works...), usage
	s.Beginnings = c.prefixes.since(sequence, now, func(entry prefixEntry) bool { return entry.local })
	return s, c.prefixes.last, revision
}
