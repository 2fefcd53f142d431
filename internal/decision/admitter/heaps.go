package admitter

// lineHeap has the account that starts first on top.
type lineHeap[T any] []*line[T]

func (h lineHeap[T]) Len() int { return len(h) }

func (h lineHeap[T]) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].turn < h[j].turn
}

func (h lineHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}

// Push adds a line; it is called by container/heap.
func (h *lineHeap[T]) Push(x any) {
	l := x.(*line[T])
	l.place = len(*h)
	*h = append(*h, l)
}

// Pop removes the last line; it is called by container/heap.
func (h *lineHeap[T]) Pop() any {
	old := *h
	l := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return l
}

// itemHeap has the highest priority on top, and of equal ones the oldest.
type itemHeap[T any] []*queued[T]

func (h itemHeap[T]) Len() int { return len(h) }

func (h itemHeap[T]) Less(i, j int) bool {
	if h[i].Priority != h[j].Priority {
		return h[i].Priority > h[j].Priority
	}
	return h[i].serial < h[j].serial
}

func (h itemHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}

// Push adds an item; it is called by container/heap.
func (h *itemHeap[T]) Push(x any) {
	q := x.(*queued[T])
	q.place = len(*h)
	*h = append(*h, q)
}

// Pop removes the last item; it is called by container/heap.
func (h *itemHeap[T]) Pop() any {
	old := *h
	q := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return q
}

// deadlineHeap has the earliest deadline on top.
type deadlineHeap[T any] []*queued[T]

func (h deadlineHeap[T]) Len() int { return len(h) }

func (h deadlineHeap[T]) Less(i, j int) bool { return h[i].Deadline.Before(h[j].Deadline) }

func (h deadlineHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].due, h[j].due = i, j
}

// Push adds an item; it is called by container/heap.
func (h *deadlineHeap[T]) Push(x any) {
	q := x.(*queued[T])
	q.due = len(*h)
	*h = append(*h, q)
}

// Pop removes the last item; it is called by container/heap.
func (h *deadlineHeap[T]) Pop() any {
	old := *h
	q := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return q
}
