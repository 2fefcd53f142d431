// Package dialer opens the gRPC connections between nodes.
//
// There is one connection for each address. It connects at its first use, and
// reconnects shortly after it breaks. The messages between nodes are small and the
// connections are many, so the buffers are small.
package dialer

import (
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/keeper"
	"foxtailflow.example/foxtailflow/internal/base/reserver"
	"foxtailflow.example/foxtailflow/internal/base/roundtripper"
)

const (
	// flowWindow is the flow-control window of streams and connections in bytes. A
	// fixed window disables the bandwidth estimation of the library, which sends a
	// ping with almost every small message.
	flowWindow = 1 << 20
	// bufferSize is the size of a read or write buffer in bytes.
	bufferSize = 4 << 10
	// idleTimeout is the time after which an unused connection is closed. A push to
	// all nodes opens many connections that are then not needed for long.
	idleTimeout = time.Minute
)

// reconnectBackoff has short delays, as an update of a node that is reachable again
// must be received before its last one expires.
var reconnectBackoff = backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second}

const (
	// maxHeaderList bounds the decoded fields of a request in bytes, as HTTP/2 counts them.
	// The default of the library is 16 MiB, which one byte a field on the wire reaches.
	maxHeaderList = 16 << 10
	// maxStreams bounds the streams of a connection. A node opens one for its work and one
	// for each table that it follows.
	maxStreams = 32
	// handshakeTimeout is the time in which a connection has to begin with HTTP/2.
	handshakeTimeout = 10 * time.Second
)

// Server returns a gRPC server for the connections from other nodes, and the listener for
// it, which accounts for the connections of l.
func Server(l net.Listener, clients *reserver.Clients) (*grpc.Server, net.Listener) {
	conns := &keeper.Table[string, *peerConn]{}
	return grpc.NewServer(
		grpc.MaxHeaderListSize(maxHeaderList),
		grpc.MaxConcurrentStreams(maxStreams),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.StatsHandler(messages{conns}),
		grpc.InitialWindowSize(flowWindow),
		grpc.InitialConnWindowSize(flowWindow),
		grpc.ReadBufferSize(bufferSize),
		grpc.WriteBufferSize(bufferSize),
	), peerListener{Listener: l, clients: clients, conns: conns}
}

// Connections has the connections to the other nodes by address.
type Connections struct {
	// Dial opens a connection; nil means the zero roundtripper.Dialer.
	Dial roundtripper.DialFunc

	conns keeper.Table[string, *grpc.ClientConn]
}

// Get returns the connection to an address; NodeNotReached if the address is
// malformed.
func (c *Connections) Get(address string) (*grpc.ClientConn, error) {
	var clientErr error
	var result *grpc.ClientConn
	c.conns.Update(address, func(conn *grpc.ClientConn, ok bool) (*grpc.ClientConn, bool) {
		if !ok {
			// NewClient does not connect yet, so it does not block under the lock.
			conn, clientErr = grpc.NewClient("passthrough:///"+address, c.options()...)
		}
		result = conn
		return conn, clientErr == nil
	})
	if clientErr != nil {
		return nil, coder.Wrap(coder.NodeNotReached, clientErr, "malformed node address %q", address)
	}
	return result, nil
}

func (c *Connections) options() []grpc.DialOption {
	dial := c.Dial
	if dial == nil {
		dial = roundtripper.Dialer{}.Dial
	}
	return []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: reconnectBackoff, MinConnectTimeout: time.Second}),
		grpc.WithInitialWindowSize(flowWindow),
		grpc.WithInitialConnWindowSize(flowWindow),
		grpc.WithReadBufferSize(bufferSize),
		grpc.WithWriteBufferSize(bufferSize),
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithContextDialer(dial),
	}
}

// Disconnect closes the connection to an address, so that the next use opens a new one.
func (c *Connections) Disconnect(address string) {
	if conn, ok := c.conns.Get(address); ok {
		c.conns.Delete(address)
		_ = conn.Close()
	}
}

// Close closes all connections.
func (c *Connections) Close() {
	for _, conn := range c.conns.Values() {
		_ = conn.Close()
	}
}
