package dispatcher

import (
	"context"
	"sync"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
)

// stop is the planned end of the time in which a node serves requests. Its zero value
// means that no end is planned.
type stop struct {
	mu  sync.Mutex
	at  time.Time
	end context.Context
	// cancel ends the requests that are still running.
	cancel context.CancelFunc
}

// A request is expected to need minStopTime, stopTargets times the latency target of its
// route, or what nearly all requests on its route have taken, whichever is longest.
const (
	minStopTime = time.Second
	stopTargets = 2
)

// context returns a context that ends when the running requests have to end.
func (s *stop) context() context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.end == nil {
		s.end, s.cancel = context.WithCancel(context.Background())
	}
	return s.end
}

// deadline returns when the requests have to end; the zero time means that no end is planned.
func (s *stop) deadline() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.at
}

// plan sets when the requests have to end, and returns what ends those still running.
func (s *stop) plan(at time.Time) (end context.CancelFunc) {
	s.context()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at = at
	return s.cancel
}

// EndBy ends the requests of this node by a time: running ones get a response that says
// that the node stops, and later ones get no more time than there is. One that would
// probably not end in that time is refused, so that its caller can go elsewhere.
func (d *Dispatcher) EndBy(at time.Time) {
	d.Clock.AfterFunc(at.Sub(d.Clock.Now()), d.stop.plan(at))
}

// fitToStop returns the request with the time that is left before this node stops, or an
// error if that is too short.
func (d *Dispatcher) fitToStop(r carrier.Request) (carrier.Request, error) {
	end := d.stop.deadline()
	if end.IsZero() || !end.Before(r.Deadline) {
		return r, nil
	}
	taken, _ := d.durations.Get(r.Route.Name)
	if left := end.Sub(d.Clock.Now()); left < max(minStopTime, stopTargets*r.Route.LatencyTarget, taken.Bound()) {
		return r, coder.Refuse(coder.ShuttingDown, "the node stops in %v", left.Round(time.Millisecond))
	}
	return r.WithDeadline(end), nil
}
