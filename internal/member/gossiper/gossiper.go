// Package gossiper tells which nodes run and spreads what they state.
//
// Once a second a node pulls from a few peers. The request names some nodes
// with what is known of them, the ones heard of longest ago first; the answer
// has the peer's own statement, newer statements of the nodes that were named,
// and a few nodes that have just come, drained or left. Both are bounded, so
// that the cost of a node does not grow with their number. With few nodes each
// pulls from all.
//
// Statements carry ages instead of times. Ages of a pulled statement count from
// the moment before the pull was sent, so that it never seems younger than it
// is. A node that nobody has heard for a while counts as not running.
package gossiper

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"foxtailflow.example/foxtailflow/internal/base/keeper"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/inner/messenger"
)

const (
	// deadAfter is how long a node among few may be silent and still counts as
	// running: five rounds.
	deadAfter = 5 * time.Second
	// silencePerNode is added for each node once they no longer pull from all: a
	// round brings news of about 15 nodes, and three turns of all may pass.
	silencePerNode = 200 * time.Millisecond
	// forgetAfter is how long a silent node stays in the list for operators.
	forgetAfter = 10 * time.Minute
	// leftFor is how long a node that has left is kept, so that an old statement
	// of it does not bring it back.
	leftFor = time.Minute
	// newsFor is how long a change is told without being asked for; in that time
	// it reaches all nodes of the target size with a wide margin.
	newsFor = 8 * time.Second
	// newsLimit bounds the nodes of an answer that were not asked for.
	newsLimit = 4
	// firstLimit bounds the answer to a node that knows nobody yet.
	firstLimit = 64
)

// Transport pulls from peers.
type Transport interface {
	Pull(ctx context.Context, address string, p messenger.Pull) ([]messenger.State, error)
	Forget(address string)
}

// Gossiper knows the other nodes.
type Gossiper struct {
	Clock     timekeeper.Clock
	Log       zerolog.Logger
	Transport Transport
	// Self is this node's identity: identifier, addresses, data centre and
	// incarnation.
	Self messenger.State
	// Fill adds to a statement what other parts of the node state.
	Fill func(messenger.State) messenger.State
	// Seeds are addresses to ask while no node is known.
	Seeds []string

	peers keeper.Table[messenger.Hash, Peer]
	own   keeper.Cell[ownState]
}

var _ Members = (*Gossiper)(nil)

// ownState is what changes of this node's own statements.
type ownState struct {
	heartbeat uint64
	round     uint64
	draining  bool
	left      bool
	// changed is the round in which draining or left last changed.
	changed uint64
}

// state returns a new statement of this node.
func (g *Gossiper) state() messenger.State {
	var own ownState
	g.own.Update(func(o ownState) (ownState, bool) {
		o.heartbeat++
		own = o
		return o, true
	})
	s := g.Self
	s.Hash = messenger.HashOf(s.ID)
	s.Heartbeat, s.Draining, s.Left = own.heartbeat, own.draining, own.left
	if g.Fill != nil {
		s = g.Fill(s)
	}
	s.Work = mostWork(s.Work, g.peers.Len()+1)
	return s
}

// mostWork bounds the client accounts of a statement by the number of nodes.
func mostWork(work []messenger.AccountWork, nodes int) []messenger.AccountWork {
	limit := max(2, 256/nodes)
	if len(work) <= limit {
		return work
	}
	work = slices.Clone(work)
	slices.SortFunc(work, func(a, b messenger.AccountWork) int {
		return cmp.Compare(b.Done+b.Waiting, a.Done+a.Waiting)
	})
	return work[:limit]
}

// Own returns a new statement of this node.
func (g *Gossiper) Own() messenger.State { return g.state() }

// Drain states from now on that this node takes no new requests.
func (g *Gossiper) Drain() {
	g.own.Update(func(o ownState) (ownState, bool) {
		o.draining, o.changed = true, o.round
		return o, true
	})
}

// Leave tells some peers that this node has left.
func (g *Gossiper) Leave(ctx context.Context) {
	g.own.Update(func(o ownState) (ownState, bool) {
		o.draining, o.left, o.changed = true, true, o.round
		return o, true
	})
	g.pullFrom(ctx, g.targets(g.Clock.Now(), g.own.Get().round))
}

// Round pulls once from the peers whose turn it is.
func (g *Gossiper) Round(ctx context.Context) error {
	var round uint64
	g.own.Update(func(o ownState) (ownState, bool) {
		o.round++
		round = o.round
		return o, true
	})
	now := g.Clock.Now()
	g.expire(now)
	g.pullFrom(ctx, g.targets(now, round))
	return ctx.Err()
}

func (g *Gossiper) pullFrom(ctx context.Context, targets []target) {
	var wg conc.WaitGroup
	for _, t := range targets {
		wg.Go(func() { g.pull(ctx, t) })
	}
	wg.Wait()
}

func (g *Gossiper) pull(ctx context.Context, t target) {
	p := messenger.Pull{Known: t.known, Empty: g.peers.Len() == 0}
	if g.introduces(t) {
		own := g.state()
		p.Own = &own
	}
	// The answer is stated after this moment, so its ages count from here.
	sent := g.Clock.Now()
	states, err := g.Transport.Pull(ctx, t.address, p)
	if t.hash != 0 {
		g.peers.Update(t.hash, func(p Peer, ok bool) (Peer, bool) { return p.WithResult(err == nil), ok })
	}
	if err != nil {
		g.Log.Debug().Str("peer", t.address).Err(err).Msg("peer not reached")
		return
	}
	for _, s := range states {
		g.hear(s, sent)
	}
}

const (
	// introduceRounds is how many rounds a node introduces itself after it has
	// started or changed; introduceEvery repeats it for peers that lost it.
	introduceRounds = 10
	introduceEvery  = 16
)

// introduces reports whether a pull carries this node's own statement.
func (g *Gossiper) introduces(t target) bool {
	o := g.own.Get()
	return t.hash == 0 || o.left || o.round-o.changed < introduceRounds || o.round%introduceEvery == 0
}

// hear takes a statement that was received at a time.
func (g *Gossiper) hear(s messenger.State, at time.Time) {
	if s.Hash == 0 || s.Hash == messenger.HashOf(g.Self.ID) {
		return
	}
	g.peers.Update(s.Hash, func(p Peer, ok bool) (Peer, bool) {
		return p.WithState(s, at), ok || s.ID != ""
	})
}

// Introduce notes a node that is known from its row.
func (g *Gossiper) Introduce(s messenger.State) {
	s.Hash, s.Heartbeat = messenger.HashOf(s.ID), 0
	g.hear(s.Undated(), g.Clock.Now())
}

// Answer answers a peer's pull.
func (g *Gossiper) Answer(p messenger.Pull) []messenger.State {
	if p.Own != nil {
		g.hearOwn(*p.Own)
	}
	now := g.Clock.Now()
	asked := make(map[messenger.Hash]messenger.Known, len(p.Known))
	for _, k := range p.Known {
		asked[k.Hash] = k
	}
	brief := func(s messenger.State) messenger.State {
		if k, ok := asked[s.Hash]; ok && k.Incarnation == s.Incarnation {
			return s.WithoutIdentity()
		}
		return s
	}
	states := []messenger.State{brief(g.state())}
	for _, k := range p.Known {
		if peer, ok := g.peers.Get(k.Hash); ok && peer.Heard() && peer.state.Newer(k) {
			states = append(states, brief(peer.At(now)))
		}
	}
	limit, first := newsLimit, p.Empty
	if first {
		limit = firstLimit
	}
	g.peers.Each(func(h messenger.Hash, peer Peer) bool {
		_, named := asked[h]
		if !named && peer.Heard() && (first || now.Sub(peer.changed) < newsFor) && (p.Own == nil || h != p.Own.Hash) {
			states = append(states, peer.At(now))
			limit--
		}
		return limit > 0
	})
	return states
}

// hearOwn takes the introduction of the node that pulls.
//
// It is not known how long the message was on its way, so that nothing dated is
// taken from it, and what was pulled from the node is not replaced by it.
func (g *Gossiper) hearOwn(s messenger.State) {
	known, ok := g.peers.Get(s.Hash)
	if ok && known.Heard() && known.state.Incarnation == s.Incarnation && !s.Left {
		return
	}
	g.hear(s.Undated(), g.Clock.Now())
}

// expire removes nodes that have left or were silent for long.
func (g *Gossiper) expire(now time.Time) {
	for _, p := range g.peers.Values() {
		age := p.At(now).StatedAge
		if p.state.Left && age > leftFor || age > forgetAfter {
			g.peers.Delete(p.state.Hash)
			g.Transport.Forget(p.state.PeersAddress)
		}
	}
}

// Live returns the running nodes with this one, in the order of their
// identifiers.
func (g *Gossiper) Live() []Member {
	self := memberFrom(g.state())
	self.Self = true
	members := []Member{self}
	for _, s := range g.Statements() {
		if g.Running(s) {
			members = append(members, memberFrom(s))
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return members
}

// Statements returns what each node that has not left last stated.
func (g *Gossiper) Statements() []messenger.State {
	now := g.Clock.Now()
	var states []messenger.State
	g.peers.Each(func(_ messenger.Hash, p Peer) bool {
		if p.Heard() && !p.state.Left {
			states = append(states, p.At(now))
		}
		return true
	})
	return states
}

// Running reports whether the node that made the statement counts as running.
func (g *Gossiper) Running(s messenger.State) bool {
	limit := deadAfter
	if n := g.peers.Len(); n > pullAll {
		limit += time.Duration(n) * silencePerNode
	}
	return !s.Left && s.StatedAge < limit
}
