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

// follow exchanges updates with a hub until the stream breaks or another node
// ranks before the hub.
func (c *Collector) follow(ctx context.Context, hub registrar.Node) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stream, err := c.Dialer.Join(ctx, hub.Address)
	if err != nil {
		c.markUnreachable(hub, err)
		return
	}
	var wg conc.WaitGroup
	defer wg.Wait()
	responses := c.newResponseTracker()
	wg.Go(func() {
		cancel(c.receive(stream, responses, func(s courier.Summary, at time.Time) { c.applySummary(hub, s, at) }))
	})
	err = c.sendUpdates(ctx, hub, stream, responses)
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	cancel(nil)
	if err != nil {
		c.markUnreachable(hub, err)
	}
}

// responseTracker tracks the responses of a hub.
type responseTracker struct {
	clock timekeeper.Clock
	// lastResponse is when the last response was received.
	lastResponse keeper.Cell[time.Time]
	// pending has the updates without a response, in the order of their numbers.
	pending keeper.Cell[[]sentUpdate]
}

// sentUpdate is the number of an update and the time just before it was sent.
type sentUpdate struct {
	number uint64
	sentAt time.Time
}

// recordSent records an update that is about to be sent.
func (t *responseTracker) recordSent(number uint64) {
	now := t.clock.Now()
	t.pending.Update(func(all []sentUpdate) ([]sentUpdate, bool) {
		return append(slices.Clip(all), sentUpdate{number: number, sentAt: now}), true
	})
}

// acknowledge returns when the update with a number was sent, and drops the
// pending updates up to it. It returns the zero time if that is not known.
func (t *responseTracker) acknowledge(number uint64) (sentAt time.Time) {
	t.pending.Update(func(all []sentUpdate) ([]sentUpdate, bool) {
		for len(all) > 0 && all[0].number <= number {
			sentAt, all = all[0].sentAt, all[1:]
		}
		return all, true
	})
	return sentAt
}

// newResponseTracker returns a tracker whose timeout starts now.
func (c *Collector) newResponseTracker() *responseTracker {
	t := &responseTracker{clock: c.Clock}
	t.recordResponse()
	return t
}

func (t *responseTracker) recordResponse() {
	t.lastResponse.Update(func(time.Time) (time.Time, bool) { return t.clock.Now(), true })
}

// timedOut reports whether the last response is older than the hub timeout. Only
// this detects a suspended hub process, as its VM goes on acknowledging bytes.
func (t *responseTracker) timedOut(now time.Time) bool {
	return now.Sub(t.lastResponse.Get()) > hubTimeout
}

// receive takes the summaries of a hub until the stream ends. A summary is as of when the
// update that it responds to was sent: a process that was suspended reads summaries that
// are as old as the suspension was long.
func (c *Collector) receive(stream Stream, responses *responseTracker, apply func(s courier.Summary, at time.Time)) error {
	for {
		s, err := stream.Receive()
		if err != nil {
			return err
		}
		at := responses.acknowledge(s.Number)
		if !at.IsZero() && s.ConfigFreshness.Age >= 0 {
			c.Work.ConfirmConfig(s.ConfigFreshness, at)
		}
		if at.IsZero() {
			at = c.Clock.Now()
		}
		apply(s, at)
		responses.recordResponse()
	}
}

// applySummary takes a summary of the hub of this data centre, as of a time.
func (c *Collector) applySummary(hub registrar.Node, s courier.Summary, at time.Time) {
	c.mu.Lock()
	c.nodeCount = s.Nodes
	c.mu.Unlock()
	c.Work.SetRemoteWork(s.Work, at)
	for _, p := range s.Prefixes {
		c.Work.AddPrefix(p)
	}
	c.Crashes.Merge(s.Crashes)
	// Last, since a node that has a hub knows what the others know.
	c.setHub(hub.ID)
}

// sendUpdates sends updates until ctx is done, the hub times out, or another node
// ranks before the hub.
func (c *Collector) sendUpdates(ctx context.Context, hub registrar.Node, stream Stream, responses *responseTracker) error {
	var sent cursor
	var lastWork courier.Work
	lastSent := time.Time{}
	for {
		now := c.Clock.Now()
		crash := c.Crashes.Changed()
		var u courier.NodeUpdate
		u, sent = c.nextUpdate(sent)
		unchanged := u.Work.Equal(lastWork) && len(u.Prefixes) == 0 && len(u.Usage) == 0 && len(u.Crashes) == 0
		if !unchanged || now.Sub(lastSent) >= idleUpdateInterval {
			responses.recordSent(u.Number)
			if err := stream.Send(u); err != nil {
				return err
			}
			lastSent, lastWork = now, u.Work
		}
		if err := c.pause(ctx, updateInterval, crash); err != nil {
			return nil
		}
		if responses.timedOut(now) {
			return coder.New(coder.NodeNotReached, "the hub sends no responses")
		}
		if first, ok := c.firstCandidate(hub.DataCentre); !ok || first.ID != hub.ID {
			return nil
		}
	}
}

// nextUpdate returns an update with this node's work and what has changed since the
// last one, and the cursor for the next update.
func (c *Collector) nextUpdate(sent cursor) (courier.NodeUpdate, cursor) {
	usage, usageRevision := c.Usage.ChangedSince(sent.usage, true)
	crashes, crashRevision := c.Crashes.ChangedSince(sent.crashes)
	work := c.Work.LocalWork()
	now := c.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.newUpdate()
	u.Nodes, u.Work, u.Usage, u.Crashes = 1, work, usage, crashes
	u.Prefixes = c.prefixes.since(sent.prefixes, now, func(entry prefixEntry) bool { return entry.origin == c.Self.ID })
	return u, cursor{prefixes: c.prefixes.last, usage: usageRevision, crashes: crashRevision}
}

// newUpdate returns an update with the next number and no content; the caller
// holds the lock.
func (c *Collector) newUpdate() courier.NodeUpdate {
	c.lastNumber++
	return courier.NodeUpdate{
		Node:        c.Self.ID,
		Incarnation: c.Self.Incarnation,
		DataCentre:  c.Self.DataCentre,
		Number:      c.lastNumber,
	}
}
