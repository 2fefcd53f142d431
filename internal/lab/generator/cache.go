package generator

import (
	"container/list"
	"math/rand/v2"
	"time"

	"foxtailflow.example/foxtailflow/internal/engine/controller"
)

const (
	// maxEvents is the number of past events that can still be fetched.
	maxEvents = 8192
	// maxEventsPerResponse bounds the events in one response.
	maxEventsPerResponse = 1024
)

// cache is the prefix cache: the blocks of prefilled prompts, least recently
// used last.
type cache struct {
	lru          list.List
	elements     map[uint64]*list.Element
	events       []timedEvent
	lastSequence uint64
	// eventLoss is the share of events that are not recorded.
	eventLoss float64
}

type timedEvent struct {
	at    time.Time
	event controller.CacheEvent
}

// match returns the number of leading blocks that are in the cache, and marks
// them as used.
func (c *cache) match(blocks []uint64) int {
	n := 0
	for n < len(blocks) && c.elements[blocks[n]] != nil {
		n++
	}
	c.touch(blocks[:n])
	return n
}

// touch marks blocks as used, the first one most recently: a block is of no use
// without those before it.
func (c *cache) touch(blocks []uint64) {
	for i := len(blocks) - 1; i >= 0; i-- {
		if e := c.elements[blocks[i]]; e != nil {
			c.lru.MoveToFront(e)
		}
	}
}

// add inserts blocks and evicts the least recently used ones beyond the
// capacity.
func (c *cache) add(now time.Time, blocks []uint64, capacity int) {
	if c.elements == nil {
		c.elements = make(map[uint64]*list.Element)
	}
	for _, block := range blocks {
		if c.elements[block] == nil {
			c.elements[block] = c.lru.PushFront(block)
			c.recordEvent(now, block, false)
		}
	}
	c.touch(blocks)
	c.evict(now, capacity)
}

// evict removes the least recently used blocks beyond the capacity.
func (c *cache) evict(now time.Time, capacity int) {
	for c.lru.Len() > max(capacity, 0) {
		block := c.lru.Remove(c.lru.Back()).(uint64)
		delete(c.elements, block)
		c.recordEvent(now, block, true)
	}
}

func (c *cache) recordEvent(now time.Time, block uint64, removed bool) {
	c.lastSequence++
	if c.eventLoss > 0 && rand.Float64() < c.eventLoss {
		return
	}
	c.events = append(c.events, timedEvent{
		at:    now,
		event: controller.CacheEvent{Sequence: c.lastSequence, Block: block, Removed: removed},
	})
	if len(c.events) > 2*maxEvents {
		c.events = append([]timedEvent(nil), c.events[maxEvents:]...)
	}
}

// after returns the events after a sequence number that happened at or before
// until.
func (c *cache) after(sequence uint64, until time.Time) []controller.CacheEvent {
	var events []controller.CacheEvent
	for _, s := range c.events {
		if s.event.Sequence <= sequence {
			continue
		}
		if s.at.After(until) || len(events) == maxEventsPerResponse {
			break
		}
		events = append(events, s.event)
	}
	return events
}
