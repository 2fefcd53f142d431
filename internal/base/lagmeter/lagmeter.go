// Package lagmeter measures how late a process runs.
//
// A process that is short of processor time wakes late, and everything that it does is
// late by about as much: it reads responses late that have arrived, and its calls time out
// although the peer has answered. Such a process must not take its own lateness for a
// fault of its peers.
package lagmeter

import (
	"context"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/keeper"
	"foxtailflow.example/foxtailflow/internal/base/recorder"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
)

const (
	// sampleInterval is how often the lateness is measured.
	sampleInterval = 100 * time.Millisecond
	// maxSamples is the number of measurements that are kept: those of 4 s and more.
	maxSamples = 40
)

// Meter measures the lateness of this process; Run measures it.
type Meter struct {
	Clock timekeeper.Clock

	samples keeper.Cell[samples]
}

// sample is one measurement.
type sample struct {
	wokeAt time.Time
	late   time.Duration
}

// samples has the last measurements. It is an immutable value.
type samples struct {
	ring [maxSamples]sample
	next int
	// dueAt is when the measurement in progress ends if the process is not late.
	dueAt time.Time
}

// with returns the samples after a measurement.
func (s samples) with(x sample) samples {
	s.ring[s.next] = x
	s.next = (s.next + 1) % maxSamples
	return s
}

var delays = recorder.Publish("process-lag-ms")

// Run measures until ctx is done.
func (m *Meter) Run(ctx context.Context) {
	for {
		dueAt := m.Clock.Now().Add(sampleInterval)
		m.samples.Update(func(s samples) (samples, bool) { s.dueAt = dueAt; return s, true })
		if m.Clock.Sleep(ctx, sampleInterval) != nil {
			return
		}
		now := m.Clock.Now()
		late := max(now.Sub(dueAt), 0)
		delays.Record(late)
		m.samples.Update(func(s samples) (samples, bool) { return s.with(sample{wokeAt: now, late: late}), true })
	}
}

// Lag returns the greatest lateness that was measured since a time, as far back as the
// measurements go, which is about 4 s.
func (m *Meter) Lag(since time.Time) time.Duration {
	s := m.samples.Get()
	if s.dueAt.IsZero() {
		return 0
	}
	lag := max(m.Clock.Now().Sub(s.dueAt), 0)
	for _, x := range s.ring {
		if x.wokeAt.After(since) {
			lag = max(lag, x.late)
		}
	}
	return lag
}
