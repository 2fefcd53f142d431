// Package sharer shares the workers of a node between deployments.
//
// Requests of one deployment are handed to workers in the order of arrival. A deployment may
// use more than its even share of the workers, but leaves some idle for the others. So
// requests that wait for slow endpoints never take the workers of requests for endpoints that
// are idle.
package sharer

import (
	"context"
	"sync"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/runner"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
)

// Job is a queued request.
type Job interface {
	comparable
	// Request returns the request.
	Request() carrier.Request
}

// reservedShare is the share of the workers that a deployment above its even share leaves
// idle, as one in how many.
const reservedShare = 4

// Queue holds the requests that wait for one of a number of workers.
type Queue[J Job] struct {
	// Workers is the number of workers that call Next.
	Workers int
	// Limit is the maximum number of queued requests of one deployment.
	Limit int
	// Deployments returns the number of deployments. It is called without the lock.
	Deployments func() int

	mu sync.Mutex
	// deployments has the requests of each deployment, in the order of rotation.
	deployments []*deployment[J]
	byName      map[string]*deployment[J]
	lastServed  int
	running     map[J]*deployment[J]
	idle        runner.Idle[J]
}

// deployment has the requests of one deployment.
type deployment[J Job] struct {
	queued  []J
	running int
}

// Add queues a job, or refuses it if its deployment has too many.
func (q *Queue[J]) Add(job J) error {
	deployments := q.Deployments()
	q.mu.Lock()
	defer q.mu.Unlock()
	d := q.deploymentLocked(job.Request().Route.Deployment)
	if len(d.queued) >= q.Limit {
		return coder.Refuse(coder.QueueFull, "the node has too many queued requests for the deployment")
	}
	d.queued = append(d.queued, job)
	q.handOutLocked(deployments)
	return nil
}

func (q *Queue[J]) deploymentLocked(name string) *deployment[J] {
	d, ok := q.byName[name]
	if !ok {
		if q.byName == nil {
			q.byName, q.running = make(map[string]*deployment[J]), make(map[J]*deployment[J])
		}
		d = &deployment[J]{}
		q.byName[name] = d
		q.deployments = append(q.deployments, d)
	}
	return d
}

// Next blocks until there is a job for a worker; it returns false once ctx is done.
func (q *Queue[J]) Next(ctx context.Context) (job J, ok bool) {
	deployments := q.Deployments()
	q.mu.Lock()
	handover := q.idle.Add()
	q.handOutLocked(deployments)
	q.mu.Unlock()
	return q.idle.Await(ctx, &q.mu, handover)
}

// Queued returns the number of requests that wait for an endpoint of a deployment.
func (q *Queue[J]) Queued(deployment string) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	if d, ok := q.byName[deployment]; ok {
		return len(d.queued)
	}
	return 0
}

// Done records that a worker has finished a job.
func (q *Queue[J]) Done(job J, _ carrier.Result) {
	deployments := q.Deployments()
	q.mu.Lock()
	defer q.mu.Unlock()
	if d, ok := q.running[job]; ok {
		delete(q.running, job)
		d.running--
		q.handOutLocked(deployments)
	}
}

// handOutLocked hands jobs to idle workers, visiting the deployments in rotation; their number
// is that before the lock was taken.
func (q *Queue[J]) handOutLocked(deployments int) {
	for q.idle.Any() {
		d := q.nextLocked(deployments)
		if d == nil {
			return
		}
		job := d.queued[0]
		d.queued = d.queued[1:]
		d.running++
		q.running[job] = d
		q.idle.HandOver(job)
	}
}

// nextLocked returns the deployment whose job is next, or nil.
func (q *Queue[J]) nextLocked(deployments int) *deployment[J] {
	share := q.Workers / max(deployments, len(q.deployments), 1)
	for range q.deployments {
		q.lastServed = (q.lastServed + 1) % len(q.deployments)
		d := q.deployments[q.lastServed]
		if len(d.queued) > 0 && mayTake(d.running, len(q.running), share, q.Workers) {
			return d
		}
	}
	return nil
}

// mayTake reports whether a deployment with a number of running jobs may take another worker,
// given those of all deployments, its even share, and the number of workers.
func mayTake(running, all, share, workers int) bool {
	return running < share || workers-all > workers/reservedShare
}
