package courier

import (
	"context"

	"google.golang.org/grpc"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/inner/dialer"
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

// NewServer returns a gRPC server that answers nodes through h.
func NewServer(h Handler) *grpc.Server {
	s := dialer.Server()
	RegisterNodeServer(s, server{h: h})
	return s
}

type server struct {
	UnimplementedNodeServer
	h Handler
}

// Join answers each statement with a summary; that for a hub has nothing in it
// but the answer, as it learns the same from the hubs that join it.
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

// Links holds a connection to each node.
type Links struct {
	dialer.Connections
}

func (l *Links) client(address string) (NodeClient, error) {
	c, err := l.To(address)
	if err != nil {
		return nil, err
	}
	return NewNodeClient(c), nil
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
