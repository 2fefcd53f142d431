package dispatcher

import (
	"context"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/decision/explainer"
	"foxtailflow.example/foxtailflow/internal/decision/picker"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
)

// prefilledPrompt is a prompt that an engine keeps for the engine that
// generates the response.
type prefilledPrompt struct {
	handle   carrier.PromptHandle
	endpoint picker.Endpoint
}

// maxPrefills is how many engines are asked to prefill one prompt; after that,
// the engine that generates the response prefills it.
const maxPrefills = 2

// maxDirectPrompt is the size of a prompt, in tokens, up to which the engine
// that generates the response also prefills it if there is no retry for a
// refused prefill: this delays the other responses there by less than a tenth
// of a second.
const maxDirectPrompt = 1500

// prefill has an engine prefill the prompt, and reports whether the request
// goes on.
//
// An engine that refuses or fails has not begun the response, so another one is
// asked, or the engine that generates the response prefills the prompt itself.
func (d *Dispatcher) prefill(c *execution, plan picker.Plan) bool {
	r, e := c.job.request, plan.Prefill.Endpoint
	work := plan.Prefill.Basis.PrefillTokens(r.PromptTokens)
	d.Endpoints.RecordSent(e.ID, work)
	a := d.newAttempt(c, e)
	a.FetchFrom = plan.FetchFrom
	h, rep := d.Forwarder.Prefill(c.job.ctx, a)
	c.recordSent(e, rep)
	d.recordDelay(c, &try{endpoint: e, chosenAt: c.chosenAt}, rep)
	d.recordSlowdown(e, rep)
	c.attempts++
	err := rep.Attempt.Err()
	d.Endpoints.RecordDone(e.ID, work, c.classify(err), c.rule)
	if d.Quarantine != nil && !rep.HeadAt.IsZero() {
		d.Quarantine.RecordResponse(e.ID, rep.SentAt)
	}
	if err == nil {
		c.prefilled = prefilledPrompt{handle: h, endpoint: e}
		c.progress.Source = h
		c.result.PrefilledAt = d.Clock.Now()
		if plan.FetchFrom == "" {
			d.Endpoints.RecordPrefillTime(e.ID, plan.Prefill.Basis.QueuedTokens+work, rep.HeadAt.Sub(rep.SentAt))
		}
		// A successful prefill does not count as an attempt.
		c.attempts--
		return true
	}
	c.freshConnection = c.freshConnection || coder.Is(err, coder.ConnectionLost)
	explainer.LogPrefillFailure(d.Log, r.ID, e.ID, err)
	if c.job.ctx.Err() != nil {
		c.result.Err = d.endReason(c.job, err).WithOutcome(c.history.Outcome())
		return false
	}
	c.progress.Tried = append(c.progress.Tried, e.ID)
	if !heldBack(err) {
		c.failedPrefills++
	}
	c.progress.NoHandover = c.failedPrefills >= maxPrefills
	if !mayHaveArrived(err) || d.takeRetry(r, c.rule) {
		return true
	}
	budgetSpent.Add(1)
	c.result.Err = coder.Wrap(coder.EndpointRefused, err, "no engine prefilled the prompt").WithOutcome(c.history.Outcome()).WithRetryAfter(c.rule.Backoff)
	return false
}

// releaseTimeout bounds a message that only saves an engine memory.
const releaseTimeout = 500 * time.Millisecond

// releasePrompt releases a prefilled prompt that no engine has fetched.
func (d *Dispatcher) releasePrompt(c *execution) {
	if c.prefilled.handle.ID == "" || d.Engines == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.job.ctx), releaseTimeout)
	defer cancel()
	if err := d.Engines.Release(ctx, c.prefilled.handle); err != nil {
		d.Log.Info().Str("request", c.job.request.ID).Str("endpoint", c.prefilled.endpoint.ID).Err(err).Msg("prefilled prompt not released")
	}
}
