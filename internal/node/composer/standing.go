package composer

import (
	"time"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/inner/courier"
	"foxtailflow.example/foxtailflow/internal/member/registrar"
)

// othersLife is how long what the other nodes have stated counts.
const othersLife = 2 * time.Second

// state returns what this node states beside its work at engines.
func (n *Node) state() courier.Work {
	var w courier.Work
	if n.parts.Accounts != nil {
		w.Accounts = n.parts.Accounts()
	}
	if n.settings.StaleAfter > 0 {
		w.Configs = []courier.ConfigNodes{{Version: n.config.Get().config.Version(), Nodes: 1}}
		if n.configs.Snapshot().Away() {
			w.Away = 1
		}
	}
	return w
}

// Others returns what the other nodes have stated lately.
func (n *Node) Others() courier.Work {
	h := n.members.work.others.Get()
	if n.clock.Now().Sub(h.at) > othersLife {
		return courier.Work{}
	}
	return h.work
}

// Nodes returns the nodes that are registered.
func (n *Node) Nodes() []registrar.Node { return n.members.registrar.Nodes() }

// Count returns the number of nodes that may run.
func (n *Node) Count() int { return n.members.collector.Count() }

// Away reports whether the store does not answer this node.
func (n *Node) Away() bool { return n.configs.Snapshot().Away() }

// Current fails with ViewNotCurrent if the configuration may be outdated: a key
// that was withdrawn elsewhere must not be served here.
//
// A node that cannot tell, from the store or through another node, serves on only
// if the store is away for most nodes: then there are hardly any changes. One
// that is cut off from all others finds no such majority.
func (n *Node) Current() error {
	if n.settings.StaleAfter == 0 {
		return nil
	}
	s := n.configs.Snapshot()
	if n.clock.Now().Sub(n.configs.Confirmed()) <= n.settings.StaleAfter {
		return nil
	}
	if nodes := len(n.Nodes()); s.Away() && 2*(n.Others().Away+1) > nodes {
		return nil
	}
	return coder.Refuse(coder.ViewNotCurrent, "the node cannot tell whether its configuration is current").WithRetryAfter(time.Second)
}

// InForce reports whether a version of the configuration, or a newer one, is in
// force on every registered node; most says that it is on more than half of them.
func (n *Node) InForce(version uint64) (all, most bool) {
	have := 0
	for _, c := range courier.Sum(n.Others(), n.state()).Configs {
		if c.Version >= version {
			have += c.Nodes
		}
	}
	nodes := len(n.Nodes())
	return have >= nodes, 2*have > nodes
}
