package collector

import (
	"context"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/keeper"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
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
	answered := c.newAnswered()
	wg.Go(func() {
		cancel(c.receive(stream, answered, func(s courier.Summary) { c.takeSummary(hub, s) }))
	})
	err = c.state(ctx, hub, stream, answered)
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	cancel(nil)
	if err != nil {
		c.lost(hub, err)
	}
}

// answered is what is known of the answers of a hub.
type answered struct {
	clock timekeeper.Clock
	// at is when it has last answered.
	at keeper.Cell[time.Time]
	// asked has the statements that are not answered yet, in their order.
	asked keeper.Cell[[]asked]
}

// asked is a statement with the time before it was sent.
type asked struct {
	number uint64
	at     time.Time
}

// sent notes that a statement is about to be sent.
func (a *answered) sent(number uint64) {
	now := a.clock.Now()
	a.asked.Update(func(all []asked) ([]asked, bool) {
		return append(slices.Clip(all), asked{number: number, at: now}), true
	})
}

// askedAt returns when the statement with a number was sent, and forgets those up
// to it; the zero time if that is not known.
func (a *answered) askedAt(number uint64) (at time.Time) {
	a.asked.Update(func(all []asked) ([]asked, bool) {
		for len(all) > 0 && all[0].number <= number {
			at, all = all[0].at, all[1:]
		}
		return all, true
	})
	return at
}

// newAnswered returns one that counts from now.
func (c *Collector) newAnswered() *answered {
	a := &answered{clock: c.Clock}
	a.note()
	return a
}

func (a *answered) note() {
	a.at.Update(func(time.Time) (time.Time, bool) { return a.clock.Now(), true })
}

// silent reports whether the hub had not answered for too long at a time. A hub
// that is suspended is found out by that alone: its machine goes on acknowledging
// bytes.
func (a *answered) silent(now time.Time) bool { return now.Sub(a.at.Get()) > silentAfter }

// receive takes the answers of a hub until the stream ends.
func (c *Collector) receive(stream Stream, a *answered, take func(courier.Summary)) error {
	for {
		s, err := stream.Receive()
		if err != nil {
			return err
		}
		if at := a.askedAt(s.Number); !at.IsZero() && s.Evidence.Age >= 0 {
			c.Work.Confirm(s.Evidence, at)
		}
		take(s)
		a.note()
	}
}

// takeSummary takes what the hub of this data centre has answered.
func (c *Collector) takeSummary(hub registrar.Node, s courier.Summary) {
	c.setHub(hub.ID)
	c.Work.SetOthers(s.Work, c.Clock.Now())
	for _, b := range s.Beginnings {
		c.Work.Learn(b)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes = s.Nodes
}

// state sends statements until ctx is done, the hub is silent, or another node
// ranks before it.
func (c *Collector) state(ctx context.Context, hub registrar.Node, stream Stream, a *answered) error {
	var told, revision uint64
	var before courier.Work
	sent := time.Time{}
	for {
		now := c.Clock.Now()
		var s courier.Statement
		s, told, revision = c.statement(told, revision)
		same := s.Work.Equal(before) && len(s.Beginnings) == 0 && len(s.Usage) == 0
		if !same || now.Sub(sent) >= restEvery {
			a.sent(s.Number)
			if err := stream.Send(s); err != nil {
				return err
			}
			sent, before = now, s.Work
		}
		if err := c.Clock.Sleep(ctx, stateEvery); err != nil {
			return nil
		}
		if a.silent(now) {
			return coder.New(coder.NodeNotReached, "the hub is silent")
		}
		if first, ok := c.pick(hub.DataCentre); !ok || first.ID != hub.ID {
			return nil
		}
	}
}

// statement returns what this node has, with what is new since.
func (c *Collector) statement(told, revision uint64) (courier.Statement, uint64, uint64) {
	usage, revision := c.Usage.Since(revision, true)
	work := c.Work.Own()
	now := c.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.newStatement()
	s.Nodes, s.Work, s.Usage = 1, work, usage
	s.Beginnings = c.news.since(told, now, func(it item) bool { return it.origin == c.Self.ID })
	return s, c.news.last, revision
}

// newStatement returns the next statement of this node without what it states;
// the caller holds the lock.
func (c *Collector) newStatement() courier.Statement {
	c.number++
	return courier.Statement{
		Node:        c.Self.ID,
		Incarnation: c.Self.Incarnation,
		DataCentre:  c.Self.DataCentre,
		Number:      c.number,
	}
}
