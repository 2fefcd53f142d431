package orderer

import (
	"context"
	"slices"

	"github.com/sourcegraph/conc/pool"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/decision/picker"
	"foxtailflow.example/foxtailflow/internal/engine/controller"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

// observation is the state of an endpoint as seen in one pass.
type observation struct {
	endpoint picker.Endpoint
	status   engineStatus
	// reachable says that the engine's state is recent.
	reachable bool
	draining  bool
	// drained says that no node sends new requests and none is running.
	drained bool
}

// observe returns an observation of each endpoint, in the order of p.endpoints.
func (o *Orderer) observe(ctx context.Context, p placement) []observation {
	observations := make([]observation, len(p.endpoints))
	workers := pool.New().WithMaxGoroutines(maxConcurrentEngines)
	for i, e := range p.endpoints {
		workers.Go(func() { observations[i] = o.observeEndpoint(ctx, p, e) })
	}
	workers.Wait()
	return observations
}

// observeEndpoint observes one endpoint. It reads the state of an engine that is
// draining, has an unfinished order, or whose last state is older than
// stateMaxAge.
func (o *Orderer) observeEndpoint(ctx context.Context, p placement, e picker.Endpoint) observation {
	ob := observation{endpoint: e, draining: slices.Contains(p.draining, e.ID)}
	// Checked before the state is read, so that the state includes the requests
	// that were sent before every node knew of the drain.
	propagated := o.Drainer.Propagated(e.ID)
	if p.deployment.Kind != definer.Model {
		r := e.Report
		ob.drained = propagated && r.InFlight == 0 && r.Queued == 0 && e.Sent == 0
		return ob
	}
	ob.status = o.updateStatus(e.ID, func(st engineStatus) engineStatus { return st.withDeployment(p.deployment.Name) })
	now := o.Clock.Now()
	ob.reachable = !ob.status.stateAt.IsZero() && now.Sub(ob.status.stateAt) < stateMaxAge
	if !ob.reachable || ob.draining || ob.status.pending() {
		s, err := o.Engines(p.grant).State(ctx, e.Address)
		ob.reachable = err == nil
		ob.status = o.updateStatus(e.ID, func(st engineStatus) engineStatus {
			if err != nil {
				return st.withoutState()
			}
			return st.withState(s, now)
		})
	}
	// An unreachable engine has no requests that a change could interrupt.
	ob.drained = propagated && (!ob.reachable || ob.status.state.InFlight == 0)
	return ob
}

// orderEngines takes the next step for every engine that is not reserved.
func (o *Orderer) orderEngines(ctx context.Context, p placement, observations []observation, reserved []string) {
	engines := make([]Engine, 0, len(observations))
	unavailable := 0
	for _, ob := range observations {
		if ob.reachable {
			engines = append(engines, Engine{Endpoint: ob.endpoint, State: ob.status.state})
		}
		if ob.draining || ob.status.pending() {
			unavailable++
		}
	}
	targets := o.Policy.Targets(p.deployment, engines)
	workers := pool.New().WithMaxGoroutines(maxConcurrentEngines)
	for _, ob := range observations {
		if slices.Contains(reserved, ob.endpoint.ID) || ob.endpoint.Leaving {
			continue
		}
		s, order := decide(decisionInput{
			now: o.Clock.Now(), deployment: p.deployment, grant: p.grant, status: ob.status, reachable: ob.reachable,
			target: targets[ob.endpoint.ID], draining: ob.draining, drained: ob.drained, unavailable: unavailable,
		})
		if s == drain {
			unavailable++
		}
		o.do(ctx, p, ob, s, order, workers)
	}
	workers.Wait()
}

// do runs one step. Orders are sent concurrently, since each send blocks until
// its engine responds.
func (o *Orderer) do(ctx context.Context, p placement, ob observation, s step, order controller.Order, workers *pool.Pool) {
	var err error
	switch s {
	case idle, wait:
		return
	case drain:
		err = o.Drainer.Begin(ctx, p.grant, p.deployment.Name, ob.endpoint.ID)
	case restore:
		err = o.Drainer.End(ctx, p.grant, p.deployment.Name, ob.endpoint.ID)
	case confirm:
		err = o.confirm(ctx, p, ob.status)
	case replace:
		o.updateStatus(ob.endpoint.ID, engineStatus.withReplacing)
	case repeat:
		workers.Go(func() { o.send(ctx, p, ob) })
	case record:
		order.ID, order.FencingToken = o.newID(), p.grant.Token
		ob.status, err = o.record(ctx, p, ob.status, Record{Deployment: p.deployment.Name, Order: order})
		if err == nil {
			workers.Go(func() { o.send(ctx, p, ob) })
		}
	}
	o.Log.Info().Str("decision", "placement").Str("deployment", p.deployment.Name).Str("endpoint", ob.endpoint.ID).
		Stringer("step", s).Str("order", order.ID).Str("action", string(order.Action)).Str("value", order.Value).
		Uint64("fencing-token", p.grant.Token).AnErr("failure", err).Msg("engine")
}

// record writes the order row of an engine.
func (o *Orderer) record(ctx context.Context, p placement, st engineStatus, r Record) (engineStatus, error) {
	key := enginePrefix + st.engine
	version, err := o.commit(ctx, p, transactor.Tx{}.WithCheck(key, st.version).WithPut(key, encodeRecord(r)))
	if err != nil {
		return st, err
	}
	return o.updateStatus(st.engine, func(st engineStatus) engineStatus { return st.withRecord(r, version) }), nil
}

func (o *Orderer) confirm(ctx context.Context, p placement, st engineStatus) error {
	_, err := o.record(ctx, p, st, st.record.WithDone())
	return err
}

// send sends the recorded order once. The next pass reads whether it took effect.
func (o *Orderer) send(ctx context.Context, p placement, ob observation) {
	order := ob.status.record.Order
	order.FencingToken = p.grant.Token
	st := o.updateStatus(ob.endpoint.ID, func(st engineStatus) engineStatus { return st.withSent(order.ID) })
	err := o.Engines(p.grant).Order(ctx, ob.endpoint.Address, order)
	if err == nil {
		err = o.confirm(ctx, p, st)
		o.updateStatus(ob.endpoint.ID, engineStatus.withoutState)
	} else if !coder.Is(err, coder.LeaseNotHeld) {
		o.updateStatus(ob.endpoint.ID, func(st engineStatus) engineStatus { return st.withFailure(o.Clock.Now()) })
	}
	o.Log.Info().Str("endpoint", ob.endpoint.ID).Str("order", order.ID).Uint64("fencing-token", order.FencingToken).
		AnErr("failure", err).Msg("order sent")
}
