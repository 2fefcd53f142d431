package admitter

// heapOrder is the ordering policy of a heap.
type heapOrder[E any] interface {
	// before reports whether a comes before b.
	before(a, b E) bool
	// setIndex records the position of an element in the heap.
	setIndex(e E, index int)
}

// indexedHeap is a heap whose elements record their positions, so that any of
// them can be moved or removed. It is used through container/heap.
type indexedHeap[E any, O heapOrder[E]] []E

func (h indexedHeap[E, O]) Len() int { return len(h) }

func (h indexedHeap[E, O]) Less(i, j int) bool {
	var o O
	return o.before(h[i], h[j])
}

func (h indexedHeap[E, O]) Swap(i, j int) {
	var o O
	h[i], h[j] = h[j], h[i]
	o.setIndex(h[i], i)
	o.setIndex(h[j], j)
}

// Push adds an element; it is called by container/heap.
func (h *indexedHeap[E, O]) Push(x any) {
	var o O
	e := x.(E)
	o.setIndex(e, len(*h))
	*h = append(*h, e)
}

// Pop removes the last element; it is called by container/heap.
func (h *indexedHeap[E, O]) Pop() any {
	var zero E
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = zero
	*h = old[:len(old)-1]
	return e
}

// byStart puts the account with the lowest virtual start time on top.
type byStart[T any] struct{}

func (byStart[T]) before(a, b *accountQueue[T]) bool {
	if a.start != b.start {
		return a.start < b.start
	}
	return a.tieBreaker < b.tieBreaker
}

func (byStart[T]) setIndex(a *accountQueue[T], index int) { a.index = index }

// byPriority puts the item of highest priority on top, the oldest of equal ones.
type byPriority[T any] struct{}

func (byPriority[T]) before(a, b *queuedItem[T]) bool {
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	return a.sequence < b.sequence
}

func (byPriority[T]) setIndex(q *queuedItem[T], index int) { q.index = index }

// byDeadline puts the item with the earliest deadline on top.
type byDeadline[T any] struct{}

func (byDeadline[T]) before(a, b *queuedItem[T]) bool { return a.Deadline.Before(b.Deadline) }

func (byDeadline[T]) setIndex(q *queuedItem[T], index int) { q.deadlineIndex = index }
