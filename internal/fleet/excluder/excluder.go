// Package excluder keeps requests from endpoints that have said that they leave, or have
// asked for a pause.
//
// An endpoint that leaves says so in its responses, which can be earlier than the list of
// endpoints, or be all that a node ever hears of it. One that turns a request away may say
// for how long it wants none from this node. Each node learns it from its own
// responses and acts at once; what other nodes have heard does not matter. The choice of
// an endpoint leaves marked ones out, and the gate here holds back what was chosen or
// connected before the mark.
package excluder

import (
	"context"
	"expvar"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/keeper"
	"foxtailflow.example/foxtailflow/internal/base/roundtripper"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
)

// Statement is what a response says of further requests to its endpoint; the zero value
// says nothing.
type Statement struct {
	// Leaving means that the endpoint leaves.
	Leaving bool
	// Pause is how long the endpoint wants no requests of this node; 0 means that it asks
	// for no pause.
	Pause time.Duration
}

// Mark is what an endpoint has said; the zero value means nothing.
//
// It is an immutable value; the With methods return changed copies.
type Mark struct {
	// Leaving holds for as long as the endpoint runs.
	Leaving bool
	// PausedUntil is until when the endpoint wants no requests.
	PausedUntil time.Time
	// goneAt is since when the endpoint has not been listed; the zero time means that it
	// is listed.
	goneAt time.Time
}

// With returns the mark after a statement that was received at a time. A response without
// one, or with a shorter pause, changes nothing, as responses overtake each other.
func (m Mark) With(s Statement, now time.Time) Mark {
	m.Leaving = m.Leaving || s.Leaving
	if until := now.Add(s.Pause); s.Pause > 0 && until.After(m.PausedUntil) {
		m.PausedUntil = until
	}
	return m
}

// paused reports whether the endpoint wants no requests at a time.
func (m Mark) paused(now time.Time) bool { return now.Before(m.PausedUntil) }

// withListed returns the mark of an endpoint that is listed or not at a time.
func (m Mark) withListed(listed bool, now time.Time) Mark {
	switch {
	case listed:
		m.goneAt = time.Time{}
	case m.goneAt.IsZero():
		m.goneAt = now
	}
	return m
}

// Excluder keeps requests of this node from endpoints.
type Excluder struct {
	Clock timekeeper.Clock
	Log   zerolog.Logger
	// Decode returns what the head of a response says.
	Decode func(status int, h http.Header) Statement
	// Listed reports whether an endpoint is listed.
	Listed func(endpoint string) bool
	// OnMark is called with the mark of an endpoint when it changes, and when a request
	// is held back.
	OnMark func(endpoint string, m Mark)

	// marks has the marks by the identifiers of the endpoints' starts.
	marks keeper.Table[string, Mark]
}

var _ roundtripper.Gate = (*Excluder)(nil)

var (
	announced = expvar.NewMap("endpoint-announcements")
	heldBack  = expvar.NewMap("requests-held-back")
)

// Admit fails if an endpoint takes no request. One that leaves still takes messages that
// are no requests of callers, such as the release of a prompt; one that has asked for a
// pause gets nothing.
func (x *Excluder) Admit(d roundtripper.Destination) error {
	m, ok := x.marks.Get(d.Endpoint)
	if !ok {
		return nil
	}
	now := x.Clock.Now()
	var err error
	switch {
	case m.Leaving && !d.Control:
		heldBack.Add("leaving", 1)
		err = coder.Refuse(coder.EndpointLeaving, "endpoint %s leaves", d.Endpoint)
	case m.paused(now):
		heldBack.Add("pause", 1)
		err = coder.Refuse(coder.EndpointPaused, "endpoint %s has asked for a pause", d.Endpoint).WithRetryAfter(m.PausedUntil.Sub(now))
	default:
		return nil
	}
	// The endpoint may have been listed anew since it was marked.
	x.OnMark(d.Endpoint, m)
	return err
}

// RecordResponse takes what a response says. It is taken for the endpoint that the request
// was sent to, as another may have its address by now.
func (x *Excluder) RecordResponse(d roundtripper.Destination, _ time.Time, status int, h http.Header) {
	s := x.Decode(status, h)
	if s == (Statement{}) || d.Endpoint == "" {
		return
	}
	now := x.Clock.Now()
	var before, after Mark
	x.marks.Update(d.Endpoint, func(m Mark, _ bool) (Mark, bool) {
		before, after = m, m.With(s, now)
		return after, true
	})
	if after.Leaving && !before.Leaving {
		announced.Add("leaving", 1)
		x.Log.Info().Str("endpoint", d.Endpoint).Msg("endpoint says that it leaves")
	}
	if after.paused(now) && !before.paused(now) {
		announced.Add("pause", 1)
		x.Log.Info().Str("endpoint", d.Endpoint).Dur("pause-ms", s.Pause).Msg("endpoint asks for a pause")
	}
	if before != after {
		x.OnMark(d.Endpoint, after)
	}
}

// goneLifetime is how long the mark of an endpoint is kept that is not listed any more:
// entries may expire in an outage of the store and be written again.
const goneLifetime = 10 * time.Minute

// Sweep drops the marks of endpoints that have not been listed for long, and of pauses
// that are over; a periodic task runs it.
func (x *Excluder) Sweep(context.Context) error {
	now := x.Clock.Now()
	var endpoints []string
	x.marks.Each(func(endpoint string, _ Mark) bool {
		endpoints = append(endpoints, endpoint)
		return true
	})
	for _, endpoint := range endpoints {
		listed := x.Listed(endpoint)
		x.marks.Update(endpoint, func(m Mark, ok bool) (Mark, bool) {
			m = m.withListed(listed, now)
			holds := m.Leaving || m.paused(now)
			return m, ok && holds && (listed || now.Sub(m.goneAt) < goneLifetime)
		})
	}
	return nil
}

// Marked returns the number of endpoints with marks.
func (x *Excluder) Marked() int { return x.marks.Len() }
