package assembler

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"google.golang.org/grpc"

	"foxtailflow.example/foxtailflow/internal/base/acceptor"
	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/linker"
	"foxtailflow.example/foxtailflow/internal/base/runner"
	"foxtailflow.example/foxtailflow/internal/inner/dialer"
	"foxtailflow.example/foxtailflow/internal/inner/messenger"
	"foxtailflow.example/foxtailflow/internal/member/gossiper"
	"foxtailflow.example/foxtailflow/internal/operator/commander"
)

const (
	headEvery   = time.Second
	gossipEvery = time.Second
	rosterEvery = time.Second
	// rowRetry is short, because nodes that start find each other by their rows.
	rowRetry = 2 * time.Second
	// peerWait bounds one message between nodes. A peer that does not answer
	// must not delay a round so long that the evidence of the others runs out.
	peerWait = 700 * time.Millisecond
)

// membership is what this node has to do with the others.
type membership struct {
	listener net.Listener
	server   *grpc.Server
	peers    *messenger.Peers
	gossiper *gossiper.Gossiper
	rows     *gossiper.Rows

	// work tells the work of the client accounts here; nil means none.
	work func() []messenger.AccountWork
	// keepUsage keeps a copy of a peer's usage; nil refuses it.
	keepUsage func(context.Context, messenger.UsageCopy) error
	// duties tells which duties this node holds; nil means none.
	duties func() []string
}

// buildMembership builds what nodes tell each other, and the configuration.
func (n *Node) buildMembership() error {
	s, m := n.settings, &n.membership
	var err error
	if m.listener, err = acceptor.Listen(s.PeersListen); err != nil {
		return err
	}
	if s.PeersAdvertise == "" || s.PeersAdvertise == s.PeersListen {
		s.PeersAdvertise = m.listener.Addr().String()
	}
	started := n.clock.Now()
	self := messenger.State{
		ID:           s.ID,
		PeersAddress: s.PeersAdvertise,
		DataCentre:   s.DataCentre,
		Incarnation:  uint64(started.UnixMilli()),
	}
	m.peers = &messenger.Peers{
		Connections: dialer.Connections{Dial: linker.Dialer{Source: net.ParseIP(s.SourceAddress)}.Dial},
		Timeout:     peerWait,
	}
	m.gossiper = &gossiper.Gossiper{
		Clock:     n.clock,
		Log:       n.log,
		Transport: m.peers,
		Self:      self,
		Fill:      n.fillState,
		Seeds:     s.Peers,
	}
	m.rows = &gossiper.Rows{Clock: n.clock, Log: n.log, Table: n.platform, Gossiper: m.gossiper, Roster: n.applier}
	m.server = messenger.NewServer(peerHandler{n: n})
	n.applier.Log = n.log
	n.applier.Objects = n.platform.Store()
	n.applier.Self, n.applier.Started = self.Member(), started
	n.applier.Peers, n.applier.Transport = m.gossiper, m.peers
	n.applier.Reader = m.gossiper.Reader
	return nil
}

// transportFrom returns an HTTP transport whose connections have a local IP;
// empty means any.
func transportFrom(source string) *http.Transport {
	if source == "" {
		return &http.Transport{}
	}
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}}
	return &http.Transport{DialContext: d.DialContext}
}

// fillState adds to a statement of this node what its other parts state.
func (n *Node) fillState(s messenger.State) messenger.State {
	if n.membership.work != nil {
		s.Work = n.membership.work()
	}
	return n.applier.State(s)
}

func (n *Node) membershipTasks() []runner.Periodic {
	rows := n.membership.rows
	return []runner.Periodic{
		{Name: "configuration", Every: headEvery, Jitter: jitter, Task: n.applier.Follow},
		{Name: "gossip", Every: gossipEvery, Jitter: jitter, Task: n.gossip},
		{Name: "roster", Every: rosterEvery, Jitter: jitter, Task: n.applier.JoinOnceLoaded},
		{Name: "node-row", Every: gossiper.RefreshEvery, Retry: rowRetry, Jitter: jitter, Task: rows.Refresh},
		{Name: "node-rows", Every: gossipEvery, Jitter: jitter, Task: rows.Scan},
	}
}

// gossip pulls from peers and takes from their statements what is missing here.
func (n *Node) gossip(ctx context.Context) error {
	return errors.Join(n.membership.gossiper.Round(ctx), n.applier.Learn(ctx))
}

// servePeers answers peers until stopMembership.
func (n *Node) servePeers() {
	if err := n.membership.server.Serve(n.membership.listener); err != nil {
		n.log.Error().Err(err).Msg("the peers' interface failed")
	}
}

// stopMembership takes this node out of the membership.
//
// What cannot be done in time is done by the others once the row grows old.
func (n *Node) stopMembership(ctx context.Context) {
	m := &n.membership
	for _, leave := range []func(context.Context) error{n.applier.Leave, m.rows.Leave} {
		if err := leave(ctx); err != nil {
			n.log.Warn().Err(err).Msg("membership not ended in good order")
		}
	}
	m.gossiper.Leave(ctx)
	m.server.Stop()
	m.peers.Close()
}

// commander returns the operators' interface.
func (n *Node) commander() commander.Commander {
	duties := n.membership.duties
	if duties == nil {
		duties = func() []string { return nil }
	}
	return commander.Commander{
		Log:            n.log,
		Applier:        n.applier,
		CredentialHash: n.settings.OperatorHash,
		Clock:          n.clock,
		Nodes:          n.membership.gossiper,
		Duties:         duties,
	}
}

// peerHandler answers the messages of peers by the parts of the node.
type peerHandler struct{ n *Node }

// Pull answers a pull.
func (h peerHandler) Pull(_ context.Context, p messenger.Pull) ([]messenger.State, error) {
	return h.n.membership.gossiper.Answer(p), nil
}

// Announce applies accepted changes and the roster.
func (h peerHandler) Announce(ctx context.Context, a messenger.Announcement) (messenger.Applied, error) {
	return h.n.applier.Announce(ctx, a)
}

// Changes returns accepted changes.
func (h peerHandler) Changes(ctx context.Context, after uint64, limit int) (messenger.Changes, error) {
	return h.n.applier.Changes(ctx, after, limit)
}

// Roster returns the roster in use.
func (h peerHandler) Roster(context.Context) (messenger.Roster, error) {
	return h.n.applier.RosterMessage(), nil
}

// KeepUsage keeps a copy of a peer's usage.
func (h peerHandler) KeepUsage(ctx context.Context, u messenger.UsageCopy) error {
	if h.n.membership.keepUsage == nil {
		return coder.Refuse(coder.ShuttingDown, "the node keeps no copies of usage")
	}
	return h.n.membership.keepUsage(ctx, u)
}
