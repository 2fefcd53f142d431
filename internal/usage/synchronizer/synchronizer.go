// Package synchronizer estimates the true time of day, although the clocks of VMs jump.
//
// The store has a steady clock that all nodes can read. When it starts, each node
// publishes the offset of its own time of day from that clock. The true time is
// the store's clock plus the median of all offsets, which the jump of a few clocks
// cannot change. Between two readings of the store's clock a node advances the
// time by its boot-time clock.
package synchronizer

import (
	"slices"
	"sync"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
)

// Synchronizer estimates the true time.
type Synchronizer struct {
	// Steady never jumps and includes the time of suspensions, Wall is the time of
	// day.
	Steady timekeeper.Clock
	Wall   timekeeper.Clock
	// Offsets returns the offsets that the nodes have published.
	Offsets func() []time.Duration

	mu sync.Mutex
	// synced means that the store's clock was read.
	synced bool
	// storeClock is the last reading of the store's clock, readAt the time of it by
	// the Steady clock.
	storeClock time.Duration
	readAt     time.Time
	ownOffset  time.Duration
}

// SetStoreClock takes a reading of the store's clock made at the time of the call.
func (d *Synchronizer) SetStoreClock(store time.Duration) {
	now, wall := d.Steady.Now(), d.Wall.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.synced {
		d.ownOffset = time.Duration(wall.UnixNano()) - store
	}
	d.synced, d.storeClock, d.readAt = true, store, now
}

// Offset returns the offset that this node publishes; false before the first
// reading.
func (d *Synchronizer) Offset() (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ownOffset, d.synced
}

// Now returns the true time, or the node's time of day before the first reading.
func (d *Synchronizer) Now() time.Time {
	d.mu.Lock()
	synced, readAt, store, own := d.synced, d.readAt, d.storeClock, d.ownOffset
	d.mu.Unlock()
	if !synced {
		return d.Wall.Now()
	}
	offset := own
	if all := d.Offsets(); len(all) > 0 {
		all = slices.Clone(all)
		slices.Sort(all)
		offset = all[len(all)/2]
	}
	return time.Unix(0, int64(store+d.Steady.Now().Sub(readAt)+offset))
}
