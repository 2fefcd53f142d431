// Package dialer holds the gRPC connections between nodes.
//
// There is one connection to each address, which connects when it is first used
// and again, soon, after it broke. Messages between nodes are small and
// connections many, so the buffers are small.
package dialer

import (
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/keeper"
	"foxtailflow.example/foxtailflow/internal/base/linker"
)

const (
	// window turns off the library's measuring of the bandwidth, which sends a
	// ping with almost every small message.
	window = 1 << 20
	buffer = 4 << 10
	// idleAfter closes a connection that is not used; a push to all nodes opens
	// many that are then not needed for long.
	idleAfter = time.Minute
)

// reconnect keeps the delay short, since a node that is back must be heard
// before what it has stated runs out.
var reconnect = backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second}

// Server returns a gRPC server for the connections of other nodes.
func Server() *grpc.Server {
	return grpc.NewServer(
		grpc.InitialWindowSize(window),
		grpc.InitialConnWindowSize(window),
		grpc.ReadBufferSize(buffer),
		grpc.WriteBufferSize(buffer),
	)
}

// Connections has a connection to each node.
type Connections struct {
	// Dial opens a connection; nil means a plain one.
	Dial linker.Dial

	open keeper.Table[string, *grpc.ClientConn]
}

// To returns the connection to an address; NodeNotReached if that is malformed.
func (c *Connections) To(address string) (*grpc.ClientConn, error) {
	var failure error
	var found *grpc.ClientConn
	c.open.Update(address, func(conn *grpc.ClientConn, ok bool) (*grpc.ClientConn, bool) {
		if !ok {
			// NewClient does not connect yet, so it is quick enough to run here.
			conn, failure = grpc.NewClient("passthrough:///"+address, c.options()...)
		}
		found = conn
		return conn, failure == nil
	})
	if failure != nil {
		return nil, coder.Wrap(coder.NodeNotReached, failure, "malformed node address %q", address)
	}
	return found, nil
}

func (c *Connections) options() []grpc.DialOption {
	dial := c.Dial
	if dial == nil {
		dial = linker.Dialer{}.Dial
	}
	return []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: reconnect, MinConnectTimeout: time.Second}),
		grpc.WithInitialWindowSize(window),
		grpc.WithInitialConnWindowSize(window),
		grpc.WithReadBufferSize(buffer),
		grpc.WithWriteBufferSize(buffer),
		grpc.WithIdleTimeout(idleAfter),
		grpc.WithContextDialer(dial),
	}
}

// Disconnect closes the connection to an address, so that the next use dials anew.
func (c *Connections) Disconnect(address string) {
	if conn, ok := c.open.Get(address); ok {
		c.open.Delete(address)
		_ = conn.Close()
	}
}

// Close closes all connections.
func (c *Connections) Close() {
	for _, conn := range c.open.Values() {
		_ = conn.Close()
	}
}
