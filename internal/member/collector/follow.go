package collector

import (
	"context"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/inner/courier"
	"foxtailflow.example/foxtailflow/internal/member/registrar"
)

// follow joins a hub until its stream breaks, or another node ranks before it.
func (c *Collector) follow(ctx context.Context, hub registrar.Node) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stream, err := c.Links.Join(ctx, hub.Address)
	if err != nil {
		c.lost(hub, err)
		return
	}
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { cancel(c.receive(hub, stream)) })
	err = c.state(ctx, hub, stream)
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	cancel(nil)
	if err != nil {
		c.lost(hub, err)
	}
}

// receive takes summaries until the stream ends.
func (c *Collector) receive(hub registrar.Node, stream Stream) error {
	for {
		s, err := stream.Receive()
		if err != nil {
			return err
		}
		now := c.Clock.Now()
		c.setHub(hub.ID)
		c.Work.SetOthers(s.Engines, now)
		for _, b := range s.Beginnings {
			c.Work.Learn(b)
		}
		c.mu.Lock()
		c.nodes = s.Nodes
		c.answeredAt = now
		c.mu.Unlock()
	}
}

// state sends statements until ctx is done, the hub is silent, or another node
// ranks before it.
func (c *Collector) state(ctx context.Context, hub registrar.Node, stream Stream) error {
	var told, revision uint64
	var before []courier.EngineWork
	started := c.Clock.Now()
	sent := time.Time{}
	for {
		now := c.Clock.Now()
		var s courier.Statement
		s, told, revision = c.statement(told, revision)
		same := slices.Equal(s.Engines, before) && len(s.Beginnings) == 0 && len(s.Usage) == 0
		if !same || now.Sub(sent) >= restEvery {
			if err := stream.Send(s); err != nil {
				return err
			}
			sent, before = now, s.Engines
		}
		if err := c.Clock.Sleep(ctx, stateEvery); err != nil {
			return nil
		}
		if now.Sub(c.answered(started)) > silentAfter {
			return coder.New(coder.NodeNotReached, "the hub is silent")
		}
		if first, ok := c.pick(hub.DataCentre); !ok || first.ID != hub.ID {
			return nil
		}
	}
}

// answered returns when the hub last answered, not before the stream began.
func (c *Collector) answered(started time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answeredAt.After(started) {
		return c.answeredAt
	}
	return started
}

// statement returns what this node has, with what is new since.
func (c *Collector) statement(told, revision uint64) (courier.Statement, uint64, uint64) {
	usage, revision := c.Usage.Since(revision, true)
	engines := c.Work.Engines()
	now := c.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.number++
	return courier.Statement{
		Node:        c.Self.ID,
		Incarnation: c.Self.Incarnation,
		DataCentre:  c.Self.DataCentre,
		Number:      c.number,
		Nodes:       1,
		Engines:     engines,
		Beginnings:  c.news.since(told, now, func(it item) bool { return it.origin == c.Self.ID }),
		Usage:       usage,
	}, c.news.last, revision
}
