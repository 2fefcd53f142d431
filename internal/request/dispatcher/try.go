package dispatcher

import (
	"context"
	"slices"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/decision/picker"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
	"foxtailflow.example/foxtailflow/internal/request/forwarder"
)

// try is one attempt at an endpoint and what is to be recorded of it.
type try struct {
	endpoint picker.Endpoint
	attempt  forwarder.Attempt
	// chosenAt is when the endpoint was chosen.
	chosenAt time.Time
	// work is the part of the prompt that the endpoint has not prefilled yet, in tokens.
	work int
	// begun says that the endpoint had begun its response.
	begun bool
}

// newAttempt returns an attempt at an endpoint with what does not depend on the phase.
func (d *Dispatcher) newAttempt(c *execution, e picker.Endpoint) forwarder.Attempt {
	return forwarder.Attempt{
		Request:       c.job.request,
		Endpoint:      e.Instance,
		EndpointID:    e.ID,
		Address:       e.Address,
		Connections:   c.maxConnections,
		NewConnection: c.freshConnection,
		Resent:        slices.Contains(c.sentTo, e.Address),
		Check:         func() error { return d.checkAttempt(c) },
	}
}

// newTry returns an attempt at the endpoint of a plan; source is the prefilled prompt that
// it uses.
func (d *Dispatcher) newTry(c *execution, plan picker.Plan, source carrier.PromptHandle, resume bool) *try {
	r, e := c.job.request, plan.Run.Endpoint
	a := d.newAttempt(c, e)
	a.InitialState, a.ResponseBegun = c.initial, c.history.PartlyDelivered()
	a.EventsDone, a.LastEvent, a.Resume = c.eventsDone, c.lastEvent, resume
	a.Source, a.IdleTimeout = source, c.rule.IdleTimeout
	t := &try{endpoint: e, chosenAt: c.chosenAt}
	if a.Source.ID == "" {
		a.FetchFrom = plan.FetchFrom
		t.work = plan.Run.Basis.PrefillTokens(r.PromptTokens)
	}
	if r.MayRetry() {
		a.FirstByteTimeout = c.rule.FirstByteTimeout
	}
	t.attempt = a
	return t
}

// attempt makes one attempt. It ends the turn of the request when the endpoint has begun
// to respond.
func (d *Dispatcher) attempt(c *execution, plan picker.Plan, endTurn func(), resume bool) forwarder.Report {
	t := d.newTry(c, plan, c.prefilled.handle, resume)
	t.attempt.OnFirstData = func() { d.recordFirstData(c, t, endTurn) }
	rep := d.send(c.job.ctx, t, c.writer)
	d.recordTry(c, t, rep)
	return rep
}

// send makes an attempt and passes the response to w.
func (d *Dispatcher) send(ctx context.Context, t *try, w carrier.ResponseWriter) forwarder.Report {
	d.Endpoints.RecordSent(t.endpoint.ID, t.work)
	return d.Forwarder.Forward(ctx, t.attempt, w)
}

// recordFirstData records that the first data of the response that the caller gets has
// arrived.
func (d *Dispatcher) recordFirstData(c *execution, t *try, endTurn func()) {
	t.begun = true
	endTurn()
	d.Endpoints.RecordPrefilled(t.endpoint.ID, t.work)
	t.work = 0
	c.result.FirstDataAt = d.Clock.Now()
	d.reportBegun(c)
}

// recordTry records the end of an attempt.
func (d *Dispatcher) recordTry(c *execution, t *try, rep forwarder.Report) {
	c.recordSent(t.endpoint, rep)
	d.recordDelay(c, t, rep)
	d.recordAttempt(c, t, rep)
	if c.probablyRan(rep) {
		d.reportBegun(c)
	}
	// A handle can be used once; an endpoint that refused has not used it.
	if t.attempt.Source.ID != "" && (rep.Attempt.Outcome() == coder.Unknown || rep.Attempt.Complete()) {
		c.prefilled = prefilledPrompt{}
	}
}
