package messenger

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/inner/dialer"
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

// NewServer returns a gRPC server that answers peers through h.
func NewServer(h Handler) *grpc.Server {
	s := dialer.Server()
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
	dialer.Connections
	// Timeout bounds one message.
	Timeout time.Duration
}

// call runs one message to the peer at address within the timeout.
func call[T any](ctx context.Context, p *Peers, address string, send func(context.Context, PeerClient) (T, error)) (T, error) {
	var none T
	c, err := p.To(address)
	if err != nil {
		return none, err
	}
	if p.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, p.Timeout)
		defer cancel()
	}
	answer, err := send(ctx, NewPeerClient(c))
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

// KeepUsage leaves a copy of usage with the peer at address.
func (p *Peers) KeepUsage(ctx context.Context, address string, u UsageCopy) error {
	_, err := call(ctx, p, address, func(ctx context.Context, c PeerClient) (*KeepUsageReply, error) {
		return c.KeepUsage(ctx, encodeUsage(u))
	})
	return err
}
