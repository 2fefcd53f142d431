package generator

import (
	"testing"

	"github.com/matryer/is"
)

// TestSemaphoreOrder guards against a semaphore that ignores priorities or
// admits a request without free blocks for it.
func TestSemaphoreOrder(t *testing.T) {
	is := is.New(t)
	s := &prioritySemaphore{slots: 1, blocks: 10}
	first := s.enqueue(0, 4)
	low, high, later, cancelled := s.enqueue(1, 1), s.enqueue(9, 10), s.enqueue(9, 1), s.enqueue(9, 1)
	admitted := func(k *waiter) bool {
		select {
		case <-k.admitted:
			return true
		default:
			return false
		}
	}
	is.True(admitted(first) && !admitted(high))
	s.cancel(cancelled)
	s.release(4)
	is.True(admitted(high) && !admitted(later) && !admitted(low))
	s.release(10)
	is.True(admitted(later) && !admitted(low))
	// A waiter that is cancelled after its admission returns its slot.
	s.cancel(later)
	is.True(admitted(low))
	s.release(1)
	is.Equal(s.freeBlocks(), 10)
}
