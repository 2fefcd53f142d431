package messenger

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

// Handler answers the messages of peers.
type Handler interface {
	// Pull returns what this node knows and the peer does not.
	Pull(ctx context.Context, p Pull) ([]State, error)
	// Announce applies accepted changes.
	Announce(ctx context.Context, a Announcement) (Applied, error)
	// Changes returns accepted changes after a version.
	Changes(ctx context.Context, after uint64, limit int) (Changes, error)
	// Roster returns the roster that this node uses.
	Roster(ctx context.Context) (Roster, error)
	// KeepUsage keeps a copy of a peer's usage.
	KeepUsage(ctx context.Context, u UsageCopy) error
}

const (
	// A window that is set turns off the library's measuring of the bandwidth,
	// which sends a ping with almost every small message.
	window = 1 << 20
	// Messages are small and connections many, so the buffers are small.
	buffer = 4 << 10
	// idleAfter closes a connection that is not used; a push to all nodes opens
	// many that are then not needed for long.
	idleAfter = time.Minute
)

// NewServer returns a gRPC server that answers peers through h.
func NewServer(h Handler) *grpc.Server {
	s := grpc.NewServer(
		grpc.InitialWindowSize(window),
		grpc.InitialConnWindowSize(window),
		grpc.ReadBufferSize(buffer),
		grpc.WriteBufferSize(buffer),
	)
	RegisterPeerServer(s, server{h: h})
	return s
}

type server struct {
	UnimplementedPeerServer
	h Handler
}

// Pull answers a pull.
func (s server) Pull(ctx context.Context, m *PullRequest) (*PullReply, error) {
	states, err := s.h.Pull(ctx, decodePull(m))
	return &PullReply{States: encodeStates(states)}, err
}

// Announce takes an announcement.
func (s server) Announce(ctx context.Context, m *AnnounceRequest) (*AnnounceReply, error) {
	a, err := s.h.Announce(ctx, Announcement{From: m.GetFrom(), Changes: decodeChanges(m.GetChanges()), Roster: decodeRoster(m.GetRoster())})
	return &AnnounceReply{Applied: a.Version, RosterVersion: a.RosterVersion, Member: a.Member, Settled: a.Settled}, err
}

// Changes answers a question for changes.
func (s server) Changes(ctx context.Context, m *ChangesRequest) (*ChangesReply, error) {
	c, err := s.h.Changes(ctx, m.GetAfter(), int(m.GetLimit()))
	return &ChangesReply{Changes: encodeChanges(c.Changes), Head: c.Head, Whole: c.Whole}, err
}

// Roster answers a question for the roster.
func (s server) Roster(ctx context.Context, _ *RosterRequest) (*RosterReply, error) {
	r, err := s.h.Roster(ctx)
	return &RosterReply{Roster: encodeRoster(&r)}, err
}

// KeepUsage keeps a copy of usage.
func (s server) KeepUsage(ctx context.Context, m *KeepUsageRequest) (*KeepUsageReply, error) {
	return &KeepUsageReply{}, s.h.KeepUsage(ctx, decodeUsage(m))
}

// Peers holds a connection to each peer.
type Peers struct {
	// SourceAddress is the local IP of the connections; empty means any.
	SourceAddress string
	// Timeout bounds one message.
	Timeout time.Duration

	connections keeper.Table[string, *grpc.ClientConn]
}

// reconnect keeps the delay short, since a peer that is back must be heard
// before the evidence of the freshness runs out.
var reconnect = backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second}

func (p *Peers) client(address string) (PeerClient, error) {
	var failure error
	var found *grpc.ClientConn
	p.connections.Update(address, func(c *grpc.ClientConn, ok bool) (*grpc.ClientConn, bool) {
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
			grpc.WithIdleTimeout(idleAfter),
			grpc.WithContextDialer(p.dial))
		found = c
		return c, failure == nil
	})
	if failure != nil {
		return nil, coder.Wrap(coder.NodeNotReached, failure, "malformed peer address %q", address)
	}
	return NewPeerClient(found), nil
}

func (p *Peers) dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{}
	if p.SourceAddress != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(p.SourceAddress)}
	}
	return d.DialContext(ctx, "tcp", address)
}

// Forget closes the connection to a peer that is gone.
func (p *Peers) Forget(address string) {
	if c, ok := p.connections.Get(address); ok {
		p.connections.Delete(address)
		_ = c.Close()
	}
}

// call runs one message to the peer at address within the timeout.
func call[T any](ctx context.Context, p *Peers, address string, send func(context.Context, PeerClient) (T, error)) (T, error) {
	var none T
	c, err := p.client(address)
	if err != nil {
		return none, err
	}
	if p.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, p.Timeout)
		defer cancel()
	}
	answer, err := send(ctx, c)
	if err != nil {
		return none, coder.Wrap(coder.NodeNotReached, err, "peer %s did not answer", address)
	}
	return answer, nil
}

// Pull asks the peer at address for what it knows.
func (p *Peers) Pull(ctx context.Context, address string, pull Pull) ([]State, error) {
	m, err := call(ctx, p, address, func(ctx context.Context, c PeerClient) (*PullReply, error) {
		return c.Pull(ctx, encodePull(pull))
	})
	return decodeStates(m.GetStates()), err
}

// Announce tells the peer at address of accepted changes.
func (p *Peers) Announce(ctx context.Context, address string, a Announcement) (Applied, error) {
	m, err := call(ctx, p, address, func(ctx context.Context, c PeerClient) (*AnnounceReply, error) {
		return c.Announce(ctx, &AnnounceRequest{From: a.From, Changes: encodeChanges(a.Changes), Roster: encodeRoster(a.Roster)})
	})
	return Applied{Version: m.GetApplied(), RosterVersion: m.GetRosterVersion(), Member: m.GetMember(), Settled: m.GetSettled()}, err
}

// Changes asks the peer at address for accepted changes after a version.
func (p *Peers) Changes(ctx context.Context, address string, after uint64, limit int) (Changes, error) {
	m, err := call(ctx, p, address, func(ctx context.Context, c PeerClient) (*ChangesReply, error) {
		return c.Changes(ctx, &ChangesRequest{After: after, Limit: uint32(max(limit, 0))})
	})
	return Changes{Changes: decodeChanges(m.GetChanges()), Head: m.GetHead(), Whole: m.GetWhole()}, err
}

// Roster asks the peer at address for the roster that it uses.
func (p *Peers) Roster(ctx context.Context, address string) (Roster, error) {
	m, err := call(ctx, p, address, func(ctx context.Context, c PeerClient) (*RosterReply, error) {
		return c.Roster(ctx, &RosterRequest{})
	})
	if err != nil || m.GetRoster() == nil {
		return Roster{}, err
	}
	return *decodeRoster(m.GetRoster()), nil
}

// Close closes all connections.
func (p *Peers) Close() {
	var open []*grpc.ClientConn
	p.connections.Each(func(_ string, c *grpc.ClientConn) bool {
		open = append(open, c)
		return true
	})
	for _, c := range open {
		_ = c.Close()
	}
}

// KeepUsage leaves a copy of usage with the peer at address.
func (p *Peers) KeepUsage(ctx context.Context, address string, u UsageCopy) error {
	_, err := call(ctx, p, address, func(ctx context.Context, c PeerClient) (*KeepUsageReply, error) {
		return c.KeepUsage(ctx, encodeUsage(u))
	})
	return err
}
