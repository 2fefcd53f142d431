package dialer

import (
	"context"
	"expvar"
	"net"
	"sync"

	"google.golang.org/grpc/stats"

	"foxtailflow.example/foxtailflow/internal/base/acceptor"
	"foxtailflow.example/foxtailflow/internal/base/keeper"
	"foxtailflow.example/foxtailflow/internal/base/reserver"
)

const (
	// peerBytes is what the connection of a node takes beyond one of a caller: a stream and
	// the stacks of more goroutines. Measured without a stream: 14.5 KB for all.
	peerBytes = 12 << 10
	// sentRefund is how many received bytes are taken for processed with each message that
	// is sent: acknowledgements and window updates, which belong to no message.
	sentRefund = 1 << 10
)

// peerListener accounts for the connections of a listener for other nodes. What was
// received on one counts until a whole message has come, as the library holds the parts of
// a message.
type peerListener struct {
	net.Listener
	clients *reserver.Clients
	conns   *keeper.Table[string, *peerConn]
}

// Accept returns the next connection.
func (l peerListener) Accept() (net.Conn, error) {
	l.clients.AwaitEnd()
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	p := &peerConn{Conn: c, conns: l.conns}
	p.holding = l.clients.Open(p)
	p.holding.Grow(peerBytes)
	l.conns.Put(c.RemoteAddr().String(), p)
	return p, nil
}

// peerConn is a connection of another node, or of whoever else uses its port.
type peerConn struct {
	net.Conn
	conns   *keeper.Table[string, *peerConn]
	holding *reserver.Holding

	mu sync.Mutex
	// unprocessed is the number of bytes received since the last whole message.
	unprocessed int64
	// called means that a call has begun, closed that the connection is closed.
	called, closed bool
}

// peersWithoutCall counts connections that were closed before a call had begun: they did not
// begin with HTTP/2 in time, or the head of their first call was over the limit.
var peersWithoutCall = expvar.NewInt("peer-connections-without-call")

// Read reads bytes of messages. Each is progress, as nodes that only receive send no more
// than acknowledgements.
func (c *peerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		c.unprocessed += int64(n)
		c.mu.Unlock()
		c.holding.Progress()
		if !c.holding.Grow(int64(n)) {
			return 0, net.ErrClosed
		}
	}
	return n, err
}

// Close closes the connection.
func (c *peerConn) Close() error {
	c.conns.Delete(c.RemoteAddr().String())
	c.holding.Close()
	c.mu.Lock()
	if !c.called && !c.closed {
		peersWithoutCall.Add(1)
	}
	c.closed = true
	c.mu.Unlock()
	return c.Conn.Close()
}

// CloseNow closes the connection at once. The server then closes it as well, when it reads
// from it.
func (c *peerConn) CloseNow() { acceptor.Reset(c.Conn) }

// processed records that at most n of the bytes received are no longer held.
func (c *peerConn) processed(n int64) {
	c.mu.Lock()
	n = min(n, c.unprocessed)
	c.unprocessed -= n
	c.mu.Unlock()
	c.holding.Grow(-n)
}

// messages tells connections of the messages that have been received and sent on them.
type messages struct {
	conns *keeper.Table[string, *peerConn]
}

// connKey is the key of the connection in the context of its streams.
type connKey struct{}

// TagConn returns the context of a connection.
func (m messages) TagConn(ctx context.Context, info *stats.ConnTagInfo) context.Context {
	c, _ := m.conns.Get(info.RemoteAddr.String())
	return context.WithValue(ctx, connKey{}, c)
}

// TagRPC returns the context of a stream.
func (messages) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleConn is called at the begin and end of a connection.
func (messages) HandleConn(context.Context, stats.ConnStats) {}

// HandleRPC is called for each message.
func (messages) HandleRPC(ctx context.Context, s stats.RPCStats) {
	c, _ := ctx.Value(connKey{}).(*peerConn)
	if c == nil {
		return
	}
	switch s.(type) {
	case *stats.InHeader:
		c.mu.Lock()
		c.called = true
		c.mu.Unlock()
	case *stats.InPayload:
		c.processed(c.received())
	case *stats.OutPayload:
		c.processed(sentRefund)
	}
}

// received returns the number of bytes received since the last whole message.
func (c *peerConn) received() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unprocessed
}
