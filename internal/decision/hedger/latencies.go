package hedger

import (
	"math"
	"time"
)

const (
	// latencyTime is the time constant with which latencies are forgotten. If all responses
	// become slower, the 0.95 quantile is one of theirs after a twentieth of it, 3 s.
	latencyTime = time.Minute
	// The bounds of the buckets grow by a fourth root of 2, from minLatency to 65 s: a
	// quantile is at most 19% too high.
	bucketsPerDoubling = 4
	bucketCount        = 64
	minLatency         = time.Millisecond
	// minBeyond is the number of latencies above a quantile that make it known.
	minBeyond = 2
)

// Latencies is the distribution of the times from the sending of a request to its first
// response data, as this node has seen them for one kind of request.
//
// It is an immutable value; the zero value is empty. It has 64 buckets, 528 bytes.
type Latencies struct {
	// at is the time of the weights.
	at      time.Time
	weights [bucketCount]float64
}

// With returns a copy with one more latency. For an attempt that was cancelled before its
// response, the latency is the time until then, which is too low: the quantile is then lower
// than it should be, but not below the wait after which a request was late.
func (l Latencies) With(latency time.Duration, now time.Time) Latencies {
	if d := now.Sub(l.at); d > 0 {
		if !l.at.IsZero() {
			factor := math.Exp(-d.Seconds() / latencyTime.Seconds())
			for i := range l.weights {
				l.weights[i] *= factor
			}
		}
		l.at = now
	}
	l.weights[bucket(latency)]++
	return l
}

// bucket returns the bucket of a latency.
func bucket(latency time.Duration) int {
	if latency <= minLatency {
		return 0
	}
	n := math.Ceil(bucketsPerDoubling * math.Log2(float64(latency)/float64(minLatency)))
	return min(int(n), bucketCount-1)
}

// Quantile returns the upper bound of the bucket with the q-th quantile, q from 0 to 1. It
// returns false if too few latencies lie above it.
func (l Latencies) Quantile(q float64) (time.Duration, bool) {
	total := 0.0
	for _, w := range l.weights {
		total += w
	}
	if total*(1-q) < minBeyond {
		return 0, false
	}
	sum := 0.0
	for i, w := range l.weights {
		if sum += w; sum >= q*total {
			return time.Duration(float64(minLatency) * math.Exp2(float64(i)/bucketsPerDoubling)), true
		}
	}
	return time.Duration(float64(minLatency) * math.Exp2((bucketCount-1.0)/bucketsPerDoubling)), true
}
