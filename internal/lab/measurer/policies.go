package measurer

import (
	"context"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/runner"
	"foxtailflow.example/foxtailflow/internal/decision/admitter"
	"foxtailflow.example/foxtailflow/internal/decision/picker"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
	"foxtailflow.example/foxtailflow/internal/request/queuer"
)

// chooseFunc chooses an endpoint.
type chooseFunc func(picker.Requirements, picker.View) picker.Choice

// RoundRobin takes the candidates in turns.
type RoundRobin struct {
	next int
}

// Choose takes the next candidate that is eligible.
func (p *RoundRobin) Choose(n *picker.Requirements, v picker.View, c *picker.Choice) bool {
	ids := v.Set.Candidates(n.Phase)
	for range ids {
		p.next++
		if e, ok := v.Draw(n, ids[p.next%len(ids):][:1], c); ok {
			c.Endpoint, c.OK, c.Reason = e, true, "next in turn"
			return true
		}
	}
	return false
}

// LeastReported takes the candidate whose last report has the fewest requests.
type LeastReported struct{}

// Choose compares all candidates.
func (LeastReported) Choose(n *picker.Requirements, v picker.View, c *picker.Choice) bool {
	ids := v.Set.Candidates(n.Phase)
	for i := range ids {
		e, ok := v.Draw(n, ids[i:i+1], c)
		if ok && (!c.OK || reportedRequests(e) < reportedRequests(c.Endpoint)) {
			c.Endpoint, c.OK, c.Reason = e, true, "least reported load"
		}
	}
	return c.OK
}

func reportedRequests(e picker.Endpoint) int { return e.Report.InFlight + e.Report.Queued }

// choosers returns the routing policies by name.
func choosers() map[string]func() chooseFunc {
	return map[string]func() chooseFunc{
		"two-choices":  func() chooseFunc { return picker.Picker[picker.PrefixAffinity[picker.TwoChoices]]{}.Pick },
		"no-affinity":  func() chooseFunc { return picker.Picker[picker.TwoChoices]{}.Pick },
		"round-robin":  func() chooseFunc { return picker.Picker[*RoundRobin]{Policy: &RoundRobin{}}.Pick },
		"least-report": func() chooseFunc { return picker.Picker[LeastReported]{}.Pick },
	}
}

// queue is the interface of a queue that the simulation uses.
type queue interface {
	Add(j *job) error
	Next(ctx context.Context) (*job, bool)
	Done(j *job, r carrier.Result)
	UpdateCapacity()
	UpdateRemoteLoad()
	Work() []queuer.Work
}

// fifo is a first-in, first-out queue with a bounded number of requests.
type fifo struct {
	queue   runner.Queue[*job]
	node    *node
	limiter admitter.SendLimiter
}

const fifoLimit = 10_000

func (f *fifo) Add(j *job) error {
	f.queue.Limit = fifoLimit
	if !f.queue.Add(j) {
		return coder.Refuse(coder.QueueFull, "the queue is full")
	}
	return nil
}

func (f *fifo) Next(ctx context.Context) (*job, bool) {
	f.limiter = f.limiter.WithTime(f.node.run.clock.Now())
	for f.limiter.Allows(f.node.inFlight) {
		j, ok := f.queue.Next(ctx)
		if !ok {
			return nil, false
		}
		if !j.ended {
			f.limiter = f.limiter.WithStarted(float64(j.prompt))
			return j, true
		}
	}
	return nil, false
}

// UpdateCapacity updates the limiter, which is the same as in the queue of the
// product; each node has an equal share of the demand.
func (f *fifo) UpdateCapacity() {
	r := f.node.run
	f.limiter = f.limiter.WithCapacity(r.clock.Now(), f.node.Capacity(r.deployment), 1/float64(len(r.nodes)))
}

func (*fifo) Done(*job, carrier.Result) {}
func (*fifo) UpdateRemoteLoad()         {}
func (*fifo) Work() []queuer.Work       { return nil }
