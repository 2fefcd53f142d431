package assembler

import (
	"context"

	"foxtailflow.example/foxtailflow/internal/base/runner"
	"foxtailflow.example/foxtailflow/internal/request/dispatcher"
	"foxtailflow.example/foxtailflow/internal/request/forwarder"
)

// buildRequests builds what answers requests and counts their usage.
func (n *Node) buildRequests() error {
	n.dispatcher = &dispatcher.Dispatcher{
		Clock:     n.clock,
		Configs:   n.applier,
		Chooser:   n.chooser,
		Endpoints: n.observer,
		Forwarder: forwarder.New(n.clock, n.settings.ConnectWait),
		Queue:     n.queue,
	}
	return nil
}

func (n *Node) requestTasks() []runner.Periodic { return nil }

// stopRequests leaves the usage of this node with others.
func (n *Node) stopRequests(context.Context) {}
