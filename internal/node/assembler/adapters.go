package assembler

import (
	"context"
	"strconv"

	"foxtailflow.example/foxtailflow/internal/authority/leaser"
	"foxtailflow.example/foxtailflow/internal/config/applier"
	"foxtailflow.example/foxtailflow/internal/decision/admitter"
	"foxtailflow.example/foxtailflow/internal/decision/forecaster"
	"foxtailflow.example/foxtailflow/internal/fleet/adviser"
	"foxtailflow.example/foxtailflow/internal/inner/courier"
	"foxtailflow.example/foxtailflow/internal/node/composer"
	"foxtailflow.example/foxtailflow/internal/operator/server"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
	"foxtailflow.example/foxtailflow/internal/request/dispatcher"
	"foxtailflow.example/foxtailflow/internal/request/queuer"
	"foxtailflow.example/foxtailflow/internal/usage/biller"
)

// meteredQueue is a queue that measures the work passing through it.
type meteredQueue struct {
	*queuer.Queue[*dispatcher.Job]
	meter *adviser.Meter
}

// Add puts a job into the queue and records the work of its prompt.
func (q meteredQueue) Add(job *dispatcher.Job) error {
	r := job.Request()
	q.meter.Add(r.Route.Deployment, forecaster.Demand{Prefill: float64(r.PromptTokens)})
	return q.Queue.Add(job)
}

// Done records the output of a job, which is not known earlier.
func (q meteredQueue) Done(job *dispatcher.Job, result carrier.Result) {
	q.meter.Add(job.Request().Route.Deployment, forecaster.Demand{Decode: float64(result.Usage.OutputTokens)})
	q.Queue.Done(job, result)
}

// fleetDemand is the demand on all nodes.
type fleetDemand struct {
	meter *adviser.Meter
	node  *composer.Node
}

// Demand returns the arriving work of a deployment, in tokens per second.
//
// The load balancer spreads callers evenly, so the demand on each node in service
// is taken to be that on this one.
func (d fleetDemand) Demand(deployment string) forecaster.Demand {
	return d.meter.Rates()[deployment].Scale(float64(d.node.NodeCount()))
}

// otherNodes provides the remote load of client accounts for admission.
type otherNodes struct{ node *composer.Node }

// RemoteLoad returns the number of nodes in service, including this one, and the
// work of each client account on the other nodes.
func (o otherNodes) RemoteLoad() (nodes int, work map[string]admitter.RemoteLoad) {
	work = make(map[string]admitter.RemoteLoad)
	for _, a := range o.node.RemoteWork().Accounts {
		work[a.Account] = admitter.RemoteLoad{RecentWork: float64(a.DoneLastSecond), QueuedWork: float64(a.Queued), Requests: a.Running}
	}
	return o.node.NodeCount(), work
}

// accountWork returns the work of each client account on this node.
func accountWork(q *queuer.Queue[*dispatcher.Job]) []courier.AccountWork {
	var work []courier.AccountWork
	for _, w := range q.Work() {
		work = append(work, courier.AccountWork{Account: w.Account, DoneLastSecond: int(w.RecentWork), Queued: int(w.QueuedWork), Running: w.Requests})
	}
	return work
}

// operatorNode is the node behind the operators' interface.
type operatorNode struct{ *composer.Node }

// Files returns the node's current configuration files.
func (o operatorNode) Files() applier.Files {
	files, err := applier.Decode(o.ConfigRows().Rows())
	if err != nil {
		// There are no files before the first change.
		return applier.Files{}
	}
	return files
}

// Status returns the status of this node and what it knows about the others.
func (o operatorNode) Status() server.Status {
	s := server.Status{
		Node: o.ID(), Current: o.CheckCurrent() == nil, StoreUnreachable: o.StoreUnavailable(), Nodes: o.Nodes(), Versions: o.ConfigVersions(),
	}
	if cfg, err := o.Config(); err == nil {
		s.Version = cfg.Version()
	}
	for _, g := range o.Leaser().Held() {
		s.Duties = append(s.Duties, g.Duty)
	}
	return s
}

// usageReports sends the usage of closed usage windows to the platform.
type usageReports struct {
	builder *builder
	check   func(leaser.Grant) error
}

// Check returns an error if a lease may no longer be valid.
func (r usageReports) Check(g leaser.Grant) error { return r.check(g) }

// ReportUsage reports the usage of a window under a lease.
func (r usageReports) ReportUsage(ctx context.Context, g leaser.Grant, window int64, counts map[courier.Meter]int) error {
	return r.builder.platform.WithTransport(fencedTransport(r, g)).Report(ctx, biller.Report{
		ID: strconv.FormatInt(window, 10), FencingToken: g.Token, Figures: biller.FromMeters(counts),
	})
}
