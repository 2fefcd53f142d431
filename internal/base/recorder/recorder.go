// Package recorder records latency histograms for the metrics page.
//
// A Latency has buckets of constant relative width, so its memory does not
// depend on what it records. It is published as a variable of the metrics page
// under its name, in milliseconds.
package recorder

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxDuration is the longest recorded duration; longer ones count as this.
	maxDuration = 2 * time.Minute
	// significantDigits is the number of significant decimal digits of a value.
	significantDigits = 2
)

// Latency is a histogram of durations.
type Latency struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// Publish returns a histogram that the metrics page shows under name, which
// must not be in use.
func Publish(name string) *Latency {
	l := &Latency{h: hdrhistogram.New(1, maxDuration.Microseconds(), significantDigits)}
	expvar.Publish(name, expvar.Func(func() any { return l.summary() }))
	return l
}

// Record adds one duration.
func (l *Latency) Record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// A value within the range of the histogram gives no error.
	_ = l.h.RecordValue(min(max(d, time.Microsecond), maxDuration).Microseconds())
}

// summary returns the values for the metrics page, durations in milliseconds.
func (l *Latency) summary() map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	quantile := func(percent float64) float64 { return float64(l.h.ValueAtQuantile(percent)) / 1000 }
	return map[string]float64{
		"count": float64(l.h.TotalCount()),
		"mean":  l.h.Mean() / 1000,
		"p50":   quantile(50), "p90": quantile(90), "p95": quantile(95), "p99": quantile(99),
		"max": float64(l.h.Max()) / 1000,
	}
}
