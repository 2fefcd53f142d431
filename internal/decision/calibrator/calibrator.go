// Package calibrator measures how fast the engines of a deployment prefill prompts.
//
// Engines do not say how fast they are, and the estimates on which placement is based
// are wrong by the ratio of the assumed to the real speed. The package is pure: it takes
// measurements and returns values.
package calibrator

import "time"

const (
	// DefaultRate is the assumed number of prompt tokens that an engine prefills per
	// millisecond until there are measurements.
	DefaultRate = 40.0
	// defaultTokens is the number of measured tokens that counts as much as DefaultRate.
	defaultTokens = 50_000.0
	// memoryTokens is the number of measured tokens at which the weight of the older
	// measurements is halved.
	memoryTokens = 500_000.0
	// minTokens is the size below which a measurement is left out, as the network has
	// taken most of its time; maxTokens bounds one that is absurd.
	minTokens = 2000
	maxTokens = 250_000
	// minRate and maxRate bound a measurement, in tokens per millisecond.
	minRate = 5.0
	maxRate = 1000.0
)

// Speed is the measured speed of the engines of one deployment.
//
// It is an immutable value; the zero value has no measurements.
type Speed struct {
	// tokens and ms are sums over the measurements; zero means DefaultRate.
	tokens float64
	ms     float64
}

// WithPrefill returns a copy with the measurement that an engine prefilled the given
// number of tokens, with those that were queued there before, in the given time.
func (s Speed) WithPrefill(tokens int, elapsed time.Duration) Speed {
	n, ms, ok := bounded(tokens, elapsed)
	if !ok {
		return s
	}
	if s.ms == 0 {
		s = Speed{tokens: defaultTokens, ms: defaultTokens / DefaultRate}
	}
	s.tokens += n
	s.ms += ms
	if s.tokens > memoryTokens {
		s.tokens, s.ms = s.tokens/2, s.ms/2
	}
	return s
}

// bounded returns a measurement in tokens and milliseconds, at a possible rate; false if it
// says nothing.
func bounded(tokens int, elapsed time.Duration) (n, ms float64, ok bool) {
	if tokens < minTokens || tokens > maxTokens || elapsed <= 0 {
		return 0, 0, false
	}
	n, ms = float64(tokens), float64(elapsed)/float64(time.Millisecond)
	return n, min(max(ms, n/maxRate), n/minRate), true
}

// Rate returns the number of prompt tokens that an engine prefills per millisecond.
func (s Speed) Rate() float64 {
	if s.ms == 0 {
		return DefaultRate
	}
	return s.tokens / s.ms
}
