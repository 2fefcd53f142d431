package runner

import (
	"context"
	"slices"
	"sync"
)

// Idle has the workers that wait for a job of a queue which decides itself what is next. The
// lock of the queue guards it; the zero value has none.
type Idle[J any] struct{ workers []chan J }

// Any reports whether a worker waits.
func (w *Idle[J]) Any() bool { return len(w.workers) > 0 }

// Add adds a worker and returns where it gets its job; Await waits for that.
func (w *Idle[J]) Add() chan J {
	handover := make(chan J, 1)
	w.workers = append(w.workers, handover)
	return handover
}

// HandOver gives a job to the worker that has waited for the shortest time; there must be one.
func (w *Idle[J]) HandOver(job J) {
	last := len(w.workers) - 1
	handover := w.workers[last]
	w.workers = w.workers[:last]
	handover <- job
}

// Await blocks until a worker has its job; it returns false once ctx is done. It is called
// without the lock of the queue, mu.
func (w *Idle[J]) Await(ctx context.Context, mu sync.Locker, handover chan J) (job J, ok bool) {
	select {
	case job = <-handover:
		return job, true
	case <-ctx.Done():
	}
	mu.Lock()
	defer mu.Unlock()
	if i := slices.Index(w.workers, handover); i >= 0 {
		w.workers = slices.Delete(w.workers, i, i+1)
		return job, false
	}
	// A job was handed over at the same time and must not be lost.
	return <-handover, true
}
