package follower

import (
	"context"
	"sync"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/coder"
)

// Reachability tracks whether the store is reachable from this node; the
// followers of the node share it.
//
// A network path that fails for one call fails for all, so a failed call cancels
// the others. A response for one table shows that the store was reachable, but not
// that the content of another table is current. The zero value is ready to use.
type Reachability struct {
	mu sync.Mutex
	// respondedAt is when the store last responded, failedAt when a call last got
	// no response.
	respondedAt time.Time
	failedAt    time.Time
	// calls are the calls in progress.
	calls map[*call]struct{}
	// prober is the follower that retries an unavailable store; the others wait
	// until recovered is closed.
	prober    *Follower
	recovered chan struct{}
}

type call struct{ cancel context.CancelCauseFunc }

// errOtherCallFailed cancels the calls in progress when another one has got no
// response.
var errOtherCallFailed = coder.Refuse(coder.PlatformUnavailable, "another call to the store got no response")

// reachableAt returns when the store last responded to this node, given the time of the
// last response for one table. If a call has failed since that time, a later response
// does not show that the calls for that table were still answered.
func (p *Reachability) reachableAt(last time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.respondedAt.After(last) && last.After(p.failedAt) {
		return p.respondedAt
	}
	return last
}

// beginCall returns the context of a call, and a function that ends the call.
func (p *Reachability) beginCall(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	c := &call{cancel: cancel}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.calls == nil {
		p.calls = make(map[*call]struct{})
	}
	p.calls[c] = struct{}{}
	return ctx, func() {
		cancel(nil)
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.calls, c)
	}
}

// recordResponse records a response of the store and wakes the waiting followers.
func (p *Reachability) recordResponse(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.respondedAt = at
	p.prober = nil
	if p.recovered != nil {
		close(p.recovered)
		p.recovered = nil
	}
}

// electProber reports whether a follower is the one that retries an unavailable
// store, and returns a channel that is closed once the store responds.
func (p *Reachability) electProber(f *Follower) (bool, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.prober == nil {
		p.prober = f
	}
	if p.recovered == nil {
		p.recovered = make(chan struct{})
	}
	return p.prober == f, p.recovered
}

// recordFailure records a call without a response and cancels the other calls.
func (p *Reachability) recordFailure(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failedAt = at
	for c := range p.calls {
		c.cancel(errOtherCallFailed)
	}
}
