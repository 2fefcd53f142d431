// Package messenger is the protocol between the nodes.
//
// Nodes tell each other who is alive, which configuration each has applied,
// how old their knowledge is, and how much work each client account has; they
// push accepted changes, and leave copies of their usage with a peer. Ages are
// sent in place of times, so that clocks need not agree. The types here are
// plain values; the generated wire types do not leave this package.
package messenger

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"foxtailflow.example/foxtailflow/internal/usage/counter"
)

// Hash is the short name of a node in messages.
type Hash uint64

// HashOf returns the short name of the node with the given identifier.
func HashOf(id string) Hash { return Hash(xxhash.Sum64String(id)) }

// State is what a node says of itself, or passes on of another.
type State struct {
	// ID is empty in a state that names a known node by its hash.
	ID               string
	Hash             Hash
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
	// Left says that the node has left in good order.
	Left bool
	Work []AccountWork
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

// WithoutIdentity returns a copy that names the node by its hash only.
func (s State) WithoutIdentity() State {
	s.ID, s.PeersAddress, s.OperatorsAddress, s.DataCentre = "", "", "", ""
	return s
}

// WithIdentityOf returns a copy with the identifier and addresses of known.
func (s State) WithIdentityOf(known State) State {
	s.ID, s.PeersAddress, s.OperatorsAddress, s.DataCentre = known.ID, known.PeersAddress, known.OperatorsAddress, known.DataCentre
	return s
}

// Undated returns a copy without what depends on when it was stated; the
// receiver of a message cannot tell how long the message was on its way.
func (s State) Undated() State {
	s.HasEvidence, s.StoreUnreachable = false, false
	return s
}

// Member returns the name of the node in the roster. A node that has started
// again is another member: it has forgotten what it stated before.
func (s State) Member() string {
	return s.ID + "@" + strconv.FormatUint(s.Incarnation, 10)
}

// Known returns what is known of the node by this state.
func (s State) Known() Known {
	return Known{Hash: s.Hash, Incarnation: s.Incarnation, Heartbeat: s.Heartbeat}
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
	Hash        Hash
	Incarnation uint64
	Heartbeat   uint64
}

// Pull asks for what a peer knows.
type Pull struct {
	// Known are the nodes that are asked for.
	Known []Known
	// Own introduces the asking node; it is nil where the peer knows it.
	Own *State
	// Empty says that the asking node knows no node at all.
	Empty bool
}

// Change is an accepted change of the configuration.
type Change struct {
	Version uint64
	File    string
	Data    []byte
	Removed bool
	// Proposal is set by the node that proposed the change.
	Proposal string
}

// Roster is the list of the nodes that count for a majority.
type Roster struct {
	Version uint64
	// Floor is the version of the configuration when the roster was changed.
	Floor   uint64
	Members []string
	// Added and Removed name the member by which the roster differs from the
	// one before; one of them is empty.
	Added   string
	Removed string
	// Forgotten says that the removed member does not run any more, on an
	// operator's word.
	Forgotten bool
}

// Announcement tells a peer of accepted changes, and of the roster if it is set.
type Announcement struct {
	From    string
	Changes []Change
	Roster  *Roster
}

// Applied is the answer to an announcement.
type Applied struct {
	Version       uint64
	RosterVersion uint64
	// Member is the name of the peer in the roster.
	Member string
	// Settled says that the peer runs for so long that no statement from before
	// its start counts any more.
	Settled bool
}

// Changes is the answer to a question for changes.
type Changes struct {
	Changes []Change
	// Head is the version that the peer has applied.
	Head uint64
	// Whole says that the changes are the whole folder at that version.
	Whole bool
}

// UsageCopy is a copy of usage that a node leaves with a peer.
type UsageCopy struct {
	Node     string
	Sequence uint64
	Figures  []counter.Figures
	// Sealed is the last sequence that the node has sealed.
	Sealed uint64
}
