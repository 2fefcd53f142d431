// Package orderer brings the endpoints of a deployment to what is wanted.
//
// Only the holder of the duty placement/DEPLOYMENT orders. An order is first
// recorded in the table, in a commit that fails once another node has taken
// the duty over; then it is sent under the lease; then the effect is read back
// and recorded. A new holder finishes what its predecessor recorded, with the
// same identifier, before it orders anything different. Engines that ignore
// fencing tokens get nothing from a new holder until the connection limit has
// passed since its takeover: by then, what the predecessor may still have been
// sending has met a closed connection. Without a known limit there is no such
// moment, so those engines never get a second order and are replaced.
package orderer

import (
	"context"
	"slices"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc/pool"

	"foxtailflow.example/foxtailflow/internal/authority/leaser"
	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/identifier"
	"foxtailflow.example/foxtailflow/internal/base/keeper"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/decision/picker"
	"foxtailflow.example/foxtailflow/internal/engine/speaker"
	"foxtailflow.example/foxtailflow/internal/fleet/supplier"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

// Every is the delay between two looks at a deployment.
const Every = time.Second

const (
	// stateMaxAge is the age from which an engine's state is read again while
	// nothing is going on with it.
	stateMaxAge = 10 * time.Second
	// deleteAfter is how long an engine is missing before its row is deleted.
	deleteAfter = 2 * time.Minute
	// maxConcurrentEngines bounds the messages to engines of one deployment at once.
	maxConcurrentEngines = 16
	// maxConcurrentDeployments bounds the deployments in work at once.
	maxConcurrentDeployments = 8
)

// Duty returns the duty of placing a deployment's endpoints.
func Duty(deployment string) string { return "placement/" + deployment }

// Duties returns the placement duties of a configuration.
func Duties(c definer.Config) []string {
	var duties []string
	for _, d := range c.Deployments() {
		duties = append(duties, Duty(d.Name))
	}
	return duties
}

// Configs has the configuration in force.
type Configs interface {
	Config() (definer.Config, error)
}

// Endpoints has the endpoints of each deployment.
type Endpoints interface {
	Of(deployment string) []picker.Endpoint
}

// Engines reads the state of engines and sends them orders, each once.
type Engines interface {
	State(ctx context.Context, address string) (speaker.State, error)
	Order(ctx context.Context, address string, o speaker.Order) error
}

// Drains keeps new work away from endpoints.
type Drains interface {
	// Listed returns the endpoints of a deployment that drain.
	Listed(deployment string) []string
	// Noticed reports whether every node knows that an endpoint drains.
	Noticed(id string) bool
	Begin(ctx context.Context, g leaser.Grant, deployment, id string) error
	End(ctx context.Context, g leaser.Grant, deployment, id string) error
}

// Orderer orders what is wanted for the deployments that this node places.
type Orderer struct {
	Clock     timekeeper.Clock
	Log       zerolog.Logger
	Table     transactor.Table
	Holder    leaser.Holder
	Configs   Configs
	Endpoints Endpoints
	Drains    Drains
	Policy    Policy
	// Engines and Fleet return clients that send under a grant.
	Engines func(leaser.Grant) Engines
	Fleet   func(leaser.Grant) supplier.Fleet
	// PlatformLimit is how long the platform keeps a connection open on which
	// no whole order arrives.
	PlatformLimit time.Duration
	// NewID makes order identifiers; nil means identifier.Order.
	NewID func() string

	statuses  keeper.Table[string, engineStatus]
	orders keeper.Table[string, fleetOrders]
}

// placement is one look at one deployment.
type placement struct {
	grant      leaser.Grant
	deployment definer.Deployment
	endpoints  []picker.Endpoint
	// draining lists the endpoints that get no new work by our notice.
	draining []string
}

func (p placement) has(id string) bool {
	return slices.ContainsFunc(p.endpoints, func(e picker.Endpoint) bool { return e.ID == id })
}

// Run looks once at every deployment that this node places.
func (o *Orderer) Run(ctx context.Context) error {
	cfg, err := o.Configs.Config()
	if err != nil {
		// Nothing is known of any deployment yet.
		return nil
	}
	p := pool.New().WithErrors().WithFirstError().WithMaxGoroutines(maxConcurrentDeployments)
	for _, d := range cfg.Deployments() {
		if g, ok := o.Holder.Grant(Duty(d.Name)); ok {
			p.Go(func() error { return o.place(ctx, g, d) })
		}
	}
	return p.Wait()
}

func (o *Orderer) place(ctx context.Context, g leaser.Grant, d definer.Deployment) error {
	if err := o.load(ctx, g, d.Name); err != nil {
		return err
	}
	p := placement{grant: g, deployment: d, endpoints: o.Endpoints.Of(d.Name), draining: o.Drains.Listed(d.Name)}
	if len(p.endpoints) == 0 {
		// The list of VMs may not have been read yet.
		return nil
	}
	observations := o.observe(ctx, p)
	reserved := o.orderEndpoints(ctx, p, observations)
	if d.Kind == definer.Model {
		o.orderEngines(ctx, p, observations, reserved)
	}
	o.endUnneededDrains(ctx, p, reserved)
	o.deleteMissing(ctx, p)
	return nil
}

// load reads the recorded orders of a deployment after a takeover, and after a
// commit whose effect is not known.
func (o *Orderer) load(ctx context.Context, g leaser.Grant, deployment string) error {
	if f, ok := o.orders.Get(deployment); ok && f.epoch == g.Epoch && !f.stale {
		return nil
	}
	rows, err := transactor.ScanAll(ctx, o.Table, enginePrefix)
	if err != nil {
		return err
	}
	found := make(map[string]bool)
	for _, r := range rows {
		record, err := decodeRecord(r.Value)
		if err != nil {
			return err
		}
		if record.Deployment != deployment {
			continue
		}
		id := r.Key[len(enginePrefix):]
		found[id] = true
		o.updateStatus(id, func(b engineStatus) engineStatus { return b.withRecord(record, r.Version) })
	}
	for _, b := range o.statuses.Values() {
		if b.record.Deployment == deployment && !found[b.engine] {
			o.updateStatus(b.engine, func(b engineStatus) engineStatus { return b.withRecord(Record{Deployment: deployment}, 0) })
		}
	}
	fleet, err := o.loadFleetOrders(ctx, g, deployment)
	if err != nil {
		return err
	}
	o.orders.Put(deployment, fleet)
	o.Log.Info().Str("deployment", deployment).Uint64("fencing-token", g.Token).
		Int("engine-orders", len(found)).Int("fleet-orders", len(fleet.rows)).Msg("recorded orders loaded")
	return nil
}

// updateStatus replaces what is known of an engine.
func (o *Orderer) updateStatus(id string, f func(engineStatus) engineStatus) engineStatus {
	var after engineStatus
	o.statuses.Update(id, func(b engineStatus, _ bool) (engineStatus, bool) {
		b.engine = id
		after = f(b)
		return after, true
	})
	return after
}

// markStale makes the next look read the recorded orders again.
func (o *Orderer) markStale(deployment string) {
	o.orders.Update(deployment, func(f fleetOrders, ok bool) (fleetOrders, bool) {
		f.stale = true
		return f, ok
	})
}

// commit writes rows of the duty; a failure leaves open what is in force.
func (o *Orderer) commit(ctx context.Context, p placement, tx transactor.Tx) (uint64, error) {
	version, err := o.Table.Commit(ctx, p.grant.Guard(tx))
	if err != nil {
		o.markStale(p.deployment.Name)
		return 0, coder.Wrap(coder.Of(err).Code(), err, "an order of %s was not recorded", p.deployment.Name)
	}
	return version, nil
}

func (o *Orderer) newID() string {
	if o.NewID != nil {
		return o.NewID()
	}
	return identifier.Order()
}

// endUnneededDrains lets endpoints have new work again that no order concerns any
// more, such as those that a predecessor was about to withdraw.
func (o *Orderer) endUnneededDrains(ctx context.Context, p placement, reserved []string) {
	for _, id := range p.draining {
		engine := p.deployment.Kind == definer.Model && p.has(id)
		if engine || slices.Contains(reserved, id) || (!p.has(id) && !o.longMissing(id)) {
			continue
		}
		if err := o.Drains.End(ctx, p.grant, p.deployment.Name, id); err != nil {
			o.Log.Warn().Str("endpoint", id).Err(err).Msg("drain not ended")
		}
	}
}

func (o *Orderer) longMissing(id string) bool {
	b, ok := o.statuses.Get(id)
	return ok && !b.missingSince.IsZero() && o.Clock.Now().Sub(b.missingSince) >= deleteAfter
}

// deleteMissing deletes the rows of engines that no longer exist.
func (o *Orderer) deleteMissing(ctx context.Context, p placement) {
	now := o.Clock.Now()
	for _, id := range p.draining {
		if !p.has(id) {
			o.updateStatus(id, func(b engineStatus) engineStatus { return b.withDeployment(p.deployment.Name) })
		}
	}
	for _, b := range o.statuses.Values() {
		switch {
		case b.record.Deployment != p.deployment.Name:
		case p.has(b.engine):
			if !b.missingSince.IsZero() {
				o.updateStatus(b.engine, func(b engineStatus) engineStatus { return b.withMissing(time.Time{}) })
			}
		case b.missingSince.IsZero():
			o.updateStatus(b.engine, func(b engineStatus) engineStatus { return b.withMissing(now) })
		case now.Sub(b.missingSince) >= deleteAfter && !slices.Contains(p.draining, b.engine):
			o.deleteEngine(ctx, p, b)
		}
	}
}

func (o *Orderer) deleteEngine(ctx context.Context, p placement, b engineStatus) {
	if b.version > 0 {
		key := enginePrefix + b.engine
		if _, err := o.commit(ctx, p, transactor.Tx{}.WithCheck(key, b.version).WithDelete(key)); err != nil {
			o.Log.Warn().Str("endpoint", b.engine).Err(err).Msg("row of an engine that is gone not deleted")
			return
		}
	}
	o.statuses.Delete(b.engine)
}
