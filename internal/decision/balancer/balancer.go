package balancer

import (
	"time"

	"foxtailflow.example/foxtailflow/internal/decision/forecaster"
	"foxtailflow.example/foxtailflow/internal/decision/picker"
)

// Policy decides on role changes.
type Policy interface {
	// Decide returns what to do now.
	Decide(s State) Decision
}

// Priced changes a role if the gain is clearly above the price.
//
// The zero value uses the default for each field.
type Priced struct {
	// Lasts is the time for which a ratio of the phases is expected to last.
	Lasts time.Duration
	// Confirm is how long a change must be wanted before it is made.
	Confirm time.Duration
	// Margin is the factor by which the gain must exceed the price.
	Margin float64
	// Least is the smallest gain as a share of the demand while it lasts.
	Least float64
}

const (
	// defaultLasts is below the minutes within which the ratio swings.
	defaultLasts = 60 * time.Second
	// defaultConfirm is longer than a burst of a few long prompts.
	defaultConfirm = 3 * time.Second
	defaultMargin  = 1.5
	// defaultLeast keeps engines from moving for a few hundredths of the demand.
	defaultLeast = 0.04
	// headroom is the capacity wanted above the mean demand: arrivals are
	// random, and a phase used fully has unbounded queues.
	headroom = 1.25
	// backlogTime is the time in which waiting work should be worked off.
	backlogTime = 20 * time.Second
)

func (p Priced) withDefaults() Priced {
	if p.Lasts == 0 {
		p.Lasts = defaultLasts
	}
	if p.Confirm == 0 {
		p.Confirm = defaultConfirm
	}
	if p.Margin == 0 {
		p.Margin = defaultMargin
	}
	if p.Least == 0 {
		p.Least = defaultLeast
	}
	return p
}

// fleet counts the engines in service, and those that will be, by role.
type fleet struct {
	prefill, decode, both int
}

func (f fleet) with(r picker.Role, n int) fleet {
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

func (f fleet) of(r picker.Role) int {
	switch r {
	case picker.Prefill:
		return f.prefill
	case picker.Decode:
		return f.decode
	}
	return f.both
}

// Decide returns at most one change of a role.
func (p Priced) Decide(s State) Decision {
	p = p.withDefaults()
	if s.Forecast.Seen() == 0 || s.PrefillRate <= 0 || s.DecodeRate <= 0 {
		return Decision{Reason: string(ReasonNoData)}
	}
	away := s.Drain + s.Change
	d := Decision{Demand: s.Forecast.After(away).Add(s.Backlog.Scale(1 / backlogTime.Seconds()))}
	now, later, changing := count(s.Engines)
	best, gain, price := p.best(s, d.Demand, now, later)
	d.Gain, d.Price = gain, price
	switch {
	case best.From == "":
		d.Reason = string(ReasonEnough)
		return d
	case gain < p.Margin*price || gain < p.Least*p.Lasts.Seconds():
		d.Reason = string(ReasonPrice)
		return d
	}
	d.Wanted = Wanted{From: best.From, To: best.To, Since: s.Now}
	if s.Wanted.From == best.From && s.Wanted.To == best.To {
		d.Wanted.Since = s.Wanted.Since
	}
	switch {
	case opposite(s.Engines, best):
		d.Reason = string(ReasonOpposite)
	case changing >= s.MaxAway:
		d.Reason = string(ReasonCap)
	case s.Now.Sub(d.Wanted.Since) < p.Confirm:
		d.Reason = string(ReasonNotLong)
	default:
		return p.order(s, d, best, now)
	}
	return d
}

// count returns the engines in service, those in service once all present
// changes have ended, and the number of changes in progress.
func count(engines []Engine) (now, later fleet, changing int) {
	for _, e := range engines {
		switch {
		case !e.Away:
			now, later = now.with(e.Role, 1), later.with(e.Role, 1)
		case e.Target != "":
			later = later.with(e.Target, 1)
			changing++
		}
	}
	return now, later, changing
}

// best returns the better of the two possible changes, its gain and its price.
func (p Priced) best(s State, demand forecaster.Demand, now, later fleet) (best Wanted, gain, price float64) {
	away := (s.Drain + s.Change).Seconds()
	present := served(now, s.Forecast.Level(), s)
	base := served(later, demand, s)
	for _, c := range []Wanted{{From: picker.Prefill, To: picker.Decode}, {From: picker.Decode, To: picker.Prefill}} {
		if later.of(c.From) == 0 {
			continue
		}
		after := served(later.with(c.From, -1).with(c.To, 1), demand, s)
		g := (after - base) * (p.Lasts.Seconds() - away)
		if g <= gain {
			continue
		}
		best, gain = c, g
		price = max(present-served(now.with(c.From, -1), s.Forecast.Level(), s), 0) * away
	}
	return best, gain, price
}

// served returns the share of the demand that a fleet serves in both phases.
//
// A request needs both phases, so the scarcer one decides. Engines that serve
// both go where they are missing.
func served(f fleet, d forecaster.Demand, s State) float64 {
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

func opposite(engines []Engine, c Wanted) bool {
	for _, e := range engines {
		if e.Away && e.Role == c.To && e.Target == c.From {
			return true
		}
	}
	return false
}

// order chooses the engine that drains soonest.
func (p Priced) order(s State, d Decision, c Wanted, now fleet) Decision {
	if now.of(c.From) <= 1 && now.both == 0 {
		d.Reason = string(ReasonLast)
		return d
	}
	chosen := -1
	for i, e := range s.Engines {
		reason := p.exclude(s, e, c)
		switch {
		case reason != "":
			d = d.withRejected(e.ID, reason)
			continue
		case chosen >= 0 && e.InFlight >= s.Engines[chosen].InFlight:
			d = d.withRejected(e.ID, ReasonMoreBusy)
			continue
		case chosen >= 0:
			d = d.withRejected(s.Engines[chosen].ID, ReasonMoreBusy)
		}
		chosen = i
	}
	if chosen < 0 {
		d.Reason = string(ReasonNoEngine)
		return d
	}
	d.Orders = []Order{{Engine: s.Engines[chosen].ID, From: c.From, To: c.To}}
	d.Reason = "gain-above-price"
	d.Wanted = Wanted{}
	return d
}

// exclude says why an engine cannot make the change, or "".
func (p Priced) exclude(s State, e Engine, c Wanted) Reason {
	switch {
	case e.Away:
		return ReasonAway
	case e.Role == picker.Both:
		return ReasonBothRoles
	case e.Role != c.From:
		return ReasonEnough
	case !e.Changed.IsZero() && s.Now.Sub(e.Changed) < s.Drain+s.Change:
		// An engine that was away as long as it has served since is not spared
		// to others of its role.
		return ReasonRecent
	}
	return ""
}
