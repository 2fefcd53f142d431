// Package planner decides which endpoints to order and to give back.
//
// Endpoints that are ordered arrive late, so an order follows a forecast and
// not the present load. The platform may withdraw all cheap endpoints of one
// data centre at once; so as many cheap ones are used as leave enough when the
// data centre with the most of them is lost. Endpoints are given back slowly,
// and never below what the running work needs.
package planner

import (
	"time"

	"foxtailflow.example/foxtailflow/internal/config/definer"
)

// Endpoint is what the planner knows of one endpoint.
type Endpoint struct {
	ID         string
	DataCentre string
	Tier       definer.Tier
	// Leaving says that the platform takes it back or it was given back.
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

// Withdrawn is a data centre of which the platform has taken a tier back.
type Withdrawn struct {
	DataCentre string
	Tier       definer.Tier
	At         time.Time
}

// State is what a decision is made from.
type State struct {
	Deployment definer.Deployment
	Now        time.Time
	Endpoints  []Endpoint
	Pending    []Pending
	Withdrawn  []Withdrawn
	// Need is the number of endpoints that the forecast demand needs at the
	// time at which an order would arrive.
	Need float64
	// Running is the number of endpoints that the running work needs.
	Running int
	// SurplusSince comes from the previous decision.
	SurplusSince time.Time
}

// Order asks for endpoints or gives some back, in one data centre and tier.
type Order struct {
	DataCentre string
	Tier       definer.Tier
	// Add is the number wanted in addition; 0 if Withdraw is set.
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

// Reason says why something was not done.
type Reason string

// The reasons for not ordering or giving back.
const (
	ReasonBlocked Reason = "withdrawn-or-late"
	ReasonMax     Reason = "at-maximum"
	ReasonBusy    Reason = "running-work"
	ReasonWait    Reason = "surplus-too-short"
	ReasonShare   Reason = "too-many-at-once"
)

// Rejected is a data centre and tier, or an endpoint, and the reason.
type Rejected struct {
	Name   string
	Reason Reason
}

// Decision is what to do now.
type Decision struct {
	Orders  []Order
	Targets []Target
	// Reason is why there are orders, or why there are none.
	Reason   string
	Rejected []Rejected
	// Survives is the number of endpoints left when the data centre with the
	// most cheap ones loses them.
	Survives int
	// Cost is the price of the targets for an hour.
	Cost int
	// SurplusSince goes into the next State.
	SurplusSince time.Time
}
