package assembler

import (
	"time"

	"foxtailflow.example/foxtailflow/internal/base/runner"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/request/chooser"
	"foxtailflow.example/foxtailflow/internal/request/dispatcher"
	"foxtailflow.example/foxtailflow/internal/request/queuer"
)

const listEvery = time.Second

// buildDecisions builds what decides on endpoints and the order of requests.
func (n *Node) buildDecisions() error {
	n.chooser = chooser.Chooser{Clock: n.clock, Log: n.log, DataCentre: n.settings.DataCentre, Observer: n.observer}
	n.queue = queuer.New[*dispatcher.Job](definer.DefaultLimits().MaxQueue)
	return nil
}

func (n *Node) decisionTasks() []runner.Periodic {
	return []runner.Periodic{
		{Name: "vm-list", Every: listEvery, Jitter: jitter, Task: n.observer.RefreshList},
		{Name: "load-reports", Every: n.settings.LoadEvery, Jitter: jitter, Task: n.observer.RefreshLoad},
	}
}
