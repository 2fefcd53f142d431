package generator

import (
	"testing"

	"github.com/matryer/is"
)

// TestGateOrder guards against a gate that ignores priorities or lets a
// request in without memory for it.
func TestGateOrder(t *testing.T) {
	is := is.New(t)
	g := &gate{slots: 1, pieces: 10}
	first := g.queue(0, 4)
	low, high, late, gone := g.queue(1, 1), g.queue(9, 10), g.queue(9, 1), g.queue(9, 1)
	in := func(k *ticket) bool {
		select {
		case <-k.open:
			return true
		default:
			return false
		}
	}
	is.True(in(first) && !in(high))
	g.withdraw(gone)
	g.leave(4)
	is.True(in(high) && !in(late) && !in(low))
	g.leave(10)
	is.True(in(late) && !in(low))
	// One that was let in and then withdrawn gives its slot back.
	g.withdraw(late)
	is.True(in(low))
	g.leave(1)
	is.Equal(g.free(), 10)
}
