package provider

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/config/definer"
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
	// LoseRequests is the share of writes without effect that answer nothing.
	LoseRequests float64
	// WeightsDelay is added to each fetch of weights.
	WeightsDelay time.Duration
	// ReadsPerSecond and WritesPerSecond limit the table in the place of its
	// settings; 0 leaves those in force.
	ReadsPerSecond  int
	WritesPerSecond int
	// Unavailable lists what the platform cannot deliver: a tier such as
	// "spot", or a tier in one data centre such as "spot/dc-1".
	Unavailable []string
}

type op int

const (
	opRead op = iota
	opWrite
	opList
	opOrder
)

func (o op) fleet() bool { return o == opList || o == opOrder }

func (o op) changes() bool { return o == opWrite || o == opOrder }

// SetFaults replaces the failures.
func (m *Memory) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
}

// admit counts a call, delays it, and refuses it beyond the rate limit or
// during an outage.
func (m *Memory) admit(ctx context.Context, o op) error {
	m.mu.Lock()
	f := m.faults
	within := m.countLocked(o)
	m.mu.Unlock()
	if f.Delay > 0 {
		if err := m.Clock.Sleep(ctx, f.Delay); err != nil {
			return err
		}
	}
	if f.TableDown && !o.fleet() || f.FleetDown && o.fleet() {
		return coder.Refuse(coder.PlatformUnavailable, "the platform is down")
	}
	if !within {
		return coder.Refuse(coder.BudgetSpent, "the platform's rate limit is reached").WithRetryAfter(time.Second)
	}
	if o.changes() && drawn(f.LoseRequests) {
		return coder.New(coder.PlatformUnsure, "the request was lost")
	}
	return ctx.Err()
}

// countLocked counts a call of the table and reports whether it is within the
// rate limit. A call is one read or write, whatever the number of its rows.
func (m *Memory) countLocked(o op) bool {
	switch o {
	case opRead:
		m.reads++
		return m.readLimit.allow(m.Clock.Now(), first(m.faults.ReadsPerSecond, m.ReadsPerSecond))
	case opWrite:
		m.writes++
		return m.writeLimit.allow(m.Clock.Now(), first(m.faults.WritesPerSecond, m.WritesPerSecond))
	case opList, opOrder:
	}
	return true
}

func first(values ...int) int {
	for _, v := range values {
		if v > 0 {
			return v
		}
	}
	return 0
}

// limit is a rate limit that may change; the zero value has a full bucket.
type limit struct {
	perSecond int
	limiter   *rate.Limiter
}

// allow reports whether a call at now is within the rate; 0 means no limit.
//
// The bucket holds the calls of one second.
func (l *limit) allow(now time.Time, perSecond int) bool {
	if perSecond == 0 {
		return true
	}
	if l.limiter == nil || l.perSecond != perSecond {
		l.perSecond = perSecond
		l.limiter = rate.NewLimiter(rate.Limit(perSecond), perSecond)
	}
	return l.limiter.AllowN(now, 1)
}

func drawn(share float64) bool { return share > 0 && rand.Float64() < share }

// answer loses the answer of some calls that took effect.
func (m *Memory) answer(ctx context.Context) error {
	m.mu.Lock()
	share := m.faults.LoseAnswers
	m.mu.Unlock()
	if drawn(share) {
		return coder.New(coder.PlatformUnsure, "the answer was lost")
	}
	return ctx.Err()
}

// unavailable reports whether the platform cannot deliver a tier at present.
func (f Faults) unavailable(tier definer.Tier, dataCentre string) bool {
	for _, u := range f.Unavailable {
		t, dc, one := strings.Cut(u, "/")
		if t == string(tier) && (!one || dc == dataCentre) {
			return true
		}
	}
	return false
}
