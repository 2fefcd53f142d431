package composer

import (
	"foxtailflow.example/foxtailflow/internal/authority/leaser"
	"foxtailflow.example/foxtailflow/internal/fleet/observer"
	"foxtailflow.example/foxtailflow/internal/inner/courier"
	"foxtailflow.example/foxtailflow/internal/member/registrar"
	"foxtailflow.example/foxtailflow/internal/store/follower"
)

// What the parts of a platform may see of a node.

// Rows returns the rows of the configuration.
func (n *Node) Rows() follower.Snapshot { return n.configs.Snapshot() }

// Name returns the identifier of the node.
func (n *Node) Name() string { return n.settings.ID }

// Leases returns the duties of this node.
func (n *Node) Leases() *leaser.Leaser { return n.duties.leaser }

// Observer returns the table of endpoints.
func (n *Node) Observer() *observer.Observer { return n.observer }

// Meter adds to meters of the present window.
func (n *Node) Meter(counts map[courier.Meter]int) {
	window := n.window()
	for m, c := range counts {
		n.duties.ledger.Count(window, m, c)
	}
}

// OperatorsAddress returns the address at which operators are served, empty where
// they are not.
func (n *Node) OperatorsAddress() string {
	if n.operators == nil {
		return ""
	}
	return n.operators.Addr().String()
}

// CallersAddress returns the address at which callers are served.
func (n *Node) CallersAddress() string { return n.callers.Addr().String() }

// Nodes returns the nodes that are registered.
func (n *Node) Nodes() []registrar.Node { return n.members.registrar.Nodes() }

// NodeCount returns the number of nodes that may run.
func (n *Node) NodeCount() int { return n.members.collector.Count() }
