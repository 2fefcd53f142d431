// Package dater tells the true time of day although machines' clocks jump.
//
// The store has a steady clock that all nodes can read. Each node publishes by
// how much its own time of day differs from it when it starts; the median of
// all these differences is the true time, which the jump of a few clocks cannot
// move. Between two readings of the store a node goes by its boot-time clock.
package dater

import (
	"slices"
	"sync"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
)

// Dater tells the true time.
type Dater struct {
	// Steady never jumps and counts suspensions, Wall is the time of day.
	Steady timekeeper.Clock
	Wall   timekeeper.Clock
	// Offsets returns what the nodes have published.
	Offsets func() []time.Duration

	mu    sync.Mutex
	read  bool
	store time.Duration
	at    time.Time
	own   time.Duration
}

// Read takes a reading of the store's clock that was made just now.
func (d *Dater) Read(store time.Duration) {
	now, wall := d.Steady.Now(), d.Wall.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.read {
		d.own = time.Duration(wall.UnixNano()) - store
	}
	d.read, d.store, d.at = true, store, now
}

// Own returns the difference that this node publishes; false before the first
// reading.
func (d *Dater) Own() (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.own, d.read
}

// Now returns the true time.
func (d *Dater) Now() time.Time {
	d.mu.Lock()
	read, at, store, own := d.read, d.at, d.store, d.own
	d.mu.Unlock()
	if !read {
		return d.Wall.Now()
	}
	offset := own
	if all := d.Offsets(); len(all) > 0 {
		all = slices.Clone(all)
		slices.Sort(all)
		offset = all[len(all)/2]
	}
	return time.Unix(0, int64(store+d.Steady.Now().Sub(at)+offset))
}
