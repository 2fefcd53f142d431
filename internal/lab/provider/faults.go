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

// Faults are the failures that the platform currently simulates.
type Faults struct {
	// Delay is added to every call.
	Delay time.Duration
	// TableDown refuses every call to the table.
	TableDown bool
	// FleetDown refuses every call for orders, reports and weights.
	FleetDown bool
	// LoseResponses is the share of writes that take effect but whose response is
	// lost.
	LoseResponses float64
	// LoseRequests is the share of writes that are lost before they take effect.
	LoseRequests float64
	// WeightsDelay is added to each fetch of weights.
	WeightsDelay time.Duration
	// ReadsPerSecond and WritesPerSecond override the rate limits of the table's
	// settings; 0 keeps the settings.
	ReadsPerSecond  int
	WritesPerSecond int
	// Unavailable lists what the platform cannot deliver: a tier such as
	// "spot", or a tier in one data centre such as "spot/dc-1".
	Unavailable []string
}

type op int

const (
	opTableRead op = iota
	opTableWrite
	opFleetRead
	opFleetWrite
)

func (o op) isFleet() bool { return o == opFleetRead || o == opFleetWrite }

func (o op) isWrite() bool { return o == opTableWrite || o == opFleetWrite }

// SetFaults replaces the simulated failures.
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
	allowed := m.countLocked(o)
	m.mu.Unlock()
	if f.Delay > 0 {
		if err := m.Clock.Sleep(ctx, f.Delay); err != nil {
			return err
		}
	}
	if f.TableDown && !o.isFleet() || f.FleetDown && o.isFleet() {
		return coder.Refuse(coder.PlatformUnavailable, "the platform is down")
	}
	if !allowed {
		return coder.Refuse(coder.BudgetSpent, "the platform's rate limit is reached").WithRetryAfter(time.Second)
	}
	if o.isWrite() && withProbability(f.LoseRequests) {
		return coder.New(coder.PlatformUnsure, "the request was lost")
	}
	return ctx.Err()
}

// countLocked counts a call to the table and reports whether it is within the
// rate limit. A call counts as one read or write, however many rows it has.
func (m *Memory) countLocked(o op) bool {
	switch o {
	case opTableRead:
		m.reads++
		return m.readLimit.allow(m.Clock.Now(), firstPositive(m.faults.ReadsPerSecond, m.ReadsPerSecond))
	case opTableWrite:
		m.writes++
		return m.writeLimit.allow(m.Clock.Now(), firstPositive(m.faults.WritesPerSecond, m.WritesPerSecond))
	case opFleetRead, opFleetWrite:
	}
	return true
}

func firstPositive(values ...int) int {
	for _, v := range values {
		if v > 0 {
			return v
		}
	}
	return 0
}

// rateLimit is a token bucket whose rate may change; the zero value is full.
type rateLimit struct {
	perSecond int
	limiter   *rate.Limiter
}

// allow reports whether a call at now is within the rate; 0 means no limit.
//
// The bucket holds as many calls as the rate allows in one second.
func (l *rateLimit) allow(now time.Time, perSecond int) bool {
	if perSecond == 0 {
		return true
	}
	if l.limiter == nil || l.perSecond != perSecond {
		l.perSecond = perSecond
		l.limiter = rate.NewLimiter(rate.Limit(perSecond), perSecond)
	}
	return l.limiter.AllowN(now, 1)
}

func withProbability(share float64) bool { return share > 0 && rand.Float64() < share }

// simulateLostResponse fails for the share LoseResponses of the calls that took
// effect.
func (m *Memory) simulateLostResponse(ctx context.Context) error {
	m.mu.Lock()
	share := m.faults.LoseResponses
	m.mu.Unlock()
	if withProbability(share) {
		return coder.New(coder.PlatformUnsure, "the response was lost")
	}
	return ctx.Err()
}

// unavailable reports whether the platform currently cannot deliver a tier.
func (f Faults) unavailable(tier definer.Tier, dataCentre string) bool {
	for _, entry := range f.Unavailable {
		t, dc, hasDataCentre := strings.Cut(entry, "/")
		if t == string(tier) && (!hasDataCentre || dc == dataCentre) {
			return true
		}
	}
	return false
}
