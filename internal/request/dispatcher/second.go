package dispatcher

import (
	"expvar"
	"slices"
	"strings"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/keeper"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/decision/hedger"
	"foxtailflow.example/foxtailflow/internal/decision/picker"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
	"foxtailflow.example/foxtailflow/internal/request/retrier"
)

// The metrics of second attempts for slow responses.
var (
	secondsSent    = expvar.NewInt("second-attempts-sent")
	secondsWon     = expvar.NewInt("second-attempts-won")
	secondsLost    = expvar.NewInt("second-attempts-lost")
	secondsRefused = expvar.NewMap("second-attempts-refused")
)

// QueueLengths is implemented by queues that tell how many requests they hold.
type QueueLengths interface {
	// Queued returns the number of requests that wait for an endpoint of a deployment.
	Queued(deployment string) int
}

// requestKind is a kind of request with latencies of its own.
type requestKind struct {
	route  string
	stream bool
}

// secondTables holds what decisions about second attempts need. They have no rows while no
// rule allows second attempts.
type secondTables struct {
	latencies keeper.Table[requestKind, hedger.Latencies]
	// counts has the second attempts that are allowed, by route.
	counts keeper.Table[string, hedger.Counts]
	// shortages has when a deployment last lacked capacity.
	shortages keeper.Table[string, time.Time]
	// overdue has the number of late requests at each endpoint.
	overdue keeper.Table[string, int]
}

// creditSecond adds a request's share of a second attempt to the count of its route.
func (d *Dispatcher) creditSecond(r carrier.Request, rule definer.Rule) {
	if rule.SecondAttemptShare <= 0 {
		return
	}
	d.seconds.counts.Update(r.Route.Name, func(n hedger.Counts, _ bool) (hedger.Counts, bool) {
		return n.WithRequest(rule.SecondAttemptShare, d.Clock.Now()), true
	})
}

// recordShortage records that the deployment of a request lacked capacity.
func (d *Dispatcher) recordShortage(c *execution) {
	if c.rule.SecondAttemptShare > 0 {
		d.seconds.shortages.Put(c.job.request.Route.Deployment, d.Clock.Now())
	}
}

// recordLatency records the time from the start of an attempt to its first response data, or
// to its cancellation.
func (d *Dispatcher) recordLatency(r carrier.Request, startedAt time.Time) {
	now := d.Clock.Now()
	d.seconds.latencies.Update(requestKind{r.Route.Name, r.Stream}, func(l hedger.Latencies, _ bool) (hedger.Latencies, bool) {
		return l.With(now.Sub(startedAt), now), true
	})
}

// recordOverdue changes the number of late requests at an endpoint.
func (d *Dispatcher) recordOverdue(endpoint string, change int) {
	d.seconds.overdue.Update(endpoint, func(n int, _ bool) (int, bool) { return n + change, n+change > 0 })
}

// mayHaveSecond reports whether the next attempt at a request may be joined by a second one.
// If not, it is made as if there were no second attempts.
func (d *Dispatcher) mayHaveSecond(c *execution) bool {
	r := c.job.request
	return c.rule.SecondAttemptShare > 0 && !c.secondSent && r.MayRetry() && !r.NeedsClaim() &&
		!c.history.PartlyDelivered() && !c.progress.Isolate
}

// decideSecond decides whether a second attempt joins the first, which was started at a time.
// It returns the plan of the second one.
func (d *Dispatcher) decideSecond(c *execution, first picker.Endpoint, startedAt time.Time) (picker.Plan, hedger.Decision) {
	r, now := c.job.request, d.Clock.Now()
	request := hedger.Request{
		Repeatable: true,
		Suspect:    d.Quarantine != nil && d.Quarantine.Suspects(r),
		Ended:      d.checkAttempt(c) != nil,
		SentBefore: c.secondSent,
		Runs:       c.history.Count() + 1,
		MaxRuns:    max(c.rule.Attempts, r.Route.Attempts, 1),
		SentAt:     startedAt,
		Deadline:   r.Deadline,
	}
	if r.Route.Attempts > 0 {
		request.MaxRuns = r.Route.Attempts
	}
	service, state := d.secondService(c), d.endpointState(first, now)
	decision := hedger.Decide(request, service, state, nil, now)
	if decision.Reason != hedger.NoEndpoint {
		return picker.Plan{}, decision
	}
	plan, ok := d.chooseOther(c, first)
	if !ok {
		return plan, decision
	}
	other := d.endpointState(plan.Run.Endpoint, now)
	decision = hedger.Decide(request, service, state, &other, now)
	if decision.Reason == hedger.Sent {
		decision.Reason = d.takeSecond(c)
	}
	return plan, decision
}

// chooseOther chooses another endpoint than the first one. It prefills the prompt itself, as
// the handle of a prefilled prompt can be used once.
func (d *Dispatcher) chooseOther(c *execution, first picker.Endpoint) (picker.Plan, bool) {
	p := c.progress
	p.Tried = append(slices.Clone(p.Tried), first.ID)
	p.Source, p.NoHandover = carrier.PromptHandle{}, true
	plan := d.Chooser.Choose(c.job.request, p)
	return plan, plan.Run.OK && !plan.Prefill.OK && !slices.Contains(p.Tried, plan.Run.Endpoint.ID)
}

// secondService returns what a decision depends on of the service of a request.
func (d *Dispatcher) secondService(c *execution) hedger.Service {
	r := c.job.request
	s := hedger.Service{Share: c.rule.SecondAttemptShare}
	if q, ok := d.Queue.(QueueLengths); ok {
		s.Queued = q.Queued(r.Route.Deployment)
	}
	s.RefusedAt, _ = d.seconds.shortages.Get(r.Route.Deployment)
	s.Latencies, _ = d.seconds.latencies.Get(requestKind{r.Route.Name, r.Stream})
	s.Counts, _ = d.seconds.counts.Get(r.Route.Name)
	d.budget(r, c.rule, func(b retrier.Bucket, maxBudget float64) retrier.Bucket {
		s.Budget, s.MaxBudget = b.Available(), maxBudget
		return b
	})
	return s
}

// endpointState returns what a decision depends on of an endpoint.
func (d *Dispatcher) endpointState(e picker.Endpoint, now time.Time) hedger.Endpoint {
	overdue, _ := d.seconds.overdue.Get(e.ID)
	s := hedger.Endpoint{Slowdown: e.Slowdown.FactorAt(now), Requests: e.Requests(), Slots: e.Slots, Overdue: overdue}
	if s.Slots > 0 {
		return s
	}
	if cfg, err := d.Configs.Config(); err == nil {
		dep, _ := cfg.Deployment(e.Deployment)
		s.Slots = dep.Slots
	}
	return s
}

// takeSecond takes a second attempt out of the share of the route and a retry out of the
// budget. It returns Sent, or the bound that was reached since the decision; then what was
// taken of the share is lost.
func (d *Dispatcher) takeSecond(c *execution) hedger.Reason {
	r, reason := c.job.request, hedger.ShareSpent
	d.seconds.counts.Update(r.Route.Name, func(n hedger.Counts, _ bool) (hedger.Counts, bool) {
		n, ok := n.WithSecond()
		if ok {
			reason = hedger.BudgetLow
		}
		return n, true
	})
	if reason == hedger.ShareSpent {
		return reason
	}
	d.budget(r, c.rule, func(b retrier.Bucket, maxBudget float64) retrier.Bucket {
		if hedger.AllowsBudget(b.Available(), maxBudget) {
			b, _ = b.WithRetry()
			reason = hedger.Sent
		}
		return b
	})
	return reason
}

// countRefused counts a second attempt that was not sent, by the bound that forbids it.
func countRefused(reason hedger.Reason) {
	if reason != hedger.NotLate && reason != hedger.Sent {
		secondsRefused.Add(strings.ReplaceAll(string(reason), " ", "-"), 1)
	}
}
