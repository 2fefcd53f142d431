package assembler

import (
	"context"
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
	// balanceEvery is as often as nodes hear of each other.
	balanceEvery = time.Second
	// reportLag is the age that load reports are taken to have. Engines do not
	// say how old a report is; what was sent within this time is added to it.
	reportLag = 2 * time.Second
)

// buildDecisions builds what decides on endpoints and the order of requests.
func (n *Node) buildDecisions() error {
	index := &indexer.Index{}
	n.observer.OnGone = index.Forget
	n.observer.ReportLag = reportLag
	n.chooser = chooser.Chooser{Clock: n.clock, Log: n.log, DataCentre: n.settings.DataCentre, Observer: n.observer, Index: index, Limits: n.limits, Config: n.applier.Config}
	n.queue = &queuer.Queue[*dispatcher.Job]{Clock: n.clock, Log: n.log, Configs: n.applier, Rooms: n.observer}
	n.observer.OnRefresh = n.queue.Wake
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

// balance takes in the work of the other nodes.
func (n *Node) balance(context.Context) error {
	n.queue.Balance()
	return nil
}

func (n *Node) decisionTasks() []runner.Periodic {
	return []runner.Periodic{
		{Name: "vm-list", Every: listEvery, Jitter: jitter, Task: n.observer.RefreshList},
		{Name: "load-reports", Every: n.settings.LoadEvery, Jitter: jitter, Task: n.observer.RefreshLoad},
		{Name: "balance", Every: balanceEvery, Jitter: jitter, Task: n.balance},
	}
}
