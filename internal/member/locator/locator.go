// Package locator selects the node from which a table is followed.
//
// A node follows its tables through the hub of its data centre, which watches the
// store for all nodes there. While the store is unavailable, the other nodes are
// tried in turn: first one of each other data centre, then the rest, or the
// configured seeds while no node is known. Each table has its own Locator, as the
// tables fail at the same moment: with a shared counter they would skip nodes and
// try none of them twice.
package locator

import (
	"slices"
	"sync/atomic"

	"foxtailflow.example/foxtailflow/internal/member/registrar"
)

// Locator selects the node from which one table is followed.
type Locator struct {
	// Self is this node.
	Self registrar.Node
	// Nodes returns the known nodes in the order of their rows.
	Nodes func() []registrar.Node
	// Hub returns the identifier of the hub of this data centre; empty means that
	// there is none.
	Hub func() string
	// SeedAddresses are the addresses to try while no other node is known.
	SeedAddresses []string

	// failures is the number of sources that have failed.
	failures atomic.Uint64
}

// Source returns the address of the node from which to follow the table; empty
// means the store. If unavailable is set, this node cannot reach the store.
func (l *Locator) Source(unavailable bool) string {
	if hub := l.Hub(); hub != "" && hub != l.Self.ID {
		for _, n := range l.Nodes() {
			if n.ID == hub && n.DataCentre == l.Self.DataCentre {
				return n.Address
			}
		}
	}
	addresses := l.others()
	if !unavailable || len(addresses) == 0 {
		return ""
	}
	return addresses[l.failures.Load()%uint64(len(addresses))]
}

// MarkFailed records that a source has failed, so that Source returns another node.
func (l *Locator) MarkFailed(string) { l.failures.Add(1) }

// others returns the addresses of the other nodes. The first node of each other
// data centre comes before the rest, as it is probably the hub there.
func (l *Locator) others() []string {
	seen := map[string]bool{l.Self.DataCentre: true}
	var first, rest []string
	for _, n := range l.Nodes() {
		switch {
		case n.ID == l.Self.ID:
		case !seen[n.DataCentre]:
			seen[n.DataCentre] = true
			first = append(first, n.Address)
		default:
			rest = append(rest, n.Address)
		}
	}
	if addresses := slices.Concat(first, rest); len(addresses) > 0 {
		return addresses
	}
	return slices.DeleteFunc(slices.Clone(l.SeedAddresses), func(a string) bool { return a == l.Self.Address })
}
