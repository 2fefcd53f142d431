package assembler

import (
	"time"

	"foxtailflow.example/foxtailflow/internal/base/runner"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/decision/indexer"
	"foxtailflow.example/foxtailflow/internal/request/chooser"
	"foxtailflow.example/foxtailflow/internal/request/dispatcher"
	"foxtailflow.example/foxtailflow/internal/request/queuer"
)

const (
	listEvery = time.Second
	// reportLag is the age that load reports are taken to have. Engines do not
	// say how old a report is; what was sent within this time is added to it.
	reportLag = 2 * time.Second
)

// buildDecisions builds what decides on endpoints and the order of requests.
func (n *Node) buildDecisions() error {
	index := &indexer.Index{}
	n.observer.OnGone = index.Forget
	n.observer.ReportLag = reportLag
	n.chooser = chooser.Chooser{Clock: n.clock, Log: n.log, DataCentre: n.settings.DataCentre, Observer: n.observer, Index: index, Limits: n.limits}
	n.queue = queuer.New[*dispatcher.Job](definer.DefaultLimits().MaxQueue)
	return nil
}

// limits returns the limits in force, or the default before the first.
func (n *Node) limits() definer.Limits {
	cfg, err := n.applier.Config()
	if err != nil {
		return definer.DefaultLimits()
	}
	return cfg.Limits()
}

func (n *Node) decisionTasks() []runner.Periodic {
	return []runner.Periodic{
		{Name: "vm-list", Every: listEvery, Jitter: jitter, Task: n.observer.RefreshList},
		{Name: "load-reports", Every: n.settings.LoadEvery, Jitter: jitter, Task: n.observer.RefreshLoad},
	}
}
