package generator

import (
	"context"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
)

// resumeFor is how long an engine keeps a stream whose connection was lost.
const resumeFor = 2 * time.Second

// run is a request in work. A stream whose connection was lost is parked: it
// keeps its slot for a while, so that it can be resumed.
type run struct {
	job job
	// cancel ends the handler that serves the run.
	cancel context.CancelFunc
	// parked is closed once no handler serves the run.
	parked chan struct{}
	// cancelled says that the run is not to be resumed.
	cancelled bool
	timer     timekeeper.Timer
}

// enter waits for a slot and registers the request.
func (e *Engine) enter(ctx context.Context, r *run, promptTokens int) error {
	e.drop(r.job.id)
	e.mu.Lock()
	e.waiting++
	e.backlog += promptTokens
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.waiting--
		e.mu.Unlock()
	}()
	select {
	case <-ctx.Done():
		e.mu.Lock()
		e.backlog -= promptTokens
		e.mu.Unlock()
		return ctx.Err()
	case e.slots <- struct{}{}:
	}
	e.mu.Lock()
	e.running[r.job.id] = r
	e.mu.Unlock()
	return nil
}

// leave ends a run and frees its slot.
func (e *Engine) leave(r *run) {
	e.mu.Lock()
	if e.running[r.job.id] == r {
		delete(e.running, r.job.id)
	}
	e.answered++
	e.mu.Unlock()
	<-e.slots
}

// park keeps a run without a connection; false means that it was cancelled.
func (e *Engine) park(r *run) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.cancelled || e.running[r.job.id] != r {
		return false
	}
	r.timer = e.Clock.AfterFunc(resumeFor, func() { e.drop(r.job.id) })
	close(r.parked)
	return true
}

// drop ends the parked run of a request, if there is one.
func (e *Engine) drop(id string) {
	if r := e.unpark(id); r != nil {
		e.leave(r)
	}
}

// unpark returns the parked run of a request, which the caller now serves.
func (e *Engine) unpark(id string) *run {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.running[id]
	if r == nil {
		return nil
	}
	select {
	case <-r.parked:
	default:
		return nil
	}
	r.timer.Stop()
	r.parked = make(chan struct{})
	return r
}

// Cancel stops the work on a request.
func (e *Engine) Cancel(id string) bool {
	e.mu.Lock()
	r, ok := e.running[id]
	if ok {
		r.cancelled = true
		r.cancel()
	}
	e.mu.Unlock()
	e.drop(id)
	e.note("cancel id=%s running=%t", id, ok)
	return ok
}

// take returns the run of a request for a new connection, once the former
// connection has let go of it; nil if there is none.
func (e *Engine) take(ctx context.Context, id string) *run {
	e.mu.Lock()
	r, ok := e.running[id]
	var parked <-chan struct{}
	if ok {
		parked = r.parked
		r.cancel()
	}
	e.mu.Unlock()
	if !ok {
		return nil
	}
	select {
	case <-ctx.Done():
		return nil
	case <-parked:
	}
	return e.unpark(id)
}
