package collector

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/inner/courier"
	"foxtailflow.example/foxtailflow/internal/member/registrar"
)

// Answer takes the statement of a node that has joined and returns what that
// node does not know.
func (c *Collector) Answer(s courier.Statement) courier.Summary {
	now := c.Clock.Now()
	if len(s.Usage) > 0 {
		c.Usage.Merge(s.Usage, !s.Hub)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Hub {
		c.hearHub(s, now)
		return courier.Summary{Number: s.Number, Evidence: c.Work.Evidence()}
	}
	m := c.hearMember(s, now)
	c.expire(now)
	others, nodes := c.sum(s.Node)
	out := courier.Summary{
		Number:     s.Number,
		Nodes:      nodes + 1,
		Work:       courier.Sum(others, c.Work.Own()),
		Beginnings: c.news.since(m.told, now, func(it item) bool { return it.origin != s.Node }),
		Evidence:   c.Work.Evidence(),
	}
	m.told = c.news.last
	return out
}

func (c *Collector) hearMember(s courier.Statement, now time.Time) *member {
	if c.members == nil {
		c.members = make(map[string]*member)
	}
	m, ok := c.members[s.Node]
	if !ok || m.statement.Incarnation != s.Incarnation {
		m = &member{}
		c.members[s.Node] = m
	}
	m.heard = heard{statement: s, at: now}
	c.learn(s.Beginnings, s.Node, true, now)
	return m
}

func (c *Collector) hearHub(s courier.Statement, now time.Time) {
	if c.hubs == nil {
		c.hubs = make(map[string]heard)
	}
	c.hubs[s.DataCentre] = heard{statement: s, at: now}
	c.learn(s.Beginnings, s.Node, false, now)
}

// learn takes beginnings that others have told of.
func (c *Collector) learn(beginnings []courier.Beginning, origin string, local bool, now time.Time) {
	for _, b := range beginnings {
		c.news.add(item{origin: origin, local: local, at: now.Add(-b.Age), engine: b.Engine, keys: b.Keys}, now)
		c.Work.Learn(b)
	}
}

// Left drops what a node has stated whose stream has ended.
func (c *Collector) Left(s courier.Statement) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Hub {
		if h, ok := c.hubs[s.DataCentre]; ok && h.statement.Node == s.Node {
			delete(c.hubs, s.DataCentre)
		}
		return
	}
	if m, ok := c.members[s.Node]; ok && m.statement.Incarnation == s.Incarnation {
		delete(c.members, s.Node)
	}
}

// expire drops statements that are too old to count; the caller holds the lock.
func (c *Collector) expire(now time.Time) {
	for id, m := range c.members {
		if now.Sub(m.at) > keepFor {
			delete(c.members, id)
		}
	}
	for name, h := range c.hubs {
		if now.Sub(h.at) > keepFor {
			delete(c.hubs, name)
		}
	}
}

// sum adds up the work of the other nodes but one, and their number; the caller
// holds the lock.
func (c *Collector) sum(but string) (courier.Work, int) {
	var parts []courier.Work
	nodes := 0
	for id, m := range c.members {
		if id != but {
			parts = append(parts, m.statement.Work)
		}
		nodes++
	}
	for _, h := range c.hubs {
		parts = append(parts, h.statement.Work)
		nodes += h.statement.Nodes
	}
	return courier.Sum(parts...), nodes
}

// visitHubs keeps a stream to the hub of each other data centre while this node
// is a hub.
func (c *Collector) visitHubs(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	visiting := make(map[string]bool)
	for ctx.Err() == nil {
		for _, name := range c.Nodes.DataCentres() {
			if name != c.Self.DataCentre && !visiting[name] {
				visiting[name] = true
				wg.Go(func() { c.visit(ctx, name) })
			}
		}
		_ = c.Clock.Sleep(ctx, time.Second)
	}
}

// visit states the sums of this data centre to the hub of another.
func (c *Collector) visit(ctx context.Context, dataCentre string) {
	for ctx.Err() == nil {
		n, ok := c.pick(dataCentre)
		if !ok || !c.IsHub() {
			_ = c.Clock.Sleep(ctx, hubEvery)
			continue
		}
		if err := c.stateTo(ctx, n); err != nil && ctx.Err() == nil {
			c.lost(n, err)
		}
	}
}

// stateTo states the sums to a hub until it is silent or another node ranks
// before it.
func (c *Collector) stateTo(ctx context.Context, n registrar.Node) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stream, err := c.Links.Join(ctx, n.Address)
	if err != nil {
		return err
	}
	answered := c.newAnswered()
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel(nil)
	wg.Go(func() { cancel(c.receive(stream, answered, func(courier.Summary) {})) })
	var told, revision uint64
	for c.IsHub() {
		var s courier.Statement
		s, told, revision = c.hubStatement(told, revision)
		answered.sent(s.Number)
		if err := stream.Send(s); err != nil {
			return err
		}
		if err := c.Clock.Sleep(ctx, hubEvery); err != nil {
			return context.Cause(ctx)
		}
		if answered.silent(c.Clock.Now()) {
			return coder.New(coder.NodeNotReached, "the hub of another data centre is silent")
		}
		if first, ok := c.pick(n.DataCentre); !ok || first.ID != n.ID {
			return nil
		}
	}
	return nil
}

// hubStatement returns the sums of this data centre with what is new since.
func (c *Collector) hubStatement(told, revision uint64) (courier.Statement, uint64, uint64) {
	usage, revision := c.Usage.Since(revision, false)
	own := c.Work.Own()
	now := c.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire(now)
	parts := []courier.Work{own}
	for _, m := range c.members {
		parts = append(parts, m.statement.Work)
	}
	s := c.newStatement()
	s.Hub, s.Nodes, s.Work, s.Usage = true, len(c.members)+1, courier.Sum(parts...), usage
	s.Beginnings = c.news.since(told, now, func(it item) bool { return it.local })
	return s, c.news.last, revision
}
