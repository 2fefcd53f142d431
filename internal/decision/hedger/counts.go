package hedger

import (
	"math"
	"time"
)

// countTime is the time constant of the count of requests. What a route has not used of its
// share within that time is lost: operators set the share by the load that endpoints can
// take, and endpoints notice a burst of a few seconds.
const countTime = time.Second

// Counts has the second attempts that the requests of one route allow on this node.
//
// Each request allows a share of a second attempt, beginning with none. In any period, the
// second attempts of a node are at most the share of its requests plus that of its requests
// of the last second before, or plus one. The sum over all nodes is within the sum of that, so no
// node needs to know the counts of another.
//
// It is an immutable value; the zero value allows none.
type Counts struct {
	// at is the time of requests, the decaying count.
	at       time.Time
	requests float64
	allowed  float64
}

// WithRequest returns a copy with one more request, of which share may be sent twice.
func (c Counts) WithRequest(share float64, now time.Time) Counts {
	if d := now.Sub(c.at); d > 0 {
		c.requests *= math.Exp(-d.Seconds() / countTime.Seconds())
		c.at = now
	}
	c.requests++
	c.allowed = min(c.allowed+share, max(share*c.requests, 1))
	return c
}

// Allows reports whether one more second attempt is within the share.
func (c Counts) Allows() bool { return c.allowed >= 1 }

// WithSecond returns a copy with one second attempt less, and whether it was allowed.
func (c Counts) WithSecond() (Counts, bool) {
	if !c.Allows() {
		return c, false
	}
	c.allowed--
	return c, true
}
