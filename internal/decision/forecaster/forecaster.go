// Package forecaster forecasts the prefill and decode work of a deployment.
//
// The phases are forecast separately, because their ratio can change within
// minutes while their sum stays the same. Each has a smoothed level and a
// smoothed trend (double exponential smoothing). The trend is damped, so that
// after a steep minute the forecast does not run far beyond the observed demand.
// A Forecast is an immutable value.
package forecaster

import (
	"math"
	"time"
)

// Demand is arriving work, in tokens per second.
type Demand struct {
	Prefill float64
	Decode  float64
}

// Add returns the sum of two demands.
func (d Demand) Add(o Demand) Demand {
	return Demand{Prefill: d.Prefill + o.Prefill, Decode: d.Decode + o.Decode}
}

// Scale returns the demand times f.
func (d Demand) Scale(f float64) Demand {
	return Demand{Prefill: d.Prefill * f, Decode: d.Decode * f}
}

// Max returns the larger of two demands in each phase.
func (d Demand) Max(o Demand) Demand {
	return Demand{Prefill: max(d.Prefill, o.Prefill), Decode: max(d.Decode, o.Decode)}
}

const (
	// levelTimeConstant smooths the arrivals of single long prompts. A swing of
	// the demand takes a minute or more, so ten seconds still follow it.
	levelTimeConstant = 10 * time.Second
	// trendTimeConstant keeps noise of the level out of the trend. It is four
	// times levelTimeConstant: with less, the level overshoots after a step of
	// the demand.
	trendTimeConstant = 40 * time.Second
	// trendDecay is the time constant with which a trend is expected to fade.
	trendDecay = 20 * time.Second
)

// Forecast is the smoothed demand of a deployment.
//
// The zero value has no samples and forecasts no demand.
type Forecast struct {
	at    time.Time
	level Demand
	// trend is the change of the level per second.
	trend   Demand
	samples int
}

// WithSample returns a forecast updated with the demand d at a time.
//
// A sample that is not later than the last one is ignored.
func (f Forecast) WithSample(at time.Time, d Demand) Forecast {
	if f.samples == 0 {
		return Forecast{at: at, level: d, samples: 1}
	}
	dt := at.Sub(f.at)
	if dt <= 0 {
		return f
	}
	s := dt.Seconds()
	a, b := weight(dt, levelTimeConstant), weight(dt, trendTimeConstant)
	dampedTrend := f.trend.Scale(1 - weight(dt, trendDecay))
	expected := f.level.Add(dampedTrend.Scale(s)).Max(Demand{})
	level := mix(expected, d, a)
	trend := mix(dampedTrend, level.Add(f.level.Scale(-1)).Scale(1/s), b)
	return Forecast{at: at, level: level, trend: trend, samples: f.samples + 1}
}

// Level returns the smoothed current demand.
func (f Forecast) Level() Demand { return f.level }

// Samples returns the number of samples.
func (f Forecast) Samples() int { return f.samples }

// After returns the demand expected after a duration.
func (f Forecast) After(ahead time.Duration) Demand {
	fade := trendDecay.Seconds() * (1 - math.Exp(-ahead.Seconds()/trendDecay.Seconds()))
	return f.level.Add(f.trend.Scale(fade)).Max(Demand{})
}

// Within returns the largest demand of each phase expected within a duration.
func (f Forecast) Within(ahead time.Duration) Demand {
	return f.level.Max(f.After(ahead))
}

// weight returns the weight of a new sample after dt with the time constant c.
func weight(dt, c time.Duration) float64 {
	return 1 - math.Exp(-dt.Seconds()/c.Seconds())
}

func mix(old, sample Demand, share float64) Demand {
	return old.Scale(1 - share).Add(sample.Scale(share))
}
