package collector

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/inner/courier"
	"foxtailflow.example/foxtailflow/internal/member/registrar"
)

// HandleUpdate takes the update of a node that has joined and returns a summary
// of what that node does not know yet.
func (c *Collector) HandleUpdate(u courier.NodeUpdate) courier.Summary {
	now := c.Clock.Now()
	if len(u.Usage) > 0 {
		c.Usage.Merge(u.Usage, !u.Hub)
	}
	c.Crashes.Merge(u.Crashes)
	c.mu.Lock()
	defer c.mu.Unlock()
	if u.Hub {
		c.recordHub(u, now)
		return courier.Summary{Number: u.Number, ConfigFreshness: c.Work.ConfigFreshness()}
	}
	m := c.recordMember(u, now)
	if !c.Nodes.WasListed(u.Node, u.Incarnation) {
		c.unlisted.record(u, now)
	}
	c.expire(now)
	others, nodes := c.sum(u.Node, now)
	crashes, crashRevision := c.Crashes.ChangedSince(m.sent.crashes)
	out := courier.Summary{
		Number:          u.Number,
		Nodes:           nodes + 1,
		Work:            courier.Sum(others, c.Work.LocalWork()),
		Prefixes:        c.prefixes.since(m.sent.prefixes, now, func(entry prefixEntry) bool { return entry.origin != u.Node }),
		Crashes:         crashes,
		ConfigFreshness: c.Work.ConfigFreshness(),
	}
	m.sent = cursor{prefixes: c.prefixes.last, crashes: crashRevision}
	return out
}

func (c *Collector) recordMember(u courier.NodeUpdate, now time.Time) *member {
	if c.members == nil {
		c.members = make(map[string]*member)
	}
	m, ok := c.members[u.Node]
	if !ok || m.update.Incarnation != u.Incarnation {
		m = &member{}
		c.members[u.Node] = m
	}
	m.receivedUpdate = receivedUpdate{update: u, receivedAt: now}
	c.addPrefixes(u.Prefixes, u.Node, true, now)
	return m
}

func (c *Collector) recordHub(u courier.NodeUpdate, now time.Time) {
	if c.hubs == nil {
		c.hubs = make(map[string]receivedUpdate)
	}
	c.hubs[u.DataCentre] = receivedUpdate{update: u, receivedAt: now}
	c.addPrefixes(u.Prefixes, u.Node, false, now)
}

// addPrefixes records the prefixes of an update.
func (c *Collector) addPrefixes(prefixes []courier.PrefixReport, origin string, local bool, now time.Time) {
	for _, p := range prefixes {
		c.prefixes.add(prefixEntry{origin: origin, local: local, addedAt: now.Add(-p.Age), engine: p.Engine, keys: p.Keys, tokens: p.Tokens}, now)
		c.Work.AddPrefix(p)
	}
}

// HandleDisconnect drops the last update of a node whose stream has ended.
func (c *Collector) HandleDisconnect(u courier.NodeUpdate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if u.Hub {
		if h, ok := c.hubs[u.DataCentre]; ok && h.update.Node == u.Node {
			delete(c.hubs, u.DataCentre)
		}
		return
	}
	if m, ok := c.members[u.Node]; ok && m.update.Incarnation == u.Incarnation {
		delete(c.members, u.Node)
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
func (c *Collector) sum(except string, now time.Time) (courier.Work, int) {
	var works []courier.Work
	nodes := 0
	for id, m := range c.members {
		if id != except {
			works = append(works, m.work(now))
		}
		nodes++
	}
	for _, h := range c.hubs {
		works = append(works, h.work(now))
		nodes += h.update.Nodes
	}
	return courier.Sum(works...), nodes
}

// connectHubs keeps a stream to the hub of each other data centre while this node
// is a hub.
func (c *Collector) connectHubs(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	started := make(map[string]bool)
	for ctx.Err() == nil {
		for _, name := range c.Nodes.DataCentres() {
			if name != c.Self.DataCentre && !started[name] {
				started[name] = true
				wg.Go(func() { c.connectHub(ctx, name) })
			}
		}
		_ = c.Clock.Sleep(ctx, time.Second)
	}
}

// connectHub sends the totals of this data centre to the hub of another one while
// this node is a hub.
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
	stream, err := c.Dialer.Join(ctx, n.Address)
	if err != nil {
		return err
	}
	responses := c.newResponseTracker()
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel(nil)
	wg.Go(func() { cancel(c.receive(stream, responses, func(courier.Summary, time.Time) {})) })
	var sent cursor
	for c.IsHub() {
		crash := c.Crashes.Changed()
		var u courier.NodeUpdate
		u, sent = c.nextHubUpdate(sent)
		responses.recordSent(u.Number)
		if err := stream.Send(u); err != nil {
			return err
		}
		if err := c.pause(ctx, hubUpdateInterval, crash); err != nil {
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

// nextHubUpdate returns an update with the totals of this data centre and what has
// changed since the last one, and the cursor for the next update.
func (c *Collector) nextHubUpdate(sent cursor) (courier.NodeUpdate, cursor) {
	usage, usageRevision := c.Usage.ChangedSince(sent.usage, false)
	crashes, crashRevision := c.Crashes.ChangedSince(sent.crashes)
	own := c.Work.LocalWork()
	now := c.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire(now)
	works := []courier.Work{own}
	for _, m := range c.members {
		works = append(works, m.work(now))
	}
	u := c.newUpdate()
	u.Hub, u.Nodes, u.Work, u.Usage, u.Crashes = true, len(c.members)+1, courier.Sum(works...), usage, crashes
	u.Prefixes = c.prefixes.since(sent.prefixes, now, func(entry prefixEntry) bool { return entry.local })
	return u, cursor{prefixes: c.prefixes.last, usage: usageRevision, crashes: crashRevision}
}
