package dispatcher

import "time"

// durations estimates how long the requests of one route take, as RFC 6298 estimates
// round-trip times. Its zero value has no estimate.
type durations struct {
	known           bool
	mean, deviation time.Duration
}

// The weights of a new duration in the mean and in the deviation, as divisors, and the
// number of deviations in the bound, all from RFC 6298.
const (
	meanDivisor      = 8
	deviationDivisor = 4
	boundDeviations  = 4
)

// With returns the estimate after a request that took d.
func (e durations) With(d time.Duration) durations {
	if !e.known {
		return durations{known: true, mean: d, deviation: d / 2}
	}
	off := (d - e.mean).Abs()
	e.deviation += (off - e.deviation) / deviationDivisor
	e.mean += (d - e.mean) / meanDivisor
	return e
}

// Bound returns the time that nearly all requests need; 0 without an estimate.
func (e durations) Bound() time.Duration { return e.mean + boundDeviations*e.deviation }
