package composer

import (
	"context"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
	"foxtailflow.example/foxtailflow/internal/request/dispatcher"
)

// queue holds the requests that wait for a worker of the node; each wakes one.
type queue chan *dispatcher.Job

// Add puts a request into the queue, or refuses it.
func (q queue) Add(job *dispatcher.Job) error {
	select {
	case q <- job:
		return nil
	default:
		return coder.Refuse(coder.QueueFull, "the node has too many requests")
	}
}

// Next blocks until there is a request for a worker.
func (q queue) Next(ctx context.Context) (*dispatcher.Job, bool) {
	select {
	case job := <-q:
		return job, true
	case <-ctx.Done():
		return nil, false
	}
}

// Done notes the end of a request.
func (q queue) Done(*dispatcher.Job, carrier.Result) {}
