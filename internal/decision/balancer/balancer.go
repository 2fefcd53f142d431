package balancer

import (
	"time"

	"foxtailflow.example/foxtailflow/internal/decision/forecaster"
	"foxtailflow.example/foxtailflow/internal/decision/picker"
)

// Policy decides on role changes.
type Policy interface {
	// Decide returns the role changes to make now.
	Decide(s State) Decision
}

// CostBenefit changes a role if the gain exceeds the price by a margin.
//
// The zero value uses the default for each field.
type CostBenefit struct {
	// Horizon is how long a ratio of the phases is expected to last.
	Horizon time.Duration
	// ConfirmTime is how long a change must be wanted before it is made.
	ConfirmTime time.Duration
	// Margin is the factor by which the gain must exceed the price.
	Margin float64
	// MinGain is the minimum gain, as a share of the demand during Horizon.
	MinGain float64
}

const (
	// defaultHorizon is shorter than the minutes within which the ratio swings.
	defaultHorizon = 60 * time.Second
	// defaultConfirmTime is longer than a burst of a few long prompts.
	defaultConfirmTime = 3 * time.Second
	defaultMargin      = 1.5
	// defaultMinGain prevents changes for a few hundredths of the demand.
	defaultMinGain = 0.04
	// headroom is the intended ratio of capacity to mean demand: arrivals are
	// random, and a phase at full utilisation has unbounded queues.
	headroom = 1.25
	// backlogDrainTime is the time in which queued work should be completed.
	backlogDrainTime = 20 * time.Second
)

func (p CostBenefit) withDefaults() CostBenefit {
	if p.Horizon == 0 {
		p.Horizon = defaultHorizon
	}
	if p.ConfirmTime == 0 {
		p.ConfirmTime = defaultConfirmTime
	}
	if p.Margin == 0 {
		p.Margin = defaultMargin
	}
	if p.MinGain == 0 {
		p.MinGain = defaultMinGain
	}
	return p
}

// roleCounts is a number of engines by role.
type roleCounts struct {
	prefill, decode, both int
}

func (f roleCounts) with(r picker.Role, n int) roleCounts {
	switch r {
	case picker.Prefill:
		f.prefill += n
	case picker.Decode:
		f.decode += n
	default:
		f.both += n
	}
	return f
}

func (f roleCounts) count(r picker.Role) int {
	switch r {
	case picker.Prefill:
		return f.prefill
	case picker.Decode:
		return f.decode
	}
	return f.both
}

// Decide returns at most one role change.
func (p CostBenefit) Decide(s State) Decision {
	p = p.withDefaults()
	if s.Forecast.Samples() == 0 || s.PrefillRate <= 0 || s.DecodeRate <= 0 {
		return Decision{Reason: string(ReasonNoForecast)}
	}
	outage := s.DrainTime + s.ChangeTime
	d := Decision{Demand: s.Forecast.After(outage).Add(s.Backlog.Scale(1 / backlogDrainTime.Seconds()))}
	current, eventual, changing := countEngines(s.Engines)
	best, gain, price := p.bestChange(s, d.Demand, current, eventual)
	d.Gain, d.Price = gain, price
	switch {
	case best.From == "":
		d.Reason = string(ReasonRolesFit)
		return d
	case gain < p.Margin*price || gain < p.MinGain*p.Horizon.Seconds():
		d.Reason = string(ReasonPriceAboveGain)
		return d
	}
	d.Wanted = WantedChange{From: best.From, To: best.To, Since: s.Now}
	if s.Wanted.From == best.From && s.Wanted.To == best.To {
		d.Wanted.Since = s.Wanted.Since
	}
	switch {
	case oppositeInProgress(s.Engines, best):
		d.Reason = string(ReasonOpposite)
	case changing >= s.MaxUnavailable:
		d.Reason = string(ReasonMaxUnavailable)
	case s.Now.Sub(d.Wanted.Since) < p.ConfirmTime:
		d.Reason = string(ReasonNeedTooShort)
	default:
		return p.orderChange(s, d, best, current)
	}
	return d
}

// countEngines returns the engines in service, those that will be in service once
// all changes in progress have ended, and the number of changes in progress.
func countEngines(engines []Engine) (current, eventual roleCounts, changing int) {
	for _, e := range engines {
		switch {
		case !e.Unavailable:
			current, eventual = current.with(e.Role, 1), eventual.with(e.Role, 1)
		case e.Target != "":
			eventual = eventual.with(e.Target, 1)
			changing++
		}
	}
	return current, eventual, changing
}

// bestChange returns the better of the two possible changes, its gain and its price.
func (p CostBenefit) bestChange(s State, demand forecaster.Demand, current, eventual roleCounts) (change WantedChange, gain, price float64) {
	outage := (s.DrainTime + s.ChangeTime).Seconds()
	served := servedShare(current, s.Forecast.Level(), s)
	servedWithout := servedShare(eventual, demand, s)
	for _, c := range []WantedChange{{From: picker.Prefill, To: picker.Decode}, {From: picker.Decode, To: picker.Prefill}} {
		if eventual.count(c.From) == 0 {
			continue
		}
		servedWith := servedShare(eventual.with(c.From, -1).with(c.To, 1), demand, s)
		changeGain := (servedWith - servedWithout) * (p.Horizon.Seconds() - outage)
		if changeGain <= gain {
			continue
		}
		change, gain = c, changeGain
		price = max(served-servedShare(current.with(c.From, -1), s.Forecast.Level(), s), 0) * outage
	}
	return change, gain, price
}

// servedShare returns the share of the demand that a fleet serves in both phases.
//
// A request needs both phases, so the scarcer one is the limit. Engines that
// serve both roles are assigned to the phase that lacks capacity.
func servedShare(f roleCounts, d forecaster.Demand, s State) float64 {
	prefill := headroom * d.Prefill / s.PrefillRate
	decode := headroom * d.Decode / s.DecodeRate
	low, high := 0.0, 1.0
	for range 20 {
		mid := (low + high) / 2
		missing := max(mid*prefill-float64(f.prefill), 0) + max(mid*decode-float64(f.decode), 0)
		if missing <= float64(f.both) {
			low = mid
		} else {
			high = mid
		}
	}
	return low
}

func oppositeInProgress(engines []Engine, c WantedChange) bool {
	for _, e := range engines {
		if e.Unavailable && e.Role == c.To && e.Target == c.From {
			return true
		}
	}
	return false
}

// orderChange orders the change from the engine with the fewest in-flight
// requests, which drains soonest.
func (p CostBenefit) orderChange(s State, d Decision, c WantedChange, current roleCounts) Decision {
	if current.count(c.From) <= 1 && current.both == 0 {
		d.Reason = string(ReasonLastOfRole)
		return d
	}
	chosen := -1
	for i, e := range s.Engines {
		reason := p.exclusionReason(s, e, c)
		switch {
		case reason != "":
			d = d.withRejected(e.ID, reason)
			continue
		case chosen >= 0 && e.InFlight >= s.Engines[chosen].InFlight:
			d = d.withRejected(e.ID, ReasonMoreInFlight)
			continue
		case chosen >= 0:
			d = d.withRejected(s.Engines[chosen].ID, ReasonMoreInFlight)
		}
		chosen = i
	}
	if chosen < 0 {
		d.Reason = string(ReasonNoEngine)
		return d
	}
	d.Orders = []Order{{Engine: s.Engines[chosen].ID, From: c.From, To: c.To}}
	d.Reason = "gain-above-price"
	d.Wanted = WantedChange{}
	return d
}

// exclusionReason returns why an engine cannot make the change, or "".
func (p CostBenefit) exclusionReason(s State, e Engine, c WantedChange) Reason {
	switch {
	case e.Unavailable:
		return ReasonUnavailable
	case e.Role == picker.Both:
		return ReasonBothRoles
	case e.Role != c.From:
		return ReasonRolesFit
	case !e.ChangedAt.IsZero() && s.Now.Sub(e.ChangedAt) < s.DrainTime+s.ChangeTime:
		// An engine that has served for less time than a change takes is not
		// changed again.
		return ReasonChangedRecently
	}
	return ""
}
