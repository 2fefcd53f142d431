package measurer

import (
	"context"
	"math"
	"time"

	"github.com/rs/zerolog"

	"foxtailflow.example/foxtailflow/internal/base/keeper"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/decision/admitter"
	"foxtailflow.example/foxtailflow/internal/decision/indexer"
	"foxtailflow.example/foxtailflow/internal/decision/picker"
	"foxtailflow.example/foxtailflow/internal/fleet/observer"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
	"foxtailflow.example/foxtailflow/internal/request/queuer"
)

// job is one request in progress.
type job struct {
	request         carrier.Request
	client          int
	prompt          int
	output          int
	maxTokens       int
	prefix          uint64
	createdAt       time.Duration
	deadline        time.Duration
	remainingPrompt float64
	produced        float64
	decoding        bool
	tried           []string
	engine          *engine
	node            *node
	// ended means that the request was completed, refused or expired.
	ended bool
}

// Request returns the request.
func (j *job) Request() carrier.Request { return j.request }

// Refuse ends a job whose deadline passed while it was queued.
func (j *job) Refuse(error) {
	if !j.ended {
		j.ended = true
		j.node.run.count.expired++
	}
}

// node is one node with its view of the fleet.
type node struct {
	run        *run
	dataCentre string
	rows       keeper.Table[string, picker.Endpoint]
	set        picker.Set
	index      indexer.Index
	choose     chooseFunc
	queue      queue
	inFlight   int
	// unassigned are jobs that no engine has accepted for their next phase yet.
	unassigned []*job
}

func newNode(r *run, dataCentre string) *node {
	n := &node{run: r, dataCentre: dataCentre, choose: choosers()[r.plan.Routing]()}
	if r.plan.Queue == "fifo" {
		n.queue = &fifo{node: n}
	} else {
		n.queue = &queuer.Queue[*job]{Clock: r.clock, Log: zerolog.Nop(), Configs: n, Capacity: n, Peers: n}
	}
	return n
}

// Config returns the definitions of the experiment.
func (n *node) Config() (definer.Config, error) { return n.run.config, nil }

// Capacity returns the capacity of the engines and how much of it is used.
func (n *node) Capacity(d definer.Deployment) admitter.Capacity {
	requests, backlog := 0, 0
	for _, e := range n.rows.Values() {
		requests += e.Requests()
		backlog += e.Report.Backlog
	}
	return observer.CapacityOf(d, n.set, requests, backlog)
}

// RemoteLoad returns the number of nodes and the remote load of each client
// account, as of up to one second ago.
func (n *node) RemoteLoad() (int, map[string]admitter.RemoteLoad) {
	sum := make(map[string]admitter.RemoteLoad)
	for _, o := range n.run.nodes {
		if o == n {
			continue
		}
		for _, w := range n.run.reportedWork[o] {
			sum[w.Account] = sum[w.Account].Add(admitter.RemoteLoad{RecentWork: w.RecentWork, QueuedWork: w.QueuedWork, Requests: w.Requests})
		}
	}
	return len(n.run.nodes), sum
}

// refresh applies the newly delivered reports and the state of the engines.
func (n *node) refresh(t time.Duration) {
	var all []picker.Endpoint
	now := n.run.clock.Now()
	for _, e := range n.run.engines {
		if !e.present(t) {
			n.rows.Delete(e.id)
			continue
		}
		r, isNew := n.run.latestReports[e], n.run.newReport[e]
		n.rows.Update(e.id, func(row picker.Endpoint, ok bool) (picker.Endpoint, bool) {
			if !ok {
				row = picker.Endpoint{ID: e.id, DataCentre: e.dataCentre, Tier: e.tier}
				row.Report.Role = e.role
			}
			if isNew {
				r.At, r.Lag = now, reportLag
				row = row.WithReport(r)
			}
			// A drain is known immediately; the new role is known from a report.
			row = row.WithDraining(e.target != "").WithLeaving(e.leaving)
			all = append(all, row)
			return row, true
		})
	}
	n.set = picker.NewSet(all)
}

func (n *node) view() picker.View {
	sum, count := 0, 0
	for _, id := range n.set.Candidates(picker.Both) {
		if e, ok := n.rows.Get(id); ok {
			sum, count = sum+e.Load(), count+1
		}
	}
	return picker.View{Set: n.set, Endpoints: &n.rows, Mean: sum / max(count, 1)}
}

// endedContext is a cancelled context, with which Next returns without blocking.
var endedContext = func() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}()

// startReady dispatches unassigned jobs and all jobs that the queue admits.
func (n *node) startReady() {
	unassigned := n.unassigned
	n.unassigned = nil
	for _, j := range unassigned {
		if !j.ended {
			n.dispatch(j)
		}
	}
	for {
		j, ok := n.queue.Next(endedContext)
		if !ok {
			return
		}
		n.inFlight++
		n.dispatch(j)
	}
}

// maxAttempts bounds the attempts of one phase.
const maxAttempts = 4

// dispatch chooses an engine for the next phase of a job and sends the job to it,
// or leaves the job unassigned.
func (n *node) dispatch(j *job) {
	phase := picker.Prefill
	if j.decoding {
		phase = picker.Decode
	}
	chain := []uint64{j.prefix}
	for range maxAttempts {
		need := picker.Requirements{
			DataCentre: n.dataCentre, Phase: phase, Priority: picker.NormalPriority, Blocks: (j.prompt + j.maxTokens) / blockTokens,
			Tried: j.tried, MayRetry: true, Random: n.run.decisionRandom.Uint64(), Now: n.run.clock.Now(),
		}
		if !j.decoding {
			need.Holders = n.index.Holders(make([]string, 0, 4), chain)
		}
		c := n.choose(need, n.view())
		if !c.OK {
			break
		}
		e := n.run.byID[c.Endpoint.ID]
		if e.crashed || e.removed || e.role != phase {
			// The connection is refused, or the engine refuses the phase.
			n.recordFailure(e, j)
			continue
		}
		n.updateRow(e, func(row picker.Endpoint) picker.Endpoint { return row.WithSent(n.load(j)) })
		n.index.Store(e.id, chain)
		e.accept(j)
		return
	}
	j.tried = nil
	n.unassigned = append(n.unassigned, j)
}

// load returns the tokens that a job's phase adds to an engine's load.
func (*node) load(j *job) int {
	if j.decoding {
		return j.maxTokens
	}
	return j.prompt
}

func (n *node) updateRow(e *engine, f func(picker.Endpoint) picker.Endpoint) {
	n.rows.Update(e.id, func(row picker.Endpoint, ok bool) (picker.Endpoint, bool) {
		if !ok {
			return row, false
		}
		return f(row), true
	})
}

// recordFailure counts a failure of an engine and ejects the engine after
// EjectAfter (3) failures in a row.
func (n *node) recordFailure(e *engine, j *job) {
	j.tried = append(j.tried, e.id)
	now := n.run.clock.Now()
	n.updateRow(e, func(row picker.Endpoint) picker.Endpoint {
		var until time.Time
		if row.Failures+1 >= definer.DefaultRule("").EjectAfter {
			until = now.Add(definer.DefaultRule("").EjectDuration)
		}
		return row.WithFailure(until)
	})
}

// release removes a job from its engine's row; ok means that the phase completed.
func (n *node) release(j *job, ok bool) {
	n.updateRow(j.engine, func(row picker.Endpoint) picker.Endpoint {
		row = row.WithDone(n.load(j))
		if ok {
			return row.WithSuccess()
		}
		return row
	})
	j.engine = nil
}

// finish ends a job and reports it to the queue.
func (n *node) finish(j *job, err error) {
	j.ended = true
	n.inFlight--
	n.queue.Done(j, carrier.Result{Err: err, Usage: carrier.Usage{
		PromptTokens: int64(j.prompt), OutputTokens: int64(math.Round(j.produced)),
	}})
}
