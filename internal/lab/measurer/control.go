package measurer

import (
	"fmt"
	"math"
	"time"

	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/decision/balancer"
	"foxtailflow.example/foxtailflow/internal/decision/forecaster"
	"foxtailflow.example/foxtailflow/internal/decision/picker"
	"foxtailflow.example/foxtailflow/internal/decision/planner"
)

const (
	// drainTime is the time that the balancer expects a drain to take.
	drainTime = 8 * time.Second
	// orderDelay is the time from an order to its endpoints.
	orderDelay = 180 * time.Second
	// needHeadroom is the ratio of the ordered capacity to the mean demand.
	needHeadroom   = 1.25
	maxUnavailable = 2
)

// controlState holds what the decisions on roles and fleet keep between calls.
type controlState struct {
	forecast     forecaster.Forecast
	wanted       balancer.WantedChange
	surplusSince time.Time
	withdrawn    []planner.Withdrawn
	// currentDemand is the demand of the current second.
	currentDemand forecaster.Demand
	// outputRatio is the moving average of the output as a share of max tokens.
	outputRatio      float64
	lastEngineNumber int
	// peakNeed is the greatest number of engines needed so far: load swings
	// recur within minutes, and an order takes longer.
	peakNeed float64
}

// decideRoles decides on role changes; it is called once a second.
func (r *run) decideRoles(t time.Duration) {
	r.control.forecast = r.control.forecast.WithSample(r.clock.Now(), r.control.currentDemand)
	r.control.currentDemand = forecaster.Demand{}
	switch r.plan.Roles {
	case "priced":
		r.decidePriced(t)
	case "greedy":
		level := r.control.forecast.Level()
		r.assignRoles(t, level.Prefill, level.Decode)
	case "knows-future":
		prefill, decode := r.mix.demand(t + drainTime + roleChange)
		r.assignRoles(t, prefill, decode)
	}
}

func (r *run) decidePriced(t time.Duration) {
	s := balancer.State{
		Now: r.clock.Now(), Forecast: r.control.forecast, PrefillRate: prefillRate, DecodeRate: decodeRate,
		DrainTime: drainTime, ChangeTime: roleChange, MaxUnavailable: maxUnavailable, Wanted: r.control.wanted,
	}
	for _, e := range r.engines {
		if !e.present(t) {
			continue
		}
		b := balancer.Engine{ID: e.id, Role: e.role, InFlight: e.inFlight(), Unavailable: !e.serving(t), Target: e.target}
		if e.changedAt > 0 {
			b.ChangedAt = start.Add(e.changedAt)
		}
		s.Engines = append(s.Engines, b)
		s.Backlog.Prefill += float64(r.latestReports[e].Backlog)
	}
	d := balancer.CostBenefit{}.Decide(s)
	r.control.wanted = d.Wanted
	for _, o := range d.Orders {
		r.changeRole(r.byID[o.Engine], o.To)
	}
}

// assignRoles changes the roles of engines until prefill and decode engines are
// in proportion to the demand.
func (r *run) assignRoles(t time.Duration, prefill, decode float64) {
	p, d := prefill/prefillRate, decode/decodeRate
	var serving []*engine
	prefillEngines := 0
	for _, e := range r.engines {
		switch {
		case e.serving(t):
			serving = append(serving, e)
			if e.role == picker.Prefill {
				prefillEngines++
			}
		case e.present(t) && e.target != "":
			serving = append(serving, e)
			if e.target == picker.Prefill {
				prefillEngines++
			}
		}
	}
	if p+d == 0 || len(serving) < 2 {
		return
	}
	wantedPrefill := int(math.Round(float64(len(serving)) * p / (p + d)))
	wantedPrefill = min(max(wantedPrefill, 1), len(serving)-1)
	for _, e := range serving {
		switch {
		case e.target != "":
		case prefillEngines > wantedPrefill && e.role == picker.Prefill:
			prefillEngines--
			r.changeRole(e, picker.Decode)
		case prefillEngines < wantedPrefill && e.role == picker.Decode:
			prefillEngines++
			r.changeRole(e, picker.Prefill)
		}
	}
}

func (r *run) changeRole(e *engine, to picker.Role) {
	e.target = to
	r.count.changes++
}

// advanceRole starts the role change of a drained engine, ends a change whose
// time is over, and removes a leaving engine that has drained.
func (r *run) advanceRole(t time.Duration, e *engine) {
	switch {
	case e.target != "" && e.changeEnds == 0 && e.inFlight() == 0:
		e.changeEnds = t + roleChange
	case e.target != "" && e.changeEnds > 0 && t >= e.changeEnds:
		e.role, e.target, e.changeEnds, e.changedAt, e.cache = e.target, "", 0, t, nil
	case e.leaving && e.inFlight() == 0:
		e.removed = true
	}
}

// planFleet orders and withdraws endpoints; it is called every ten seconds.
func (r *run) planFleet(t time.Duration) {
	expected := r.control.forecast.Within(orderDelay)
	need := needHeadroom * (expected.Prefill/prefillRate + expected.Decode/decodeRate)
	r.control.peakNeed = max(r.control.peakNeed, min(need, fleetSize))
	s := planner.State{
		Deployment: r.deployment, Now: r.clock.Now(), Need: max(r.control.peakNeed, fleetSize),
		Withdrawn: r.control.withdrawn, SurplusSince: r.control.surplusSince,
	}
	for _, e := range r.engines {
		switch {
		case e.present(t):
			s.Endpoints = append(s.Endpoints, planner.Endpoint{ID: e.id, DataCentre: e.dataCentre, Tier: e.tier, Leaving: e.leaving, InFlight: e.inFlight()})
		case !e.removed:
			s.Pending = append(s.Pending, planner.Pending{ID: e.id, DataCentre: e.dataCentre, Tier: e.tier, Missing: 1, Since: start.Add(e.availableAt - orderDelay)})
		}
	}
	d := planner.LossTolerant{ExpensiveOnly: r.plan.Fleet == "expensive"}.Plan(s)
	r.control.surplusSince = d.SurplusSince
	for _, o := range d.Orders {
		for range o.Add {
			r.addEngine(o.DataCentre, o.Tier, t+orderDelay)
		}
		for _, id := range o.Withdraw {
			r.byID[id].leaving = true
		}
	}
}

// addEngine adds an engine; successive engines alternate between the prefill and
// the decode role.
func (r *run) addEngine(dataCentre string, tier definer.Tier, availableAt time.Duration) {
	r.control.lastEngineNumber++
	e := &engine{id: fmt.Sprintf("engine-%d", r.control.lastEngineNumber), dataCentre: dataCentre, tier: tier, availableAt: availableAt, role: picker.Prefill}
	if r.control.lastEngineNumber%2 == 0 {
		e.role = picker.Decode
	}
	r.engines = append(r.engines, e)
	r.byID[e.id] = e
}

// withdrawSpot withdraws all spot endpoints of the second data centre.
func (r *run) withdrawSpot() {
	dataCentre := r.mix.dataCentres[1]
	for _, e := range r.engines {
		if e.dataCentre == dataCentre && e.tier == definer.Spot && !e.removed {
			r.failEngine(e)
			e.removed = true
		}
	}
	r.control.withdrawn = append(r.control.withdrawn, planner.Withdrawn{DataCentre: dataCentre, Tier: definer.Spot, At: r.clock.Now()})
}

// failEngine crashes an engine and interrupts its requests, which their nodes
// send again.
func (r *run) failEngine(e *engine) {
	e.crashed = true
	interrupted := append(append([]*job(nil), e.prefill...), e.decode...)
	e.prefill, e.decode = nil, nil
	for _, j := range interrupted {
		j.node.release(j, false)
		j.node.recordFailure(e, j)
		// Another engine prefills the prompt again; the output continues where it
		// was interrupted.
		j.decoding = false
		j.node.dispatch(j)
	}
}
