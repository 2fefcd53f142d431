package composer

import (
	"math/rand/v2"

	"foxtailflow.example/foxtailflow/internal/request/enforcer"
)

// buildQuotas builds what enforces the quotas of client accounts.
func (n *Node) buildQuotas() {
	n.quotas = &enforcer.Enforcer{
		Clock: n.clock, Log: n.log, Config: n.Config, StartedAt: n.startedAt, Random: rand.Float64,
		Nodes: func() (reached, rows int) { return n.members.collector.ReachedNodes(), len(n.Nodes()) },
	}
}
