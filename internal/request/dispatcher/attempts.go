package dispatcher

import (
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

// course is what a worker knows of the attempts at its request.
type course struct {
	job   *Job
	reply carrier.Reply
	rule  definer.Rule
	// connections bounds this node's connections to one endpoint; 0 means no
	// bound.
	connections int
	// start is the state in which each attempt begins.
	start    attempter.Attempt
	history  attempter.History
	progress carrier.Progress
	// source has the prompt of the request until an attempt has used it up.
	source readPrompt
	events int
	last   string
	result carrier.Result
	// held is an answer by which an endpoint failed the request; it is passed
	// on if no other attempt gives a better one.
	held carrier.Answer
	// reset says that a kept connection broke under the request. Connections
	// break together, so the next attempt takes a new one.
	reset bool
	// sends counts the attempts, reads the engines that did not read the prompt.
	sends int
	reads int
}

// run makes attempts until the answer is whole or no further one is allowed.
func (d *Dispatcher) run(job *Job, reply carrier.Reply, rule definer.Rule, start attempter.Attempt) carrier.Result {
	r := job.request
	c := &course{job: job, reply: reply, rule: rule, start: start, last: r.After, connections: d.connections(r.Route.Deployment)}
	d.payIn(r, rule)
	for {
		if c.source.handle.ID == "" && r.PromptTokens <= shortPrompt && !d.mayRetry(r, rule) {
			// Two engines may refuse it where one reads and another answers.
			c.progress.Direct = true
		}
		plan := d.Chooser.Choose(r, c.progress)
		if plan.Read.OK && c.source.handle.ID == "" {
			if !d.read(c, plan) {
				break
			}
			continue
		}
		if !plan.Run.OK {
			if d.await(c, plan.Wait) {
				continue
			}
			if c.result.Err == nil {
				c.result.Err = coder.Refuse(coder.NoEndpoint, "no endpoint can take the request").WithRetryAfter(rule.Backoff)
			}
			break
		}
		if !d.tryAt(c, plan) || !d.mayRepeat(c) {
			break
		}
		repeated.Add(1)
	}
	d.release(c)
	d.passHeld(c)
	return c.result
}

// await waits until an endpoint may take the request, and reports whether that
// is worth it: not once the request is late or its caller has left.
func (d *Dispatcher) await(c *course, wait time.Duration) bool {
	r := c.job.request
	until := r.Deadline
	if r.Route.Target > 0 {
		until = r.Arrived.Add(r.Route.Target)
	}
	if wait <= 0 || d.Clock.Now().Add(wait).After(until) {
		return false
	}
	// An endpoint that has refused the request may have room by then.
	c.progress.Tried = nil
	return d.Clock.Sleep(c.job.ctx, wait) == nil
}

// passHeld passes on the answer of an endpoint that failed the request, where
// nothing better came.
func (d *Dispatcher) passHeld(c *course) {
	if c.result.Err == nil || c.result.Begun || !c.held.Held() || c.job.ctx.Err() != nil {
		return
	}
	c.result.Begun, c.result.Whole, c.result.Status = true, true, c.held.Head.Status
	c.result.Err = c.reply.Begin(c.job.ctx, c.held.Head)
	if c.result.Err == nil && len(c.held.Body) > 0 {
		c.result.Err = c.reply.Write(c.job.ctx, c.held.Body)
	}
}

// tryAt makes an attempt at an endpoint. A stream that breaks there is resumed
// there once: the engine still has its work on the prompt. It reports whether
// another attempt is worth thinking of.
func (d *Dispatcher) tryAt(c *course, plan picker.Plan) bool {
	e := plan.Run.Endpoint
	rep := d.attempt(c, plan, false)
	c.history = c.history.WithAttempt(rep.Attempt, rep.Begun)
	c.take(d, e, rep)
	if c.result.Err != nil && c.resumable(rep) {
		resumed.Add(1)
		rep = d.attempt(c, plan, true)
		c.history = c.history.WithResumed(rep.Attempt)
		c.take(d, e, rep)
	}
	if c.result.Err != nil && rep.Attempt.Reached() >= attempter.Sending && c.model() {
		c.job.left = append(c.job.left, e.Address)
	}
	c.progress.Tried = append(c.progress.Tried, e.ID)
	return c.result.Err != nil
}

func (c *course) model() bool { return c.job.request.Route.Kind == definer.Model }

// continues reports whether an answer that broke can be continued: only the
// event stream of an engine can.
func (c *course) continues() bool {
	r := c.job.request
	return r.Stream && (r.Route.Repeat == definer.RepeatResume || c.model() && r.Route.Repeat == definer.RepeatByMethod)
}

// resumable reports whether the engine may still have the stream.
func (c *course) resumable(rep forwarder.Report) bool {
	return c.job.request.Route.Repeat == definer.RepeatByMethod && c.continues() && rep.Begun &&
		c.job.ctx.Err() == nil && coder.Is(rep.Attempt.Err(), coder.AnswerCut)
}

func (d *Dispatcher) attempt(c *course, plan picker.Plan, resume bool) forwarder.Report {
	r, e := c.job.request, plan.Run.Endpoint
	a := forwarder.Attempt{
		Request:     r,
		Endpoint:    e.Instance,
		Address:     e.Address,
		Connections: c.connections,
		Fresh:       c.reset,
		Start:       c.start,
		Begun:       c.history.Begun(),
		From:        c.events,
		After:       c.last,
		Resume:      resume,
		Source:      c.source.handle,
		IdleTimeout: c.rule.IdleTimeout,
	}
	if a.Source.ID == "" {
		a.Fetch = plan.Fetch
	}
	if r.MayRepeat() {
		a.FirstTimeout = c.rule.FirstTimeout
	}
	w := r.PromptTokens
	if a.Source.ID != "" {
		w = 0
	}
	a.OnFirst = func() {
		d.Endpoints.Read(e.ID, w)
		w = 0
		c.result.FirstAt = d.Clock.Now()
		d.begun(c)
	}
	d.Endpoints.Sent(e.ID, w)
	rep := d.Forwarder.Forward(c.job.ctx, a, c.reply)
	d.note(c, e, w, rep)
	if c.probablyBegan(rep) {
		d.begun(c)
	}
	// A handle can be used once; an endpoint that refused has left it alone.
	if rep.Attempt.Outcome() == coder.Unknown || rep.Attempt.Whole() {
		c.source = readPrompt{}
	}
	return rep
}

// note tells what an attempt says of its endpoint.
func (d *Dispatcher) note(c *course, e picker.Endpoint, work int, rep forwarder.Report) {
	c.sends++
	c.result.Attempts = c.sends
	if rep.Loaded {
		d.Endpoints.Report(e.ID, rep.Load)
	}
	d.Endpoints.Done(e.ID, work, c.sign(rep.Attempt.Err()), c.rule)
	if err := rep.Attempt.Err(); err != nil {
		c.reset = c.reset || coder.Is(err, coder.ConnectionLost)
		explainer.LogAttempt(d.Log, c.job.request.ID, e.ID, c.sends, err)
	}
}

// sign returns what a failure tells of the endpoint.
func (c *course) sign(err error) picker.Sign {
	switch code := coder.Of(err).Code(); {
	case err == nil:
		return picker.SignGood
	// Results 1xx are the caller's fault: it has left, or its body failed.
	case c.job.ctx.Err() != nil, code/100 == 1, code == coder.ConnectionLost, code == coder.ConnectionsFull:
		return picker.SignNone
	case code == coder.EndpointRefused:
		return picker.SignFull
	case code == coder.EndpointReplaced:
		return picker.SignReplaced
	}
	return picker.SignFailed
}

// probablyBegan reports whether a request without an answer has probably begun
// to run: a plain service begins at once, an engine has begun if nothing but its
// answer was lost.
func (c *course) probablyBegan(rep forwarder.Report) bool {
	if rep.Attempt.Outcome() != coder.Unknown {
		return false
	}
	return !c.model() || c.job.ctx.Err() == nil
}

// begun notes that the request has begun to run, once.
func (d *Dispatcher) begun(c *course) {
	if c.job.began {
		return
	}
	c.job.began = true
	if d.Begun != nil {
		d.Begun(c.job.request)
	}
}

// take adds the report of an attempt to the result.
func (c *course) take(d *Dispatcher, e picker.Endpoint, rep forwarder.Report) {
	c.events, c.last = rep.Events, rep.Last
	c.result.Begun = rep.Begun
	c.result.Endpoint = e.ID
	if rep.Status != 0 {
		c.result.Status = rep.Status
	}
	if rep.Usage.Reported {
		c.result.Usage = rep.Usage
	}
	if rep.Held.Held() {
		c.held = rep.Held
	}
	c.result.Whole = rep.Attempt.Whole()
	c.result.Err = d.failure(c)
}

// failure names the failure of the attempts so far by what ended them.
func (d *Dispatcher) failure(c *course) error {
	err := c.history.Err()
	if err == nil || c.job.ctx.Err() == nil {
		return err
	}
	return d.ended(c.job, err).WithOutcome(c.history.Outcome())
}

// ended names why the work on a job has ended from outside.
func (d *Dispatcher) ended(job *Job, cause error) coder.Error {
	if !d.Clock.Now().Before(job.request.Deadline) {
		return coder.Wrap(coder.DeadlinePassed, cause, "the deadline has passed")
	}
	return coder.Wrap(coder.CallerGone, cause, "the caller has left")
}

// mayRepeat reports whether another attempt is allowed, once its delay is over.
func (d *Dispatcher) mayRepeat(c *course) bool {
	r := c.job.request
	request := attempter.Request{
		Idempotent: r.Route.MayRepeat(r.Method),
		Repeatable: r.Body.Repeatable(),
		Continues:  c.continues(),
		Attempts:   c.rule.Attempts,
		Runs:       r.Route.Attempts,
	}
	if r.Route.Attempts > 0 {
		request.Attempts = r.Route.Attempts + maxRefusals
	}
	if c.history.Retry(request) != attempter.Allowed || c.job.ctx.Err() != nil {
		return false
	}
	if !d.payFor(c) {
		return false
	}
	left := r.Deadline.Sub(d.Clock.Now())
	wait, ok := retrier.Backoff(c.rule.Backoff, c.history.Count(), d.Random(), left)
	return ok && d.Clock.Sleep(c.job.ctx, wait) == nil
}

// maxRefusals is how often a request is refused by endpoints, beside the runs
// that its route allows, before the caller is told to come back.
const maxRefusals = 3

// payFor takes another attempt out of the retry budget, if it counts.
func (d *Dispatcher) payFor(c *course) bool {
	if c.history.Outcome() == coder.NotRun && (!c.rule.CountRefused || !arrived(c.history.Err())) {
		// What did not arrive, or did not run, has cost no endpoint anything.
		return true
	}
	if !d.payOut(c.job.request, c.rule) {
		overrun.Add(1)
		return false
	}
	return true
}

// arrived reports whether a request that failed may have reached an endpoint.
func arrived(err error) bool {
	return !coder.Is(err, coder.EndpointUnreachable) && !coder.Is(err, coder.ConnectionsFull)
}

// unevenness is how many times its even part of an endpoint's connections a node
// may have: a balancer gives some nodes twice the requests of others, and an
// even part for each leaves connections unused.
const unevenness = 2

// connections returns this node's part of the connections that an endpoint of a
// deployment takes; 0 means no bound.
func (d *Dispatcher) connections(deployment string) int {
	cfg, err := d.Configs.Config()
	if err != nil {
		return 0
	}
	dep, ok := cfg.Deployment(deployment)
	if !ok || dep.MaxConnections == 0 {
		return 0
	}
	return max(unevenness*dep.MaxConnections/d.nodes(), 1)
}

// nodes returns the number of nodes.
func (d *Dispatcher) nodes() int {
	if d.Nodes == nil {
		return 1
	}
	return d.Nodes()
}

// payIn adds a request's share of a retry to its budget.
func (d *Dispatcher) payIn(r carrier.Request, rule definer.Rule) {
	d.budget(r, rule, func(b retrier.Bucket, reserve float64) retrier.Bucket {
		return b.WithRequest(rule.RetryShare, reserve)
	})
}

// payOut takes a retry out of the budget, if there is one.
func (d *Dispatcher) payOut(r carrier.Request, rule definer.Rule) (paid bool) {
	d.budget(r, rule, func(b retrier.Bucket, _ float64) retrier.Bucket {
		b, paid = b.WithRetry()
		return b
	})
	return paid
}

// mayRetry reports whether the budget has a retry.
func (d *Dispatcher) mayRetry(r carrier.Request, rule definer.Rule) (may bool) {
	d.budget(r, rule, func(b retrier.Bucket, _ float64) retrier.Bucket {
		may = b.Allows()
		return b
	})
	return may
}

// budget changes the retry budget of a request's deployment; change gets the
// most that it holds. A budget that all nodes share is divided among them.
func (d *Dispatcher) budget(r carrier.Request, rule definer.Rule, change func(retrier.Bucket, float64) retrier.Bucket) {
	reserve, initial := float64(retrier.Reserve), retrier.Full(retrier.Reserve)
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
