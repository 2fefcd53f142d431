package sealer

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/keeper"
	"foxtailflow.example/foxtailflow/internal/inner/messenger"
	"foxtailflow.example/foxtailflow/internal/usage/counter"
)

// Peer is a live node at which a copy can be left.
type Peer struct {
	ID      string
	Address string
}

// Sender leaves a copy of usage with the peer at an address.
type Sender interface {
	// KeepUsage returns once the peer has the copy.
	KeepUsage(ctx context.Context, address string, u messenger.UsageCopy) error
}

// Copies leaves the pieces of this node with a peer, and keeps those of others.
type Copies struct {
	Sealer *Sealer
	// Node names this start of the node; a later start counts from 1 again.
	Node    string
	Counter *counter.Counter
	Sender  Sender
	// Live returns the live peers.
	Live func() []Peer
	// kept are the copies of other nodes' pieces.
	kept keeper.Table[copyKey, keptPiece]
	// gaps are the nodes of which this node has pieces but not the next one.
	gaps keeper.Table[string, gap]
	// sealed is the last sequence number that this node knows to be sealed.
	sealed keeper.Cell[uint64]
}

type copyKey struct {
	node     string
	sequence uint64
}

// gap says after which number a piece is missing, and since when this node
// knows it from the store.
type gap struct {
	sealed uint64
	since  time.Time
}

type keptPiece struct {
	piece counter.Piece
	since time.Time
}

const (
	// orphanAfter is the age at which a copy is sealed by the peer. A node that
	// lives and reaches the store seals within 10 s.
	orphanAfter = 15 * time.Second
	// gapAfter is how long a gap is waited for while the store can be reached:
	// another peer that has the missing pieces seals them within it.
	gapAfter = time.Minute
	// failuresAtOnce ends a pass: then the store is down.
	failuresAtOnce = 3
	// maxKept bounds the copies of other nodes.
	maxKept = 20_000
	// peersTried bounds the peers tried for one piece in one pass.
	peersTried = 3
)

// Send cuts a piece and leaves the pieces that no live peer has with one.
func (c *Copies) Send(ctx context.Context) error {
	c.Counter.Cut()
	live := c.ranked()
	peers := live[:min(len(live), peersTried)]
	for _, p := range c.Counter.Pieces() {
		if slices.ContainsFunc(live, func(peer Peer) bool { return peer.ID == p.Keeper }) {
			continue
		}
		u := messenger.UsageCopy{Node: c.Node, Sequence: p.Sequence, Figures: p.Figures, Sealed: c.sealed.Get()}
		var err error
		for len(peers) > 0 {
			if err = c.Sender.KeepUsage(ctx, peers[0].Address, u); err == nil {
				break
			}
			peers = peers[1:]
		}
		if len(peers) == 0 {
			return err
		}
		c.Counter.Copied(p.Sequence, peers[0].ID)
	}
	return nil
}

// ranked orders the peers by a hash of the pair, so that a node keeps to one
// peer as long as that lives and the copies spread over all.
func (c *Copies) ranked() []Peer {
	if c.Live == nil {
		return nil
	}
	peers := slices.Clone(c.Live())
	slices.SortFunc(peers, func(a, b Peer) int {
		return cmp.Compare(xxhash.Sum64String(c.Node+"/"+a.ID), xxhash.Sum64String(c.Node+"/"+b.ID))
	})
	return peers
}

// SealOwn seals the pieces of this node.
func (c *Copies) SealOwn(ctx context.Context) error {
	c.Counter.Cut()
	// The node knows all its pieces, so those before the first are sealed.
	sealed, err := c.Sealer.Seal(ctx, c.Node, c.Counter.Pieces(), true)
	if err != nil {
		return err
	}
	c.Counter.Sealed(sealed)
	c.sealed.Update(func(uint64) (uint64, bool) { return sealed, true })
	return nil
}

// Keep keeps a copy of a piece of another node.
func (c *Copies) Keep(u messenger.UsageCopy) error {
	if c.kept.Len() >= maxKept {
		return coder.Refuse(coder.QueueFull, "too many copies of usage are kept")
	}
	now := c.Sealer.Clock.Now()
	c.kept.Put(copyKey{node: u.Node, sequence: u.Sequence}, keptPiece{
		piece: counter.Piece{Sequence: u.Sequence, Figures: u.Figures},
		since: now,
	})
	c.drop(u.Node, u.Sealed)
	return nil
}

func (c *Copies) drop(node string, upTo uint64) {
	for k := range c.byNode()[node] {
		if k.sequence <= upTo {
			c.kept.Delete(k)
		}
	}
}

func (c *Copies) byNode() map[string]map[copyKey]keptPiece {
	nodes := make(map[string]map[copyKey]keptPiece)
	c.kept.Each(func(k copyKey, p keptPiece) bool {
		if nodes[k.node] == nil {
			nodes[k.node] = make(map[copyKey]keptPiece)
		}
		nodes[k.node][k] = p
		return true
	})
	return nodes
}

// SealOrphans seals copies that their node has not sealed in time.
//
// Whether that node is dead, cut off or only late does not matter: the piece
// is the same, and the row that is checked lets it be sealed once.
func (c *Copies) SealOrphans(ctx context.Context) error {
	var failure error
	failures := 0
	for node, copies := range c.byNode() {
		pieces := orphans(copies, c.Sealer.Clock.Now())
		if len(pieces) == 0 {
			continue
		}
		// One commit that fails does not hold up the other nodes' pieces.
		if err := c.sealOrphan(ctx, node, pieces); err != nil {
			failure = err
			failures++
		}
		if failures >= failuresAtOnce {
			break
		}
	}
	return failure
}

// orphans returns the pieces of a node in order, once the oldest of them should
// have been sealed.
func orphans(copies map[copyKey]keptPiece, now time.Time) []counter.Piece {
	pieces := make([]counter.Piece, 0, len(copies))
	due := false
	for _, k := range copies {
		pieces = append(pieces, k.piece)
		due = due || now.Sub(k.since) >= orphanAfter
	}
	if !due {
		return nil
	}
	slices.SortFunc(pieces, func(a, b counter.Piece) int { return cmp.Compare(a.Sequence, b.Sequence) })
	return pieces
}

func (c *Copies) sealOrphan(ctx context.Context, node string, pieces []counter.Piece) error {
	// The row of another node is read anew: its node raises it, too.
	c.Sealer.Forget(node)
	g, known := c.gaps.Get(node)
	now := c.Sealer.Clock.Now()
	sealed, err := c.Sealer.Seal(ctx, node, pieces, known && now.Sub(g.since) > gapAfter)
	if err != nil {
		return err
	}
	c.drop(node, sealed)
	c.gaps.Update(node, func(g gap, ok bool) (gap, bool) {
		if !ok || g.sealed != sealed {
			g = gap{sealed: sealed, since: now}
		}
		return g, sealed < pieces[len(pieces)-1].Sequence
	})
	return nil
}
