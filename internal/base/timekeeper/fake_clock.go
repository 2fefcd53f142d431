package timekeeper

import (
	"context"
	"slices"
	"sync"
	"time"
)

// Fake is a clock that moves only when Advance is called.
//
// The zero value starts at the zero time.
type Fake struct {
	mu      sync.Mutex
	now     time.Time
	waiters []*waiter
}

// waiter is a channel or a call that is due at a time.
type waiter struct {
	at time.Time
	c  chan time.Time
	f  func()
}

// NewFake returns a fake clock that starts at now.
func NewFake(now time.Time) *Fake {
	return &Fake{now: now}
}

// Now returns the fake time.
func (f *Fake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// After returns a channel that receives the time once the clock was moved by d.
func (f *Fake) After(d time.Duration) <-chan time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := make(chan time.Time, 1)
	if d <= 0 {
		c <- f.now
		return c
	}
	f.waiters = append(f.waiters, &waiter{at: f.now.Add(d), c: c})
	return c
}

// AfterFunc calls fn during the Advance that moves the clock by d.
func (f *Fake) AfterFunc(d time.Duration, fn func()) Timer {
	t := &fakeTimer{clock: f, w: &waiter{f: fn}}
	t.Reset(d)
	return t
}

type fakeTimer struct {
	clock *Fake
	w     *waiter
}

// Reset makes the call due in d from now.
func (t *fakeTimer) Reset(d time.Duration) bool {
	was := t.Stop()
	t.clock.mu.Lock()
	defer t.clock.mu.Unlock()
	t.w.at = t.clock.now.Add(d)
	t.clock.waiters = append(t.clock.waiters, t.w)
	return was
}

// Stop cancels the call.
func (t *fakeTimer) Stop() bool {
	t.clock.mu.Lock()
	defer t.clock.mu.Unlock()
	n := len(t.clock.waiters)
	t.clock.waiters = slices.DeleteFunc(t.clock.waiters, func(w *waiter) bool { return w == t.w })
	return len(t.clock.waiters) < n
}

// Sleep waits until the clock was moved by d, or until ctx is done.
func (f *Fake) Sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-f.After(d):
		return nil
	}
}

// Advance moves the clock by d and wakes the waiters that are due, in order.
func (f *Fake) Advance(d time.Duration) {
	for _, w := range f.takeDue(d) {
		if w.f != nil {
			w.f()
			continue
		}
		w.c <- w.at
	}
}

func (f *Fake) takeDue(d time.Duration) []*waiter {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
	slices.SortStableFunc(f.waiters, func(a, b *waiter) int { return a.at.Compare(b.at) })
	n := 0
	for n < len(f.waiters) && !f.waiters[n].at.After(f.now) {
		n++
	}
	due := slices.Clone(f.waiters[:n])
	f.waiters = slices.Clone(f.waiters[n:])
	return due
}

// Waiting returns how many callers wait for the clock to move.
func (f *Fake) Waiting() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.waiters)
}
