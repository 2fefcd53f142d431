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
	"foxtailflow.example/foxtailflow/internal/operator/commander"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
	"foxtailflow.example/foxtailflow/internal/request/dispatcher"
	"foxtailflow.example/foxtailflow/internal/request/queuer"
	"foxtailflow.example/foxtailflow/internal/usage/biller"
)

// meteredQueue measures the work that passes through the queue.
type meteredQueue struct {
	*queuer.Queue[*dispatcher.Job]
	meter *adviser.Meter
}

// Add puts a job into the queue and notes the work of its prompt.
func (q meteredQueue) Add(job *dispatcher.Job) error {
	r := job.Request()
	q.meter.Add(r.Route.Deployment, forecaster.Demand{Prefill: float64(r.PromptTokens)})
	return q.Queue.Add(job)
}

// Done notes the output of a job, which is not known before.
func (q meteredQueue) Done(job *dispatcher.Job, result carrier.Result) {
	q.meter.Add(job.Request().Route.Deployment, forecaster.Demand{Decode: float64(result.Usage.OutputTokens)})
	q.Queue.Done(job, result)
}

// allDemand is the demand on all nodes.
type allDemand struct {
	meter *adviser.Meter
	node  *composer.Node
}

// Demand returns the work that arrives for a deployment, in tokens a second.
//
// The balancer spreads callers evenly, so the demand here stands for that of
// each node in service.
func (d allDemand) Demand(deployment string) forecaster.Demand {
	return d.meter.Rates()[deployment].Scale(float64(d.node.NodeCount()))
}

// otherNodes tells the admission what the other nodes do.
type otherNodes struct{ node *composer.Node }

// Elsewhere returns the number of nodes in service, with this one, and the
// work of each client account on the others.
func (o otherNodes) Elsewhere() (nodes int, work map[string]admitter.Elsewhere) {
	work = make(map[string]admitter.Elsewhere)
	for _, a := range o.node.Others().Accounts {
		work[a.Account] = admitter.Elsewhere{Done: float64(a.Done), Waiting: float64(a.Waiting), Running: a.Running}
	}
	return o.node.NodeCount(), work
}

// accountWork returns the work of each client account here.
func accountWork(q *queuer.Queue[*dispatcher.Job]) []courier.AccountWork {
	var work []courier.AccountWork
	for _, w := range q.Work() {
		work = append(work, courier.AccountWork{Account: w.Account, Done: int(w.Done), Waiting: int(w.Waiting), Running: w.Running})
	}
	return work
}

// operated is the node as operators call it.
type operated struct{ *composer.Node }

// Files returns the configuration files as the node has them.
func (o operated) Files() applier.Files {
	files, err := applier.Decode(o.Rows().Rows())
	if err != nil {
		// Before the first change there are none.
		return applier.Files{}
	}
	return files
}

// Standing returns what the node knows of itself and the others.
func (o operated) Standing() commander.Standing {
	s := commander.Standing{
		Node: o.Name(), Current: o.Current() == nil, Away: o.Away(), Nodes: o.Nodes(), Versions: o.Versions(),
	}
	if cfg, err := o.Config(); err == nil {
		s.Version = cfg.Version()
	}
	for _, g := range o.Leases().Held() {
		s.Duties = append(s.Duties, g.Duty)
	}
	return s
}

// reports sends the usage of closed windows to the platform.
type reports struct {
	builder *builder
	check   func(leaser.Grant) error
}

// Check fails if a lease can no longer be trusted.
func (r reports) Check(g leaser.Grant) error { return r.check(g) }

// ReportUsage reports the figures of a window.
func (r reports) ReportUsage(ctx context.Context, g leaser.Grant, window int64, counts map[courier.Meter]int) error {
	return r.builder.platform.WithTransport(fenced(r, g)).Report(ctx, biller.Report{
		ID: strconv.FormatInt(window, 10), FencingToken: g.Token, Figures: biller.Sum(counts),
	})
}
