package calibrator

import (
	"math"
	"time"
)

const (
	// sumsTime is the time constant with which measurements of one engine lose weight: an
	// engine that becomes slower is known as such after a few prompts.
	sumsTime = 5 * time.Second
	// commonTokens is the weight in tokens of the rate of the deployment in that of one of
	// its engines, about that of one long prompt.
	commonTokens = 15_000.0
)

// Sums are the recent measurements of one engine: prompt tokens, and the time in
// milliseconds that it took to prefill them. Measurements lose weight exponentially.
//
// Engines of a deployment differ in speed, and a node sends a long prompt to the same engine
// only every few seconds. So nodes exchange their sums, and a rate is computed from those of
// all of them. It is an immutable value; the zero value has no measurements.
type Sums struct {
	Tokens float64
	Millis float64
	// At is the time as of which the sums have lost weight.
	At time.Time
}

// AsOf returns the sums with the weight that they have at a time.
func (s Sums) AsOf(now time.Time) Sums {
	if s.At.IsZero() || !now.After(s.At) {
		return s
	}
	weight := math.Exp(-float64(now.Sub(s.At)) / float64(sumsTime))
	return Sums{Tokens: s.Tokens * weight, Millis: s.Millis * weight, At: now}
}

// WithPrefill returns a copy with the measurement that the engine prefilled the given
// number of tokens, with those that were queued there before, in the given time.
func (s Sums) WithPrefill(tokens int, elapsed time.Duration, now time.Time) Sums {
	n, ms, ok := bounded(tokens, elapsed)
	if !ok {
		return s
	}
	s = s.AsOf(now)
	s.Tokens, s.Millis, s.At = s.Tokens+n, s.Millis+ms, now
	return s
}

// EngineRate returns the number of prompt tokens that an engine prefills per millisecond,
// from the measurements of several nodes. With few of them it is close to the rate of the
// deployment.
func EngineRate(deployment float64, all ...Sums) float64 {
	tokens, ms := commonTokens, commonTokens/deployment
	for _, s := range all {
		tokens, ms = tokens+s.Tokens, ms+s.Millis
	}
	return tokens / ms
}
