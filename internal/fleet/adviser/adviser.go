// Package adviser computes the target roles and endpoint counts of a deployment.
//
// The holder of a placement duty calls it once a second. It tracks the demand for
// prefill and decode, calls the pure decisions on roles and on the fleet, and
// keeps their state from one second to the next. This state is not needed for
// safety: a new holder starts without a forecast, leaves the deployment as it is,
// and finishes the orders that its predecessor recorded.
package adviser

import (
	"slices"
	"time"

	"github.com/rs/zerolog"

	"foxtailflow.example/foxtailflow/internal/base/keeper"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/decision/balancer"
	"foxtailflow.example/foxtailflow/internal/decision/explainer"
	"foxtailflow.example/foxtailflow/internal/decision/forecaster"
	"foxtailflow.example/foxtailflow/internal/decision/picker"
	"foxtailflow.example/foxtailflow/internal/decision/planner"
	"foxtailflow.example/foxtailflow/internal/fleet/orderer"
)

// DemandSource provides the demand of a deployment across all nodes.
type DemandSource interface {
	// Demand returns the arriving work in tokens per second.
	Demand(deployment string) forecaster.Demand
}

// Adviser decides on the roles and the number of endpoints.
//
// R is the policy for roles and F the policy for the fleet.
type Adviser[R balancer.Policy, F planner.Policy] struct {
	Clock        timekeeper.Clock
	Log          zerolog.Logger
	DemandSource DemandSource
	Roles        R
	Fleet        F

	states keeper.Table[string, deploymentState]
}

// phaseServing is the phase of an engine that is available.
const phaseServing = "serving"

const (
	// drainTime is the expected duration of a drain.
	drainTime = 10 * time.Second
	// provisioningTime is the expected time from an order to the arrival of its
	// endpoints.
	provisioningTime = 3 * time.Minute
	// headroom is the target capacity as a multiple of the mean demand. Arrivals
	// are random, so the mean alone is not enough.
	headroom = 1.25
	// logInterval is the minimum time between log lines of equal decisions.
	logInterval = time.Minute
)

// deploymentState is the state of a deployment between two decisions.
//
// It is an immutable value; the with methods return changed copies.
type deploymentState struct {
	forecast forecaster.Forecast
	wanted   balancer.WantedChange
	// targets maps an engine to the role that it is changing to, changedAt to the
	// time at which its last change ended.
	targets      map[string]picker.Role
	changedAt    map[string]time.Time
	surplusSince time.Time
	// spot has the spot endpoints of the last call, released the IDs of endpoints
	// that were ordered to be withdrawn, reclaimed the data centres whose spot
	// endpoints the platform took.
	spot        []picker.Endpoint
	released    []string
	reclaimed   []planner.Withdrawn
	loggedRoles loggedDecision
	loggedFleet loggedDecision
}

// loggedDecision is the decision that was logged last.
type loggedDecision struct {
	reason string
	at     time.Time
}

// due reports whether a decision is logged: if it has orders, if its reason has
// changed, or if logInterval has passed.
func (l loggedDecision) due(reason string, orders int, now time.Time) bool {
	return orders > 0 || reason != l.reason || now.Sub(l.at) >= logInterval
}

// withDemandSample returns the state of a deployment with a sample of the
// current demand.
func (a *Adviser[R, F]) withDemandSample(deployment string) deploymentState {
	st, _ := a.states.Get(deployment)
	st.forecast = st.forecast.WithSample(a.Clock.Now(), a.DemandSource.Demand(deployment))
	return st
}

var _ orderer.Policy = (*Adviser[balancer.CostBenefit, planner.LossTolerant])(nil)

// Targets returns the configured version and adapters for every engine, and the
// role that the decision on roles has given it.
func (a *Adviser[R, F]) Targets(d definer.Deployment, engines []orderer.Engine) map[string]orderer.Target {
	st := a.withDemandSample(d.Name).withEngines(engines, a.Clock.Now())
	decision := a.Roles.Decide(st.rolesState(d, engines, a.Clock.Now()))
	st.wanted = decision.Wanted
	for _, o := range decision.Orders {
		st = st.withTarget(o.Engine, o.To)
	}
	if st.loggedRoles.due(decision.Reason, len(decision.Orders), a.Clock.Now()) {
		explainer.LogRoles(a.Log, d.Name, decision)
		st.loggedRoles = loggedDecision{reason: decision.Reason, at: a.Clock.Now()}
	}
	a.states.Put(d.Name, st)
	targets := make(map[string]orderer.Target, len(engines))
	for _, e := range engines {
		targets[e.Endpoint.ID] = orderer.Target{
			Role:     string(st.targets[e.Endpoint.ID]),
			Version:  d.Version,
			Adapters: d.Adapters,
		}
	}
	return targets
}

// withTarget returns a copy in which an engine is changing to a role.
func (st deploymentState) withTarget(engine string, role picker.Role) deploymentState {
	targets := map[string]picker.Role{engine: role}
	for id, r := range st.targets {
		if id != engine {
			targets[id] = r
		}
	}
	st.targets = targets
	return st
}

// withEngines returns a copy updated with the reported roles. A change has ended
// once the engine serves in its target role.
func (st deploymentState) withEngines(engines []orderer.Engine, now time.Time) deploymentState {
	targets, changed := make(map[string]picker.Role), make(map[string]time.Time)
	for _, e := range engines {
		id := e.Endpoint.ID
		if at, ok := st.changedAt[id]; ok {
			changed[id] = at
		}
		target, ok := st.targets[id]
		switch {
		case !ok:
		case picker.Role(e.State.Role) == target && e.State.Phase == phaseServing:
			changed[id] = now
		default:
			targets[id] = target
		}
	}
	st.targets, st.changedAt = targets, changed
	return st
}

// rolesState returns the input of the decision on roles.
func (st deploymentState) rolesState(d definer.Deployment, engines []orderer.Engine, now time.Time) balancer.State {
	s := balancer.State{
		Deployment:     d.Name,
		Now:            now,
		Forecast:       st.forecast,
		PrefillRate:    float64(d.PrefillRate),
		DecodeRate:     float64(d.DecodeRate),
		DrainTime:      drainTime,
		ChangeTime:     d.RoleChangeTime,
		MaxUnavailable: d.MaxUnavailable,
		Wanted:         st.wanted,
	}
	for _, e := range engines {
		target := st.targets[e.Endpoint.ID]
		ep := e.Endpoint
		unavailable := target != "" || ep.Draining || ep.IsLeaving() || ep.Ejected() || e.State.Phase != phaseServing
		s.Backlog.Prefill += float64(ep.Report.Backlog)
		s.Engines = append(s.Engines, balancer.Engine{
			ID:          ep.ID,
			Role:        picker.Role(e.State.Role),
			InFlight:    e.State.InFlight,
			Unavailable: unavailable,
			Target:      target,
			ChangedAt:   st.changedAt[ep.ID],
		})
	}
	return s
}

// Counts returns the target numbers of endpoints by the decision on the fleet.
func (a *Adviser[R, F]) Counts(d definer.Deployment, endpoints []picker.Endpoint) []orderer.Count {
	if len(d.Placements) == 0 {
		return nil
	}
	now := a.Clock.Now()
	st := a.withDemandSample(d.Name).withSpot(endpoints, now)
	if st.forecast.Samples() < minSamples {
		// Without a forecast, a new holder keeps the endpoints that it found.
		a.states.Put(d.Name, st)
		return orderer.KeepCurrent{}.Counts(d, endpoints)
	}
	decision := a.Fleet.Plan(st.fleetState(d, endpoints, now))
	st.surplusSince = decision.SurplusSince
	for _, o := range decision.Orders {
		st.released = append(slices.Clone(st.released), o.Withdraw...)
	}
	if st.loggedFleet.due(decision.Reason, len(decision.Orders), now) {
		explainer.LogFleet(a.Log, d.Name, decision)
		st.loggedFleet = loggedDecision{reason: decision.Reason, at: now}
	}
	a.states.Put(d.Name, st)
	return targetCounts(decision, endpoints)
}

// targetCounts returns the target numbers of endpoints. Existing endpoints stay
// until the decision withdraws them.
func targetCounts(decision planner.Decision, endpoints []picker.Endpoint) []orderer.Count {
	var counts []orderer.Count
	for _, t := range decision.Targets {
		current := 0
		for _, e := range endpoints {
			if e.DataCentre == t.DataCentre && e.Tier == t.Tier && !e.Leaving {
				current++
			}
		}
		target := max(current, t.Count)
		for _, o := range decision.Orders {
			if o.DataCentre == t.DataCentre && o.Tier == t.Tier && len(o.Withdraw) > 0 {
				target = current - len(o.Withdraw)
			}
		}
		counts = append(counts, orderer.Count{DataCentre: t.DataCentre, Tier: t.Tier, Target: target})
	}
	return counts
}

// fleetState returns the input of the decision on the fleet.
func (st deploymentState) fleetState(d definer.Deployment, endpoints []picker.Endpoint, now time.Time) planner.State {
	s := planner.State{
		Deployment:   d,
		Now:          now,
		Withdrawn:    st.reclaimed,
		Need:         st.endpointsNeeded(d),
		SurplusSince: st.surplusSince,
	}
	inFlight := 0
	for _, e := range endpoints {
		inFlight += e.Report.InFlight + e.Report.Queued
		s.Endpoints = append(s.Endpoints, planner.Endpoint{
			ID:         e.ID,
			DataCentre: e.DataCentre,
			Tier:       e.Tier,
			Leaving:    e.IsLeaving(),
			InFlight:   e.Report.InFlight,
		})
	}
	s.Running = (inFlight + d.Slots - 1) / max(d.Slots, 1)
	return s
}

// minSamples is the number of samples from which a forecast is used.
const minSamples = 30

// endpointsNeeded returns the number of endpoints for the largest demand that is
// forecast until endpoints ordered now arrive.
func (st deploymentState) endpointsNeeded(d definer.Deployment) float64 {
	if d.Kind != definer.Model {
		return 0
	}
	demand := st.forecast.Within(provisioningTime)
	return headroom * (demand.Prefill/float64(max(d.PrefillRate, 1)) + demand.Decode/float64(max(d.DecodeRate, 1)))
}

// reclaimedShare is the share of a data centre's spot endpoints that must be lost
// to conclude that the platform reclaims them. A single lost endpoint may have
// failed.
const reclaimedShare = 0.5

// withSpot returns a copy updated with the current spot endpoints and with the
// data centres in which the platform reclaimed them.
func (st deploymentState) withSpot(endpoints []picker.Endpoint, now time.Time) deploymentState {
	var spot []picker.Endpoint
	for _, e := range endpoints {
		if e.Tier == definer.Spot && !e.IsLeaving() {
			spot = append(spot, e)
		}
	}
	before, lost := make(map[string]int), make(map[string]int)
	for _, e := range st.spot {
		before[e.DataCentre]++
		present := slices.ContainsFunc(spot, func(o picker.Endpoint) bool { return o.ID == e.ID })
		if !present && !slices.Contains(st.released, e.ID) {
			lost[e.DataCentre]++
		}
	}
	st.reclaimed = slices.Clone(st.reclaimed)
	for dc, n := range lost {
		if n > 1 && float64(n) >= reclaimedShare*float64(before[dc]) {
			st.reclaimed = append(st.reclaimed, planner.Withdrawn{DataCentre: dc, Tier: definer.Spot, At: now})
		}
	}
	st.reclaimed = slices.DeleteFunc(st.reclaimed, func(w planner.Withdrawn) bool { return now.Sub(w.At) > reclaimMaxAge })
	st.released = slices.DeleteFunc(slices.Clone(st.released), func(id string) bool {
		return !slices.ContainsFunc(endpoints, func(e picker.Endpoint) bool { return e.ID == id })
	})
	st.spot = spot
	return st
}

// reclaimMaxAge is how long a reclaim is kept. The decision avoids the data
// centre for a shorter time.
const reclaimMaxAge = time.Hour
