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
	"foxtailflow.example/foxtailflow/internal/decision/picker"
)

// Verifier keeps requests from endpoints that leave, and from all endpoints while this
// node cannot know which ones do.
type Verifier struct {
	// List is the list that the table of endpoints reflects.
	List Freshness
	// Endpoint returns an endpoint of the table; false means that it is not listed.
	Endpoint func(id string) (picker.Endpoint, bool)
}

var _ roundtripper.Gate = (*Verifier)(nil)

var heldBack = expvar.NewMap("requests-held-back-by-list")

// Admit fails if a request of a caller must not be sent to an endpoint.
func (v *Verifier) Admit(d roundtripper.Destination) error {
	if d.Control || d.Endpoint == "" {
		return nil
	}
	// The age is read first, so that the row is at least as new.
	if err := v.List.Check(); err != nil {
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
	err := v.List.Await(ctx)
	if err != nil {
		heldBack.Add("refused", 1)
	}
	return err
}
