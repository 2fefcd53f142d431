package dispatcher

import (
	"context"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/decision/explainer"
	"foxtailflow.example/foxtailflow/internal/decision/picker"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
	"foxtailflow.example/foxtailflow/internal/request/forwarder"
)

// readPrompt is a prompt that an engine keeps for the engine that answers.
type readPrompt struct {
	handle   carrier.Handle
	endpoint picker.Endpoint
}

// maxReads is how many engines are asked to read one prompt; after that, the
// engine that answers reads it.
const maxReads = 2

// shortPrompt is the size of a prompt, in tokens, up to which the engine that
// answers reads it where there is no retry for a refused reading: it holds up
// the other answers there for less than a tenth of a second.
const shortPrompt = 1500

// read has an engine read the prompt, and reports whether the request goes on.
//
// An engine that refuses or fails has not begun the answer, so the next one is
// asked, or the one that answers reads the prompt itself.
func (d *Dispatcher) read(c *course, plan picker.Plan) bool {
	r, e := c.job.request, plan.Read.Endpoint
	w := r.PromptTokens
	d.Endpoints.Sent(e.ID, w)
	h, rep := d.Forwarder.Read(c.job.ctx, forwarder.Attempt{
		Request:     r,
		Endpoint:    e.Instance,
		Address:     e.Address,
		Connections: c.connections,
		Fresh:       c.reset,
		Fetch:       plan.Fetch,
	})
	c.sends++
	err := rep.Attempt.Err()
	d.Endpoints.Done(e.ID, w, c.sign(err), c.rule)
	if err == nil {
		c.source = readPrompt{handle: h, endpoint: e}
		c.progress.Source = h
		c.result.ReadAt = d.Clock.Now()
		// The first prompt that is read costs nothing of the budget.
		c.sends--
		return true
	}
	c.reset = c.reset || coder.Is(err, coder.ConnectionLost)
	explainer.LogReading(d.Log, r.ID, e.ID, err)
	if c.job.ctx.Err() != nil {
		c.result.Err = d.ended(c.job, err).WithOutcome(coder.NotRun)
		return false
	}
	c.progress.Tried = append(c.progress.Tried, e.ID)
	c.reads++
	c.progress.Direct = c.reads >= maxReads
	if !arrived(err) || d.payOut(r, c.rule) {
		return true
	}
	overrun.Add(1)
	c.result.Err = coder.Wrap(coder.EndpointRefused, err, "no engine read the prompt").WithOutcome(coder.NotRun).WithRetryAfter(c.rule.Backoff)
	return false
}

// releaseWait bounds a message that only saves an engine memory.
const releaseWait = 500 * time.Millisecond

// release gives a prompt back that no engine has taken.
func (d *Dispatcher) release(c *course) {
	if c.source.handle.ID == "" || d.Engines == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.job.ctx), releaseWait)
	defer cancel()
	if err := d.Engines.Release(ctx, c.source.handle); err != nil {
		d.Log.Info().Str("request", c.job.request.ID).Str("endpoint", c.source.endpoint.ID).Err(err).Msg("prompt not released")
	}
}
