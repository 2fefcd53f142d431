package acceptor

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"foxtailflow.example/foxtailflow/internal/base/reserver"
)

// Caller is the connection on which a request has arrived. It tells whether the caller
// still waits for the response.
//
// The server learns that from its own reading, which pauses while bytes of a body or of a
// next request are unread, and waits for the processor. A Caller asks the kernel.
type Caller struct{ conn *conn }

// callerKey is the key of the connection in the context of its requests.
type callerKey struct{}

// ConnContext is the ConnContext hook of the server.
func (a *Acceptor) ConnContext(ctx context.Context, c net.Conn) context.Context {
	tracked, ok := c.(*conn)
	if !ok {
		return ctx
	}
	return reserver.WithHolding(context.WithValue(ctx, callerKey{}, tracked), tracked.holding)
}

// CallerOf returns the caller of a request, by its context.
func CallerOf(ctx context.Context) Caller {
	c, _ := ctx.Value(callerKey{}).(*conn)
	return Caller{conn: c}
}

// ClosedAt returns when the caller closed its connection, or false if the connection is
// open or the kernel does not say.
func (c Caller) ClosedAt() (time.Time, bool) {
	if c.conn == nil {
		return time.Time{}, false
	}
	return c.conn.closedByPeerAt()
}

// begin returns the context of a request, which ends when the caller closes the connection,
// and what to call at the end of the request.
func (c Caller) begin(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	if c.conn == nil {
		return ctx, cancel
	}
	if !c.conn.setEndRequest(cancel) {
		cancel()
	}
	return ctx, func() {
		c.conn.setEndRequest(nil)
		cancel()
	}
}

// setEndRequest sets what ends the request that runs, and reports whether the peer has not
// closed the connection yet.
func (c *conn) setEndRequest(end context.CancelFunc) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endRequest = end
	return c.peerClosedAt.IsZero()
}

// peerClosed ends the request that runs if the peer has closed the connection.
func (c *conn) peerClosed() { c.closedByPeerAt() }

// closedByPeerAt returns when the end of the peer's bytes, or a reset, arrived. It ends the
// request that runs if that was not known.
func (c *conn) closedByPeerAt() (time.Time, bool) {
	c.mu.Lock()
	at, end := c.peerClosedAt, context.CancelFunc(nil)
	if at.IsZero() {
		if age, closed := askClosed(c.Conn); closed {
			at = c.acceptor.Clock.Now().Add(-age)
			c.peerClosedAt, end = at, c.endRequest
		}
	}
	c.mu.Unlock()
	if end != nil {
		end()
	}
	return at, !at.IsZero()
}

// askClosed reports whether the peer of a connection has closed it, and how long ago.
func askClosed(c net.Conn) (age time.Duration, closed bool) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, false
	}
	// The error of a connection that is closed on this side does not matter.
	_ = raw.Control(func(fd uintptr) {
		events := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		if n, err := unix.Poll(events, 0); err != nil || n == 0 {
			return
		}
		closed = events[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
		// The last segment received is the one that closed the connection, except that a
		// reset is not counted there.
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil && closed && info.State == tcpCloseWait {
			age = time.Duration(info.Last_ack_recv) * time.Millisecond
		}
	})
	return age, closed
}

// tcpCloseWait is the state of a connection that the peer has closed (TCP_CLOSE_WAIT in
// linux/include/net/tcp_states.h).
const tcpCloseWait = 8
