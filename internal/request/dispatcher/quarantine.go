package dispatcher

import (
	"net/http"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/request/attempter"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
	"foxtailflow.example/foxtailflow/internal/request/forwarder"
)

// checkPrompt refuses a request whose prompt crashes endpoints.
func (d *Dispatcher) checkPrompt(r carrier.Request) error {
	if d.Quarantine == nil {
		return nil
	}
	return d.Quarantine.Check(r)
}

// enter waits for the turn of a request that may crash its endpoint. If the request
// must not be sent any more, it returns nil and sets the error of the result.
func (d *Dispatcher) enter(c *execution) (done func()) {
	if d.Quarantine == nil {
		return func() {}
	}
	done, err := d.Quarantine.Enter(c.job.ctx, c.job.request)
	if err != nil {
		c.refuse(err)
		return nil
	}
	return done
}

// refuse ends a request that no further endpoint may get. What earlier attempts have
// done stays as it is.
func (c *execution) refuse(err error) {
	c.result.Err = coder.FromError(err).WithOutcome(c.history.Outcome())
}

// recordLife records what an attempt shows of the endpoint and of the prompt: that the
// endpoint is up, that it may have ended before it began to respond, or that the prompt
// does no harm.
func (d *Dispatcher) recordLife(c *execution, endpoint string, rep forwarder.Report, begun bool) {
	if d.Quarantine == nil {
		return
	}
	if !rep.HeadAt.IsZero() {
		d.Quarantine.RecordResponse(endpoint, rep.SentAt)
	}
	switch {
	case rep.Attempt.Complete() && rep.Status < http.StatusMultipleChoices:
		d.Quarantine.RecordAnswered(c.job.request)
	case !begun && c.job.ctx.Err() == nil && connectionBroke(rep):
		d.Quarantine.RecordBroken(endpoint, c.job.request)
	}
}

// connectionBroke reports whether an attempt ended because its connection broke after
// the request may have reached the endpoint.
func connectionBroke(rep forwarder.Report) bool {
	if rep.Attempt.Reached() < attempter.Sending || rep.FailureResponse.Present() {
		return false
	}
	switch coder.FromError(rep.Attempt.Err()).Code() {
	case coder.ConnectionLost, coder.AnswerCut:
		return true
	case coder.EndpointFailed:
		return rep.HeadAt.IsZero()
	}
	return false
}

// mayRepeat reports whether a request whose last attempt may have ended its endpoint
// may be sent to another one.
func (d *Dispatcher) mayRepeat(c *execution) bool {
	return d.Quarantine == nil || c.history.Outcome() == coder.NotRun || d.Quarantine.MayRepeat(c.job.request)
}
