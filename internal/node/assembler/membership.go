package assembler

import (
	"context"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/runner"
)

const headEvery = time.Second

// buildMembership builds what nodes tell each other, and the configuration.
func (n *Node) buildMembership() error { return nil }

func (n *Node) membershipTasks() []runner.Periodic {
	return []runner.Periodic{
		{Name: "configuration", Every: headEvery, Jitter: jitter, Task: n.applier.Refresh},
	}
}

// stopMembership takes this node out of the membership.
func (n *Node) stopMembership(context.Context) {}
