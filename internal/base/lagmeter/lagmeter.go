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
	// memory is for how long a measured lateness counts at least.
	memory = 2 * time.Second
)

// Meter measures the lateness of this process; Run measures it.
type Meter struct {
	Clock timekeeper.Clock

	lag keeper.Cell[lag]
}

// lag has the greatest lateness of the current period and of the one before, each as long
// as memory. It is an immutable value.
type lag struct {
	since           time.Time
	current, before time.Duration
	// dueAt is when the measurement in progress ends if the process is not late.
	dueAt time.Time
}

// with returns the lag after a measurement.
func (l lag) with(late time.Duration, now time.Time) lag {
	if now.Sub(l.since) >= memory {
		l = lag{since: now, before: l.current}
	}
	l.current = max(l.current, late)
	return l
}

var delays = recorder.Publish("process-lag-ms")

// Run measures until ctx is done.
func (m *Meter) Run(ctx context.Context) {
	for {
		dueAt := m.Clock.Now().Add(sampleInterval)
		m.lag.Update(func(l lag) (lag, bool) { l.dueAt = dueAt; return l, true })
		if m.Clock.Sleep(ctx, sampleInterval) != nil {
			return
		}
		now := m.Clock.Now()
		late := max(now.Sub(dueAt), 0)
		delays.Record(late)
		m.lag.Update(func(l lag) (lag, bool) { return l.with(late, now), true })
	}
}

// Lag returns the greatest lateness of the last seconds, two at least and four at most.
func (m *Meter) Lag() time.Duration {
	l := m.lag.Get()
	if l.dueAt.IsZero() {
		return 0
	}
	return max(l.current, l.before, m.Clock.Now().Sub(l.dueAt))
}
