package provider

import (
	"context"
	"math/rand/v2"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/coder"
)

// Faults are the failures that the platform shows at present.
type Faults struct {
	// Delay is added to every call.
	Delay time.Duration
	// TableDown refuses every call of the table and object store.
	TableDown bool
	// FleetDown refuses every call for VMs, orders, reports and weights.
	FleetDown bool
	// LoseAnswers is the share of writes that take effect but answer nothing.
	LoseAnswers float64
	// WeightsDelay is how long a fetch of weights takes.
	WeightsDelay time.Duration
	// ReadsPerSecond and WritesPerSecond limit the table; 0 means no limit.
	ReadsPerSecond  int
	WritesPerSecond int
}

type op int

const (
	opRead op = iota
	opWrite
	opFleet
)

// SetFaults replaces the failures.
func (m *Memory) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
}

// CurrentFaults returns the failures.
func (m *Memory) CurrentFaults() Faults {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults
}

// admit counts a call, delays it, and refuses it during an outage.
func (m *Memory) admit(ctx context.Context, o op) error {
	m.mu.Lock()
	f := m.faults
	switch o {
	case opRead:
		m.reads++
	case opWrite:
		m.writes++
	case opFleet:
	}
	m.mu.Unlock()
	if f.Delay > 0 {
		if err := m.Clock.Sleep(ctx, f.Delay); err != nil {
			return err
		}
	}
	down := f.TableDown
	if o == opFleet {
		down = f.FleetDown
	}
	if down {
		return coder.Refuse(coder.PlatformUnavailable, "the platform is down")
	}
	return ctx.Err()
}

// answer loses the answer of some calls that took effect.
func (m *Memory) answer(ctx context.Context, _ op) error {
	m.mu.Lock()
	share := m.faults.LoseAnswers
	m.mu.Unlock()
	if share > 0 && rand.Float64() < share {
		return coder.New(coder.PlatformUnsure, "the answer was lost")
	}
	return ctx.Err()
}
