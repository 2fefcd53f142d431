package dispatcher

import (
	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/config/definer"
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
	// start is the state in which each attempt begins.
	start   attempter.Attempt
	history attempter.History
	tried   []string
	events  int
	result  carrier.Result
}

// run makes attempts until the answer is whole or no further one is allowed.
func (d *Dispatcher) run(job *Job, reply carrier.Reply, rule definer.Rule, start attempter.Attempt) carrier.Result {
	c := &course{job: job, reply: reply, rule: rule, start: start}
	d.payIn(job.request, rule)
	for {
		choice := d.Chooser.Choose(job.request, c.tried)
		if !choice.OK {
			if c.result.Err == nil {
				c.result.Err = coder.Refuse(coder.NoEndpoint, "no endpoint can take the request").WithRetryAfter(rule.Backoff)
			}
			return c.result
		}
		if !d.tryAt(c, choice.Endpoint) || !d.mayRepeat(c) {
			return c.result
		}
		repeated.Add(1)
	}
}

// tryAt makes an attempt at an endpoint. A stream that breaks there is resumed
// there once: the engine still has its work on the prompt. It reports whether
// another attempt is worth thinking of.
func (d *Dispatcher) tryAt(c *course, e picker.Endpoint) bool {
	rep := d.attempt(c, e, false)
	c.history = c.history.WithAttempt(rep.Attempt, rep.Begun)
	c.take(d, e, rep)
	if c.result.Err != nil && c.resumable(rep) {
		resumed.Add(1)
		rep = d.attempt(c, e, true)
		c.history = c.history.WithResumed(rep.Attempt)
		c.take(d, e, rep)
	}
	if c.result.Err != nil && rep.Attempt.Reached() >= attempter.Sending && c.model() {
		c.job.left = append(c.job.left, e.Address)
	}
	c.tried = append(c.tried, e.ID)
	return c.result.Err != nil
}

func (c *course) model() bool { return c.job.request.Route.Kind == definer.Model }

// continues reports whether an answer that broke can be continued: only the
// event stream of an engine can.
func (c *course) continues() bool { return c.job.request.Stream && c.model() }

// resumable reports whether the engine may still have the stream.
func (c *course) resumable(rep forwarder.Report) bool {
	return c.continues() && rep.Begun && c.job.ctx.Err() == nil && coder.Is(rep.Attempt.Err(), coder.AnswerCut)
}

func (d *Dispatcher) attempt(c *course, e picker.Endpoint, resume bool) forwarder.Report {
	r := c.job.request
	w := r.Work()
	d.Endpoints.Sent(e.ID, w)
	rep := d.Forwarder.Forward(c.job.ctx, forwarder.Attempt{
		Request:     r,
		Address:     e.Address,
		Start:       c.start,
		Begun:       c.history.Begun(),
		From:        c.events,
		Resume:      resume,
		IdleTimeout: c.rule.IdleTimeout,
	}, c.reply)
	err := rep.Attempt.Err()
	// Results 1xx are the caller's fault: it has left, or its body failed.
	blame := err != nil && c.job.ctx.Err() == nil && coder.Of(err).Code()/100 != 1
	d.Endpoints.Done(e.ID, w, !blame, c.rule)
	return rep
}

// take adds the report of an attempt to the result.
func (c *course) take(d *Dispatcher, e picker.Endpoint, rep forwarder.Report) {
	c.events = rep.Events
	c.result.Begun = rep.Begun
	c.result.Endpoint = e.ID
	if rep.Status != 0 {
		c.result.Status = rep.Status
	}
	if rep.Usage.Reported {
		c.result.Usage = rep.Usage
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
	code, text := coder.CallerGone, "the caller has left"
	if !d.Clock.Now().Before(c.job.request.Deadline) {
		code, text = coder.DeadlinePassed, "the deadline has passed"
	}
	return coder.Wrap(code, err, "%s", text).WithOutcome(c.history.Outcome())
}

// mayRepeat reports whether another attempt is allowed, once its delay is over.
func (d *Dispatcher) mayRepeat(c *course) bool {
	r := c.job.request
	refusal := c.history.Retry(attempter.Request{
		Idempotent: r.Route.MayRepeat(r.Method),
		Repeatable: r.Body.Repeatable(),
		Continues:  c.continues(),
		Attempts:   c.rule.Attempts,
	})
	if refusal != attempter.Allowed || c.job.ctx.Err() != nil {
		return false
	}
	// An attempt that did not run has cost no endpoint anything.
	if c.history.Outcome() == coder.Unknown && !d.payOut(r) {
		overrun.Add(1)
		return false
	}
	left := r.Deadline.Sub(d.Clock.Now())
	wait, ok := retrier.Backoff(c.rule.Backoff, c.history.Count(), d.Random(), left)
	return ok && d.Clock.Sleep(c.job.ctx, wait) == nil
}

func payer(r carrier.Request) Payer {
	return Payer{Route: r.Route.Name, Account: r.Account}
}

// payIn adds a request's share of a retry to its budget.
func (d *Dispatcher) payIn(r carrier.Request, rule definer.Rule) {
	d.Budgets.Update(payer(r), func(b retrier.Bucket, _ bool) (retrier.Bucket, bool) {
		b = b.WithRequest(rule.RetryShare)
		// A full bucket is the same as none, so the table holds few rows.
		return b, b != retrier.Bucket{}
	})
}

// payOut takes a retry out of the budget, if there is one.
func (d *Dispatcher) payOut(r carrier.Request) (paid bool) {
	d.Budgets.Update(payer(r), func(b retrier.Bucket, _ bool) (retrier.Bucket, bool) {
		b, paid = b.WithRetry()
		return b, true
	})
	return paid
}
