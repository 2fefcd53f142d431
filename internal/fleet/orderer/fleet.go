package orderer

import (
	"context"
	"maps"
	"slices"
	"time"

	"foxtailflow.example/foxtailflow/internal/authority/leaser"
	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/decision/picker"
	"foxtailflow.example/foxtailflow/internal/fleet/supplier"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

// arrivalTimeout is how long ordered endpoints may take to arrive before others
// are ordered in their place.
const arrivalTimeout = 10 * time.Minute

// fleetOrders is what the holder knows of the fleet orders of a deployment, which
// are the orders to the platform for endpoints.
//
// It is an immutable value; the with methods return changed copies.
type fleetOrders struct {
	// epoch is the epoch of the lease under which the rows were read.
	epoch transactor.Version
	// stale says that the result of a commit is unknown, so that the rows must be
	// read again.
	stale bool
	// head is the version of the row that every new order changes. Without it, a
	// commit that takes effect after its timeout would add an order beside the one
	// that replaced it.
	head transactor.Version
	rows map[string]fleetOrder
}

func (f fleetOrders) with(r fleetOrder) fleetOrders {
	f.rows = maps.Clone(f.rows)
	f.rows[r.order.ID] = r
	return f
}

func (f fleetOrders) without(id string) fleetOrders {
	f.rows = maps.Clone(f.rows)
	delete(f.rows, id)
	return f
}

// open returns the orders that are not finished, sorted by ID.
func (f fleetOrders) open() []fleetOrder {
	var open []fleetOrder
	for _, id := range slices.Sorted(maps.Keys(f.rows)) {
		open = append(open, f.rows[id])
	}
	return open
}

func fleetOrderKey(r fleetOrder) string {
	return fleetPrefix + r.order.Deployment + "/" + r.order.ID
}

func (o *Orderer) loadFleetOrders(ctx context.Context, g leaser.Grant, deployment string) (fleetOrders, error) {
	f := fleetOrders{epoch: g.Epoch, rows: make(map[string]fleetOrder)}
	rows, err := transactor.ScanAll(ctx, o.Table, fleetPrefix+deployment+"/")
	if err != nil {
		return f, err
	}
	for _, r := range rows {
		record, err := decodeFleetOrder(r.Value)
		if err != nil {
			return f, err
		}
		record.version, record.doneAt = r.Version, o.Clock.Now()
		f.rows[record.order.ID] = record
	}
	head, err := o.Table.Get(ctx, headPrefix+deployment)
	if err != nil && !coder.Is(err, coder.RowUnknown) {
		return f, err
	}
	f.head = head.Version
	return f, nil
}

// orderEndpoints advances recorded fleet orders and places new ones. It returns
// the endpoints that are being withdrawn or will be.
func (o *Orderer) orderEndpoints(ctx context.Context, p placement, observations []observation) []string {
	f, _ := o.fleetOrders.Get(p.deployment.Name)
	var failure error
	for _, r := range f.open() {
		if err := o.advanceFleetOrder(ctx, p, r); err != nil {
			failure = err
		}
	}
	f, _ = o.fleetOrders.Get(p.deployment.Name)
	plan := planFleet(p, observations, f.open(), o.Policy.Counts(p.deployment, p.endpoints))
	for _, id := range plan.reserved {
		if p.has(id) && !slices.Contains(p.draining, id) && failure == nil {
			failure = o.Drainer.Begin(ctx, p.grant, p.deployment.Name, id)
		}
	}
	if plan.ok && failure == nil && !f.stale {
		failure = o.placeFleetOrder(ctx, p, f, plan)
	}
	if failure != nil {
		o.Log.Warn().Str("deployment", p.deployment.Name).Err(failure).Msg("cannot process fleet orders")
	}
	return plan.reserved
}

// advanceFleetOrder takes the next step for a recorded fleet order: it sends the
// order, records that the platform has received it, or deletes the row once the
// order shows in the endpoint list or arrivalTimeout has passed.
func (o *Orderer) advanceFleetOrder(ctx context.Context, p placement, r fleetOrder) error {
	key := fleetOrderKey(r)
	if r.done {
		if !arrived(p.endpoints, r) && o.Clock.Now().Sub(r.doneAt) < arrivalTimeout {
			return nil
		}
		_, err := o.commit(ctx, p, transactor.Tx{}.WithCheck(key, r.version).WithDelete(key))
		if err == nil {
			o.updateFleetOrders(p, func(f fleetOrders) fleetOrders { return f.without(r.order.ID) })
		}
		return err
	}
	received, err := o.Fleet(p.grant).Received(ctx, r.order.ID)
	if err != nil {
		return err
	}
	if !received {
		return o.sendFleetOrder(ctx, p, r)
	}
	r.done, r.doneAt = true, o.Clock.Now()
	r.version, err = o.commit(ctx, p, transactor.Tx{}.WithCheck(key, r.version).WithPut(key, encodeFleetOrder(r)))
	if err == nil {
		o.updateFleetOrders(p, func(f fleetOrders) fleetOrders { return f.with(r) })
	}
	return err
}

// sendFleetOrder sends a recorded order. The next pass reads whether the platform
// has received it.
func (o *Orderer) sendFleetOrder(ctx context.Context, p placement, r fleetOrder) error {
	if p.grant.Token > 1 && p.grant.Age < o.PlatformConnectionLimit {
		return nil
	}
	order := r.order
	order.FencingToken = p.grant.Token
	err := o.Fleet(p.grant).Order(ctx, order)
	o.Log.Info().Str("deployment", p.deployment.Name).Str("order", order.ID).Uint64("fencing-token", order.FencingToken).
		Int("add", order.Add).Strs("withdraw", order.Withdraw).AnErr("failure", err).Msg("fleet order sent")
	return err
}

func (o *Orderer) updateFleetOrders(p placement, change func(fleetOrders) fleetOrders) {
	o.fleetOrders.Update(p.deployment.Name, func(f fleetOrders, ok bool) (fleetOrders, bool) { return change(f), ok })
}

// placeFleetOrder records a new fleet order and sends it.
func (o *Orderer) placeFleetOrder(ctx context.Context, p placement, f fleetOrders, plan fleetPlan) error {
	r := fleetOrder{order: plan.order, expect: plan.expect}
	r.order.ID, r.order.FencingToken, r.order.Deployment = o.newID(), p.grant.Token, p.deployment.Name
	key, head := fleetOrderKey(r), headPrefix+p.deployment.Name
	version, err := o.commit(ctx, p, transactor.Tx{}.
		WithAbsent(key).
		WithCheck(head, f.head).
		WithPut(key, encodeFleetOrder(r)).
		WithPut(head, []byte(r.order.ID)))
	o.Log.Info().Str("decision", "fleet").Str("deployment", p.deployment.Name).Str("order", r.order.ID).
		Str("data-centre", r.order.DataCentre).Str("tier", string(r.order.Tier)).Int("add", r.order.Add).
		Strs("withdraw", r.order.Withdraw).AnErr("failure", err).Msg("endpoints")
	if err != nil {
		return err
	}
	r.version = version
	o.updateFleetOrders(p, func(f fleetOrders) fleetOrders {
		f = f.with(r)
		f.head = version
		return f
	})
	return o.sendFleetOrder(ctx, p, r)
}

// fleetPlan is the next fleet order, if ok is set, and the endpoints that will be
// withdrawn and get no new requests.
type fleetPlan struct {
	order    supplier.EndpointOrder
	expect   int
	ok       bool
	reserved []string
}

// planFleet decides on the next fleet order. There is at most one open order for
// a data centre and tier, so that endpoints that have not arrived yet are not
// ordered twice.
func planFleet(p placement, observations []observation, open []fleetOrder, counts []Count) fleetPlan {
	var plan fleetPlan
	ordered := make(map[Count]bool)
	for _, r := range open {
		ordered[Count{DataCentre: r.order.DataCentre, Tier: r.order.Tier}] = true
		plan.reserved = append(plan.reserved, r.order.Withdraw...)
	}
	propose := func(c Count, add, expect int, withdraw []string) {
		if ordered[Count{DataCentre: c.DataCentre, Tier: c.Tier}] || plan.ok {
			return
		}
		plan.ok, plan.expect = true, expect
		plan.order = supplier.EndpointOrder{DataCentre: c.DataCentre, Tier: c.Tier, Add: add, Withdraw: withdraw}
	}
	for _, ob := range observations {
		e := ob.endpoint
		if !ob.status.replacing || slices.Contains(plan.reserved, e.ID) {
			continue
		}
		plan.reserved = append(plan.reserved, e.ID)
		if ob.drained {
			c := Count{DataCentre: e.DataCentre, Tier: e.Tier}
			propose(c, 1, len(stayingEndpoints(p.endpoints, e.DataCentre, e.Tier)), []string{e.ID})
		}
	}
	for _, c := range counts {
		current := stayingEndpoints(p.endpoints, c.DataCentre, c.Tier)
		switch {
		case len(current) < c.Target:
			propose(c, c.Target-len(current), c.Target, nil)
		case len(current) > c.Target && !ordered[Count{DataCentre: c.DataCentre, Tier: c.Tier}]:
			ids, all := surplusEndpoints(observations, current, len(current)-c.Target, plan.reserved)
			plan.reserved = append(plan.reserved, ids...)
			if all && len(ids) > 0 {
				propose(c, 0, c.Target, ids)
			}
		}
	}
	return plan
}

// surplusEndpoints returns the n endpoints to withdraw, and whether all of them are
// drained. Draining endpoints come first, then those with the fewest requests.
func surplusEndpoints(observations []observation, current []picker.Endpoint, n int, reserved []string) (ids []string, drained bool) {
	var candidates []observation
	for _, ob := range observations {
		listed := slices.ContainsFunc(current, func(e picker.Endpoint) bool { return e.ID == ob.endpoint.ID })
		if listed && !slices.Contains(reserved, ob.endpoint.ID) {
			candidates = append(candidates, ob)
		}
	}
	slices.SortStableFunc(candidates, func(a, b observation) int {
		if a.draining != b.draining {
			if a.draining {
				return -1
			}
			return 1
		}
		return a.endpoint.Report.InFlight - b.endpoint.Report.InFlight
	})
	drained = true
	for _, ob := range candidates[:min(n, len(candidates))] {
		ids = append(ids, ob.endpoint.ID)
		drained = drained && ob.drained
	}
	return ids, drained
}

// arrived reports whether the platform's list shows the effect of an order.
func arrived(endpoints []picker.Endpoint, r fleetOrder) bool {
	for _, e := range endpoints {
		if slices.Contains(r.order.Withdraw, e.ID) && !e.Leaving {
			return false
		}
	}
	return r.order.Add == 0 || len(stayingEndpoints(endpoints, r.order.DataCentre, r.order.Tier)) >= r.expect
}
