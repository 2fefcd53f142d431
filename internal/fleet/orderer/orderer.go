// Package orderer sends the orders that bring the endpoints of a deployment to
// their targets.
//
// Only the holder of the duty placement/DEPLOYMENT sends orders. An order is
// first recorded in the table, in a commit that fails once another node has taken
// the duty over. Then it is sent under the lease, and its effect is read back and
// recorded. A new holder finishes the orders that its predecessor recorded, with
// the same identifiers, before it sends different ones. Engines that ignore
// fencing tokens get no order from a new holder until the connection limit has
// passed since its takeover: by then, the connections on which the predecessor may
// still send are closed. Without a known limit there is no such time, so these
// engines never get a second order and are replaced.
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
	"foxtailflow.example/foxtailflow/internal/engine/controller"
	"foxtailflow.example/foxtailflow/internal/fleet/supplier"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

// Interval is the delay between two passes over a deployment.
const Interval = time.Second

const (
	// stateMaxAge is the age at which the state of an engine is read again if the
	// engine is not draining and has no unfinished order.
	stateMaxAge = 10 * time.Second
	// deleteAfter is how long an engine must be missing before its row is deleted.
	deleteAfter = 2 * time.Minute
	// maxConcurrentEngines bounds the concurrent calls to engines of one
	// deployment.
	maxConcurrentEngines = 16
	// maxConcurrentDeployments bounds the deployments that are processed
	// concurrently.
	maxConcurrentDeployments = 8
)

// Duty returns the name of the placement duty of a deployment.
func Duty(deployment string) string { return "placement/" + deployment }

// Duties returns the placement duties of a configuration.
func Duties(c definer.Config) []string {
	var duties []string
	for _, d := range c.Deployments() {
		duties = append(duties, Duty(d.Name))
	}
	return duties
}

// ConfigSource provides the current configuration.
type ConfigSource interface {
	Config() (definer.Config, error)
}

// Endpoints provides the endpoints of each deployment.
type Endpoints interface {
	InDeployment(deployment string) []picker.Endpoint
}

// Engines reads the state of engines and sends them orders. An order is sent
// once, without retries.
type Engines interface {
	State(ctx context.Context, address string) (controller.State, error)
	Order(ctx context.Context, address string, o controller.Order) error
}

// Drainer starts and ends the draining of endpoints.
type Drainer interface {
	// Draining returns the draining endpoints of a deployment.
	Draining(deployment string) []string
	// Propagated reports whether every node knows that an endpoint is draining.
	Propagated(id string) bool
	Begin(ctx context.Context, g leaser.Grant, deployment, id string) error
	End(ctx context.Context, g leaser.Grant, deployment, id string) error
}

// Orderer sends orders for the deployments whose placement duty this node holds.
type Orderer struct {
	Clock     timekeeper.Clock
	Log       zerolog.Logger
	Table     transactor.Table
	Holder    leaser.Holder
	Configs   ConfigSource
	Endpoints Endpoints
	Drainer   Drainer
	Policy    Policy
	// Engines and Fleet return clients that send under a grant.
	Engines func(leaser.Grant) Engines
	Fleet   func(leaser.Grant) supplier.EndpointOrders
	// PlatformConnectionLimit is how long the platform keeps a connection open
	// on which no complete order arrives.
	PlatformConnectionLimit time.Duration
	// NewID returns a new order identifier; nil means identifier.NewOrderID.
	NewID func() string

	statuses    keeper.Table[string, engineStatus]
	fleetOrders keeper.Table[string, fleetOrders]
}

// placement is the input of one pass over a deployment.
type placement struct {
	grant      leaser.Grant
	deployment definer.Deployment
	endpoints  []picker.Endpoint
	// draining lists the endpoints that the drain row of the deployment names.
	draining []string
}

func (p placement) has(id string) bool {
	return slices.ContainsFunc(p.endpoints, func(e picker.Endpoint) bool { return e.ID == id })
}

// Run makes one pass over every deployment whose placement duty this node holds.
func (o *Orderer) Run(ctx context.Context) error {
	cfg, err := o.Configs.Config()
	if err != nil {
		// The configuration has not been read yet.
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
	if err := o.loadOrders(ctx, g, d.Name); err != nil {
		return err
	}
	p := placement{grant: g, deployment: d, endpoints: o.Endpoints.InDeployment(d.Name), draining: o.Drainer.Draining(d.Name)}
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

// loadOrders reads the recorded orders of a deployment after a takeover, and after a
// commit whose result is unknown.
func (o *Orderer) loadOrders(ctx context.Context, g leaser.Grant, deployment string) error {
	if f, ok := o.fleetOrders.Get(deployment); ok && f.epoch == g.Epoch && !f.stale {
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
		o.updateStatus(id, func(st engineStatus) engineStatus { return st.withRecord(record, r.Version) })
	}
	for _, st := range o.statuses.Values() {
		if st.record.Deployment == deployment && !found[st.engine] {
			o.updateStatus(st.engine, func(st engineStatus) engineStatus { return st.withRecord(Record{Deployment: deployment}, 0) })
		}
	}
	fleet, err := o.loadFleetOrders(ctx, g, deployment)
	if err != nil {
		return err
	}
	o.fleetOrders.Put(deployment, fleet)
	o.Log.Info().Str("deployment", deployment).Uint64("fencing-token", g.Token).
		Int("engine-orders", len(found)).Int("fleet-orders", len(fleet.rows)).Msg("loaded recorded orders")
	return nil
}

// updateStatus replaces the status of an engine and returns the new one.
func (o *Orderer) updateStatus(id string, f func(engineStatus) engineStatus) engineStatus {
	var after engineStatus
	o.statuses.Update(id, func(st engineStatus, _ bool) (engineStatus, bool) {
		st.engine = id
		after = f(st)
		return after, true
	})
	return after
}

// markStale makes the next pass read the recorded orders again.
func (o *Orderer) markStale(deployment string) {
	o.fleetOrders.Update(deployment, func(f fleetOrders, ok bool) (fleetOrders, bool) {
		f.stale = true
		return f, ok
	})
}

// commit writes rows under the lease of the duty. After a failure the rows are
// read again, since the commit may have taken effect.
func (o *Orderer) commit(ctx context.Context, p placement, tx transactor.Tx) (transactor.Version, error) {
	version, err := o.Table.Commit(ctx, p.grant.Guard(tx))
	if err != nil {
		o.markStale(p.deployment.Name)
		return 0, coder.Wrap(coder.FromError(err).Code(), err, "cannot record an order of deployment %s", p.deployment.Name)
	}
	return version, nil
}

func (o *Orderer) newID() string {
	if o.NewID != nil {
		return o.NewID()
	}
	return identifier.NewOrderID()
}

// endUnneededDrains ends the drains of endpoints that no order concerns any more,
// such as those that a predecessor was about to withdraw.
func (o *Orderer) endUnneededDrains(ctx context.Context, p placement, reserved []string) {
	for _, id := range p.draining {
		engine := p.deployment.Kind == definer.Model && p.has(id)
		if engine || slices.Contains(reserved, id) || (!p.has(id) && !o.longMissing(id)) {
			continue
		}
		if err := o.Drainer.End(ctx, p.grant, p.deployment.Name, id); err != nil {
			o.Log.Warn().Str("endpoint", id).Err(err).Msg("cannot end drain")
		}
	}
}

func (o *Orderer) longMissing(id string) bool {
	st, ok := o.statuses.Get(id)
	return ok && !st.missingSince.IsZero() && o.Clock.Now().Sub(st.missingSince) >= deleteAfter
}

// deleteMissing deletes the rows of engines that have been missing for
// deleteAfter.
func (o *Orderer) deleteMissing(ctx context.Context, p placement) {
	now := o.Clock.Now()
	for _, id := range p.draining {
		if !p.has(id) {
			o.updateStatus(id, func(st engineStatus) engineStatus { return st.withDeployment(p.deployment.Name) })
		}
	}
	for _, st := range o.statuses.Values() {
		switch {
		case st.record.Deployment != p.deployment.Name:
		case p.has(st.engine):
			if !st.missingSince.IsZero() {
				o.updateStatus(st.engine, func(st engineStatus) engineStatus { return st.withMissing(time.Time{}) })
			}
		case st.missingSince.IsZero():
			o.updateStatus(st.engine, func(st engineStatus) engineStatus { return st.withMissing(now) })
		case now.Sub(st.missingSince) >= deleteAfter && !slices.Contains(p.draining, st.engine):
			o.deleteEngine(ctx, p, st)
		}
	}
}

func (o *Orderer) deleteEngine(ctx context.Context, p placement, st engineStatus) {
	if st.version > 0 {
		key := enginePrefix + st.engine
		if _, err := o.commit(ctx, p, transactor.Tx{}.WithCheck(key, st.version).WithDelete(key)); err != nil {
			o.Log.Warn().Str("endpoint", st.engine).Err(err).Msg("cannot delete the row of a removed engine")
			return
		}
	}
	o.statuses.Delete(st.engine)
}
