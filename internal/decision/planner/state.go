// Package planner decides which endpoints to order and to give back.
//
// Ordered endpoints take time to arrive, so orders follow a forecast and not the
// current load. The platform may withdraw all cheap endpoints of one data centre
// at once; so cheap endpoints are used only as far as enough endpoints are left
// when the data centre with the most of them loses them. Endpoints are given back
// slowly, and never below what the running work needs.
package planner

import (
	"time"

	"foxtailflow.example/foxtailflow/internal/config/definer"
)

// Endpoint is the state of one endpoint.
type Endpoint struct {
	ID         string
	DataCentre string
	Tier       definer.Tier
	// Leaving is set if the platform is withdrawing it or it has been given back.
	Leaving  bool
	InFlight int
}

// Pending is an order whose endpoints have not all arrived.
type Pending struct {
	ID         string
	DataCentre string
	Tier       definer.Tier
	// Missing is the number of endpoints that have not arrived.
	Missing int
	Since   time.Time
}

// Withdrawn is a data centre in which the platform has withdrawn a tier.
type Withdrawn struct {
	DataCentre string
	Tier       definer.Tier
	At         time.Time
}

// State holds the values from which a decision is made.
type State struct {
	Deployment definer.Deployment
	Now        time.Time
	Endpoints  []Endpoint
	Pending    []Pending
	Withdrawn  []Withdrawn
	// Need is the number of endpoints needed for the demand forecast for the time
	// at which an order would arrive.
	Need float64
	// Running is the number of endpoints that the running work needs.
	Running int
	// SurplusSince is that of the previous decision.
	SurplusSince time.Time
}

// Order requests endpoints or gives some back, in one data centre and tier.
type Order struct {
	DataCentre string
	Tier       definer.Tier
	// Add is the number of additional endpoints; 0 if Withdraw is set.
	Add int
	// Withdraw names endpoints to drain and give back.
	Withdraw []string
	Reason   string
}

// Target is the number of endpoints wanted in one data centre and tier.
type Target struct {
	DataCentre string
	Tier       definer.Tier
	Count      int
}

// Reason is why an order was not made.
type Reason string

// The reasons for not ordering or giving back.
const (
	ReasonWithdrawnOrLate Reason = "withdrawn-or-late"
	ReasonAtMaximum       Reason = "at-maximum"
	ReasonRunningWork     Reason = "running-work"
	ReasonSurplusTooShort Reason = "surplus-too-short"
)

// Rejected is a data centre and tier, or an endpoint, with the reason.
type Rejected struct {
	Name   string
	Reason Reason
}

// Decision is the outcome of one decision on the fleet.
type Decision struct {
	Orders  []Order
	Targets []Target
	// Reason is why there are orders, or why there are none.
	Reason   string
	Rejected []Rejected
	// Survivors is the number of endpoints left when the data centre with the
	// most cheap ones loses them.
	Survivors int
	// Cost is the cost of the targets per hour.
	Cost int
	// SurplusSince is passed on to the next State.
	SurplusSince time.Time
}
