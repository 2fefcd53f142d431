// Package messenger is the protocol between the nodes.
//
// Nodes tell each other who is alive, which configuration each has applied,
// how old their knowledge is, and how much work each client account has; they
// push accepted changes, and leave copies of their usage with a peer. Ages are
// sent in place of times, so that clocks need not agree. The types here are
// plain values; the generated wire types do not leave this package.
package messenger

import (
	"time"

	"foxtailflow.example/foxtailflow/internal/platform/transactor"
)

// State is what a node says of itself, or passes on of another.
type State struct {
	ID               string
	PeersAddress     string
	OperatorsAddress string
	DataCentre       string
	// Incarnation is larger after each start of the node, Heartbeat after each
	// statement of one incarnation.
	Incarnation   uint64
	Heartbeat     uint64
	ConfigVersion uint64
	// EvidenceAge is how long ago the version was known to be the newest.
	EvidenceAge time.Duration
	HasEvidence bool
	// StoreUnreachable says that the node's last read of the store failed,
	// StoreUnreachableAge how long ago.
	StoreUnreachable    bool
	StoreUnreachableAge time.Duration
	RosterVersion       uint64
	Draining            bool
	Work                []AccountWork
	// StatedAge is how long ago the node itself stated this.
	StatedAge time.Duration
}

// WithAge returns a copy that is older by d.
func (s State) WithAge(d time.Duration) State {
	s.EvidenceAge += d
	s.StoreUnreachableAge += d
	s.StatedAge += d
	return s
}

// Newer reports whether s was stated after what is known.
func (s State) Newer(k Known) bool {
	if s.Incarnation != k.Incarnation {
		return s.Incarnation > k.Incarnation
	}
	return s.Heartbeat > k.Heartbeat
}

// AccountWork is the work of one client account on a node, in tokens.
type AccountWork struct {
	Account string
	// Done is the work of the last second.
	Done    uint64
	Waiting uint64
	// Running is the number of requests in progress.
	Running uint32
}

// Known is the newest statement of a node that another has.
type Known struct {
	ID          string
	Incarnation uint64
	Heartbeat   uint64
}

// Pull asks for what a peer knows.
type Pull struct {
	From  string
	Known []Known
	Own   State
}

// Change is an accepted change of the configuration.
type Change struct {
	Version uint64
	File    string
	Data    []byte
	Removed bool
}

// Applied is the answer to an announcement.
type Applied struct {
	Version       uint64
	RosterVersion uint64
}

// Changes is the answer to a question for changes.
type Changes struct {
	Changes []Change
	Head    uint64
}

// UsageCopy is a copy of usage that a node leaves with a peer.
type UsageCopy struct {
	Node     string
	Sequence uint64
	Figures  []transactor.Figures
	// Sealed is the last sequence that the node has sealed.
	Sealed uint64
}
