package measurer

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/sourcegraph/conc/pool"
)

// Plans returns the plans to compare: that of the product, and copies of it with
// one policy replaced by a baseline.
func Plans() []Plan {
	base := Plan{Name: "foxtailflow", Routing: "two-choices", Queue: "fair", Roles: "priced", Fleet: "surviving"}
	with := func(name string, change func(*Plan)) Plan {
		p := base
		p.Name = name
		change(&p)
		return p
	}
	return []Plan{
		base,
		with("knows the future", func(p *Plan) { p.Roles = "knows-future" }),
		with("greedy role changes", func(p *Plan) { p.Roles = "greedy" }),
		with("never changes roles", func(p *Plan) { p.Roles = "never" }),
		with("round robin", func(p *Plan) { p.Routing = "round-robin" }),
		with("least reported load", func(p *Plan) { p.Routing = "least-report" }),
		with("no cache affinity", func(p *Plan) { p.Routing = "no-affinity" }),
		with("first come first served", func(p *Plan) { p.Queue = "fifo" }),
		with("all expensive", func(p *Plan) { p.Fleet = "expensive" }),
	}
}

// Result is the mean over the runs of one plan with all seeds.
type Result struct {
	Plan    Plan
	Mix     string
	Offered float64
	// InTime is the requests per second that complete within their deadline, and
	// Tokens is their output in tokens per second.
	InTime float64
	Tokens float64
	// WorstShare is the smallest share of its entitlement that an account received
	// during the flood. It is the minimum over the seeds, not the mean.
	WorstShare float64
	Changes    float64
	// Cost is the mean price of the fleet per hour.
	Cost    float64
	Refused float64
	Late    float64
	// Wasted is the share of tokens that were processed for late requests.
	Wasted float64
}

// PolicyComparison runs the experiment.
type PolicyComparison struct {
	Out io.Writer
	// Seeds are used in turn for each plan and mix.
	Seeds []uint64
	// Length overrides the length of the runs; 0 means the default.
	Length time.Duration
	// PlanName names one plan; empty means all.
	PlanName string
}

// concurrentRuns bounds the number of concurrent runs; each has its own state.
const concurrentRuns = 4

// Run measures all plans on both mixes and prints a table.
func (m PolicyComparison) Run() []Result {
	var plans []Plan
	for _, p := range Plans() {
		if m.PlanName == "" || m.PlanName == p.Name {
			plans = append(plans, p)
		}
	}
	var results []Result
	for _, load := range []mix{wichseMix(), presenterMix()} {
		out := make([]Result, len(plans))
		p := pool.New().WithMaxGoroutines(concurrentRuns)
		for i := range plans {
			p.Go(func() { out[i] = m.mean(plans[i], load) })
		}
		p.Wait()
		results = append(results, out...)
	}
	m.print(results)
	return results
}

func (m PolicyComparison) length() time.Duration {
	if m.Length > 0 {
		return m.Length
	}
	return runLength
}

func (m PolicyComparison) mean(p Plan, x mix) Result {
	sum := Result{Plan: p, Mix: x.name, WorstShare: 1}
	n := float64(len(m.Seeds))
	for _, seed := range m.Seeds {
		run := newRun(p, x, seed)
		run.duration = m.length()
		c := run.execute()
		sum.Offered += float64(c.offered) / m.length().Seconds() / n
		sum.InTime += float64(c.inTime) / m.length().Seconds() / n
		sum.Tokens += c.tokens / m.length().Seconds() / n
		sum.WorstShare = min(sum.WorstShare, worstShare(c.workByClient[0], c.workByClient[1]))
		sum.Changes += float64(c.changes) / n
		sum.Cost += c.cost / m.length().Hours() / n
		sum.Refused += float64(c.refused) / float64(c.offered) / n
		sum.Late += float64(c.late+c.expired) / float64(c.offered) / n
		sum.Wasted += c.wasted / max(c.tokens+c.wasted, 1) / n
	}
	return sum
}

// worstShare returns the smallest share of its entitlement that a client account
// received.
//
// With equal shares, each account is entitled to what it requested, up to the
// level at which all entitlements add up to the total work done.
func worstShare(requested, done []float64) float64 {
	totalDone := 0.0
	for _, g := range done {
		totalDone += g
	}
	ascending := slices.Sorted(slices.Values(requested))
	level, remaining := 0.0, totalDone
	for i, a := range ascending {
		level = remaining / float64(len(ascending)-i)
		if a >= level {
			break
		}
		remaining -= a
	}
	lowest := 1.0
	for i, a := range requested {
		if e := min(a, level); e > 0 {
			lowest = min(lowest, done[i]/e)
		}
	}
	return lowest
}

func (m PolicyComparison) print(results []Result) {
	w := tabwriter.NewWriter(m.Out, 0, 0, 1, ' ', 0)
	_, _ = fmt.Fprintf(w, "seeds %v, %d s each, means; worst account is the minimum over the seeds\n", m.Seeds, int(m.length().Seconds()))
	_, _ = fmt.Fprintln(w, "| mix\t| policy\t| offered/s\t| in time/s\t| tokens/s\t| worst account\t| role changes\t| cost/h\t| refused\t| late\t| wasted\t|")
	_, _ = fmt.Fprintln(w, "|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|")
	for _, r := range results {
		_, _ = fmt.Fprintf(w, "| %s\t| %s\t| %.2f\t| %.2f\t| %.0f\t| %.2f\t| %.1f\t| %.0f\t| %.1f%%\t| %.1f%%\t| %.1f%%\t|\n",
			r.Mix, r.Plan.Name, r.Offered, r.InTime, r.Tokens, r.WorstShare, r.Changes, r.Cost, 100*r.Refused, 100*r.Late, 100*r.Wasted)
	}
	_ = w.Flush()
}
