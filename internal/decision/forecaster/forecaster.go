// Package forecaster forecasts the prefill and decode work of a deployment.
//
// Both phases are followed apart, because their ratio swings within minutes
// while their sum may stay the same. Each has a smoothed level and a smoothed
// trend; the trend is damped, so that the forecast of a steep minute does not
// run far beyond what has been seen. A Forecast is an immutable value.
package forecaster

import (
	"math"
	"time"
)

// Demand is work that arrives, in tokens a second.
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
	// levelTime smooths the arrivals of single long prompts; a swing takes a
	// minute or more, so ten seconds still follow it.
	levelTime = 10 * time.Second
	// trendTime keeps noise of the level out of the trend. It is four times the
	// time of the level: with less the level swings beyond a step of the demand.
	trendTime = 40 * time.Second
	// damping is the time over which a trend is expected to fade.
	damping = 20 * time.Second
)

// Forecast is what is known of a deployment's demand.
//
// The zero value has seen nothing and forecasts nothing.
type Forecast struct {
	at    time.Time
	level Demand
	// trend is the change of the level a second.
	trend Demand
	seen  int
}

// WithSample returns a forecast that has seen the demand d up to the time at.
//
// A sample that is not later than the last one is ignored.
func (f Forecast) WithSample(at time.Time, d Demand) Forecast {
	if f.seen == 0 {
		return Forecast{at: at, level: d, seen: 1}
	}
	dt := at.Sub(f.at)
	if dt <= 0 {
		return f
	}
	s := dt.Seconds()
	a, b := weight(dt, levelTime), weight(dt, trendTime)
	trendNow := f.trend.Scale(1 - weight(dt, damping))
	expected := f.level.Add(trendNow.Scale(s)).Max(Demand{})
	level := mix(expected, d, a)
	trend := mix(trendNow, level.Add(f.level.Scale(-1)).Scale(1/s), b)
	return Forecast{at: at, level: level, trend: trend, seen: f.seen + 1}
}

// Level returns the present demand.
func (f Forecast) Level() Demand { return f.level }

// Seen returns the number of samples.
func (f Forecast) Seen() int { return f.seen }

// After returns the demand that is expected after a time.
func (f Forecast) After(ahead time.Duration) Demand {
	fade := damping.Seconds() * (1 - math.Exp(-ahead.Seconds()/damping.Seconds()))
	return f.level.Add(f.trend.Scale(fade)).Max(Demand{})
}

// Within returns the largest demand of each phase that is expected up to a time.
func (f Forecast) Within(ahead time.Duration) Demand {
	return f.level.Max(f.After(ahead))
}

// weight returns the share of a new sample after dt with the time constant c.
func weight(dt, c time.Duration) float64 {
	return 1 - math.Exp(-dt.Seconds()/c.Seconds())
}

func mix(old, sample Demand, share float64) Demand {
	return old.Scale(1 - share).Add(sample.Scale(share))
}
