package gossiper

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"foxtailflow.example/foxtailflow/internal/inner/messenger"
)

const (
	// fanOut is how many peers a node pulls from in a round, and pullAll up to
	// how many it pulls from each.
	fanOut  = 3
	pullAll = 8
	// neighbours bounds the peers that a node among many pulls from, and with
	// them its connections. The nodes chosen by hash form a random graph.
	neighbours = 16
	// window is how many nodes a pull asks for besides the peer itself.
	window = 6
	// fresh is the age up to which a statement is not asked for again.
	fresh = 1500 * time.Millisecond
	// doubtAfter is how many pulls in a row must fail before a peer is asked less.
	doubtAfter = 2
	// retryEvery is in how many rounds a silent or failing node is tried once.
	retryEvery = 4
	// readersPerDataCentre is how many nodes of a data centre read the head in
	// every round once there are more nodes than readAll.
	readersPerDataCentre = 2
	readAll              = 9
)

// target is a peer to pull from and what to ask it for.
type target struct {
	hash    messenger.Hash
	address string
	known   []messenger.Known
}

// targets chooses the peers of a round.
func (g *Gossiper) targets(now time.Time, round uint64) []target {
	var good, doubtful []messenger.State
	for _, p := range g.peers.Values() {
		switch s := p.At(now); {
		case s.Left:
		case p.Heard() && g.Running(s) && p.failures < doubtAfter:
			good = append(good, s)
		case (round+uint64(s.Hash))%retryEvery == 0 || !p.Heard() && p.failures < doubtAfter:
			doubtful = append(doubtful, s)
		}
	}
	if len(good) == 0 && len(doubtful) == 0 {
		return g.seedTargets()
	}
	chosen := g.choose(good, round)
	shuffle(doubtful)
	chosen = append(chosen, doubtful[:min(fanOut, len(doubtful))]...)
	targets := make([]target, 0, len(chosen))
	for _, s := range chosen {
		targets = append(targets, target{hash: s.Hash, address: s.PeersAddress, known: []messenger.Known{s.Known()}})
	}
	g.spread(targets, slices.Concat(good, doubtful), chosen)
	return targets
}

func (g *Gossiper) seedTargets() []target {
	var targets []target
	for _, address := range g.Seeds {
		if address != g.Self.PeersAddress {
			targets = append(targets, target{address: address})
		}
	}
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	return targets[:min(fanOut, len(targets))]
}

// choose returns all of a few peers, or fanOut of many: one that reads the head
// for this data centre, and others among the neighbours.
func (g *Gossiper) choose(good []messenger.State, round uint64) []messenger.State {
	if len(good) <= pullAll {
		return good
	}
	readers := readersOf(good, g.Self.DataCentre)
	slices.SortFunc(good, func(a, b messenger.State) int { return cmp.Compare(g.distance(a), g.distance(b)) })
	near := slices.Clone(good[:min(neighbours, len(good))])
	shuffle(near)
	var chosen []messenger.State
	if len(readers) > 0 {
		own := uint64(messenger.HashOf(g.Self.ID))
		chosen = append(chosen, readers[(own+round)%uint64(len(readers))])
	}
	for _, s := range near {
		if len(chosen) < fanOut && !slices.ContainsFunc(chosen, func(c messenger.State) bool { return c.Hash == s.Hash }) {
			chosen = append(chosen, s)
		}
	}
	return chosen
}

// distance orders the other nodes in a way that differs from node to node.
func (g *Gossiper) distance(s messenger.State) uint64 {
	return xxhash.Sum64String(g.Self.ID + "|" + s.ID)
}

// spread shares out the nodes heard of longest ago among the targets.
func (g *Gossiper) spread(targets []target, all, chosen []messenger.State) {
	if len(targets) == 0 {
		return
	}
	old := slices.DeleteFunc(all, func(s messenger.State) bool {
		return s.StatedAge < fresh || slices.ContainsFunc(chosen, func(c messenger.State) bool { return c.Hash == s.Hash })
	})
	slices.SortFunc(old, func(a, b messenger.State) int { return cmp.Compare(b.StatedAge, a.StatedAge) })
	for i, s := range old[:min(len(old), window*len(targets))] {
		t := &targets[i%len(targets)]
		t.known = append(t.known, s.Known())
	}
}

func shuffle(states []messenger.State) {
	rand.Shuffle(len(states), func(i, j int) { states[i], states[j] = states[j], states[i] })
}

// readersOf returns the nodes that read the head for a data centre.
func readersOf(states []messenger.State, dataCentre string) []messenger.State {
	var here []messenger.State
	for _, s := range states {
		if s.DataCentre == dataCentre && !s.Draining {
			here = append(here, s)
		}
	}
	slices.SortFunc(here, func(a, b messenger.State) int { return cmp.Compare(a.Hash, b.Hash) })
	return here[:min(readersPerDataCentre, len(here))]
}

// Reader reports whether this node reads the head in every round.
func (g *Gossiper) Reader() bool {
	self := g.Self
	self.Hash = messenger.HashOf(self.ID)
	running := []messenger.State{self}
	for _, s := range g.Statements() {
		if g.Running(s) {
			running = append(running, s)
		}
	}
	if len(running) <= readAll {
		return true
	}
	for _, s := range readersOf(running, self.DataCentre) {
		if s.Hash == self.Hash {
			return true
		}
	}
	return false
}
