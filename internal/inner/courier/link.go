package courier

import (
	"context"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/keeper"
)

// Handler answers other nodes.
type Handler interface {
	// Answer returns the summary for a statement of a node that has joined.
	Answer(s Statement) Summary
	// Left notes that the stream of a node has ended.
	Left(s Statement)
	// Follow sends the content of a table until ctx is done or send fails.
	Follow(ctx context.Context, prefix string, changed uint64, send func(Content) error) error
}

const (
	// window turns off the library's measuring of the bandwidth, which sends a
	// ping with almost every small message.
	window = 1 << 20
	// buffer is small, as messages are small and connections many.
	buffer = 4 << 10
)

// NewServer returns a gRPC server that answers nodes through h.
func NewServer(h Handler) *grpc.Server {
	s := grpc.NewServer(
		grpc.InitialWindowSize(window),
		grpc.InitialConnWindowSize(window),
		grpc.ReadBufferSize(buffer),
		grpc.WriteBufferSize(buffer),
	)
	RegisterNodeServer(s, server{h: h})
	return s
}

type server struct {
	UnimplementedNodeServer
	h Handler
}

// Join answers each statement with a summary; a hub gets none, as it learns the
// same from the hubs that join it.
func (s server) Join(stream grpc.BidiStreamingServer[StatementMessage, SummaryMessage]) error {
	var last Statement
	defer func() {
		if last.Node != "" {
			s.h.Left(last)
		}
	}()
	for {
		m, err := stream.Recv()
		if err != nil {
			return err
		}
		last = decodeStatement(m)
		if err := stream.Send(encodeSummary(s.h.Answer(last))); err != nil {
			return err
		}
	}
}

// Follow sends the content of a table.
func (s server) Follow(m *FollowRequest, stream grpc.ServerStreamingServer[ContentMessage]) error {
	return s.h.Follow(stream.Context(), m.GetPrefix(), m.GetChanged(), func(c Content) error {
		return stream.Send(encodeContent(c))
	})
}

// Dial opens a connection to an address.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Links holds a connection to each node.
type Links struct {
	Dial Dial

	connections keeper.Table[string, *grpc.ClientConn]
}

// reconnect is short, as a node that is not reached is left for another one.
var reconnect = backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second}

func (l *Links) client(address string) (NodeClient, error) {
	var failure error
	var found *grpc.ClientConn
	l.connections.Update(address, func(c *grpc.ClientConn, ok bool) (*grpc.ClientConn, bool) {
		if ok {
			found = c
			return c, true
		}
		// NewClient does not connect yet, so it is quick enough to run here.
		c, failure = grpc.NewClient("passthrough:///"+address,
			grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithConnectParams(grpc.ConnectParams{Backoff: reconnect, MinConnectTimeout: time.Second}),
			grpc.WithInitialWindowSize(window),
			grpc.WithInitialConnWindowSize(window),
			grpc.WithReadBufferSize(buffer),
			grpc.WithWriteBufferSize(buffer),
			grpc.WithContextDialer(l.Dial))
		found = c
		return c, failure == nil
	})
	if failure != nil {
		return nil, coder.Wrap(coder.NodeNotReached, failure, "malformed node address %q", address)
	}
	return NewNodeClient(found), nil
}

// Forget closes the connection to a node, so that the next use dials anew.
func (l *Links) Forget(address string) {
	if c, ok := l.connections.Get(address); ok {
		l.connections.Delete(address)
		_ = c.Close()
	}
}

// Stream is this node's stream to a hub.
type Stream struct {
	stream grpc.BidiStreamingClient[StatementMessage, SummaryMessage]
}

// Join opens a stream to the hub at an address; it ends with ctx.
func (l *Links) Join(ctx context.Context, address string) (Stream, error) {
	c, err := l.client(address)
	if err != nil {
		return Stream{}, err
	}
	s, err := c.Join(ctx)
	return Stream{stream: s}, notReached(err, address)
}

// Send sends a statement.
func (s Stream) Send(st Statement) error { return s.stream.Send(encodeStatement(st)) }

// Receive waits for the next summary.
func (s Stream) Receive() (Summary, error) {
	m, err := s.stream.Recv()
	if err != nil {
		return Summary{}, err
	}
	return decodeSummary(m), nil
}

// Follow takes the content of a table from the node at an address until ctx is
// done or the stream breaks.
func (l *Links) Follow(ctx context.Context, address, prefix string, changed uint64, take func(Content)) error {
	c, err := l.client(address)
	if err != nil {
		return err
	}
	stream, err := c.Follow(ctx, &FollowRequest{Prefix: prefix, Changed: changed})
	if err != nil {
		return notReached(err, address)
	}
	for {
		m, err := stream.Recv()
		if err != nil {
			return notReached(err, address)
		}
		take(decodeContent(m))
	}
}

func notReached(err error, address string) error {
	if err == nil {
		return nil
	}
	return coder.Wrap(coder.NodeNotReached, err, "node %s does not answer", address)
}
