// Package queuer holds the requests that wait for a worker.
//
// The queue is a shared table of jobs; the workers of the pool take the next
// job from it in the order that the admission decides.
package queuer

import (
	"context"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/runner"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
)

// Job is a request that waits.
type Job interface {
	// Request returns the request.
	Request() carrier.Request
}

// Queue is a bounded queue of jobs, first come first served.
type Queue[J Job] struct {
	queue runner.Queue[J]
}

// New returns a queue with room for limit jobs.
func New[J Job](limit int) *Queue[J] {
	return &Queue[J]{queue: runner.Queue[J]{Limit: limit}}
}

// Add puts a job into the queue, or refuses it; a refused job has not run.
func (q *Queue[J]) Add(job J) error {
	if !q.queue.Add(job) {
		return coder.Refuse(coder.QueueFull, "too many requests wait")
	}
	return nil
}

// Next blocks until there is a job for a worker; false means there is no more.
func (q *Queue[J]) Next(ctx context.Context) (J, bool) {
	return q.queue.Next(ctx)
}

// Done notes that a worker has finished a job, with the work that it really was.
func (q *Queue[J]) Done(_ J, _ carrier.Result) {}
