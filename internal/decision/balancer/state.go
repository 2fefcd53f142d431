// Package balancer decides which engines change their role.
//
// An engine serves prefill, decode, or both. When the ratio of the two phases
// swings, engines of the idle phase could help the other one, but a role change
// takes an engine out of service while it drains and changes. So a change is
// made only if the work that it gains within the time that a ratio usually lasts
// exceeds the work that it loses by a margin, and only after the need has lasted
// for a while. An engine that is unavailable gets no further order: a change is
// finished before it can be reversed.
package balancer

import (
	"time"

	"foxtailflow.example/foxtailflow/internal/decision/forecaster"
	"foxtailflow.example/foxtailflow/internal/decision/picker"
)

// Engine is the state of one engine.
type Engine struct {
	ID   string
	Role picker.Role
	// InFlight is the number of requests that must end before it is drained.
	InFlight int
	// Unavailable is set if the engine is draining, changing, leaving or ejected.
	Unavailable bool
	// Target is the new role of an engine that is changing its role.
	Target picker.Role
	// ChangedAt is when its last change ended; the zero time means never.
	ChangedAt time.Time
}

// WantedChange is a role change that recent decisions have wanted, not yet made.
type WantedChange struct {
	From  picker.Role
	To    picker.Role
	Since time.Time
}

// State holds the values from which a decision is made.
type State struct {
	Deployment string
	Now        time.Time
	Engines    []Engine
	Forecast   forecaster.Forecast
	// Backlog is the queued work, in tokens.
	Backlog forecaster.Demand
	// PrefillRate and DecodeRate are the tokens per second of one engine.
	PrefillRate float64
	DecodeRate  float64
	// DrainTime and ChangeTime are how long an engine takes to drain and to change.
	DrainTime  time.Duration
	ChangeTime time.Duration
	// MaxUnavailable limits the engines that are unavailable for a change at once.
	MaxUnavailable int
	// Wanted is that of the previous decision.
	Wanted WantedChange
}

// Order is an order to change the role of one engine: it is drained first.
type Order struct {
	Engine string
	From   picker.Role
	To     picker.Role
}

// Reason is why a change was not made.
type Reason string

// The reasons for not changing a role.
const (
	ReasonRolesFit        Reason = "roles-fit"
	ReasonPriceAboveGain  Reason = "price-above-gain"
	ReasonNeedTooShort    Reason = "need-too-short"
	ReasonMaxUnavailable  Reason = "engines-away"
	ReasonChangedRecently Reason = "changed-recently"
	ReasonLastOfRole      Reason = "last-of-its-role"
	ReasonNoForecast      Reason = "no-forecast"
	ReasonNoEngine        Reason = "no-engine-to-change"
	ReasonUnavailable     Reason = "away"
	ReasonMoreInFlight    Reason = "more-in-flight"
	ReasonOpposite        Reason = "opposite-change-in-progress"
	ReasonBothRoles       Reason = "serves-both"
)

// Rejected is an engine that was not changed, with the reason.
type Rejected struct {
	Engine string
	Reason Reason
}

// Decision is the outcome of one decision on roles.
type Decision struct {
	// Orders has at most one order; further changes need further decisions.
	Orders []Order
	// Reason is why there is an order, or why there is none.
	Reason string
	// Gain is the expected gain of the change, as a share of the demand times
	// seconds; Price is what the change costs, in the same unit.
	Gain  float64
	Price float64
	// Demand is the demand on which the decision is based.
	Demand   forecaster.Demand
	Rejected []Rejected
	// Wanted is passed on to the next State.
	Wanted WantedChange
}

// maxRejected bounds the length of a decision line for a large deployment.
const maxRejected = 16

// withRejected returns a copy with one more rejected engine, up to maxRejected.
func (d Decision) withRejected(engine string, reason Reason) Decision {
	if len(d.Rejected) < maxRejected {
		d.Rejected = append(d.Rejected, Rejected{Engine: engine, Reason: reason})
	}
	return d
}
