// Package timekeeper passes time in as a value.
//
// Every part that waits, measures or expires something takes a Clock, so that
// a test can move time forward by hand and see the same run each time. System
// reads the machine's clock. Readings of System carry the monotonic clock, and
// differences between them are not affected by clock steps.
package timekeeper

import (
	"context"
	"time"
)

// Clock tells the time and waits.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// Sleep waits for d, or until ctx is done, and then returns its error.
	Sleep(ctx context.Context, d time.Duration) error
	// After returns a channel that receives the time once d has passed.
	After(d time.Duration) <-chan time.Time
	// AfterFunc calls f in its own goroutine once d has passed.
	AfterFunc(d time.Duration, f func()) Timer
}

// Timer is a call that is due later.
type Timer interface {
	// Reset makes the call due in d from now.
	Reset(d time.Duration) bool
	// Stop cancels the call; false means that it was made or stopped before.
	Stop() bool
}

// System is the machine's clock.
type System struct{}

// Now returns the current time with its monotonic reading.
func (System) Now() time.Time {
	return time.Now()
}

// After returns a channel that receives the time once d has passed.
func (System) After(d time.Duration) <-chan time.Time {
	return time.After(d)
}

// AfterFunc calls f in its own goroutine once d has passed.
func (System) AfterFunc(d time.Duration, f func()) Timer {
	return time.AfterFunc(d, f)
}

// Sleep waits for d, or until ctx is done, and then returns its error.
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
