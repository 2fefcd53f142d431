package gossiper

import (
	"time"

	"foxtailflow.example/foxtailflow/internal/inner/messenger"
)

// Peer is what a node knows of another.
//
// It is an immutable value; the With methods return changed copies.
type Peer struct {
	// state has ages as at base, on this node's clock.
	state messenger.State
	base  time.Time
	// changed is when the node was first heard of, or came, drained or left.
	changed time.Time
	// failures is the number of pulls in a row that failed.
	failures int
}

// At returns what the peer last stated, with ages as at now.
func (p Peer) At(now time.Time) messenger.State { return p.state.WithAge(now.Sub(p.base)) }

// Heard reports whether the peer has stated anything; one that has not is
// known from its row only.
func (p Peer) Heard() bool { return p.state.Heartbeat > 0 }

// WithState returns a copy with a newer statement that was received at a time.
//
// A statement that does not follow on what is known leaves the peer as it is.
func (p Peer) WithState(s messenger.State, base time.Time) Peer {
	if p.base.IsZero() {
		return Peer{state: s, base: base, changed: base}
	}
	if !s.Newer(p.state.Known()) || s.ID == "" && s.Incarnation != p.state.Incarnation {
		return p
	}
	if s.ID == "" {
		s = s.WithIdentityOf(p.state)
	}
	if s.Incarnation != p.state.Incarnation || s.Draining != p.state.Draining || s.Left != p.state.Left || !p.Heard() {
		p.changed = base
	}
	p.state, p.base = s, base
	return p
}

// WithResult returns a copy that counts how a pull from the peer ended.
func (p Peer) WithResult(ok bool) Peer {
	p.failures++
	if ok {
		p.failures = 0
	}
	return p
}

// Member is a running node, as other parts see it.
type Member struct {
	ID               string
	PeersAddress     string
	OperatorsAddress string
	DataCentre       string
	Draining         bool
	// Work is the work of the client accounts on the node; of a node among many
	// it has only the accounts with the most.
	Work []messenger.AccountWork
	// Age is how long ago the node stated this.
	Age time.Duration
	// Self marks the node that answers.
	Self bool
}

// Members tells which nodes run.
type Members interface {
	// Live returns the running nodes with this one, in the order of their
	// identifiers.
	Live() []Member
}

func memberFrom(s messenger.State) Member {
	return Member{
		ID:               s.ID,
		PeersAddress:     s.PeersAddress,
		OperatorsAddress: s.OperatorsAddress,
		DataCentre:       s.DataCentre,
		Draining:         s.Draining,
		Work:             s.Work,
		Age:              s.StatedAge,
	}
}
