package planner

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"foxtailflow.example/foxtailflow/internal/config/definer"
)

// Policy decides on the size of the fleet.
type Policy interface {
	// Plan returns the orders to make now.
	Plan(s State) Decision
}

// LossTolerant uses cheap endpoints as far as enough are left after the loss of the
// data centre with the most of them.
//
// The zero value uses the default for each field.
type LossTolerant struct {
	// OrderTimeout is the age from which the missing endpoints of an order are
	// no longer expected.
	OrderTimeout time.Duration
	// AvoidTime is how long no order goes to a data centre and tier after a
	// withdrawal.
	AvoidTime time.Duration
	// ShrinkDelay is how long a surplus must last before endpoints are given back.
	ShrinkDelay time.Duration
	// ExpensiveOnly excludes the cheap tier.
	ExpensiveOnly bool
}

const (
	defaultOrderTimeout = 5 * time.Minute
	defaultAvoidTime    = 15 * time.Minute
	defaultShrinkDelay  = 10 * time.Minute
	// shrinkShare limits the share given back at once: after a wrong forecast,
	// the rest must carry the load until an order arrives.
	shrinkShare = 0.1
	// maxTrials bounds the trials of one plan; in a large fleet a few endpoints
	// more or less in a data centre hardly change the cost.
	maxTrials = 64
	// maxRejected bounds the length of a decision line for a large fleet.
	maxRejected = 16
)

func (p LossTolerant) withDefaults() LossTolerant {
	if p.OrderTimeout == 0 {
		p.OrderTimeout = defaultOrderTimeout
	}
	if p.AvoidTime == 0 {
		p.AvoidTime = defaultAvoidTime
	}
	if p.ShrinkDelay == 0 {
		p.ShrinkDelay = defaultShrinkDelay
	}
	return p
}

// pool is one data centre and tier with its endpoints.
type pool struct {
	definer.Placement
	present int
	pending int
	blocked bool
	target  int
}

func (s pool) name() string { return s.DataCentre + "/" + string(s.Tier) }

// limit is the largest target that can be reached.
func (s pool) limit() int {
	if s.blocked {
		return s.present
	}
	return s.Max
}

// Plan returns the orders that bring the fleet to the cheapest safe targets.
func (p LossTolerant) Plan(s State) Decision {
	p = p.withDefaults()
	pools := p.pools(s)
	need := max(int(math.Ceil(s.Need-1e-9)), s.Running)
	d := Decision{SurplusSince: s.SurplusSince}
	setTargets(pools, need)
	d.Survivors, d.Cost = survivors(pools), cost(pools)
	for _, t := range pools {
		d.Targets = append(d.Targets, Target{DataCentre: t.DataCentre, Tier: t.Tier, Count: t.target})
		switch {
		case t.blocked:
			d.Rejected = append(d.Rejected, Rejected{Name: t.name(), Reason: ReasonWithdrawnOrLate})
		case t.target >= t.Max:
			d.Rejected = append(d.Rejected, Rejected{Name: t.name(), Reason: ReasonAtMaximum})
		}
	}
	if d = grow(d, pools, need); len(d.Orders) > 0 {
		return d
	}
	return p.shrink(d, s, pools, need)
}

// pools counts the endpoints of each placement, and blocks placements with late
// orders or recent withdrawals.
func (p LossTolerant) pools(s State) []pool {
	var pools []pool
	for _, pl := range s.Deployment.Placements {
		t := pool{Placement: pl}
		for _, e := range s.Endpoints {
			if e.DataCentre == pl.DataCentre && e.Tier == pl.Tier && !e.Leaving {
				t.present++
			}
		}
		for _, o := range s.Pending {
			if o.DataCentre != pl.DataCentre || o.Tier != pl.Tier || o.Missing == 0 {
				continue
			}
			if s.Now.Sub(o.Since) < p.OrderTimeout {
				t.pending += o.Missing
			} else {
				t.blocked = true
			}
		}
		for _, w := range s.Withdrawn {
			if w.DataCentre == pl.DataCentre && w.Tier == pl.Tier && s.Now.Sub(w.At) < p.AvoidTime {
				t.blocked = true
			}
		}
		if p.ExpensiveOnly && pl.Tier == definer.Spot {
			t.Min, t.Max = 0, 0
		}
		pools = append(pools, t)
	}
	return pools
}

// setTargets sets the cheapest targets that leave need endpoints after the loss
// of the cheap endpoints of any one data centre.
//
// It tries limits on the cheap endpoints per data centre, from none upwards, and
// fills the rest from the other tier.
func setTargets(pools []pool, need int) {
	best, bestCost, bestShort := make([]int, len(pools)), math.MaxInt, math.MaxInt
	maxPerPool := 0
	for _, t := range pools {
		if t.Tier == definer.Spot {
			maxPerPool = max(maxPerPool, t.limit())
		}
	}
	maxPerPool = min(maxPerPool, need)
	for spotLimit := 0; spotLimit <= maxPerPool; spotLimit += max(maxPerPool/maxTrials, 1) {
		fillTargets(pools, need, spotLimit)
		short, totalCost := max(need-survivors(pools), 0), cost(pools)
		if short < bestShort || short == bestShort && totalCost < bestCost {
			bestShort, bestCost = short, totalCost
			for i, t := range pools {
				best[i] = t.target
			}
		}
	}
	for i := range pools {
		pools[i].target = best[i]
	}
}

// fillTargets sets targets with at most spotLimit cheap endpoints in each data
// centre, more only where the configured minimum requires it.
func fillTargets(pools []pool, need, spotLimit int) {
	for i, t := range pools {
		pools[i].target = min(t.Min, max(t.limit(), t.present))
	}
	total, largestSpot := totals(pools)
	for total-largestSpot < need {
		i := nextPool(pools, spotLimit)
		if i < 0 {
			return
		}
		pools[i].target++
		total++
		if pools[i].Tier == definer.Spot {
			largestSpot = max(largestSpot, pools[i].target)
		}
	}
}

// nextPool returns the index of the pool that gets one more endpoint, or -1.
//
// The order is: the cheap tier, the lower cost, a pool with existing endpoints
// beyond its target, and the smallest target, so that endpoints are spread.
func nextPool(pools []pool, spotLimit int) int {
	best := -1
	for i, t := range pools {
		if t.target >= t.limit() || t.Tier == definer.Spot && t.target >= spotLimit {
			continue
		}
		if best < 0 || preferred(t, pools[best]) {
			best = i
		}
	}
	return best
}

func preferred(a, b pool) bool {
	if (a.Tier == definer.Spot) != (b.Tier == definer.Spot) {
		return a.Tier == definer.Spot
	}
	if a.Cost != b.Cost {
		return a.Cost < b.Cost
	}
	if (a.target < a.present) != (b.target < b.present) {
		return a.target < a.present
	}
	return a.target < b.target
}

// survivors returns the number of endpoints left after the largest loss of cheap
// ones.
func survivors(pools []pool) int {
	total, largestSpot := totals(pools)
	return total - largestSpot
}

// totals returns the number of all endpoints, and the largest number of cheap
// ones in one data centre.
func totals(pools []pool) (total, largestSpot int) {
	for _, t := range pools {
		total += t.target
		if t.Tier == definer.Spot {
			largestSpot = max(largestSpot, t.target)
		}
	}
	return total, largestSpot
}

func cost(pools []pool) int {
	sum := 0
	for _, t := range pools {
		sum += t.target * t.Cost
	}
	return sum
}

func grow(d Decision, pools []pool, need int) Decision {
	for _, t := range pools {
		if n := t.target - t.present - t.pending; n > 0 && !t.blocked {
			d.Orders = append(d.Orders, Order{
				DataCentre: t.DataCentre, Tier: t.Tier, Add: n,
				Reason: fmt.Sprintf("demand needs %d endpoints after the largest loss; %d present, %d pending", need, t.present, t.pending),
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
func (p LossTolerant) shrink(d Decision, s State, pools []pool, need int) Decision {
	total, surplus := 0, 0
	for _, t := range pools {
		total += t.present
		surplus += max(t.present-t.target, 0)
		if t.present < t.target {
			// A surplus in one pool makes up for what is missing in another.
			surplus -= t.target - t.present
		}
	}
	if surplus <= 0 {
		d.Reason, d.SurplusSince = "fleet-fits", time.Time{}
		return d
	}
	if d.SurplusSince.IsZero() {
		d.SurplusSince = s.Now
	}
	if s.Now.Sub(d.SurplusSince) < p.ShrinkDelay {
		d.Reason = string(ReasonSurplusTooShort)
		return d
	}
	allowed := min(surplus, max(int(float64(total)*shrinkShare), 1), total-max(need, s.Running))
	for i := len(pools) - 1; i >= 0 && allowed > 0; i-- {
		ids := leastLoaded(&d, s, pools[i], min(pools[i].present-pools[i].target, allowed))
		if len(ids) == 0 {
			continue
		}
		allowed -= len(ids)
		d.Orders = append(d.Orders, Order{DataCentre: pools[i].DataCentre, Tier: pools[i].Tier, Withdraw: ids, Reason: "surplus lasted"})
	}
	d.Reason = "surplus-lasted"
	return d
}

// leastLoaded returns the n endpoints of a pool with the fewest in-flight
// requests.
func leastLoaded(d *Decision, s State, t pool, n int) []string {
	if n <= 0 {
		return nil
	}
	var candidates []Endpoint
	for _, e := range s.Endpoints {
		if e.DataCentre == t.DataCentre && e.Tier == t.Tier && !e.Leaving {
			candidates = append(candidates, e)
		}
	}
	slices.SortStableFunc(candidates, func(a, b Endpoint) int { return cmp.Compare(a.InFlight, b.InFlight) })
	var ids []string
	for _, e := range candidates {
		if len(ids) < n {
			ids = append(ids, e.ID)
			continue
		}
		if len(d.Rejected) < maxRejected {
			d.Rejected = append(d.Rejected, Rejected{Name: e.ID, Reason: ReasonRunningWork})
		}
	}
	return ids
}
