package admitter

// order is the policy of a heap.
type order[E any] interface {
	// before reports whether a comes before b.
	before(a, b E) bool
	// place tells an element its position in the heap.
	place(e E, position int)
}

// ordered is a heap whose elements know their positions, so that any of them
// can be moved or removed. It is used through container/heap.
type ordered[E any, O order[E]] []E

func (h ordered[E, O]) Len() int { return len(h) }

func (h ordered[E, O]) Less(i, j int) bool {
	var o O
	return o.before(h[i], h[j])
}

func (h ordered[E, O]) Swap(i, j int) {
	var o O
	h[i], h[j] = h[j], h[i]
	o.place(h[i], i)
	o.place(h[j], j)
}

// Push adds an element; it is called by container/heap.
func (h *ordered[E, O]) Push(x any) {
	var o O
	e := x.(E)
	o.place(e, len(*h))
	*h = append(*h, e)
}

// Pop removes the last element; it is called by container/heap.
func (h *ordered[E, O]) Pop() any {
	var none E
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = none
	*h = old[:len(old)-1]
	return e
}

// byStart has the account that starts first on top.
type byStart[T any] struct{}

func (byStart[T]) before(a, b *line[T]) bool {
	if a.start != b.start {
		return a.start < b.start
	}
	return a.turn < b.turn
}

func (byStart[T]) place(l *line[T], position int) { l.place = position }

// byPriority has the highest priority on top, and of equal ones the oldest.
type byPriority[T any] struct{}

func (byPriority[T]) before(a, b *queued[T]) bool {
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	return a.serial < b.serial
}

func (byPriority[T]) place(q *queued[T], position int) { q.place = position }

// byDeadline has the earliest deadline on top.
type byDeadline[T any] struct{}

func (byDeadline[T]) before(a, b *queued[T]) bool { return a.Deadline.Before(b.Deadline) }

func (byDeadline[T]) place(q *queued[T], position int) { q.due = position }
