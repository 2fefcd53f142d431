// Package timekeeper provides clocks that are passed to the code that needs them.
//
// All code that sleeps, measures time or expires something takes a Clock, so
// that a test can advance a Fake clock and is reproducible. System is the clock
// of the operating system. Its readings include the monotonic clock, so the
// differences between them are not affected by clock steps.
package timekeeper

import (
	"context"
	"time"
)

// Clock reads the time and sets timers.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// Sleep blocks for d; if ctx is done before, it returns the error of ctx.
	Sleep(ctx context.Context, d time.Duration) error
	// After returns a channel that receives the time once d has elapsed.
	After(d time.Duration) <-chan time.Time
	// AfterFunc calls f in its own goroutine once d has elapsed.
	AfterFunc(d time.Duration, f func()) Timer
}

// Timer is a scheduled call.
type Timer interface {
	// Reset schedules the call for d from now; false means that it was not
	// pending.
	Reset(d time.Duration) bool
	// Stop cancels the call; false means that it was not pending.
	Stop() bool
}

// System is the clock of the operating system.
type System struct{}

// Now returns the current time with a monotonic clock reading.
func (System) Now() time.Time {
	return time.Now()
}

// After returns a channel that receives the time once d has elapsed.
func (System) After(d time.Duration) <-chan time.Time {
	return time.After(d)
}

// AfterFunc calls f in its own goroutine once d has elapsed.
func (System) AfterFunc(d time.Duration, f func()) Timer {
	return time.AfterFunc(d, f)
}

// Sleep blocks for d; if ctx is done before, it returns the error of ctx.
func (System) Sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
