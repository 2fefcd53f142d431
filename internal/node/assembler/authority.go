package assembler

import (
	"context"

	"foxtailflow.example/foxtailflow/internal/base/runner"
)

// buildAuthority builds the duties of this node and what it orders.
func (n *Node) buildAuthority() error { return nil }

func (n *Node) authorityTasks() []runner.Periodic { return nil }

// stopAuthority releases the leases of this node.
func (n *Node) stopAuthority(context.Context) {}
