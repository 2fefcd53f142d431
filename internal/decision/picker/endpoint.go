// Package picker chooses the endpoint for a request.
//
// A choice is made from values only: what is known of each endpoint, and what
// the request needs. Load reports lag, so the choice adds what this node has
// sent since the report. A Policy decides between endpoints that are fit; the
// Picker rules out those that are not, and says why.
package picker

import (
	"time"

	"foxtailflow.example/foxtailflow/internal/platform/transactor"
)

// Role is the phase of work that an engine does.
type Role string

// The roles of an engine; a plain service has the role Both.
const (
	Both    Role = "both"
	Prefill Role = "prefill"
	Decode  Role = "decode"
)

// Report is an endpoint's own account of its load.
type Report struct {
	// At is when this node received the report; the zero time means never.
	At time.Time
	// InFlight is the number of requests in work, Queued of those waiting.
	InFlight int
	Queued   int
	// Backlog is the number of prompt tokens that wait to be read.
	Backlog int
	// FreePieces is the engine memory not in use, in cache pieces.
	FreePieces int
	Role       Role
	// Leaving is the endpoint's own signal that it will stop.
	Leaving bool
	// Changing says that the endpoint is away for a change.
	Changing bool
}

// Endpoint is what a node knows of one endpoint.
//
// It is an immutable value; the With methods return changed copies.
type Endpoint struct {
	ID         string
	Address    string
	DataCentre string
	Deployment string
	Tier       transactor.Tier
	// Leaving says that the platform's list marks the VM as leaving, or that
	// the list no longer has it.
	Leaving bool
	// Draining says that the placement has ordered a drain.
	Draining bool
	Report   Report
	// Sent is the number of requests of this node in progress.
	Sent int
	// SentWork is the work of those requests, in tokens.
	SentWork int
	// SentSince is the number of requests sent after the report arrived.
	SentSince int
	// Failures counts failures in a row.
	Failures int
	// EjectedUntil is when an endpoint that failed may be tried again.
	EjectedUntil time.Time
	// Probing says that one trial request is in progress after an ejection.
	Probing bool
}

// WithReport returns a copy with a new report.
func (e Endpoint) WithReport(r Report) Endpoint {
	e.Report = r
	e.SentSince = 0
	return e
}

// WithSent returns a copy with one more request of the given work.
func (e Endpoint) WithSent(work int) Endpoint {
	e.Sent++
	e.SentWork += work
	e.SentSince++
	return e
}

// WithDone returns a copy with one request of the given work less.
func (e Endpoint) WithDone(work int) Endpoint {
	e.Sent--
	e.SentWork -= work
	return e
}

// WithSuccess returns a copy with no failures.
func (e Endpoint) WithSuccess() Endpoint {
	e.Failures = 0
	e.EjectedUntil = time.Time{}
	e.Probing = false
	return e
}

// WithFailure returns a copy with one more failure in a row, set aside until
// the given time where that is not zero.
func (e Endpoint) WithFailure(until time.Time) Endpoint {
	e.Failures++
	e.Probing = false
	if !until.IsZero() {
		e.EjectedUntil = until
	}
	return e
}

// WithLeaving returns a copy that is leaving or not.
func (e Endpoint) WithLeaving(leaving bool) Endpoint {
	e.Leaving = leaving
	return e
}

// WithDraining returns a copy that is draining or not.
func (e Endpoint) WithDraining(draining bool) Endpoint {
	e.Draining = draining
	return e
}

// WithProbing returns a copy whose trial request is in progress.
func (e Endpoint) WithProbing() Endpoint {
	e.Probing = true
	return e
}
