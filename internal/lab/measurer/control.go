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
	// drain is what the balancer expects a drain to take.
	drain = 8 * time.Second
	// arrival is how late ordered endpoints come.
	arrival = 180 * time.Second
	// needHeadroom is the capacity ordered above the mean demand.
	needHeadroom = 1.25
	maxAway      = 2
)

// control holds what the decisions on roles and fleet keep.
type control struct {
	forecast  forecaster.Forecast
	wanted    balancer.WantedChange
	surplus   time.Time
	withdrawn []planner.Withdrawn
	// arrived is the demand of the present second.
	arrived forecaster.Demand
	// ratio is the learned part of the bound that an answer has.
	ratio float64
	next  int
	// need is the number of engines that the peak needed so far: swings come
	// back within minutes, an order takes longer.
	need float64
}

// roles decides on role changes once a second.
func (r *run) roles(t time.Duration) {
	r.control.forecast = r.control.forecast.WithSample(r.clock.Now(), r.control.arrived)
	r.control.arrived = forecaster.Demand{}
	switch r.plan.Roles {
	case "priced":
		r.priced(t)
	case "greedy":
		level := r.control.forecast.Level()
		r.assign(t, level.Prefill, level.Decode)
	case "knows-future":
		prefill, decode := r.mix.demand(t + drain + roleChange)
		r.assign(t, prefill, decode)
	}
}

func (r *run) priced(t time.Duration) {
	s := balancer.State{
		Now: r.clock.Now(), Forecast: r.control.forecast, PrefillRate: prefillRate, DecodeRate: decodeRate,
		DrainTime: drain, ChangeTime: roleChange, MaxUnavailable: maxAway, Wanted: r.control.wanted,
	}
	for _, e := range r.engines {
		if !e.present(t) {
			continue
		}
		b := balancer.Engine{ID: e.id, Role: e.role, InFlight: e.inFlight(), Unavailable: !e.serving(t), Target: e.target}
		if e.changed > 0 {
			b.ChangedAt = start.Add(e.changed)
		}
		s.Engines = append(s.Engines, b)
		s.Backlog.Prefill += float64(r.arrived[e].Backlog)
	}
	d := balancer.CostBenefit{}.Decide(s)
	r.control.wanted = d.Wanted
	for _, o := range d.Orders {
		r.changeRole(r.byID[o.Engine], o.To)
	}
}

// assign changes as many engines as it takes to split them by the demand.
func (r *run) assign(t time.Duration, prefill, decode float64) {
	p, d := prefill/prefillRate, decode/decodeRate
	var serving []*engine
	have := 0
	for _, e := range r.engines {
		switch {
		case e.serving(t):
			serving = append(serving, e)
			if e.role == picker.Prefill {
				have++
			}
		case e.present(t) && e.target != "":
			serving = append(serving, e)
			if e.target == picker.Prefill {
				have++
			}
		}
	}
	if p+d == 0 || len(serving) < 2 {
		return
	}
	want := int(math.Round(float64(len(serving)) * p / (p + d)))
	want = min(max(want, 1), len(serving)-1)
	for _, e := range serving {
		switch {
		case e.target != "":
		case have > want && e.role == picker.Prefill:
			have--
			r.changeRole(e, picker.Decode)
		case have < want && e.role == picker.Decode:
			have++
			r.changeRole(e, picker.Prefill)
		}
	}
}

func (r *run) changeRole(e *engine, to picker.Role) {
	e.target = to
	r.count.changes++
}

// moveOn lets a drained engine change, and a changed one serve.
func (r *run) moveOn(t time.Duration, e *engine) {
	switch {
	case e.target != "" && e.ready == 0 && e.inFlight() == 0:
		e.ready = t + roleChange
	case e.target != "" && e.ready > 0 && t >= e.ready:
		e.role, e.target, e.ready, e.changed, e.cache = e.target, "", 0, t, nil
	case e.leaving && e.inFlight() == 0:
		e.gone = true
	}
}

// fleet decides on the endpoints every ten seconds.
func (r *run) fleet(t time.Duration) {
	ahead := r.control.forecast.Within(arrival)
	need := needHeadroom * (ahead.Prefill/prefillRate + ahead.Decode/decodeRate)
	r.control.need = max(r.control.need, min(need, engines))
	s := planner.State{
		Deployment: r.deployment, Now: r.clock.Now(), Need: max(r.control.need, engines),
		Withdrawn: r.control.withdrawn, SurplusSince: r.control.surplus,
	}
	for _, e := range r.engines {
		switch {
		case e.present(t):
			s.Endpoints = append(s.Endpoints, planner.Endpoint{ID: e.id, DataCentre: e.dataCentre, Tier: e.tier, Leaving: e.leaving, InFlight: e.inFlight()})
		case !e.gone:
			s.Pending = append(s.Pending, planner.Pending{ID: e.id, DataCentre: e.dataCentre, Tier: e.tier, Missing: 1, Since: start.Add(e.arrives - arrival)})
		}
	}
	d := planner.LossTolerant{ExpensiveOnly: r.plan.Fleet == "expensive"}.Plan(s)
	r.control.surplus = d.SurplusSince
	for _, o := range d.Orders {
		for range o.Add {
			r.addEngine(o.DataCentre, o.Tier, t+arrival)
		}
		for _, id := range o.Withdraw {
			r.byID[id].leaving = true
		}
	}
}

// addEngine adds an engine with the role of which there is less for the demand.
func (r *run) addEngine(dataCentre string, tier definer.Tier, arrives time.Duration) {
	r.control.next++
	e := &engine{id: fmt.Sprintf("engine-%d", r.control.next), dataCentre: dataCentre, tier: tier, arrives: arrives, role: picker.Prefill}
	if r.control.next%2 == 0 {
		e.role = picker.Decode
	}
	r.engines = append(r.engines, e)
	r.byID[e.id] = e
}

// withdraw takes all cheap endpoints of the second data centre back.
func (r *run) withdraw() {
	where := r.mix.dataCentres[1]
	for _, e := range r.engines {
		if e.dataCentre == where && e.tier == definer.Spot && !e.gone {
			r.lose(e)
			e.gone = true
		}
	}
	r.control.withdrawn = append(r.control.withdrawn, planner.Withdrawn{DataCentre: where, Tier: definer.Spot, At: r.clock.Now()})
}

// lose breaks the requests of an engine; their nodes try again.
func (r *run) lose(e *engine) {
	e.crashed = true
	broken := append(append([]*job(nil), e.prefill...), e.decode...)
	e.prefill, e.decode = nil, nil
	for _, j := range broken {
		j.node.left(j, false)
		j.node.fail(e, j)
		// The prompt is read again elsewhere; the answer goes on from its last chunk.
		j.decoding = false
		j.node.send(j)
	}
}
