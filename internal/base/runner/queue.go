package runner

import (
	"context"
	"sync"
)

// Queue is a first-in first-out Source of bounded length.
//
// The zero value accepts no jobs; set Limit in the literal.
type Queue[J any] struct {
	// Limit is the maximum number of queued jobs.
	Limit int

	mu     sync.Mutex
	jobs   []J
	closed bool
	wake   chan struct{}
}

// Add appends a job and reports whether it was accepted; a full or closed queue
// accepts none.
func (q *Queue[J]) Add(job J) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || len(q.jobs) >= q.Limit {
		return false
	}
	q.jobs = append(q.jobs, job)
	q.signal()
	return true
}

// Close makes Next return false once the queued jobs have been taken.
func (q *Queue[J]) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.signal()
}

// Next blocks until there is a job, the queue is closed, or ctx is done.
func (q *Queue[J]) Next(ctx context.Context) (J, bool) {
	for {
		job, ok, added := q.take()
		if ok || added == nil {
			return job, ok
		}
		select {
		case <-ctx.Done():
			return job, false
		case <-added:
		}
	}
}

func (q *Queue[J]) take() (job J, ok bool, added <-chan struct{}) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.jobs) > 0 {
		job, q.jobs = q.jobs[0], q.jobs[1:]
		return job, true, nil
	}
	if q.closed {
		return job, false, nil
	}
	if q.wake == nil {
		q.wake = make(chan struct{})
	}
	return job, false, q.wake
}

func (q *Queue[J]) signal() {
	if q.wake != nil {
		close(q.wake)
		q.wake = nil
	}
}
