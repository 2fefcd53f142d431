// Package adviser turns what is known of a deployment into what is wanted.
//
// The holder of a placement asks it once a second. It follows the demand of
// both phases, asks the pure decisions on roles and on the fleet, and remembers
// what they need from one second to the next. Nothing that it remembers is
// needed to be safe: a new holder begins without a forecast, leaves everything
// as it is, and finishes what its predecessor has recorded.
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

// Demands tells the demand of a deployment on all nodes.
type Demands interface {
	// Demand returns the work that arrives, in tokens a second.
	Demand(deployment string) forecaster.Demand
}

// Adviser decides on the roles and the number of endpoints.
//
// R and F are the policies of the two decisions.
type Adviser[R balancer.Policy, F planner.Policy] struct {
	Clock   timekeeper.Clock
	Log     zerolog.Logger
	Demands Demands
	Roles   R
	Fleet   F

	states keeper.Table[string, deploymentState]
}

// phaseServing is the phase of an engine that is not away.
const phaseServing = "serving"

const (
	// drainTime is the time that a drain is expected to take.
	drainTime = 10 * time.Second
	// provisioningTime is the time that an ordered endpoint is expected to take.
	provisioningTime = 3 * time.Minute
	// headroom is the capacity wanted above the mean demand, since arrivals are
	// random.
	headroom = 1.25
	// logInterval is the least time between two log lines of equal decisions.
	logInterval = time.Minute
)

// deploymentState is what is remembered of a deployment.
//
// It is an immutable value; the with methods return changed copies.
type deploymentState struct {
	forecast forecaster.Forecast
	wanted   balancer.Wanted
	// targets has the role to which an engine is changing, changed the time at
	// which its last change ended.
	targets map[string]picker.Role
	changedAt map[string]time.Time
	surplusSince time.Time
	// spot has the cheap endpoints seen last, returned those given back.
	spot      []picker.Endpoint
	returned  []string
	withdrawn []planner.Withdrawn
	loggedRoles loggedDecision
	loggedFleet loggedDecision
}

// loggedDecision is the last decision that was logged.
type loggedDecision struct {
	reason string
	at     time.Time
}

// due reports whether a decision is logged: at each change of its reason, with
// each order, and else once in a while.
func (l loggedDecision) due(reason string, orders int, now time.Time) bool {
	return orders > 0 || reason != l.reason || now.Sub(l.at) >= logInterval
}

// withDemandSample returns what is remembered, with the present demand.
func (a *Adviser[R, F]) withDemandSample(deployment string) deploymentState {
	m, _ := a.states.Get(deployment)
	m.forecast = m.forecast.WithSample(a.Clock.Now(), a.Demands.Demand(deployment))
	return m
}

var _ orderer.Policy = (*Adviser[balancer.Priced, planner.Surviving])(nil)

// Targets returns the configured version and adapters for every engine, and
// the role that the decision on roles gives it.
func (a *Adviser[R, F]) Targets(d definer.Deployment, engines []orderer.Engine) map[string]orderer.Target {
	m := a.withDemandSample(d.Name).withEngines(engines, a.Clock.Now())
	decision := a.Roles.Decide(m.rolesState(d, engines, a.Clock.Now()))
	m.wanted = decision.Wanted
	for _, o := range decision.Orders {
		m = m.withTarget(o.Engine, o.To)
	}
	if m.loggedRoles.due(decision.Reason, len(decision.Orders), a.Clock.Now()) {
		explainer.LogRoles(a.Log, d.Name, decision)
		m.loggedRoles = loggedDecision{reason: decision.Reason, at: a.Clock.Now()}
	}
	a.states.Put(d.Name, m)
	targets := make(map[string]orderer.Target, len(engines))
	for _, e := range engines {
		targets[e.Endpoint.ID] = orderer.Target{
			Role:     string(m.targets[e.Endpoint.ID]),
			Version:  d.Version,
			Adapters: d.Adapters,
		}
	}
	return targets
}

// withTarget returns a copy in which an engine is changing to a role.
func (m deploymentState) withTarget(engine string, role picker.Role) deploymentState {
	targets := map[string]picker.Role{engine: role}
	for id, r := range m.targets {
		if id != engine {
			targets[id] = r
		}
	}
	m.targets = targets
	return m
}

// withEngines returns a copy that has seen the roles of the engines: a change
// whose role is there has ended.
func (m deploymentState) withEngines(engines []orderer.Engine, now time.Time) deploymentState {
	targets, changed := make(map[string]picker.Role), make(map[string]time.Time)
	for _, e := range engines {
		id := e.Endpoint.ID
		if at, ok := m.changedAt[id]; ok {
			changed[id] = at
		}
		target, ok := m.targets[id]
		switch {
		case !ok:
		case picker.Role(e.State.Role) == target && e.State.Phase == phaseServing:
			changed[id] = now
		default:
			targets[id] = target
		}
	}
	m.targets, m.changedAt = targets, changed
	return m
}

// rolesState gathers what the decision on roles needs.
func (m deploymentState) rolesState(d definer.Deployment, engines []orderer.Engine, now time.Time) balancer.State {
	s := balancer.State{
		Deployment:  d.Name,
		Now:         now,
		Forecast:    m.forecast,
		PrefillRate: float64(d.PrefillRate),
		DecodeRate:  float64(d.DecodeRate),
		Drain:       drainTime,
		Change:      d.RoleChange,
		MaxAway:     d.MaxAway,
		Wanted:      m.wanted,
	}
	for _, e := range engines {
		target := m.targets[e.Endpoint.ID]
		ep := e.Endpoint
		away := target != "" || ep.Draining || ep.Leaving || ep.Report.Leaving || ep.Ejected() || e.State.Phase != phaseServing
		s.Backlog.Prefill += float64(ep.Report.Backlog)
		s.Engines = append(s.Engines, balancer.Engine{
			ID:       ep.ID,
			Role:     picker.Role(e.State.Role),
			InFlight: e.State.InFlight,
			Away:     away,
			Target:   target,
			Changed:  m.changedAt[ep.ID],
		})
	}
	return s
}

// Counts returns the numbers of endpoints that the decision on the fleet wants.
func (a *Adviser[R, F]) Counts(d definer.Deployment, endpoints []picker.Endpoint) []orderer.Count {
	if len(d.Placements) == 0 {
		return nil
	}
	now := a.Clock.Now()
	m := a.withDemandSample(d.Name).withSpot(endpoints, now)
	if m.forecast.Seen() < minSamples {
		// A holder that has just begun keeps what it found.
		a.states.Put(d.Name, m)
		return orderer.Keep{}.Counts(d, endpoints)
	}
	decision := a.Fleet.Plan(m.fleetState(d, endpoints, now))
	m.surplusSince = decision.SurplusSince
	for _, o := range decision.Orders {
		m.returned = append(slices.Clone(m.returned), o.Withdraw...)
	}
	if m.loggedFleet.due(decision.Reason, len(decision.Orders), now) {
		explainer.LogFleet(a.Log, d.Name, decision)
		m.loggedFleet = loggedDecision{reason: decision.Reason, at: now}
	}
	a.states.Put(d.Name, m)
	return wantedCounts(decision, endpoints)
}

// wantedCounts returns the numbers wanted: what is there stays until the decision
// gives it back.
func wantedCounts(decision planner.Decision, endpoints []picker.Endpoint) []orderer.Count {
	var wanted []orderer.Count
	for _, t := range decision.Targets {
		have := 0
		for _, e := range endpoints {
			if e.DataCentre == t.DataCentre && e.Tier == t.Tier && !e.Leaving {
				have++
			}
		}
		want := max(have, t.Count)
		for _, o := range decision.Orders {
			if o.DataCentre == t.DataCentre && o.Tier == t.Tier && len(o.Withdraw) > 0 {
				want = have - len(o.Withdraw)
			}
		}
		wanted = append(wanted, orderer.Count{DataCentre: t.DataCentre, Tier: t.Tier, Want: want})
	}
	return wanted
}

// fleetState gathers what the decision on the fleet needs.
func (m deploymentState) fleetState(d definer.Deployment, endpoints []picker.Endpoint, now time.Time) planner.State {
	s := planner.State{
		Deployment:   d,
		Now:          now,
		Withdrawn:    m.withdrawn,
		Need:         m.endpointsNeeded(d),
		SurplusSince: m.surplusSince,
	}
	inFlight := 0
	for _, e := range endpoints {
		inFlight += e.Report.InFlight + e.Report.Queued
		s.Endpoints = append(s.Endpoints, planner.Endpoint{
			ID:         e.ID,
			DataCentre: e.DataCentre,
			Tier:       e.Tier,
			Leaving:    e.Leaving || e.Report.Leaving,
			InFlight:   e.Report.InFlight,
		})
	}
	s.Running = (inFlight + d.Slots - 1) / max(d.Slots, 1)
	return s
}

// minSamples is the number of samples from which a forecast counts.
const minSamples = 30

// endpointsNeeded returns the number of endpoints for the demand that is expected when an
// order would arrive.
func (m deploymentState) endpointsNeeded(d definer.Deployment) float64 {
	if d.Kind != definer.Model {
		return 0
	}
	demand := m.forecast.Within(provisioningTime)
	return headroom * (demand.Prefill/float64(max(d.PrefillRate, 1)) + demand.Decode/float64(max(d.DecodeRate, 1)))
}

// withdrawalShare is the share of a data centre's cheap endpoints whose loss
// shows that the platform takes them back; a single one may have failed.
const withdrawalShare = 0.5

// withSpot returns a copy that has seen the cheap endpoints, and notes data
// centres in which the platform took them back.
func (m deploymentState) withSpot(endpoints []picker.Endpoint, now time.Time) deploymentState {
	var spot []picker.Endpoint
	for _, e := range endpoints {
		if e.Tier == definer.Spot && !e.Leaving && !e.Report.Leaving {
			spot = append(spot, e)
		}
	}
	had, lost := make(map[string]int), make(map[string]int)
	for _, e := range m.spot {
		had[e.DataCentre]++
		here := slices.ContainsFunc(spot, func(o picker.Endpoint) bool { return o.ID == e.ID })
		if !here && !slices.Contains(m.returned, e.ID) {
			lost[e.DataCentre]++
		}
	}
	m.withdrawn = slices.Clone(m.withdrawn)
	for dc, n := range lost {
		if n > 1 && float64(n) >= withdrawalShare*float64(had[dc]) {
			m.withdrawn = append(m.withdrawn, planner.Withdrawn{DataCentre: dc, Tier: definer.Spot, At: now})
		}
	}
	m.withdrawn = slices.DeleteFunc(m.withdrawn, func(w planner.Withdrawn) bool { return now.Sub(w.At) > withdrawalKept })
	m.returned = slices.DeleteFunc(slices.Clone(m.returned), func(id string) bool {
		return !slices.ContainsFunc(endpoints, func(e picker.Endpoint) bool { return e.ID == id })
	})
	m.spot = spot
	return m
}

// withdrawalKept is how long a withdrawal is remembered; the decision itself
// avoids the place for less.
const withdrawalKept = time.Hour
