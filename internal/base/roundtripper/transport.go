// Package roundtripper sends each HTTP request exactly once over pooled connections.
//
// An HTTP client library may resend a request on its own when a pooled connection
// breaks. A request that must run at most once cannot use such a client, so this
// package sends it on one connection, never dials a second time, and reports with
// every failure whether a byte of the request may have been sent. An idle
// connection is checked before it is used again: if the peer has closed it, or has
// sent bytes that belong to no request, it is closed.
package roundtripper

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
)

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Destination is what a request is sent to.
type Destination struct {
	Address string
	// Endpoint identifies the start of the endpoint that is meant; empty means that it is
	// not known.
	Endpoint string
	// Control means that the request is none of a caller.
	Control bool
}

// Gate bounds the requests to a destination by what its responses say.
type Gate interface {
	// Admit fails if no request may be sent now. It is called just before sending, and
	// what it admits is sent.
	Admit(d Destination) error
	// RecordResponse takes the head of a response to a request that was sent at a time.
	RecordResponse(d Destination, sentAt time.Time, status int, h http.Header)
}

// Gates admits what each of several gates admits, asked in order.
type Gates []Gate

// Admit returns the error of the first gate that does not admit the request.
func (g Gates) Admit(d Destination) error {
	for _, gate := range g {
		if err := gate.Admit(d); err != nil {
			return err
		}
	}
	return nil
}

// RecordResponse passes the head of a response to all gates.
func (g Gates) RecordResponse(d Destination, sentAt time.Time, status int, h http.Header) {
	for _, gate := range g {
		gate.RecordResponse(d, sentAt, status, h)
	}
}

// Transport sends requests over pooled connections.
type Transport struct {
	Clock timekeeper.Clock
	Dial  DialFunc
	// Gate may be nil.
	Gate Gate
	// IdleTimeout is how long an idle connection is kept at most. A shorter timeout
	// that the peer announces takes precedence.
	IdleTimeout time.Duration
	// MaxIdle is the maximum number of idle connections to one address; 0 means
	// no bound.
	MaxIdle int
	// MaxHeadBytes bounds the head of a response in bytes, together with the heads of
	// interim responses and of responses to other requests; 0 means 64 KiB.
	MaxHeadBytes int

	mu    sync.Mutex
	pools map[string]*pool
}

// pool has the connections to one address.
type pool struct {
	// idle has the idle connections, the most recently used one last.
	idle []*connection
	open int
}

// Stats has the numbers of connections to one address; Open includes the idle
// ones.
type Stats struct {
	Open int
	Idle int
}

// Stats returns the numbers of connections to an address.
func (t *Transport) Stats(address string) Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.pools[address]
	if !ok {
		return Stats{}
	}
	return Stats{Open: p.open, Idle: len(p.idle)}
}

// takeIdle returns the most recently used idle connection to an address, or nil.
func (t *Transport) takeIdle(address string, now time.Time) *connection {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.pools[address]
	for ok && len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last]
		p.idle[last] = nil
		p.idle = p.idle[:last]
		if now.Before(c.expires) && c.usable() {
			return c
		}
		t.closeLocked(p, c)
	}
	return nil
}

// closeLocked closes a connection; the caller holds the lock.
func (t *Transport) closeLocked(p *pool, c *connection) {
	_ = c.netConn.Close()
	p.open--
	if p.open == 0 {
		delete(t.pools, c.address)
	}
}

// closeConnection closes a connection that is in use.
func (t *Transport) closeConnection(c *connection) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p, ok := t.pools[c.address]; ok {
		t.closeLocked(p, c)
	}
}

// reserve counts a connection that is about to be opened; false means that the
// limit is reached.
func (t *Transport) reserve(address string, limit int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pools == nil {
		t.pools = make(map[string]*pool)
	}
	p, ok := t.pools[address]
	if !ok {
		p = &pool{}
		t.pools[address] = p
	}
	if limit > 0 && p.open >= limit {
		return false
	}
	p.open++
	return true
}

// cancelReservation undoes reserve after a failed dial.
func (t *Transport) cancelReservation(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[address]
	p.open--
	if p.open == 0 {
		delete(t.pools, address)
	}
}

// putIdle returns a connection to the pool for the next request.
func (t *Transport) putIdle(c *connection, idleTimeout time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.pools[c.address]
	if !ok {
		_ = c.netConn.Close()
		return
	}
	if idleTimeout <= 0 || t.MaxIdle > 0 && len(p.idle) >= t.MaxIdle {
		t.closeLocked(p, c)
		return
	}
	c.expires = t.Clock.Now().Add(idleTimeout)
	p.idle = append(p.idle, c)
}

// putUnused returns a connection to the pool on which nothing was sent.
func (t *Transport) putUnused(c *connection) {
	left := t.IdleTimeout
	if !c.expires.IsZero() {
		left = c.expires.Sub(t.Clock.Now())
	}
	t.putIdle(c, left)
}

// CloseExpired closes the idle connections that have expired; a periodic task runs
// it.
func (t *Transport) CloseExpired(context.Context) error {
	now := t.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.pools {
		kept := p.idle[:0]
		for _, c := range p.idle {
			if now.Before(c.expires) {
				kept = append(kept, c)
				continue
			}
			t.closeLocked(p, c)
		}
		clear(p.idle[len(kept):])
		p.idle = kept
	}
	return nil
}

// CloseIdle closes the idle connections to an address.
func (t *Transport) CloseIdle(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.pools[address]
	if !ok {
		return
	}
	idle := p.idle
	p.idle = nil
	for _, c := range idle {
		t.closeLocked(p, c)
	}
}

// Connect opens a connection to an address and keeps it for the next request.
func (t *Transport) Connect(ctx context.Context, address string) error {
	t.reserve(address, 0)
	conn, err := t.Dial(ctx, address)
	if err != nil {
		t.cancelReservation(address)
		return err
	}
	t.putIdle(newConnection(conn, address), t.IdleTimeout)
	return nil
}

// connect returns an idle connection, or a new one.
func (t *Transport) connect(ctx context.Context, address string, o Options) (*connection, error) {
	if !o.Fresh {
		if c := t.takeIdle(address, t.Clock.Now()); c != nil {
			return c, nil
		}
	}
	if !t.reserve(address, o.MaxConnections) {
		return nil, coder.Refuse(coder.ConnectionsFull, "all %d connections to %s are in use", o.MaxConnections, address)
	}
	conn, err := t.Dial(ctx, address)
	if err != nil {
		t.cancelReservation(address)
		return nil, coder.Wrap(coder.EndpointUnreachable, err, "cannot connect to %s", address).WithOutcome(coder.NotRun)
	}
	return newConnection(conn, address), nil
}
