package assembler

import (
	"foxtailflow.example/foxtailflow/internal/decision/admitter"
	"foxtailflow.example/foxtailflow/internal/decision/balancer"
	"foxtailflow.example/foxtailflow/internal/decision/forecaster"
	"foxtailflow.example/foxtailflow/internal/decision/planner"
	"foxtailflow.example/foxtailflow/internal/fleet/adviser"
	"foxtailflow.example/foxtailflow/internal/inner/messenger"
	"foxtailflow.example/foxtailflow/internal/member/gossiper"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
	"foxtailflow.example/foxtailflow/internal/request/dispatcher"
	"foxtailflow.example/foxtailflow/internal/request/queuer"
)

// link connects the groups of parts that need each other, once all are built.
func (n *Node) link() {
	n.live = liveNodes{gossiper: n.membership.gossiper}
	n.queue.Peers = otherNodes{gossiper: n.membership.gossiper}
	n.membership.duties = n.heldDuties
	n.membership.work = n.accountWork
	meter := &adviser.Meter{Clock: n.clock}
	n.dispatcher.Queue = meteredQueue{Queue: n.queue, meter: meter}
	n.orderer.Policy = &adviser.Adviser[balancer.Priced, planner.Surviving]{
		Clock:   n.clock,
		Log:     n.log,
		Demands: allDemand{meter: meter, gossiper: n.membership.gossiper},
	}
}

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
	meter    *adviser.Meter
	gossiper *gossiper.Gossiper
}

// Demand returns the work that arrives for a deployment, in tokens a second.
//
// The balancer spreads callers evenly, so the demand here stands for that of
// each node in service.
func (d allDemand) Demand(deployment string) forecaster.Demand {
	nodes, _ := otherNodes{gossiper: d.gossiper}.Elsewhere()
	return d.meter.Rates()[deployment].Scale(float64(nodes))
}

// liveNodes names the nodes that share the duties.
type liveNodes struct {
	gossiper *gossiper.Gossiper
}

// Live returns the running nodes that do not leave, and always this one.
func (l liveNodes) Live() []string {
	var names []string
	for _, m := range l.gossiper.Live() {
		if m.Self || !m.Draining {
			names = append(names, m.ID)
		}
	}
	return names
}

// otherNodes tells the admission what the other nodes do.
type otherNodes struct {
	gossiper *gossiper.Gossiper
}

// Elsewhere returns the number of nodes in service, with this one, and the
// work of each client account on the others.
func (o otherNodes) Elsewhere() (nodes int, work map[string]admitter.Elsewhere) {
	nodes, work = 1, make(map[string]admitter.Elsewhere)
	for _, s := range o.gossiper.Statements() {
		if !o.gossiper.Running(s) {
			continue
		}
		// A node that drains gets no new requests, but its running ones count.
		if !s.Draining {
			nodes++
		}
		for _, w := range s.Work {
			work[w.Account] = work[w.Account].Add(admitter.Elsewhere{
				Done:    float64(w.Done),
				Waiting: float64(w.Waiting),
				Running: int(w.Running),
			})
		}
	}
	return nodes, work
}

func (n *Node) heldDuties() []string {
	var duties []string
	for _, g := range n.leaser.Held() {
		duties = append(duties, g.Duty)
	}
	return duties
}

func (n *Node) accountWork() []messenger.AccountWork {
	var work []messenger.AccountWork
	for _, w := range n.queue.Work() {
		work = append(work, messenger.AccountWork{
			Account: w.Account,
			Done:    uint64(w.Done),
			Waiting: uint64(w.Waiting),
			Running: uint32(max(w.Running, 0)),
		})
	}
	return work
}
