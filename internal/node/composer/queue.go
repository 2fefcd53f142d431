package composer

import (
	"context"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
	"foxtailflow.example/foxtailflow/internal/request/dispatcher"
)

// queue holds the requests queued for a worker of the node; each request wakes one
// worker.
type queue chan *dispatcher.Job

// Add queues a request, or refuses it if the queue is full.
func (q queue) Add(job *dispatcher.Job) error {
	select {
	case q <- job:
		return nil
	default:
		return coder.Refuse(coder.QueueFull, "the node has too many queued requests")
	}
}

// Next blocks until a request is queued or ctx is done.
func (q queue) Next(ctx context.Context) (*dispatcher.Job, bool) {
	select {
	case job := <-q:
		return job, true
	case <-ctx.Done():
		return nil, false
	}
}

// Done does nothing, as the queue holds only requests that have not started.
func (q queue) Done(*dispatcher.Job, carrier.Result) {}
