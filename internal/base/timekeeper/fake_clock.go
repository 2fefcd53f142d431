package timekeeper

import (
	"context"
	"slices"
	"sync"
	"time"
)

// Fake is a clock for tests that advances only when Advance is called.
//
// The zero value starts at the zero time.
type Fake struct {
	mu      sync.Mutex
	now     time.Time
	waiters []*waiter
}

// waiter is a pending timer; it sends on c, or calls f if that is set.
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

// After returns a channel that receives the time once the clock has advanced by
// d.
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

// AfterFunc calls fn in the call of Advance that completes d.
func (f *Fake) AfterFunc(d time.Duration, fn func()) Timer {
	t := &fakeTimer{clock: f, w: &waiter{f: fn}}
	t.Reset(d)
	return t
}

type fakeTimer struct {
	clock *Fake
	w     *waiter
}

// Reset schedules the call for d from now; false means that it was not pending.
func (t *fakeTimer) Reset(d time.Duration) bool {
	was := t.Stop()
	t.clock.mu.Lock()
	defer t.clock.mu.Unlock()
	t.w.at = t.clock.now.Add(d)
	t.clock.waiters = append(t.clock.waiters, t.w)
	return was
}

// Stop cancels the call; false means that it was not pending.
func (t *fakeTimer) Stop() bool {
	t.clock.mu.Lock()
	defer t.clock.mu.Unlock()
	n := len(t.clock.waiters)
	t.clock.waiters = slices.DeleteFunc(t.clock.waiters, func(w *waiter) bool { return w == t.w })
	return len(t.clock.waiters) < n
}

// Sleep blocks until the clock has advanced by d; if ctx is done before, it
// returns the error of ctx.
func (f *Fake) Sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-f.After(d):
		return nil
	}
}

// Advance advances the clock by d and fires the timers that are due, in the
// order of their times.
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

// PendingTimers returns the number of pending timers.
func (f *Fake) PendingTimers() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.waiters)
}
