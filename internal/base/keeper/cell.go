package keeper

import "sync"

// Cell holds one immutable value that workers share.
//
// The zero value holds the zero value of V.
type Cell[V any] struct {
	// Rank is the position of the cell in the lock order.
	Rank Rank

	mu      sync.RWMutex
	v       V
	changed chan struct{}
}

// Get returns the value.
func (c *Cell[V]) Get() V {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.v
}

// Update replaces the value with the result of change, which returns the new
// value and whether to store it.
func (c *Cell[V]) Update(change func(V) (V, bool)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v, ok := change(c.v)
	if !ok {
		return
	}
	c.v = v
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// Watch returns the value and a channel that is closed when it is replaced.
func (c *Cell[V]) Watch() (V, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	return c.v, c.changed
}
