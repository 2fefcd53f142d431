// Package pacer keeps the requests to endpoints within the limits that these name.
//
// An endpoint in need names in its responses how many requests a second it takes from
// all nodes together. The nodes divide that without asking each other: each computes its
// share from the names of the nodes, and fills a bucket of one request at that rate.
// Whatever is sent to an endpoint passes the gate here, also prefills, repeats and
// orders. The choice of an endpoint knows from when on the bucket has a request again, so
// the gate itself refuses little.
package pacer

import (
	"expvar"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/keeper"
	"foxtailflow.example/foxtailflow/internal/base/roundtripper"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
)

// Pacer bounds the requests of this node to endpoints with limits.
type Pacer struct {
	Clock timekeeper.Clock
	Log   zerolog.Logger
	// Node is the name of this node, Nodes returns the names of all nodes that may send
	// requests.
	Node  string
	Nodes func() []string
	// Decode returns what the head of a response says; false means nothing.
	Decode func(status int, h http.Header) (Statement, bool)
	// EndpointAt returns the identifier of the endpoint with an address.
	EndpointAt func(address string) (string, bool)
	// OnLimit is called with whether an endpoint has a limit, and the time until which it
	// gets no request from this node.
	OnLimit func(endpoint string, limited bool, pausedUntil time.Time)

	// limits has the limits by the addresses of the endpoints.
	limits keeper.Table[string, limit]
}

var _ roundtripper.Gate = (*Pacer)(nil)

var (
	paced  = expvar.NewInt("requests-paced")
	active = expvar.NewMap("endpoint-limits")
)

// Admit fails if no request may be sent to an address now.
func (p *Pacer) Admit(d roundtripper.Destination) error {
	address := d.Address
	l, ok := p.limits.Get(address)
	if !ok || !l.statement.Limited {
		return nil
	}
	now := p.Clock.Now()
	admitted := false
	p.limits.Update(address, func(l limit, ok bool) (limit, bool) {
		l = p.refresh(l, now).withTime(now)
		if admitted = l.tokens >= 1; admitted {
			l.tokens--
		}
		return l, ok
	})
	wait := p.reportPause(address, now)
	if admitted {
		return nil
	}
	paced.Add(1)
	return coder.Refuse(coder.EndpointLimited, "endpoint %s takes %g requests a second", address, l.statement.PerSecond).WithRetryAfter(wait)
}

// refresh computes the share again after some time, as nodes come and go.
func (p *Pacer) refresh(l limit, now time.Time) limit {
	if l.statement.Limited && now.Sub(l.ratedAt) >= recheckTime {
		return l.withRate(Share(l.endpoint, p.Node, p.Nodes(), l.statement.PerSecond), now)
	}
	return l
}

// reportPause reports and returns how long an endpoint gets no request.
func (p *Pacer) reportPause(address string, now time.Time) time.Duration {
	l, ok := p.limits.Get(address)
	if !ok {
		return 0
	}
	wait := time.Duration(0)
	if l.statement.Limited {
		wait = l.pause()
	}
	p.OnLimit(l.endpoint, l.statement.Limited, now.Add(wait))
	return wait
}

// RecordResponse takes what a response says to a request that was sent at a time.
func (p *Pacer) RecordResponse(d roundtripper.Destination, askedAt time.Time, status int, h http.Header) {
	address := d.Address
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

// hearsayLifetime is the age up to which nodes pass statements on to each other.
const hearsayLifetime = 5 * time.Second

// RecordHearsay takes what an endpoint has told another node some time ago. A node
// without a share gets no responses, so only others can tell it that it may send again.
func (p *Pacer) RecordHearsay(address, endpoint string, s Statement, age time.Duration) {
	told := p.Clock.Now().Add(-age)
	l, known := p.limits.Get(address)
	known = known && l.endpoint == endpoint
	if age > hearsayLifetime || known && !told.After(l.toldAt) || !known && !s.Limited {
		return
	}
	p.state(address, endpoint, func(l limit, now time.Time) limit {
		l = l.withStatement(s, told, now)
		l.toldAt, l.hearsay = told, true
		return l
	})
}

// state changes the limit of an endpoint; one that has taken over the address of another
// begins anew.
func (p *Pacer) state(address, endpoint string, change func(limit, time.Time) limit) {
	now := p.Clock.Now()
	var before, after limit
	p.limits.Update(address, func(l limit, _ bool) (limit, bool) {
		if l.endpoint != endpoint {
			l = limit{endpoint: endpoint, filledAt: now}
		}
		before, after = l, p.refresh(change(l, now), now)
		return after, true
	})
	if before.statement != after.statement {
		p.report(after)
	}
	p.reportPause(address, now)
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
	p.Log.Info().Str("endpoint", l.endpoint).Float64("per-second", l.statement.PerSecond).Float64("share", l.rate).
		Bool("told-by-node", l.hearsay).Msg("endpoint names a limit")
}

// Told returns what an endpoint has told this node, and how long ago; false if that was
// long ago or nothing.
func (p *Pacer) Told(address string) (s Statement, age time.Duration, ok bool) {
	l, known := p.limits.Get(address)
	age = p.Clock.Now().Sub(l.toldAt)
	if !known || l.hearsay || age > hearsayLifetime {
		return Statement{}, 0, false
	}
	return l.statement, age, true
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
