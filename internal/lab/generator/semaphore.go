package generator

import (
	"context"
	"slices"
	"sync"
)

// prioritySemaphore admits requests while there are slots and blocks for them,
// by priority and then in the order of their arrival.
type prioritySemaphore struct {
	mu      sync.Mutex
	slots   int
	blocks  int
	waiters []*waiter
}

type waiter struct {
	priority int
	blocks   int
	admitted chan struct{}
}

// acquire blocks until the request is admitted or ctx is done.
func (s *prioritySemaphore) acquire(ctx context.Context, priority, blocks int) error {
	w := s.enqueue(priority, blocks)
	select {
	case <-w.admitted:
		return nil
	case <-ctx.Done():
		s.cancel(w)
		return ctx.Err()
	}
}

// enqueue inserts a waiter after all others with at least its priority.
func (s *prioritySemaphore) enqueue(priority, blocks int) *waiter {
	w := &waiter{priority: priority, blocks: blocks, admitted: make(chan struct{})}
	s.mu.Lock()
	defer s.mu.Unlock()
	i, _ := slices.BinarySearchFunc(s.waiters, priority, func(queued *waiter, p int) int {
		if queued.priority >= p {
			return -1
		}
		return 1
	})
	s.waiters = slices.Insert(s.waiters, i, w)
	s.admitLocked()
	return w
}

// cancel removes a waiter from the queue, or releases what it holds if it has
// been admitted meanwhile.
func (s *prioritySemaphore) cancel(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.waiters, w); i >= 0 {
		s.waiters = slices.Delete(s.waiters, i, i+1)
	} else {
		s.slots++
		s.blocks += w.blocks
	}
	s.admitLocked()
}

// release returns the slot and the blocks of a request.
func (s *prioritySemaphore) release(blocks int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slots++
	s.blocks += blocks
	s.admitLocked()
}

func (s *prioritySemaphore) admitLocked() {
	for len(s.waiters) > 0 && s.slots > 0 && s.waiters[0].blocks <= s.blocks {
		w := s.waiters[0]
		s.waiters = slices.Delete(s.waiters, 0, 1)
		s.slots--
		s.blocks -= w.blocks
		close(w.admitted)
	}
}

// freeBlocks returns the number of blocks that no admitted request holds.
func (s *prioritySemaphore) freeBlocks() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.blocks
}
