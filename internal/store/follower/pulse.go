package follower

import (
	"context"
	"sync"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/coder"
)

// Pulse is whether the store answers this node, shared by its followers.
//
// A path that one call finds broken is broken for all, so the other calls are
// given up; and the short watch of one table shows that the path of the longer
// ones still works. The zero value is ready to use.
type Pulse struct {
	mu sync.Mutex
	// at is when the store last answered, brokenAt when a call last got no answer.
	at       time.Time
	brokenAt time.Time
	// calls are the calls in progress.
	calls map[*call]struct{}
	// prober tries a store that does not answer; the other followers wait until
	// back is closed.
	prober *Follower
	back   chan struct{}
}

type call struct{ cancel context.CancelCauseFunc }

// errBroken ends the calls in progress when another has got no answer.
var errBroken = coder.Refuse(coder.PlatformUnavailable, "another call got no answer")

// confirmed returns when the store has last shown that a watch is open which was
// last answered at a time: a call that got no answer since may have met a path
// that has swallowed the watch as well.
func (p *Pulse) confirmed(answered time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.at.After(answered) && answered.After(p.brokenAt) {
		return p.at
	}
	return answered
}

// begin returns the context of a call, and what ends the call.
func (p *Pulse) begin(ctx context.Context) (context.Context, func()) {
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

// answered notes an answer of the store.
func (p *Pulse) answered(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.at = at
	p.prober = nil
	if p.back != nil {
		close(p.back)
		p.back = nil
	}
}

// probing reports whether a follower is the one that tries a store which does
// not answer, and returns a channel that is closed once it does.
func (p *Pulse) probing(f *Follower) (bool, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.prober == nil {
		p.prober = f
	}
	if p.back == nil {
		p.back = make(chan struct{})
	}
	return p.prober == f, p.back
}

// failed notes a call without an answer and ends the others.
func (p *Pulse) failed(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.brokenAt = at
	for c := range p.calls {
		c.cancel(errBroken)
	}
}
