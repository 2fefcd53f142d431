package generator

import (
	"container/list"
	"math/rand/v2"
	"time"

	"foxtailflow.example/foxtailflow/internal/engine/speaker"
)

const (
	// keptEvents bounds the events that can still be asked for.
	keptEvents = 8192
	// eventsPerAnswer bounds one answer.
	eventsPerAnswer = 1024
)

// cache holds the pieces of prompts that were read, least recently used last.
type cache struct {
	order    list.List
	byName   map[uint64]*list.Element
	events   []stampedEvent
	sequence uint64
	// loss is the share of events that are lost.
	loss float64
}

type stampedEvent struct {
	at    time.Time
	event speaker.CacheEvent
}

// match returns how many pieces from the beginning are there, and marks them
// as used.
func (c *cache) match(pieces []uint64) int {
	n := 0
	for n < len(pieces) && c.byName[pieces[n]] != nil {
		n++
	}
	c.touch(pieces[:n])
	return n
}

// touch marks pieces as used, the first most recently: a piece is of no use
// without those before it.
func (c *cache) touch(pieces []uint64) {
	for i := len(pieces) - 1; i >= 0; i-- {
		if e := c.byName[pieces[i]]; e != nil {
			c.order.MoveToFront(e)
		}
	}
}

// add puts pieces in and removes others beyond the capacity.
func (c *cache) add(now time.Time, pieces []uint64, capacity int) {
	if c.byName == nil {
		c.byName = make(map[uint64]*list.Element)
	}
	for _, p := range pieces {
		if c.byName[p] == nil {
			c.byName[p] = c.order.PushFront(p)
			c.log(now, p, false)
		}
	}
	c.touch(pieces)
	c.shrink(now, capacity)
}

// shrink removes the least recently used pieces beyond the capacity.
func (c *cache) shrink(now time.Time, capacity int) {
	for c.order.Len() > max(capacity, 0) {
		p := c.order.Remove(c.order.Back()).(uint64)
		delete(c.byName, p)
		c.log(now, p, true)
	}
}

func (c *cache) log(now time.Time, piece uint64, removed bool) {
	c.sequence++
	if c.loss > 0 && rand.Float64() < c.loss {
		return
	}
	c.events = append(c.events, stampedEvent{
		at:    now,
		event: speaker.CacheEvent{Sequence: c.sequence, Block: piece, Removed: removed},
	})
	if len(c.events) > 2*keptEvents {
		c.events = append([]stampedEvent(nil), c.events[keptEvents:]...)
	}
}

// after returns the events after a sequence number that happened before until.
func (c *cache) after(sequence uint64, until time.Time) []speaker.CacheEvent {
	var events []speaker.CacheEvent
	for _, s := range c.events {
		if s.event.Sequence <= sequence {
			continue
		}
		if s.at.After(until) || len(events) == eventsPerAnswer {
			break
		}
		events = append(events, s.event)
	}
	return events
}
