// Package shedder decides which requests are refused while the engines of a deployment have
// more responses to decode than slots.
//
// The load that it handles: three times the usual number of short requests arrives for some
// seconds, or the platform reclaims two thirds of the engines at once. The engines then queue
// up to four times their slots and refuse the rest. All responses wait in these queues and
// are late, and requests are refused only after their prompts were prefilled and several
// engines were tried. A shorter queue serves as many requests, and most of them in time.
//
// All nodes compute the same share of the requests to admit from figures that they exchange:
// what arrives, what is completed, and what is in progress. A queue would also follow from a
// bound on what is in progress alone, but that is known 0.2 to 0.8 s late, in which time the
// queue empties or fills several times. Rates change more slowly. The package is pure.
package shedder

import (
	"math"
	"time"
)

const (
	// fullOccupancy is the occupancy up to which all requests are admitted,
	// targetOccupancy the one that is aimed for in overload: a queue that keeps all slots
	// busy between two reports.
	fullOccupancy   = 1.0
	targetOccupancy = 1.25
	// drainTime is the time in which a longer queue is worked off. It is a few times the
	// delay of the figures, so that the share does not oscillate.
	drainTime = time.Second
	// minShare is admitted whatever the figures say.
	minShare = 0.1
	// lateShare is the factor for requests that would be late.
	lateShare = 0.5
	// The callers of refused requests return after a random time between these, so that
	// they do not return together.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = time.Second
)

// rateTime is the time constant of the rates of a Flow.
const rateTime = 500 * time.Millisecond

// Flow is what arrives at a node for a deployment, and what it has completed, in requests a
// second. It is an immutable value; the zero value has no requests.
type Flow struct {
	Offered float64
	Served  float64
	// At is the time as of which the rates are.
	At time.Time
}

// AsOf returns the flow at a later time.
func (f Flow) AsOf(now time.Time) Flow {
	if !now.After(f.At) {
		return f
	}
	weight := math.Exp(-float64(now.Sub(f.At)) / float64(rateTime))
	return Flow{Offered: f.Offered * weight, Served: f.Served * weight, At: now}
}

// WithOffered returns a copy with one more request that has arrived.
func (f Flow) WithOffered(now time.Time) Flow {
	f = f.AsOf(now)
	f.Offered += 1 / rateTime.Seconds()
	return f
}

// WithServed returns a copy with one more request that was completed.
func (f Flow) WithServed(now time.Time) Flow {
	f = f.AsOf(now)
	f.Served += 1 / rateTime.Seconds()
	return f
}

// Plus returns the sum of the flows of several nodes, as of the time of f.
func (f Flow) Plus(o Flow) Flow {
	f.Offered, f.Served = f.Offered+o.Offered, f.Served+o.Served
	return f
}

// State is the state of a deployment on all nodes.
type State struct {
	// Requests is the number of requests at its decode engines, Slots the number that they
	// process at once.
	Requests float64
	Slots    float64
	// Flow is the sum over all nodes.
	Flow Flow
	// ServiceTime is the mean time for which a request is at a decode engine.
	ServiceTime time.Duration
}

// Decision is the decision about one request.
type Decision struct {
	Refused bool
	// Share is the share of such requests that is admitted.
	Share      float64
	RetryAfter time.Duration
}

// Decide decides about a request by a random number in [0, 1). Remaining is the time until
// its response is late.
func (s State) Decide(remaining time.Duration, random float64) Decision {
	share := s.share()
	if share < 1 && remaining < s.wait() {
		share = max(share*lateShare, minShare)
	}
	if share >= 1 || random < share {
		return Decision{Share: min(share, 1)}
	}
	// Given the refusal, the random number is uniform between the share and 1.
	spread := (random - share) / (1 - share)
	return Decision{Refused: true, Share: share, RetryAfter: minRetryAfter + time.Duration(spread*float64(maxRetryAfter-minRetryAfter))}
}

// share returns the share of the requests that is admitted.
func (s State) share() float64 {
	if s.Slots <= 0 || s.Flow.Offered <= 0 || s.Requests <= fullOccupancy*s.Slots {
		return 1
	}
	allowed := s.Flow.Served + (targetOccupancy*s.Slots-s.Requests)/drainTime.Seconds()
	return min(max(allowed/s.Flow.Offered, minShare), 1)
}

// wait returns the expected time for which a request waits for a slot.
func (s State) wait() time.Duration {
	if s.Requests <= s.Slots || s.Requests <= 0 {
		return 0
	}
	return time.Duration((s.Requests - s.Slots) / s.Requests * float64(s.ServiceTime))
}
