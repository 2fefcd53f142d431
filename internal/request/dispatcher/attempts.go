package dispatcher

import (
	"slices"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/decision/explainer"
	"foxtailflow.example/foxtailflow/internal/decision/picker"
	"foxtailflow.example/foxtailflow/internal/request/attempter"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
	"foxtailflow.example/foxtailflow/internal/request/forwarder"
	"foxtailflow.example/foxtailflow/internal/request/retrier"
)

// execution is the state of a worker's attempts at its request.
type execution struct {
	job    *Job
	writer carrier.ResponseWriter
	rule   definer.Rule
	// maxConnections bounds this node's connections to one endpoint; 0 means no
	// bound.
	maxConnections int
	// initial is the initial state of each attempt.
	initial  attempter.Attempt
	history  attempter.History
	progress carrier.Progress
	// prefilled is the prefilled prompt of the request until an attempt has
	// used it.
	prefilled prefilledPrompt
	// sentTo has the addresses that the request, or its prompt, may have been sent to.
	sentTo     []string
	eventsDone int
	lastEvent  uint64
	result     carrier.Result
	// failureResponse is a response by which an endpoint failed the request; it
	// is passed on if no other attempt gives a better one.
	failureResponse carrier.Response
	// freshConnection says that a kept connection broke under the request.
	// Connections tend to break together, so the next attempt opens a new one.
	freshConnection bool
	// chosenAt is when the endpoints of the current attempt were chosen.
	chosenAt time.Time
	// secondSent says that the request has had its second attempt for a slow response.
	secondSent bool
	// attempts counts the attempts, failedPrefills the engines that failed to
	// prefill the prompt.
	attempts       int
	failedPrefills int
}

// run makes attempts until the response is complete or no further attempt is
// allowed.
func (d *Dispatcher) run(job *Job, w carrier.ResponseWriter, rule definer.Rule, start attempter.Attempt) carrier.Result {
	r := job.request
	c := &execution{job: job, writer: w, rule: rule, initial: start, lastEvent: r.LastEvent, maxConnections: d.maxConnections(r.Route.Deployment)}
	d.creditBudget(r, rule)
	d.creditSecond(r, rule)
	for {
		if err := d.checkAttempt(c); err != nil {
			c.refuse(err)
			break
		}
		c.progress.Isolate = d.Quarantine != nil && d.Quarantine.Suspects(r)
		if c.prefilled.handle.ID == "" && r.PromptTokens <= maxDirectPrompt && !d.budgetAllows(r, rule) {
			// With separate prefill and decode engines, two engines may refuse the
			// request.
			c.progress.NoHandover = true
		}
		if err := d.awaitList(c); err != nil {
			c.refuse(err)
			break
		}
		c.chosenAt = d.Clock.Now()
		plan := d.Chooser.Choose(r, c.progress)
		if plan.Overloaded {
			c.refuse(coder.Refuse(coder.Overloaded, "deployment %s has more requests than it can serve in time", r.Route.Deployment).WithRetryAfter(plan.RetryIn))
			break
		}
		c.progress.Placed = true
		if plan.Prefill.OK && c.prefilled.handle.ID == "" {
			if !d.prefill(c, plan) {
				break
			}
			continue
		}
		if !plan.Run.OK {
			d.recordShortage(c)
			if d.awaitEndpoint(c, plan.RetryIn) {
				continue
			}
			if c.result.Err == nil {
				c.result.Err = coder.Refuse(coder.NoEndpoint, "no endpoint is available for the request").WithRetryAfter(max(rule.Backoff, plan.RetryIn))
			}
			break
		}
		if !d.attemptAt(c, plan) || !d.awaitRetry(c) {
			break
		}
		repeated.Add(1)
	}
	d.releasePrompt(c)
	d.passFailureResponse(c)
	return c.result
}

// awaitList waits for a list of endpoints that is young enough to choose from.
func (d *Dispatcher) awaitList(c *execution) error {
	if d.List == nil {
		return nil
	}
	return d.List.Await(c.job.ctx)
}

// awaitEndpoint sleeps until an endpoint may accept the request, and reports
// whether to choose again. It returns false at once if no endpoint may accept
// it or the request would be late by then, and false if the caller disconnects.
func (d *Dispatcher) awaitEndpoint(c *execution, wait time.Duration) bool {
	r := c.job.request
	until := r.Deadline
	if r.Route.LatencyTarget > 0 {
		until = r.Arrived.Add(r.Route.LatencyTarget)
	}
	if wait <= 0 || d.Clock.Now().Add(wait).After(until) {
		return false
	}
	// An endpoint that has refused the request may have capacity by then.
	c.progress.Tried = nil
	return d.Clock.Sleep(c.job.ctx, wait) == nil
}

// passFailureResponse passes on the response of an endpoint that failed the
// request if there is no better one.
func (d *Dispatcher) passFailureResponse(c *execution) {
	if c.result.Err == nil || c.result.ResponseBegun || !c.failureResponse.Present() || c.job.ctx.Err() != nil {
		return
	}
	c.result.ResponseBegun, c.result.Complete, c.result.Status = true, true, c.failureResponse.Head.Status
	c.result.Err = c.writer.Begin(c.job.ctx, c.failureResponse.Head)
	if c.result.Err == nil && len(c.failureResponse.Body) > 0 {
		c.result.Err = c.writer.Write(c.job.ctx, c.failureResponse.Body)
	}
}

// attemptAt makes an attempt at an endpoint. A stream that breaks there is
// resumed there once, because the engine still has its work on the prompt. It
// reports whether the request has failed so far, so that another attempt may be
// considered.
func (d *Dispatcher) attemptAt(c *execution, plan picker.Plan) bool {
	endTurn := d.enter(c)
	if endTurn == nil {
		return false
	}
	defer endTurn()
	var rep forwarder.Report
	if d.mayHaveSecond(c) {
		plan, rep = d.attemptTwice(c, plan, endTurn)
	} else {
		rep = d.attempt(c, plan, endTurn, false)
		c.history = c.history.WithAttempt(rep.Attempt, rep.ResponseBegun)
		c.apply(d, plan.Run.Endpoint, rep)
	}
	e := plan.Run.Endpoint
	if c.result.Err != nil && c.resumableAtEngine(rep) {
		resumed.Add(1)
		rep = d.attempt(c, plan, endTurn, true)
		c.history = c.history.WithResumed(rep.Attempt)
		c.apply(d, e, rep)
	}
	if c.result.Err != nil && rep.Attempt.Reached() >= attempter.Sending && c.isModel() {
		c.job.unfinished = append(c.job.unfinished, e.Address)
	}
	c.progress.Tried = append(c.progress.Tried, e.ID)
	return c.result.Err != nil
}

func (c *execution) isModel() bool { return c.job.request.Route.Kind == definer.Model }

// continuable reports whether a broken response can be continued: only the
// event stream of an engine can.
func (c *execution) continuable() bool {
	r := c.job.request
	return r.Stream && (r.Route.RetryPolicy == definer.RetryResume || c.isModel() && r.Route.RetryPolicy == definer.RetryByMethod)
}

// resumableAtEngine reports whether the engine may still have the stream.
func (c *execution) resumableAtEngine(rep forwarder.Report) bool {
	return c.job.request.Route.RetryPolicy == definer.RetryByMethod && c.continuable() && rep.ResponseBegun &&
		c.job.ctx.Err() == nil && coder.Is(rep.Attempt.Err(), coder.AnswerCut)
}

// recordSent records that the request may have been sent to an endpoint.
func (c *execution) recordSent(e picker.Endpoint, rep forwarder.Report) {
	if rep.Attempt.Reached() >= attempter.Sending && !slices.Contains(c.sentTo, e.Address) {
		c.sentTo = append(c.sentTo, e.Address)
	}
}

// recordAttempt records what an attempt implies for its endpoint.
func (d *Dispatcher) recordAttempt(c *execution, t *try, rep forwarder.Report) {
	e := t.endpoint
	c.attempts++
	c.result.Attempts = c.attempts
	if rep.HasLoad {
		d.Endpoints.RecordLoad(e.ID, rep.Load)
	}
	d.recordSlowdown(e, rep)
	if rep.Attempt.Complete() && !rep.SentAt.IsZero() {
		d.Endpoints.RecordServiceTime(e.ID, d.Clock.Now().Sub(rep.SentAt))
	}
	result := c.classify(rep.Attempt.Err())
	if result == picker.ResultRefused {
		d.recordShortage(c)
	}
	d.Endpoints.RecordDone(e.ID, t.work, result, c.rule)
	d.recordLife(c, e.ID, rep, t.begun)
	if err := rep.Attempt.Err(); err != nil && !coder.Is(err, coder.OtherAttemptUsed) {
		c.freshConnection = c.freshConnection || coder.Is(err, coder.ConnectionLost)
		explainer.LogAttempt(d.Log, explainer.FailedAttempt{
			Request: c.job.request.ID, Endpoint: e.ID, Attempt: c.attempts, Begun: t.begun, Parts: c.job.request.SharedParts(), OwnPart: c.job.request.OwnPart(), Err: err,
			HeadReceived: !rep.HeadAt.IsZero(), ConnectionReused: rep.ConnectionReused, Events: rep.Events,
		})
	}
}

// recordSlowdown records what the endpoint of an attempt has said of its speed.
func (d *Dispatcher) recordSlowdown(e picker.Endpoint, rep forwarder.Report) {
	if rep.HasLoad && rep.Load.Slowdown > 0 {
		d.Endpoints.RecordSlowdown(e.ID, picker.Slowdown{Factor: rep.Load.Slowdown, At: rep.HeadAt})
	}
}

// classify returns what the error of an attempt, if any, implies for the
// endpoint.
func (c *execution) classify(err error) picker.AttemptResult {
	switch code := coder.FromError(err).Code(); {
	case err == nil:
		return picker.ResultResponse
	// Codes 1xx are the caller's fault: it has disconnected, or its body failed. Codes 2xx
	// and 4xx are this node's.
	case c.job.ctx.Err() != nil, code/100 == 1, code/100 == 2, code/100 == 4, code == coder.ConnectionLost, heldBack(err):
		return picker.ResultNone
	case code == coder.EndpointRefused:
		return picker.ResultRefused
	case code == coder.EndpointReplaced:
		return picker.ResultReplaced
	}
	return picker.ResultFailed
}

// probablyRan reports whether a request without a response has probably begun
// to run: a plain service begins at once, and an engine has begun if only its
// response was lost.
func (c *execution) probablyRan(rep forwarder.Report) bool {
	if rep.Attempt.Outcome() != coder.Unknown {
		return false
	}
	return !c.isModel() || c.job.ctx.Err() == nil
}

// reportBegun reports that the request has begun to run, once.
func (d *Dispatcher) reportBegun(c *execution) {
	if !c.job.begunReported.CompareAndSwap(false, true) {
		return
	}
	if d.OnBegun != nil {
		d.OnBegun(c.job.request)
	}
}

// apply adds the report of an attempt to the result.
func (c *execution) apply(d *Dispatcher, e picker.Endpoint, rep forwarder.Report) {
	c.eventsDone, c.lastEvent = rep.Events, rep.LastEvent
	c.result.ResponseBegun = rep.ResponseBegun
	c.result.Endpoint = e.ID
	if rep.Status != 0 {
		c.result.Status = rep.Status
	}
	if rep.Usage.Reported {
		c.result.Usage = rep.Usage
	}
	if rep.FailureResponse.Present() {
		c.failureResponse = rep.FailureResponse
	}
	c.result.Complete = rep.Attempt.Complete()
	c.result.Err = d.failure(c)
}

// failure returns the error of the attempts so far, with the reason that ended
// them.
func (d *Dispatcher) failure(c *execution) error {
	err := c.history.Err()
	if err == nil || c.job.ctx.Err() == nil {
		return err
	}
	return d.endReason(c.job, err).WithOutcome(c.history.Outcome())
}

// endReason returns why the work on a job was ended from outside.
func (d *Dispatcher) endReason(job *Job, cause error) coder.Error {
	if !d.Clock.Now().Before(job.request.Deadline) {
		return coder.Wrap(coder.DeadlinePassed, cause, "the deadline has passed")
	}
	if d.stop.context().Err() != nil {
		return coder.Wrap(coder.DeadlinePassed, cause, "the time of the node to stop has ended")
	}
	return coder.Wrap(coder.CallerGone, cause, "the caller has disconnected")
}

// awaitRetry reports whether another attempt is allowed, after its backoff
// delay.
func (d *Dispatcher) awaitRetry(c *execution) bool {
	r := c.job.request
	request := attempter.Request{
		Idempotent:  r.Route.MayRetry(r.Method),
		Repeatable:  r.Body.Repeatable(),
		Continuable: c.continuable(),
		MaxAttempts: c.rule.Attempts,
		MaxRuns:     r.Route.Attempts,
	}
	if r.Route.Attempts > 0 {
		request.MaxAttempts = r.Route.Attempts + maxRefusals
	}
	if c.history.Retry(request) != attempter.Allowed || c.job.ctx.Err() != nil || !d.mayRepeat(c) {
		return false
	}
	if !d.chargeRetry(c) {
		return false
	}
	if heldBack(c.history.Err()) {
		// Nothing has failed that could recover in the meantime.
		return true
	}
	left := r.Deadline.Sub(d.Clock.Now())
	delay, ok := retrier.Backoff(c.rule.Backoff, c.history.Count(), d.Random(), left)
	return ok && d.Clock.Sleep(c.job.ctx, delay) == nil
}

// maxRefusals is how many refusals by endpoints a request survives, besides the
// runs that its route allows, before the caller is told to retry later.
const maxRefusals = 3

// chargeRetry takes another attempt out of the retry budget if it counts, and
// reports whether it may be made.
func (d *Dispatcher) chargeRetry(c *execution) bool {
	if c.history.Outcome() == coder.NotRun && (!c.rule.CountRefused || !mayHaveArrived(c.history.Err())) {
		// A request that did not arrive or run has cost no endpoint anything.
		return true
	}
	if !d.takeRetry(c.job.request, c.rule) {
		budgetSpent.Add(1)
		return false
	}
	return true
}

// mayHaveArrived reports whether a request that failed may have reached an
// endpoint.
func mayHaveArrived(err error) bool {
	switch coder.FromError(err).Code() {
	case coder.EndpointUnreachable, coder.ConnectionsFull:
		return false
	}
	return !heldBack(err)
}

// heldBack reports whether a request was not sent because of what its endpoint has said
// before, or of what the list says of it by now.
func heldBack(err error) bool {
	switch coder.FromError(err).Code() {
	case coder.EndpointLimited, coder.EndpointLeaving, coder.EndpointPaused, coder.ListOutdated:
		return true
	}
	return false
}

// connectionSkew is how many times its even share of an endpoint's connections
// a node may have: a balancer sends some nodes twice the requests of others, so
// even shares would leave connections unused.
const connectionSkew = 2

// maxConnections returns this node's share of the connections that an endpoint
// of a deployment accepts; 0 means no bound.
func (d *Dispatcher) maxConnections(deployment string) int {
	cfg, err := d.Configs.Config()
	if err != nil {
		return 0
	}
	dep, ok := cfg.Deployment(deployment)
	if !ok || dep.MaxConnections == 0 {
		return 0
	}
	return max(connectionSkew*dep.MaxConnections/d.nodes(), 1)
}

// nodes returns the number of nodes.
func (d *Dispatcher) nodes() int {
	if d.Nodes == nil {
		return 1
	}
	return d.Nodes()
}

// creditBudget adds a request's share of a retry to the budget of its
// deployment.
func (d *Dispatcher) creditBudget(r carrier.Request, rule definer.Rule) {
	d.budget(r, rule, func(b retrier.Bucket, reserve float64) retrier.Bucket {
		return b.WithRequest(rule.RetryShare, reserve)
	})
}

// takeRetry takes a retry out of the budget, and reports whether there was one.
func (d *Dispatcher) takeRetry(r carrier.Request, rule definer.Rule) (taken bool) {
	d.budget(r, rule, func(b retrier.Bucket, _ float64) retrier.Bucket {
		b, taken = b.WithRetry()
		return b
	})
	return taken
}

// budgetAllows reports whether the budget has a retry.
func (d *Dispatcher) budgetAllows(r carrier.Request, rule definer.Rule) (allowed bool) {
	d.budget(r, rule, func(b retrier.Bucket, _ float64) retrier.Bucket {
		allowed = b.Allows()
		return b
	})
	return allowed
}

// budget changes the retry budget of a request's deployment; change receives
// the budget and its maximum. A budget shared by all nodes is divided among
// them.
func (d *Dispatcher) budget(r carrier.Request, rule definer.Rule, change func(retrier.Bucket, float64) retrier.Bucket) {
	reserve, initial := float64(retrier.DefaultReserve), retrier.FullBucket(retrier.DefaultReserve)
	if rule.RetryBurst > 0 {
		reserve, initial = rule.RetryBurst/float64(d.nodes()), retrier.Bucket{}
	}
	d.Budgets.Update(r.Route.Deployment, func(b retrier.Bucket, ok bool) (retrier.Bucket, bool) {
		if !ok {
			b = initial
		}
		return change(b, reserve), true
	})
}
