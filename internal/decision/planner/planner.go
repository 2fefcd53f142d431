package planner

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"foxtailflow.example/foxtailflow/internal/config/definer"
)

// Policy decides on the fleet.
type Policy interface {
	// Plan returns what to do now.
	Plan(s State) Decision
}

// Surviving uses cheap endpoints as far as the loss of the data centre with
// the most of them is survived.
//
// The zero value uses the default for each field.
type Surviving struct {
	// Late is the age at which an order is no longer counted on.
	Late time.Duration
	// Avoid is how long a withdrawn data centre and tier gets no order.
	Avoid time.Duration
	// Shrink is how long a surplus must last before endpoints are given back.
	Shrink time.Duration
	// ExpensiveOnly leaves the cheap tier out.
	ExpensiveOnly bool
}

const (
	defaultLate   = 5 * time.Minute
	defaultAvoid  = 15 * time.Minute
	defaultShrink = 10 * time.Minute
	// shrinkShare limits what is given back at once: a wrong forecast must not
	// cost more than can be carried until an order arrives.
	shrinkShare = 0.1
	// maxTrials bounds the trials of one plan; in a large fleet a few endpoints
	// more or less in a data centre change the cost by little.
	maxTrials = 64
	// maxRejected bounds a decision line for a large fleet.
	maxRejected = 16
)

func (p Surviving) withDefaults() Surviving {
	if p.Late == 0 {
		p.Late = defaultLate
	}
	if p.Avoid == 0 {
		p.Avoid = defaultAvoid
	}
	if p.Shrink == 0 {
		p.Shrink = defaultShrink
	}
	return p
}

// slot is one data centre and tier with what is there.
type slot struct {
	definer.Placement
	have    int
	coming  int
	blocked bool
	target  int
}

func (s slot) name() string { return s.DataCentre + "/" + string(s.Tier) }

// cap is the largest target that can be reached.
func (s slot) cap() int {
	if s.blocked {
		return s.have
	}
	return s.Max
}

// Plan returns the orders that bring the fleet to the cheapest safe targets.
func (p Surviving) Plan(s State) Decision {
	p = p.withDefaults()
	slots := p.slots(s)
	need := max(int(math.Ceil(s.Need-1e-9)), s.Running)
	d := Decision{SurplusSince: s.SurplusSince}
	setTargets(slots, need)
	d.Survives, d.Cost = survivors(slots), cost(slots)
	for _, t := range slots {
		d.Targets = append(d.Targets, Target{DataCentre: t.DataCentre, Tier: t.Tier, Count: t.target})
		switch {
		case t.blocked:
			d.Rejected = append(d.Rejected, Rejected{Name: t.name(), Reason: ReasonBlocked})
		case t.target >= t.Max:
			d.Rejected = append(d.Rejected, Rejected{Name: t.name(), Reason: ReasonMax})
		}
	}
	if d = grow(d, slots, need); len(d.Orders) > 0 {
		return d
	}
	return p.shrink(d, s, slots, need)
}

// slots counts what each placement has, and blocks those that cannot deliver.
func (p Surviving) slots(s State) []slot {
	var slots []slot
	for _, pl := range s.Deployment.Placements {
		t := slot{Placement: pl}
		for _, e := range s.Endpoints {
			if e.DataCentre == pl.DataCentre && e.Tier == pl.Tier && !e.Leaving {
				t.have++
			}
		}
		for _, o := range s.Pending {
			if o.DataCentre != pl.DataCentre || o.Tier != pl.Tier || o.Missing == 0 {
				continue
			}
			if s.Now.Sub(o.Since) < p.Late {
				t.coming += o.Missing
			} else {
				t.blocked = true
			}
		}
		for _, w := range s.Withdrawn {
			if w.DataCentre == pl.DataCentre && w.Tier == pl.Tier && s.Now.Sub(w.At) < p.Avoid {
				t.blocked = true
			}
		}
		if p.ExpensiveOnly && pl.Tier == definer.Spot {
			t.Min, t.Max = 0, 0
		}
		slots = append(slots, t)
	}
	return slots
}

// setTargets sets the cheapest targets that serve need after the loss of the
// cheap endpoints of any one data centre.
//
// The largest number of cheap endpoints in one data centre is tried from none
// upwards; the rest is filled with the other tier.
func setTargets(slots []slot, need int) {
	best, bestCost, bestShort := make([]int, len(slots)), math.MaxInt, math.MaxInt
	limit := 0
	for _, t := range slots {
		if t.Tier == definer.Spot {
			limit = max(limit, t.cap())
		}
	}
	limit = min(limit, need)
	for k := 0; k <= limit; k += max(limit/maxTrials, 1) {
		fill(slots, need, k)
		short, c := max(need-survivors(slots), 0), cost(slots)
		if short < bestShort || short == bestShort && c < bestCost {
			bestShort, bestCost = short, c
			for i, t := range slots {
				best[i] = t.target
			}
		}
	}
	for i := range slots {
		slots[i].target = best[i]
	}
}

// fill sets targets with at most k cheap endpoints in each data centre, more
// only where the minimum or what is lost elsewhere asks for it.
func fill(slots []slot, need, k int) {
	for i, t := range slots {
		slots[i].target = min(t.Min, max(t.cap(), t.have))
	}
	total, worst := sums(slots)
	for total-worst < need {
		i := next(slots, k)
		if i < 0 {
			return
		}
		slots[i].target++
		total++
		if slots[i].Tier == definer.Spot {
			worst = max(worst, slots[i].target)
		}
	}
}

// next returns the slot that gets one more endpoint, or -1.
//
// Cheap ones come before others, then the lower price, then what is there
// already, then the slot with the fewest, so that endpoints are spread.
func next(slots []slot, k int) int {
	best := -1
	for i, t := range slots {
		if t.target >= t.cap() || t.Tier == definer.Spot && t.target >= k {
			continue
		}
		if best < 0 || before(t, slots[best]) {
			best = i
		}
	}
	return best
}

func before(a, b slot) bool {
	if (a.Tier == definer.Spot) != (b.Tier == definer.Spot) {
		return a.Tier == definer.Spot
	}
	if a.Cost != b.Cost {
		return a.Cost < b.Cost
	}
	if (a.target < a.have) != (b.target < b.have) {
		return a.target < a.have
	}
	return a.target < b.target
}

// survivors returns the endpoints left after the worst loss of cheap ones.
func survivors(slots []slot) int {
	total, worst := sums(slots)
	return total - worst
}

// sums returns all endpoints, and the most cheap ones of a data centre.
func sums(slots []slot) (total, worst int) {
	for _, t := range slots {
		total += t.target
		if t.Tier == definer.Spot {
			worst = max(worst, t.target)
		}
	}
	return total, worst
}

func cost(slots []slot) int {
	sum := 0
	for _, t := range slots {
		sum += t.target * t.Cost
	}
	return sum
}

func grow(d Decision, slots []slot, need int) Decision {
	for _, t := range slots {
		if n := t.target - t.have - t.coming; n > 0 && !t.blocked {
			d.Orders = append(d.Orders, Order{
				DataCentre: t.DataCentre, Tier: t.Tier, Add: n,
				Reason: fmt.Sprintf("the demand needs %d endpoints after the worst loss; %d are there, %d come", need, t.have, t.coming),
			})
		}
	}
	if len(d.Orders) > 0 {
		d.Reason = "demand-above-fleet"
		d.SurplusSince = time.Time{}
	}
	return d
}

// shrink gives endpoints back once the fleet has been too large for a while.
func (p Surviving) shrink(d Decision, s State, slots []slot, need int) Decision {
	total, surplus := 0, 0
	for _, t := range slots {
		total += t.have
		surplus += max(t.have-t.target, 0)
		if t.have < t.target {
			// What is missing elsewhere is made up by what is here.
			surplus -= t.target - t.have
		}
	}
	if surplus <= 0 {
		d.Reason, d.SurplusSince = "fleet-fits", time.Time{}
		return d
	}
	if d.SurplusSince.IsZero() {
		d.SurplusSince = s.Now
	}
	if s.Now.Sub(d.SurplusSince) < p.Shrink {
		d.Reason = string(ReasonWait)
		return d
	}
	allowed := min(surplus, max(int(float64(total)*shrinkShare), 1), total-max(need, s.Running))
	for i := len(slots) - 1; i >= 0 && allowed > 0; i-- {
		ids := idle(&d, s, slots[i], min(slots[i].have-slots[i].target, allowed))
		if len(ids) == 0 {
			continue
		}
		allowed -= len(ids)
		d.Orders = append(d.Orders, Order{DataCentre: slots[i].DataCentre, Tier: slots[i].Tier, Withdraw: ids, Reason: "surplus lasted"})
	}
	d.Reason = "surplus-lasted"
	return d
}

// idle returns the n endpoints of a slot with the least work.
func idle(d *Decision, s State, t slot, n int) []string {
	if n <= 0 {
		return nil
	}
	var here []Endpoint
	for _, e := range s.Endpoints {
		if e.DataCentre == t.DataCentre && e.Tier == t.Tier && !e.Leaving {
			here = append(here, e)
		}
	}
	slices.SortStableFunc(here, func(a, b Endpoint) int { return cmp.Compare(a.InFlight, b.InFlight) })
	var ids []string
	for _, e := range here {
		if len(ids) < n {
			ids = append(ids, e.ID)
			continue
		}
		if len(d.Rejected) < maxRejected {
			d.Rejected = append(d.Rejected, Rejected{Name: e.ID, Reason: ReasonBusy})
		}
	}
	return ids
}
