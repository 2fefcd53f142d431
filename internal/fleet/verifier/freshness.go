package verifier

import (
	"context"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
)

// State describes a copy of a table of the store.
type State struct {
	// Age is the time since the store confirmed the copy.
	Age time.Duration
	// InOutage means that the store answers nobody. Then nothing is acknowledged, and a node
	// that waited for a newer copy would refuse all requests.
	InOutage bool
}

// Freshness tells whether a copy of a table is young enough to act on.
type Freshness struct {
	Clock timekeeper.Clock
	// State returns the state of the copy.
	State func() State
	// Next returns a channel that is closed when the copy is confirmed or changes.
	Next func() <-chan struct{}
	// MaxAge is the greatest age on which requests are served, but for an outage of the
	// store; 0 means no bound.
	MaxAge time.Duration
	// Code is the result code of an outdated copy.
	Code coder.Code
}

const (
	// maxWait bounds how long a request waits for a current copy. A node that has not
	// read it by then is too late for its callers, too.
	maxWait = 500 * time.Millisecond
	// retryAfter is when a caller may come back, usually through another node.
	retryAfter = 200 * time.Millisecond
)

// Check fails if the copy is too old to act on.
func (f Freshness) Check() error {
	if f.MaxAge <= 0 {
		return nil
	}
	s := f.State()
	if s.Age <= f.MaxAge || s.InOutage {
		return nil
	}
	return coder.Refuse(f.Code, "the node is late: what it knows is %v old", s.Age.Round(time.Millisecond)).WithRetryAfter(retryAfter)
}

// Await waits until the copy is young enough, and fails if that takes too long.
func (f Freshness) Await(ctx context.Context) error {
	if f.Check() == nil {
		return nil
	}
	for timeout := f.Clock.After(maxWait); ; {
		// Taken before the check, so that no news is missed.
		next := f.Next()
		err := f.Check()
		if err == nil {
			return nil
		}
		select {
		case <-next:
		case <-timeout:
			return err
		case <-ctx.Done():
			return err
		}
	}
}
