// Package pacer knows the limits of requests that endpoints name in their responses.
package pacer

import (
	"expvar"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"foxtailflow.example/foxtailflow/internal/base/keeper"
	"foxtailflow.example/foxtailflow/internal/base/roundtripper"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
)

// Pacer bounds the requests of this node to endpoints with limits.
type Pacer struct {
	Clock timekeeper.Clock
	Log   zerolog.Logger
	// Decode returns what the head of a response says; false means nothing.
	Decode func(status int, h http.Header) (Statement, bool)
	// EndpointAt returns the identifier of the endpoint with an address.
	EndpointAt func(address string) (string, bool)

	// limits has the limits by the addresses of the endpoints.
	limits keeper.Table[string, limit]
}

var _ roundtripper.Gate = (*Pacer)(nil)

var active = expvar.NewMap("endpoint-limits")

// Admit logs the requests to endpoints that name limits.
func (p *Pacer) Admit(address string) error {
	if l, ok := p.limits.Get(address); ok && l.statement.Limited {
		p.Log.Info().Str("endpoint", l.endpoint).Str("address", address).Msg("request to an endpoint with a limit")
	}
	return nil
}

// RecordResponse takes what a response says to a request that was sent at a time.
func (p *Pacer) RecordResponse(address string, askedAt time.Time, status int, h http.Header) {
	s, ok := p.Decode(status, h)
	if !ok {
		return
	}
	if l, known := p.limits.Get(address); !known && !s.Limited || known && !l.statement.Limited && !s.Limited {
		return
	}
	endpoint, ok := p.EndpointAt(address)
	if !ok {
		return
	}
	p.state(address, endpoint, func(l limit, now time.Time) limit { return l.withStatement(s, askedAt, now) })
}

// state changes the limit of an endpoint; one that has taken over the address of another
// begins anew.
func (p *Pacer) state(address, endpoint string, change func(limit, time.Time) limit) {
	now := p.Clock.Now()
	var before, after limit
	p.limits.Update(address, func(l limit, _ bool) (limit, bool) {
		if l.endpoint != endpoint {
			l = limit{endpoint: endpoint}
		}
		before, after = l, change(l, now)
		return after, true
	})
	if before.statement != after.statement {
		p.report(after)
	}
}

// report logs a new limit, or the end of one.
func (p *Pacer) report(l limit) {
	if !l.statement.Limited {
		active.Delete(l.endpoint)
		p.Log.Info().Str("endpoint", l.endpoint).Msg("endpoint names no limit any more")
		return
	}
	value := new(expvar.Float)
	value.Set(l.statement.PerSecond)
	active.Set(l.endpoint, value)
	p.Log.Info().Str("endpoint", l.endpoint).Float64("per-second", l.statement.PerSecond).Msg("endpoint names a limit")
}

// Forget drops what is known of an endpoint that is gone.
func (p *Pacer) Forget(endpoint string) {
	active.Delete(endpoint)
	var gone []string
	p.limits.Each(func(address string, l limit) bool {
		if l.endpoint == endpoint {
			gone = append(gone, address)
		}
		return true
	})
	for _, address := range gone {
		p.limits.Delete(address)
	}
}
