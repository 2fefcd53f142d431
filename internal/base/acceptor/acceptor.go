// Package acceptor closes the connections of an HTTP server without losing a
// request.
//
// At shutdown, the server of the standard library closes connections that it
// considers idle. If it has just read a request on one of them, the request runs
// and its response is lost. An Acceptor closes a connection through its read
// deadline instead: a connection on which a byte of a request has been read stays
// open until the response is written, and one on which none has been read is not
// read any more. The timeouts for reading a header and between requests are
// looked up for each use, as operators change them while the server runs.
package acceptor

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/reserver"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
)

// Listen returns a TCP listener on an address; SettingsBad if that fails.
func Listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, coder.Refuse(coder.SettingsBad, "cannot listen on %s", address).WithCause(err)
	}
	return l, nil
}

// Serve serves connections of l until the server or the listener is closed, and
// logs any other error.
func Serve(log zerolog.Logger, s *http.Server, l net.Listener) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		log.Error().Err(err).Str("address", l.Addr().String()).Msg("HTTP server failed")
	}
}

// Limits are the timeouts of a caller's connection; 0 means none.
type Limits struct {
	// HeaderTimeout is the timeout for reading the header of a request.
	HeaderTimeout time.Duration
	// IdleTimeout is the timeout between a response and the next request.
	IdleTimeout time.Duration
	// MaxHeader is the largest header of a request in bytes that is served; 0 means that it
	// is not bounded. One of more than maxHeaderExcess times that is not read to its end.
	MaxHeader int
}

// Acceptor is a listener that tracks its connections.
type Acceptor struct {
	net.Listener
	Clock timekeeper.Clock
	// Limits returns the current limits; nil means none. A connection that is
	// idle keeps the limit that applied when it became idle.
	Limits func() Limits
	// Clients accounts for the connections and what is held for them; nil means that
	// nothing does.
	Clients *reserver.Clients

	closeAfterResponse atomic.Bool

	// mu is taken before the locks of connections and of the watcher.
	mu    sync.Mutex
	conns map[*conn]bool
	// watcher is nil before the first connection and after the last one of a closed
	// listener.
	watcher        *closeWatcher
	listenerClosed bool
	shuttingDown   bool
	// allClosed is closed when the last connection is removed; it is set with
	// shuttingDown.
	allClosed chan struct{}
}

// conn is a connection of a caller.
type conn struct {
	net.Conn
	acceptor *Acceptor

	mu sync.Mutex
	// idle means that the server waits for a request and has read no byte of it.
	idle bool
	// readSinceWrite means that bytes have been read since the last write. The
	// server reads ahead while it writes a response, so it may have the first bytes
	// of the next request before it waits for one.
	readSinceWrite bool
	shuttingDown   bool
	// bodyCut means that a body was not read to its end, so that nothing after it is read.
	bodyCut bool
	// active means that a complete header has been read and the response has not
	// been written yet.
	active bool
	// peerClosedAt is when the peer closed the connection, once that is known.
	peerClosedAt time.Time
	// endRequest ends the context of the request that runs; nil if none does.
	endRequest context.CancelFunc
	// watchID is the number of the connection at the watcher.
	watchID uint64
	// holding accounts for the connection; it does not change.
	holding *reserver.Holding
	// bodyPending means that the end of the body of a request has not been read.
	bodyPending atomic.Bool
	// head is what was read of the head of the request.
	head head
	// reserved is what is accounted for the work on the request.
	reserved int64
}

// pastDeadline is a deadline that makes a read fail at once.
var pastDeadline = time.Unix(1, 0)

// Accept returns the next connection.
func (a *Acceptor) Accept() (net.Conn, error) {
	a.Clients.AwaitEnd()
	c, err := a.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := &conn{Conn: c, acceptor: a, idle: true}
	tracked.holding = a.Clients.Open(tracked)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conns == nil {
		a.conns = make(map[*conn]bool)
	}
	a.conns[tracked] = true
	tracked.shuttingDown = a.shuttingDown
	a.watchLocked(tracked)
	return tracked, nil
}

// watchLocked has the watcher notice when the peer closes a connection. Without a watcher,
// only the server's own reads do.
func (a *Acceptor) watchLocked(c *conn) {
	if a.watcher == nil {
		w, err := newCloseWatcher((*conn).peerClosed)
		if err != nil {
			return
		}
		a.watcher = w
	}
	a.watcher.add(c)
}

// Close accepts no more connections.
func (a *Acceptor) Close() error {
	err := a.Listener.Close()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.listenerClosed = true
	a.closeWatcherLocked()
	return err
}

// closeWatcherLocked closes the watcher when there is nothing left to watch.
func (a *Acceptor) closeWatcherLocked() {
	if a.listenerClosed && len(a.conns) == 0 && a.watcher != nil {
		a.watcher.close()
		a.watcher = nil
	}
}

// TrackState is the ConnState hook of the server.
func (a *Acceptor) TrackState(c net.Conn, state http.ConnState) {
	tracked, ok := c.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		tracked.setActive()
	case http.StateIdle:
		tracked.setIdle()
	case http.StateClosed, http.StateHijacked:
		a.remove(tracked)
	}
}

func (a *Acceptor) remove(c *conn) {
	c.holding.Close()
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.conns, c)
	if a.watcher != nil {
		a.watcher.remove(c)
	}
	a.closeWatcherLocked()
	a.signalIfEmptyLocked()
}

// signalIfEmptyLocked wakes Shutdown when no connection is left.
func (a *Acceptor) signalIfEmptyLocked() {
	if a.allClosed != nil && len(a.conns) == 0 {
		close(a.allClosed)
		a.allClosed = nil
	}
}

// CloseAfterResponse adds "Connection: close" to each further response. The caller
// then opens a new connection, which a load balancer sends to another node once it
// has detected that this server is about to stop.
func (a *Acceptor) CloseAfterResponse() { a.closeAfterResponse.Store(true) }

// Handler wraps the handler of the server. The context of a request ends when its caller
// closes the connection, even while bytes are unread there.
func (a *Acceptor) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if a.closeAfterResponse.Load() {
			w.Header().Set("Connection", "close")
		}
		caller := CallerOf(r.Context())
		ctx, end := caller.begin(r.Context())
		defer end()
		served := r.WithContext(ctx)
		defer caller.account(r, served)()
		next.ServeHTTP(w, served)
	})
}

// Abort ends the response to r, which was begun and is not complete, so that the caller
// sees that it is cut off. It does not return.
func Abort(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		// A caller that knows no chunks takes the end of its connection for that of the
		// body, unless the connection is reset.
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			Reset(c)
		}
	}
	panic(http.ErrAbortHandler)
}

// Reset closes a connection of a server with a reset, so that the kernel holds nothing for it.
func Reset(c net.Conn) {
	raw := c
	if tracked, ok := c.(*conn); ok {
		raw = tracked.Conn
	}
	if tcp, ok := raw.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// Shutdown accepts no more connections, closes the idle ones, and waits until all
// in-flight requests have their responses. If ctx is done before, Shutdown returns its
// error. It is called once.
func (a *Acceptor) Shutdown(ctx context.Context) error {
	_ = a.Close()
	allClosed := make(chan struct{})
	a.mu.Lock()
	a.shuttingDown, a.allClosed = true, allClosed
	conns := make([]*conn, 0, len(a.conns))
	for c := range a.conns {
		conns = append(conns, c)
	}
	a.signalIfEmptyLocked()
	a.mu.Unlock()
	for _, c := range conns {
		c.closeWhenIdle()
	}
	select {
	case <-allClosed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Read reads bytes of a request.
func (c *conn) Read(p []byte) (int, error) {
	// The server also reads a body that the handler has left, before it writes the response.
	if c.bodyPending.Load() {
		c.holding.Await()
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		c.idle, c.readSinceWrite = false, true
		before := c.head.size
		growth := c.head.read(p[:n], c.active)
		size := c.head.size
		c.mu.Unlock()
		c.acceptor.countHeader(before, size)
		if c.acceptor.exceedsHeader(size) {
			c.holding.CloseFor(reserver.ClientHead)
		}
		if !c.holding.Grow(growth) {
			return 0, net.ErrClosed
		}
	}
	return n, err
}

// SetReadDeadline sets the deadline of the next reads. An idle connection that is
// to be closed keeps the deadline in the past.
//
// If the first bytes of a request are read while the connection is being closed,
// the server sets a new deadline before it reads on.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.idle && c.shuttingDown, c.bodyCut:
		t = pastDeadline
	case !c.active:
		t = c.acceptor.readDeadline(t, c.idle)
	}
	return c.Conn.SetReadDeadline(t)
}

// readDeadline returns the deadline for reading the header of a request, or its
// first byte if idle is set and the server sets no deadline.
func (a *Acceptor) readDeadline(t time.Time, idle bool) time.Time {
	if a.Limits == nil {
		return t
	}
	l, now := a.Limits(), a.Clock.Now()
	switch {
	case t.IsZero() && idle && l.IdleTimeout > 0:
		return now.Add(l.IdleTimeout)
	case !t.IsZero() && l.HeaderTimeout > 0 && now.Add(l.HeaderTimeout).Before(t):
		return now.Add(l.HeaderTimeout)
	}
	return t
}

// setActive records that the header of a request has been read.
func (c *conn) setActive() {
	c.holding.Progress()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = true
}

// setIdle records that a response has been written and that the server waits for
// the next request.
func (c *conn) setIdle() {
	c.mu.Lock()
	c.idle, c.active = !c.readSinceWrite, false
	growth := c.head.end(c.idle)
	c.mu.Unlock()
	c.holding.Grow(growth)
	c.holding.Progress()
}

// closeWhenIdle makes the server close the connection once it is idle.
func (c *conn) closeWhenIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shuttingDown = true
	if c.idle {
		// The error of a connection that is already closed does not matter.
		_ = c.Conn.SetReadDeadline(pastDeadline)
	}
}
