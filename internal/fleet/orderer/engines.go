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

// looked is what one look at an endpoint showed.
type looked struct {
	endpoint picker.Endpoint
	book     book
	// reachable says that the engine's state is recent.
	reachable bool
	draining  bool
	// drained says that every node keeps new work away and nothing runs.
	drained bool
}

// look reads the state of the engines where it matters.
func (o *Orderer) look(ctx context.Context, p placement) []looked {
	looks := make([]looked, len(p.endpoints))
	workers := pool.New().WithMaxGoroutines(concurrentEngines)
	for i, e := range p.endpoints {
		workers.Go(func() { looks[i] = o.lookAt(ctx, p, e) })
	}
	workers.Wait()
	return looks
}

func (o *Orderer) lookAt(ctx context.Context, p placement, e picker.Endpoint) looked {
	l := looked{endpoint: e, draining: slices.Contains(p.draining, e.ID)}
	// Asked before the state is read: what was sent before every node knew of
	// the drain shows in the state.
	noticed := o.Drains.Noticed(e.ID)
	if p.deployment.Kind != definer.Model {
		r := e.Report
		l.drained = noticed && r.InFlight == 0 && r.Queued == 0 && e.Sent == 0
		return l
	}
	l.book = o.change(e.ID, func(b book) book { return b.withDeployment(p.deployment.Name) })
	now := o.Clock.Now()
	l.reachable = !l.book.stateAt.IsZero() && now.Sub(l.book.stateAt) < stateEvery
	if !l.reachable || l.draining || l.book.pending() {
		s, err := o.Engines(p.grant).State(ctx, e.Address)
		l.reachable = err == nil
		l.book = o.change(e.ID, func(b book) book {
			if err != nil {
				return b.withoutState()
			}
			return b.withState(s, now)
		})
	}
	// An engine that does not answer has nothing that a change could cut.
	l.drained = noticed && (!l.reachable || l.book.state.InFlight == 0)
	return l
}

// orderEngines does the next step for every engine that is not reserved.
func (o *Orderer) orderEngines(ctx context.Context, p placement, looks []looked, reserved []string) {
	engines := make([]Engine, 0, len(looks))
	away := 0
	for _, l := range looks {
		if l.reachable {
			engines = append(engines, Engine{Endpoint: l.endpoint, State: l.book.state})
		}
		if l.draining || l.book.pending() {
			away++
		}
	}
	targets := o.Policy.Targets(p.deployment, engines)
	workers := pool.New().WithMaxGoroutines(concurrentEngines)
	for _, l := range looks {
		if slices.Contains(reserved, l.endpoint.ID) || l.endpoint.Leaving {
			continue
		}
		s, order := decide(view{
			now: o.Clock.Now(), deployment: p.deployment, grant: p.grant, book: l.book, reachable: l.reachable,
			target: targets[l.endpoint.ID], draining: l.draining, drained: l.drained, away: away,
		})
		if s == drain {
			away++
		}
		o.do(ctx, p, l, s, order, workers)
	}
	workers.Wait()
}

// do runs one step; sendings run side by side, since each waits for its engine.
func (o *Orderer) do(ctx context.Context, p placement, l looked, s step, order speaker.Order, workers *pool.Pool) {
	var err error
	switch s {
	case idle, wait:
		return
	case drain:
		err = o.Drains.Begin(ctx, p.grant, p.deployment.Name, l.endpoint.ID)
	case restore:
		err = o.Drains.End(ctx, p.grant, p.deployment.Name, l.endpoint.ID)
	case confirm:
		err = o.confirm(ctx, p, l.book)
	case replace:
		o.change(l.endpoint.ID, book.withReplacing)
	case repeat:
		workers.Go(func() { o.send(ctx, p, l) })
	case record:
		order.ID, order.FencingToken = o.newID(), p.grant.Token
		l.book, err = o.record(ctx, p, l.book, Record{Deployment: p.deployment.Name, Order: order})
		if err == nil {
			workers.Go(func() { o.send(ctx, p, l) })
		}
	}
	o.Log.Info().Str("decision", "placement").Str("deployment", p.deployment.Name).Str("endpoint", l.endpoint.ID).
		Stringer("step", s).Str("order", order.ID).Str("action", string(order.Action)).Str("value", order.Value).
		Uint64("fencing-token", p.grant.Token).AnErr("failure", err).Msg("engine")
}

// record writes the row of an engine.
func (o *Orderer) record(ctx context.Context, p placement, b book, r Record) (book, error) {
	key := enginePrefix + b.engine
	version, err := o.commit(ctx, p, transactor.Tx{}.WithCheck(key, b.version).WithPut(key, encodeRecord(r)))
	if err != nil {
		return b, err
	}
	return o.change(b.engine, func(b book) book { return b.withRecord(r, version) }), nil
}

func (o *Orderer) confirm(ctx context.Context, p placement, b book) error {
	_, err := o.record(ctx, p, b, b.record.WithDone())
	return err
}

// send sends the recorded order once; the next look reads its effect back.
func (o *Orderer) send(ctx context.Context, p placement, l looked) {
	order := l.book.record.Order
	order.FencingToken = p.grant.Token
	b := o.change(l.endpoint.ID, func(b book) book { return b.withSent(order.ID) })
	err := o.Engines(p.grant).Order(ctx, l.endpoint.Address, order)
	if err == nil {
		err = o.confirm(ctx, p, b)
		o.change(l.endpoint.ID, book.withoutState)
	} else if !coder.Is(err, coder.LeaseNotHeld) {
		o.change(l.endpoint.ID, func(b book) book { return b.withFailure(o.Clock.Now()) })
	}
	o.Log.Info().Str("endpoint", l.endpoint.ID).Str("order", order.ID).Uint64("fencing-token", order.FencingToken).
		AnErr("failure", err).Msg("order sent")
}
