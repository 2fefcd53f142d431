// Package recorder keeps histograms of how long things take.
//
// A Latency has buckets of constant relative width, so that it needs the same
// memory whatever it records, and is published as a variable of the metrics
// page under its name, in milliseconds.
package recorder

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// longest is the greatest recorded time; longer ones count as this long.
	longest = 2 * time.Minute
	// figures is the number of significant decimal figures that are kept.
	figures = 2
)

// Latency is a histogram of times.
type Latency struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// Publish returns a histogram that the metrics page shows under name, which
// must not be in use.
func Publish(name string) *Latency {
	l := &Latency{h: hdrhistogram.New(1, longest.Microseconds(), figures)}
	expvar.Publish(name, expvar.Func(func() any { return l.summary() }))
	return l
}

// Record counts one time.
func (l *Latency) Record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// A value in the histogram's range is always taken.
	_ = l.h.RecordValue(min(max(d, time.Microsecond), longest).Microseconds())
}

// summary returns what the metrics page shows, times in milliseconds.
func (l *Latency) summary() map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := func(percent float64) float64 { return float64(l.h.ValueAtQuantile(percent)) / 1000 }
	return map[string]float64{
		"count": float64(l.h.TotalCount()),
		"mean":  l.h.Mean() / 1000,
		"p50":   at(50), "p90": at(90), "p95": at(95), "p99": at(99),
		"max": float64(l.h.Max()) / 1000,
	}
}
