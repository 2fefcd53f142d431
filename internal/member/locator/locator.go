// Package locator tells from which node a table can be taken.
//
// A node takes its tables from the hub of its data centre, which watches the
// store for all nodes there. While the store does not answer, any other node may
// be asked, in turn: first one of each other data centre, then the rest, and the
// seeds of the settings while no node is known. Each table has a Locator of its
// own, as the tables fail at the same moment: with a common turn they would skip
// nodes and ask none of them twice.
package locator

import (
	"slices"
	"sync/atomic"

	"foxtailflow.example/foxtailflow/internal/member/registrar"
)

// Locator returns the address of the node to take a table from.
type Locator struct {
	// Self is this node.
	Self registrar.Node
	// Nodes returns the known nodes in their order.
	Nodes func() []registrar.Node
	// Hub returns the identifier of the hub of this data centre; empty means that
	// there is none.
	Hub func() string
	// Seeds are the addresses to ask while no other node is known.
	Seeds []string

	// turn counts the sources that have failed.
	turn atomic.Uint64
}

// Source returns the address of the node to take the table from; empty means the
// store. With away set the store does not answer this node.
func (l *Locator) Source(away bool) string {
	if hub := l.Hub(); hub != "" && hub != l.Self.ID {
		for _, n := range l.Nodes() {
			if n.ID == hub && n.DataCentre == l.Self.DataCentre {
				return n.Address
			}
		}
	}
	addresses := l.others()
	if !away || len(addresses) == 0 {
		return ""
	}
	return addresses[l.turn.Load()%uint64(len(addresses))]
}

// Failed has another node returned next.
func (l *Locator) Failed(string) { l.turn.Add(1) }

// others returns the addresses of the other nodes, the first of each other data
// centre before the rest, as that is probably its hub.
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
	return slices.DeleteFunc(slices.Clone(l.Seeds), func(a string) bool { return a == l.Self.Address })
}
