// Package verifier checks requests against the list of endpoints just before they are
// written.
//
// An endpoint is chosen from a list that is a little older than the store. After the
// choice, a request may wait for its turn, for a connection or for the processor, and the
// list itself grows older on a node that runs late. Both delays add up, and neither has a
// bound of its own. So the last check before the first byte asks two things: whether the
// list, as of now, still has the endpoint, and whether the list is young enough for that
// answer to count.
package verifier

import (
	"context"
	"expvar"
	"net/http"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/roundtripper"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/decision/picker"
)

// ListState describes the list of endpoints that a node acts on.
type ListState struct {
	// Age is the time since the store confirmed the list.
	Age time.Duration
	// Unavailable means that the store answers no calls of this node: a node that waited
	// for a newer list would serve nobody in an outage.
	Unavailable bool
}

// Verifier keeps requests from endpoints that leave, and from all endpoints while this
// node cannot know which ones do.
type Verifier struct {
	Clock timekeeper.Clock
	// Endpoint returns an endpoint of the table; false means that it is not listed.
	Endpoint func(id string) (picker.Endpoint, bool)
	// List returns the state of the list that the table reflects.
	List func() ListState
	// NextList returns a channel that is closed when the list is confirmed or changes.
	NextList func() <-chan struct{}
	// MaxAge is the greatest age of the list on which a request is sent while the store
	// is available; 0 means no bound.
	MaxAge time.Duration
}

var _ roundtripper.Gate = (*Verifier)(nil)

var heldBack = expvar.NewMap("requests-held-back-by-list")

const (
	// maxWait bounds how long a request waits for a current list. A node that has not
	// read it by then is too late for its callers, too.
	maxWait = 500 * time.Millisecond
	// retryAfter is when a caller may come back, usually through another node.
	retryAfter = 200 * time.Millisecond
)

// Admit fails if a request of a caller must not be sent to an endpoint.
func (v *Verifier) Admit(d roundtripper.Destination) error {
	if d.Control || d.Endpoint == "" {
		return nil
	}
	// The age is read first, so that the row is at least as new.
	if err := v.check(); err != nil {
		heldBack.Add("outdated", 1)
		return err
	}
	if e, ok := v.Endpoint(d.Endpoint); !ok || e.Leaving || e.Report.Leaving {
		heldBack.Add("leaving", 1)
		return coder.Refuse(coder.EndpointLeaving, "endpoint %s leaves", d.Endpoint)
	}
	return nil
}

// RecordResponse does nothing: what responses say is no part of the list.
func (v *Verifier) RecordResponse(roundtripper.Destination, time.Time, int, http.Header) {}

// Await waits until the list is young enough to choose from. It fails with ListOutdated if
// that takes too long.
func (v *Verifier) Await(ctx context.Context) error {
	if v.check() == nil {
		return nil
	}
	for timeout := v.Clock.After(maxWait); ; {
		// Taken before the check, so that no news is missed.
		next := v.NextList()
		err := v.check()
		if err == nil {
			return nil
		}
		select {
		case <-next:
		case <-timeout:
			heldBack.Add("refused", 1)
			return err
		case <-ctx.Done():
			return err
		}
	}
}

// check fails if the list is too old to send a request on it.
func (v *Verifier) check() error {
	l := v.List()
	if v.MaxAge <= 0 || l.Age <= v.MaxAge || l.Unavailable {
		return nil
	}
	return coder.Refuse(coder.ListOutdated, "the list of endpoints is %v old", l.Age.Round(time.Millisecond)).WithRetryAfter(retryAfter)
}
