// Package balancer decides which engines change their role.
//
// An engine serves prefill, decode, or both. When the ratio of the two phases
// swings, engines of the idle phase could help the other one, but a change
// takes an engine out of service for its drain and its change. So a change is
// made only if the work that it wins within the time that a ratio usually
// lasts is clearly more than the work that it loses, and only after the need
// has lasted for a while. An engine that is away is never given another order:
// a change is finished before it can be reversed.
package balancer

import (
	"time"

	"foxtailflow.example/foxtailflow/internal/decision/forecaster"
	"foxtailflow.example/foxtailflow/internal/decision/picker"
)

// Engine is what the balancer knows of one engine.
type Engine struct {
	ID   string
	Role picker.Role
	// InFlight is the number of requests that a drain would wait for.
	InFlight int
	// Away says that the engine is draining, changing, leaving or ejected.
	Away bool
	// Target is the role to which an engine that is away changes.
	Target picker.Role
	// Changed is when its last change ended; the zero time means never.
	Changed time.Time
}

// Wanted is a change that the last decisions asked for, not yet made.
type Wanted struct {
	From  picker.Role
	To    picker.Role
	Since time.Time
}

// State is what a decision is made from.
type State struct {
	Deployment string
	Now        time.Time
	Engines    []Engine
	Forecast   forecaster.Forecast
	// Backlog is the work that waits already, in tokens.
	Backlog forecaster.Demand
	// PrefillRate and DecodeRate are tokens a second of one engine.
	PrefillRate float64
	DecodeRate  float64
	// Drain and Change are how long an engine takes to drain and to change.
	Drain  time.Duration
	Change time.Duration
	// MaxAway limits the engines that are away for a change at once.
	MaxAway int
	// Wanted comes from the previous decision.
	Wanted Wanted
}

// Order is a change of one engine's role: drain it first, then change it.
type Order struct {
	Engine string
	From   picker.Role
	To     picker.Role
}

// Reason says why something was not done.
type Reason string

// The reasons for not changing a role.
const (
	ReasonEnough    Reason = "roles-fit"
	ReasonPrice     Reason = "price-above-gain"
	ReasonNotLong   Reason = "need-too-short"
	ReasonCap       Reason = "engines-away"
	ReasonRecent    Reason = "changed-recently"
	ReasonLast      Reason = "last-of-its-role"
	ReasonNoData    Reason = "no-forecast"
	ReasonNoEngine  Reason = "no-engine-to-change"
	ReasonAway      Reason = "away"
	ReasonMoreBusy  Reason = "more-in-flight"
	ReasonOpposite  Reason = "opposite-change-in-progress"
	ReasonBothRoles Reason = "serves-both"
)

// Rejected is an engine that was not changed and the reason.
type Rejected struct {
	Engine string
	Reason Reason
}

// Decision is what to do now.
type Decision struct {
	// Orders has at most one order; a further need is decided anew.
	Orders []Order
	// Reason is why there is an order, or why there is none.
	Reason string
	// Gain is the expected gain of the change in shares of the demand times
	// seconds; Price is what the change costs in the same unit.
	Gain  float64
	Price float64
	// Demand is the forecast that was used.
	Demand   forecaster.Demand
	Rejected []Rejected
	// Wanted goes into the next State.
	Wanted Wanted
}

// maxRejected bounds a decision line for a large deployment.
const maxRejected = 16

// withRejected returns a copy that names one more engine, up to the bound.
func (d Decision) withRejected(engine string, reason Reason) Decision {
	if len(d.Rejected) < maxRejected {
		d.Rejected = append(d.Rejected, Rejected{Engine: engine, Reason: reason})
	}
	return d
}
