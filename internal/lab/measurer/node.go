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

// job is one request on its way.
type job struct {
	request  carrier.Request
	client   int
	prompt   int
	output   int
	bound    int
	group    uint64
	born     time.Duration
	deadline time.Duration
	left     float64
	produced float64
	decoding bool
	tried    []string
	at       *engine
	node     *node
	// over says that it was answered, refused or given up.
	over bool
}

// Request returns the request.
func (j *job) Request() carrier.Request { return j.request }

// Refuse ends a job whose deadline came while it waited.
func (j *job) Refuse(error) {
	if !j.over {
		j.over = true
		j.node.run.count.expired++
	}
}

// node is one node with what it knows.
type node struct {
	run        *run
	dataCentre string
	rows       keeper.Table[string, picker.Endpoint]
	set        picker.Set
	index      indexer.Index
	choose     chooseFunc
	queue      queue
	running    int
	// stuck are jobs whose next phase has found no engine yet.
	stuck []*job
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

// Capacity returns what the engines can take and how full they are.
func (n *node) Capacity(d definer.Deployment) admitter.Capacity {
	requests, backlog := 0, 0
	for _, e := range n.rows.Values() {
		requests += e.Requests()
		backlog += e.Report.Backlog
	}
	return observer.CapacityOf(d, n.set, requests, backlog)
}

// RemoteLoad returns the work on the other nodes, a second ago.
func (n *node) RemoteLoad() (int, map[string]admitter.RemoteLoad) {
	sum := make(map[string]admitter.RemoteLoad)
	for _, o := range n.run.nodes {
		if o == n {
			continue
		}
		for _, w := range n.run.told[o] {
			sum[w.Account] = sum[w.Account].Add(admitter.RemoteLoad{RecentWork: w.RecentWork, QueuedWork: w.QueuedWork, Requests: w.Requests})
		}
	}
	return len(n.run.nodes), sum
}

// refresh takes in the reports that arrive now and the state of the engines.
func (n *node) refresh(t time.Duration) {
	var all []picker.Endpoint
	now := n.run.clock.Now()
	for _, e := range n.run.engines {
		if !e.present(t) {
			n.rows.Delete(e.id)
			continue
		}
		r, fresh := n.run.arrived[e], n.run.fresh[e]
		n.rows.Update(e.id, func(row picker.Endpoint, ok bool) (picker.Endpoint, bool) {
			if !ok {
				row = picker.Endpoint{ID: e.id, DataCentre: e.dataCentre, Tier: e.tier}
				row.Report.Role = e.role
			}
			if fresh {
				r.At, r.Lag = now, reportLag
				row = row.WithReport(r)
			}
			// A drain is announced at once; the new role comes with a report.
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

// done is a context that has ended: Next then returns what is ready.
var done = func() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}()

// work starts what is ready.
func (n *node) work() {
	stuck := n.stuck
	n.stuck = nil
	for _, j := range stuck {
		if !j.over {
			n.send(j)
		}
	}
	for {
		j, ok := n.queue.Next(done)
		if !ok {
			return
		}
		n.running++
		n.send(j)
	}
}

// tries bounds the attempts of one phase.
const tries = 4

// send chooses an engine for the next phase of a job.
func (n *node) send(j *job) {
	phase := picker.Prefill
	if j.decoding {
		phase = picker.Decode
	}
	chain := []uint64{j.group}
	for range tries {
		need := picker.Requirements{
			DataCentre: n.dataCentre, Phase: phase, Priority: picker.NormalPriority, Blocks: (j.prompt + j.bound) / pieceTokens,
			Tried: j.tried, MayRetry: true, Random: n.run.random.Uint64(), Now: n.run.clock.Now(),
		}
		if !j.decoding {
			need.Holders = n.index.Holders(make([]string, 0, 4), chain)
		}
		c := n.choose(need, n.view())
		if !c.OK {
			break
		}
		e := n.run.byID[c.Endpoint.ID]
		if e.crashed || e.gone || e.role != phase {
			// The connection is refused, or the engine says that it cannot.
			n.fail(e, j)
			continue
		}
		n.change(e, func(row picker.Endpoint) picker.Endpoint { return row.WithSent(n.load(j)) })
		n.index.Store(e.id, chain)
		e.accept(j)
		return
	}
	j.tried = nil
	n.stuck = append(n.stuck, j)
}

// load is the work of a phase as it counts for an engine's load.
func (*node) load(j *job) int {
	if j.decoding {
		return j.bound
	}
	return j.prompt
}

func (n *node) change(e *engine, f func(picker.Endpoint) picker.Endpoint) {
	n.rows.Update(e.id, func(row picker.Endpoint, ok bool) (picker.Endpoint, bool) {
		if !ok {
			return row, false
		}
		return f(row), true
	})
}

// fail notes a failure and sets the engine aside after three in a row.
func (n *node) fail(e *engine, j *job) {
	j.tried = append(j.tried, e.id)
	now := n.run.clock.Now()
	n.change(e, func(row picker.Endpoint) picker.Endpoint {
		var until time.Time
		if row.Failures+1 >= definer.DefaultRule("").EjectAfter {
			until = now.Add(definer.DefaultRule("").EjectDuration)
		}
		return row.WithFailure(until)
	})
}

// left takes a job off its engine's row; ok says that the phase was answered.
func (n *node) left(j *job, ok bool) {
	n.change(j.at, func(row picker.Endpoint) picker.Endpoint {
		row = row.WithDone(n.load(j))
		if ok {
			return row.WithSuccess()
		}
		return row
	})
	j.at = nil
}

// end finishes a job for the queue.
func (n *node) end(j *job, err error) {
	j.over = true
	n.running--
	n.queue.Done(j, carrier.Result{Err: err, Usage: carrier.Usage{
		PromptTokens: int64(j.prompt), OutputTokens: int64(math.Round(j.produced)),
	}})
}
