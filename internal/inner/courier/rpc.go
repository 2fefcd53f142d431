package courier

import (
	"context"
	"net"

	"google.golang.org/grpc"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/reserver"
	"foxtailflow.example/foxtailflow/internal/inner/dialer"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

// Handler handles the calls of other nodes.
type Handler interface {
	// HandleUpdate returns the summary for an update of a node that has joined.
	HandleUpdate(u NodeUpdate) Summary
	// HandleDisconnect is called when the stream of a node has ended, with its last
	// update.
	HandleDisconnect(last NodeUpdate)
	// Follow sends the content of a table, then its changes, until ctx is done or
	// send fails.
	Follow(ctx context.Context, prefix string, changed transactor.Version, send func(TableContent) error) error
}

// NewServer returns a gRPC server that passes the calls of other nodes to h, and the
// listener for it, which accounts for the connections of l.
func NewServer(h Handler, l net.Listener, clients *reserver.Clients) (*grpc.Server, net.Listener) {
	s, accounted := dialer.Server(l, clients)
	RegisterNodeServer(s, server{h: h})
	return s, accounted
}

type server struct {
	UnimplementedNodeServer
	h Handler
}

// Join sends a summary for each node update. The summary for a hub leaves out the
// work and the prefixes, which that hub receives from the hubs that join it.
func (s server) Join(stream grpc.BidiStreamingServer[StatementMessage, SummaryMessage]) error {
	var last NodeUpdate
	defer func() {
		if last.Node != "" {
			s.h.HandleDisconnect(last)
		}
	}()
	for {
		m, err := stream.Recv()
		if err != nil {
			return err
		}
		last = decodeNodeUpdate(m)
		if err := stream.Send(encodeSummary(s.h.HandleUpdate(last))); err != nil {
			return err
		}
	}
}

// Follow sends the content of a table, then its changes.
func (s server) Follow(m *FollowRequest, stream grpc.ServerStreamingServer[ContentMessage]) error {
	return s.h.Follow(stream.Context(), m.GetPrefix(), transactor.Version(m.GetChanged()), func(c TableContent) error {
		return stream.Send(encodeContent(c))
	})
}

// Client has a connection to each node.
type Client struct {
	dialer.Connections
}

func (c *Client) client(address string) (NodeClient, error) {
	conn, err := c.Get(address)
	if err != nil {
		return nil, err
	}
	return NewNodeClient(conn), nil
}

// Stream is the stream of this node to a hub.
type Stream struct {
	stream grpc.BidiStreamingClient[StatementMessage, SummaryMessage]
}

// Join opens a stream to the hub at an address; the stream ends when ctx is done.
func (c *Client) Join(ctx context.Context, address string) (Stream, error) {
	node, err := c.client(address)
	if err != nil {
		return Stream{}, err
	}
	s, err := node.Join(ctx)
	return Stream{stream: s}, unreachable(err, address)
}

// Send sends a node update.
func (s Stream) Send(u NodeUpdate) error { return s.stream.Send(encodeNodeUpdate(u)) }

// Receive blocks until the next summary is received.
func (s Stream) Receive() (Summary, error) {
	m, err := s.stream.Recv()
	if err != nil {
		return Summary{}, err
	}
	return decodeSummary(m), nil
}

// Follow passes the content of a table at the node with an address to take, until
// ctx is done or the stream breaks.
func (c *Client) Follow(ctx context.Context, address, prefix string, changed transactor.Version, take func(TableContent)) error {
	node, err := c.client(address)
	if err != nil {
		return err
	}
	stream, err := node.Follow(ctx, &FollowRequest{Prefix: prefix, Changed: uint64(changed)})
	if err != nil {
		return unreachable(err, address)
	}
	for {
		m, err := stream.Recv()
		if err != nil {
			return unreachable(err, address)
		}
		take(decodeContent(m))
	}
}

func unreachable(err error, address string) error {
	if err == nil {
		return nil
	}
	return coder.Wrap(coder.NodeNotReached, err, "node %s is unreachable", address)
}
