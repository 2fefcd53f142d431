// Package linker keeps connections and sends each HTTP request exactly once.
//
// An HTTP client library may repeat a request by itself when a kept connection
// breaks. A request that must run at most once cannot go through such a client,
// so this package sends on one connection, never dials a second time, and tells
// with every failure whether a byte of the request may have left. A kept
// connection is looked at before it is used: one that was closed, or on which
// bytes arrived that nobody asked for, is dropped.
package linker

import (
	"context"
	"net"
	"sync"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
)

// Dial opens a connection to an address.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Linker sends requests over kept connections.
type Linker struct {
	Clock timekeeper.Clock
	Dial  Dial
	// KeepFor is how long an idle connection is kept where the other side does
	// not name its own timeout.
	KeepFor time.Duration
	// KeepMost bounds the idle connections to one address; 0 means no bound.
	KeepMost int
	// AnswerLimit bounds the head of an answer in bytes; 0 means 64 KiB.
	AnswerLimit int

	mu    sync.Mutex
	hosts map[string]*host
}

// host is what is kept of one address.
type host struct {
	// idle are the free connections, the one used last at the end.
	idle []*link
	open int
}

// Stats counts the connections to one address.
type Stats struct {
	Open int
	Idle int
}

// Stats returns the number of connections to an address.
func (l *Linker) Stats(address string) Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	h, ok := l.hosts[address]
	if !ok {
		return Stats{}
	}
	return Stats{Open: h.open, Idle: len(h.idle)}
}

// take returns the idle connection to an address that was used last, or nil.
func (l *Linker) take(address string, now time.Time) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	h, ok := l.hosts[address]
	for ok && len(h.idle) > 0 {
		last := len(h.idle) - 1
		c := h.idle[last]
		h.idle[last] = nil
		h.idle = h.idle[:last]
		if now.Before(c.expires) && c.quiet() {
			return c
		}
		l.drop(h, c)
	}
	return nil
}

// drop closes a connection; the caller holds the lock.
func (l *Linker) drop(h *host, c *link) {
	_ = c.conn.Close()
	h.open--
	if h.open == 0 {
		delete(l.hosts, c.address)
	}
}

// close closes a connection that is in use.
func (l *Linker) close(c *link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if h, ok := l.hosts[c.address]; ok {
		l.drop(h, c)
	}
}

// reserve counts a connection that is to be opened; false means that the limit
// is reached.
func (l *Linker) reserve(address string, limit int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hosts == nil {
		l.hosts = make(map[string]*host)
	}
	h, ok := l.hosts[address]
	if !ok {
		h = &host{}
		l.hosts[address] = h
	}
	if limit > 0 && h.open >= limit {
		return false
	}
	h.open++
	return true
}

// unreserve takes back a reservation whose dial failed.
func (l *Linker) unreserve(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.hosts[address]
	h.open--
	if h.open == 0 {
		delete(l.hosts, address)
	}
}

// keep puts a connection back for the next request.
func (l *Linker) keep(c *link, keepFor time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h, ok := l.hosts[c.address]
	if !ok {
		_ = c.conn.Close()
		return
	}
	if keepFor <= 0 || l.KeepMost > 0 && len(h.idle) >= l.KeepMost {
		l.drop(h, c)
		return
	}
	c.expires = l.Clock.Now().Add(keepFor)
	h.idle = append(h.idle, c)
}

// Sweep closes idle connections whose time is over; a task runs it.
func (l *Linker) Sweep(context.Context) error {
	now := l.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, h := range l.hosts {
		kept := h.idle[:0]
		for _, c := range h.idle {
			if now.Before(c.expires) {
				kept = append(kept, c)
				continue
			}
			l.drop(h, c)
		}
		clear(h.idle[len(kept):])
		h.idle = kept
	}
	return nil
}

// Forget closes the idle connections to an address.
func (l *Linker) Forget(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h, ok := l.hosts[address]
	if !ok {
		return
	}
	idle := h.idle
	h.idle = nil
	for _, c := range idle {
		l.drop(h, c)
	}
}

// connect returns a kept connection, or a new one.
func (l *Linker) connect(ctx context.Context, address string, limit int) (*link, error) {
	if c := l.take(address, l.Clock.Now()); c != nil {
		return c, nil
	}
	if !l.reserve(address, limit) {
		return nil, coder.Refuse(coder.ConnectionsFull, "all %d connections to %s are in use", limit, address)
	}
	conn, err := l.Dial(ctx, address)
	if err != nil {
		l.unreserve(address)
		return nil, coder.Wrap(coder.EndpointUnreachable, err, "cannot connect to %s", address).WithOutcome(coder.NotRun)
	}
	return newLink(conn, address), nil
}
