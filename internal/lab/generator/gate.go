package generator

import (
	"context"
	"slices"
	"sync"
)

// gate lets requests in while there are slots and pieces for them, those with
// a higher priority first and then in the order of their arrival.
type gate struct {
	mu      sync.Mutex
	slots   int
	pieces  int
	waiting []*ticket
}

type ticket struct {
	priority int
	pieces   int
	open     chan struct{}
}

// enter waits until the gate lets the request in.
func (g *gate) enter(ctx context.Context, priority, pieces int) error {
	t := g.queue(priority, pieces)
	select {
	case <-t.open:
		return nil
	case <-ctx.Done():
		g.withdraw(t)
		return ctx.Err()
	}
}

// queue puts a ticket in its place.
func (g *gate) queue(priority, pieces int) *ticket {
	t := &ticket{priority: priority, pieces: pieces, open: make(chan struct{})}
	g.mu.Lock()
	defer g.mu.Unlock()
	i, _ := slices.BinarySearchFunc(g.waiting, priority, func(w *ticket, p int) int {
		if w.priority >= p {
			return -1
		}
		return 1
	})
	g.waiting = slices.Insert(g.waiting, i, t)
	g.admitLocked()
	return t
}

// withdraw takes a ticket back, whether it was let in meanwhile or not.
func (g *gate) withdraw(t *ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if i := slices.Index(g.waiting, t); i >= 0 {
		g.waiting = slices.Delete(g.waiting, i, i+1)
	} else {
		g.slots++
		g.pieces += t.pieces
	}
	g.admitLocked()
}

// leave gives back what the request had.
func (g *gate) leave(pieces int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slots++
	g.pieces += pieces
	g.admitLocked()
}

func (g *gate) admitLocked() {
	for len(g.waiting) > 0 && g.slots > 0 && g.waiting[0].pieces <= g.pieces {
		t := g.waiting[0]
		g.waiting = slices.Delete(g.waiting, 0, 1)
		g.slots--
		g.pieces -= t.pieces
		close(t.open)
	}
}

// free returns the number of pieces not in use.
func (g *gate) free() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pieces
}
