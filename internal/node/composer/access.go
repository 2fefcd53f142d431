package composer

import (
	"foxtailflow.example/foxtailflow/internal/authority/leaser"
	"foxtailflow.example/foxtailflow/internal/fleet/observer"
	"foxtailflow.example/foxtailflow/internal/inner/courier"
	"foxtailflow.example/foxtailflow/internal/member/registrar"
	"foxtailflow.example/foxtailflow/internal/request/enforcer"
	"foxtailflow.example/foxtailflow/internal/store/follower"
)

// The methods in this file give the components of a platform access to a node.

// ConfigRows returns the rows of the configuration.
func (n *Node) ConfigRows() follower.Snapshot { return n.configs.Snapshot() }

// ID returns the identifier of the node.
func (n *Node) ID() string { return n.settings.ID }

// Leaser returns the leaser of this node's duties.
func (n *Node) Leaser() *leaser.Leaser { return n.duties.leaser }

// Observer returns the table of endpoints.
func (n *Node) Observer() *observer.Observer { return n.observer }

// AddUsage adds counts to the meters of the current usage window.
func (n *Node) AddUsage(counts map[courier.Meter]int) {
	window := n.currentWindow()
	for m, c := range counts {
		n.duties.ledger.Count(window, m, c)
	}
}

// OperatorsAddress returns the address of the operators' interface; empty means
// that there is none.
func (n *Node) OperatorsAddress() string {
	if n.operators == nil {
		return ""
	}
	return n.operators.Addr().String()
}

// CallersAddress returns the address of the callers' interface.
func (n *Node) CallersAddress() string { return n.callers.Addr().String() }

// Nodes returns the registered nodes.
func (n *Node) Nodes() []registrar.Node { return n.members.registrar.Nodes() }

// Quotas returns what enforces the quotas of client accounts.
func (n *Node) Quotas() *enforcer.Enforcer { return n.quotas }

// NodeCount returns the number of nodes that may be running, at least 1.
func (n *Node) NodeCount() int { return n.members.collector.NodeCount() }
