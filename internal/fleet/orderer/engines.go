package orderer

import (
	"context"
	"slices"

	"github.com/sourcegraph/conc/pool"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/decision/picker"
	"foxtailflow.example/foxtailflow/internal/engine/speaker"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

// observation is what one look at an endpoint showed.
type observation struct {
	endpoint picker.Endpoint
	status     engineStatus
	// reachable says that the engine's state is recent.
	reachable bool
	draining  bool
	// drained says that every node keeps new work away and nothing runs.
	drained bool
}

// observe reads the state of the engines where it matters.
func (o *Orderer) observe(ctx context.Context, p placement) []observation {
	observations := make([]observation, len(p.endpoints))
	workers := pool.New().WithMaxGoroutines(maxConcurrentEngines)
	for i, e := range p.endpoints {
		workers.Go(func() { observations[i] = o.observeEndpoint(ctx, p, e) })
	}
	workers.Wait()
	return observations
}

func (o *Orderer) observeEndpoint(ctx context.Context, p placement, e picker.Endpoint) observation {
	l := observation{endpoint: e, draining: slices.Contains(p.draining, e.ID)}
	// Asked before the state is read: what was sent before every node knew of
	// the drain shows in the state.
	propagated := o.Drains.Noticed(e.ID)
	if p.deployment.Kind != definer.Model {
		r := e.Report
		l.drained = propagated && r.InFlight == 0 && r.Queued == 0 && e.Sent == 0
		return l
	}
	l.status = o.updateStatus(e.ID, func(b engineStatus) engineStatus { return b.withDeployment(p.deployment.Name) })
	now := o.Clock.Now()
	l.reachable = !l.status.stateAt.IsZero() && now.Sub(l.status.stateAt) < stateMaxAge
	if !l.reachable || l.draining || l.status.pending() {
		s, err := o.Engines(p.grant).State(ctx, e.Address)
		l.reachable = err == nil
		l.status = o.updateStatus(e.ID, func(b engineStatus) engineStatus {
			if err != nil {
				return b.withoutState()
			}
			return b.withState(s, now)
		})
	}
	// An engine that does not answer has nothing that a change could cut.
	l.drained = propagated && (!l.reachable || l.status.state.InFlight == 0)
	return l
}

// orderEngines does the next step for every engine that is not reserved.
func (o *Orderer) orderEngines(ctx context.Context, p placement, observations []observation, reserved []string) {
	engines := make([]Engine, 0, len(observations))
	unavailable := 0
	for _, l := range observations {
		if l.reachable {
			engines = append(engines, Engine{Endpoint: l.endpoint, State: l.status.state})
		}
		if l.draining || l.status.pending() {
			unavailable++
		}
	}
	targets := o.Policy.Targets(p.deployment, engines)
	workers := pool.New().WithMaxGoroutines(maxConcurrentEngines)
	for _, l := range observations {
		if slices.Contains(reserved, l.endpoint.ID) || l.endpoint.Leaving {
			continue
		}
		s, order := decide(engineView{
			now: o.Clock.Now(), deployment: p.deployment, grant: p.grant, status: l.status, reachable: l.reachable,
			target: targets[l.endpoint.ID], draining: l.draining, drained: l.drained, unavailable: unavailable,
		})
		if s == drain {
			unavailable++
		}
		o.do(ctx, p, l, s, order, workers)
	}
	workers.Wait()
}

// do runs one step; sendings run side by side, since each waits for its engine.
func (o *Orderer) do(ctx context.Context, p placement, l observation, s step, order speaker.Order, workers *pool.Pool) {
	var err error
	switch s {
	case idle, wait:
		return
	case drain:
		err = o.Drains.Begin(ctx, p.grant, p.deployment.Name, l.endpoint.ID)
	case restore:
		err = o.Drains.End(ctx, p.grant, p.deployment.Name, l.endpoint.ID)
	case confirm:
		err = o.confirm(ctx, p, l.status)
	case replace:
		o.updateStatus(l.endpoint.ID, engineStatus.withReplacing)
	case repeat:
		workers.Go(func() { o.send(ctx, p, l) })
	case record:
		order.ID, order.FencingToken = o.newID(), p.grant.Token
		l.status, err = o.record(ctx, p, l.status, Record{Deployment: p.deployment.Name, Order: order})
		if err == nil {
			workers.Go(func() { o.send(ctx, p, l) })
		}
	}
	o.Log.Info().Str("decision", "placement").Str("deployment", p.deployment.Name).Str("endpoint", l.endpoint.ID).
		Stringer("step", s).Str("order", order.ID).Str("action", string(order.Action)).Str("value", order.Value).
		Uint64("fencing-token", p.grant.Token).AnErr("failure", err).Msg("engine")
}

// record writes the row of an engine.
func (o *Orderer) record(ctx context.Context, p placement, b engineStatus, r Record) (engineStatus, error) {
	key := enginePrefix + b.engine
	version, err := o.commit(ctx, p, transactor.Tx{}.WithCheck(key, b.version).WithPut(key, encodeRecord(r)))
	if err != nil {
		return b, err
	}
	return o.updateStatus(b.engine, func(b engineStatus) engineStatus { return b.withRecord(r, version) }), nil
}

func (o *Orderer) confirm(ctx context.Context, p placement, b engineStatus) error {
	_, err := o.record(ctx, p, b, b.record.WithDone())
	return err
}

// send sends the recorded order once; the next look reads its effect back.
func (o *Orderer) send(ctx context.Context, p placement, l observation) {
	order := l.status.record.Order
	order.FencingToken = p.grant.Token
	b := o.updateStatus(l.endpoint.ID, func(b engineStatus) engineStatus { return b.withSent(order.ID) })
	err := o.Engines(p.grant).Order(ctx, l.endpoint.Address, order)
	if err == nil {
		err = o.confirm(ctx, p, b)
		o.updateStatus(l.endpoint.ID, engineStatus.withoutState)
	} else if !coder.Is(err, coder.LeaseNotHeld) {
		o.updateStatus(l.endpoint.ID, func(b engineStatus) engineStatus { return b.withFailure(o.Clock.Now()) })
	}
	o.Log.Info().Str("endpoint", l.endpoint.ID).Str("order", order.ID).Uint64("fencing-token", order.FencingToken).
		AnErr("failure", err).Msg("order sent")
}
