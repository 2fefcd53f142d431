package adviser

import (
	"math"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/keeper"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/decision/forecaster"
)

// Meter measures the demand that arrives at this node for each deployment.
type Meter struct {
	Clock timekeeper.Clock

	rates keeper.Table[string, rate]
}

// averagingTime is the time constant of the average of a rate. The forecast
// smooths the rate further.
const averagingTime = 3 * time.Second

// rate is an exponentially decaying sum of work.
type rate struct {
	at  time.Time
	sum forecaster.Demand
}

// decayed returns the rate at a later time.
func (r rate) decayed(now time.Time) rate {
	decay := math.Exp(-now.Sub(r.at).Seconds() / averagingTime.Seconds())
	return rate{at: now, sum: r.sum.Scale(decay)}
}

// Add records work, in tokens, that has arrived for a deployment.
func (m *Meter) Add(deployment string, work forecaster.Demand) {
	now := m.Clock.Now()
	m.rates.Update(deployment, func(r rate, ok bool) (rate, bool) {
		if !ok {
			r.at = now
		}
		r = r.decayed(now)
		r.sum = r.sum.Add(work)
		return r, true
	})
}

// Rates returns the demand of each deployment in tokens per second.
func (m *Meter) Rates() map[string]forecaster.Demand {
	now := m.Clock.Now()
	rates := make(map[string]forecaster.Demand)
	m.rates.Each(func(deployment string, r rate) bool {
		rates[deployment] = r.decayed(now).sum.Scale(1 / averagingTime.Seconds())
		return true
	})
	return rates
}
