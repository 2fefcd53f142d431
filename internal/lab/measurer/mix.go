// Package measurer measures the decisions under load beside baselines.
//
// The decision code of the product runs in a loop with a fake clock: several
// nodes with their own queue, cache index and late reports send generated
// requests to engines that are modelled by two rates and a number of slots.
// It is bounded: a fixed mix, a fixed length, fixed seeds. Its figures compare
// policies; they say nothing about a real engine.
package measurer

import (
	"math/rand/v2"
	"time"
)

// kind is a kind of request.
type kind struct {
	prompt   int
	output   int
	deadline time.Duration
}

// client is a client account and its part of the requests.
type client struct {
	name string
	part float64
}

// segment is a part of the experiment with one ratio of the kinds.
type segment struct {
	until time.Duration
	// rate is requests a second, long the part of them with long prompts.
	rate float64
	long float64
}

// mix is the load of one deployment.
type mix struct {
	name        string
	dataCentres []string
	long        kind
	short       kind
	clients     []client
	segments    []segment
	// flood multiplies the requests of the client account floods for a time.
	floods    string
	flood     float64
	floodFrom time.Duration
	floodTo   time.Duration
	crash     time.Duration
	withdraw  time.Duration
}

const (
	// ramp is how long a swing takes.
	ramp = 30 * time.Second
	// length is how long an experiment lasts.
	length = 600 * time.Second
)

// bartwichse has long batch records whose verdicts stall the kettles when they
// are late, and advice with long answers.
func bartwichse() mix {
	return mix{
		name:        "wichse-llm",
		dataCentres: []string{"dc-1", "dc-2", "dc-3", "dc-4"},
		long:        kind{prompt: 6000, output: 100, deadline: 15 * time.Second},
		short:       kind{prompt: 400, output: 600, deadline: 30 * time.Second},
		clients: []client{
			{"kettle-1", .25},
			{"kettle-2", .25},
			{"lab", .15},
			{"sales", .1},
			{"export", .1},
			{"shop-1", .05},
			{"shop-2", .05},
			{"shop-3", .05},
		},
		segments: []segment{
			{until: 120 * time.Second, rate: 13, long: .4},
			{until: 300 * time.Second, rate: 10, long: .9},
			{until: 480 * time.Second, rate: 16, long: .05},
			{until: length, rate: 13, long: .4},
		},
		floods: "sales", flood: 12, floodFrom: 200 * time.Second, floodTo: 400 * time.Second,
		crash: 150 * time.Second, withdraw: 500 * time.Second,
	}
}

// radio has long playlists, and rewrites that must return during the show; two
// stations are far larger than the others.
func radio() mix {
	return mix{
		name:        "presenter-lm",
		dataCentres: []string{"dc-1", "dc-2", "dc-3"},
		long:        kind{prompt: 4000, output: 150, deadline: 15 * time.Second},
		short:       kind{prompt: 500, output: 300, deadline: 10 * time.Second},
		clients: []client{
			{"lagos-1", .35},
			{"lagos-2", .3},
			{"ibadan", .1},
			{"abeokuta", .05},
			{"ife", .05},
			{"ijebu", .05},
			{"oyo", .05},
			{"akure", .05},
		},
		segments: []segment{
			{until: 100 * time.Second, rate: 20, long: .3},
			{until: 220 * time.Second, rate: 15, long: .8},
			{until: 360 * time.Second, rate: 27, long: .1},
			{until: 480 * time.Second, rate: 15, long: .8},
			{until: length, rate: 20, long: .3},
		},
		floods: "lagos-1", flood: 6, floodFrom: 240 * time.Second, floodTo: 460 * time.Second,
		crash: 150 * time.Second, withdraw: 520 * time.Second,
	}
}

// at returns the rate and the part of long prompts at a time.
func (m mix) at(t time.Duration) (rate, long float64) {
	for i, s := range m.segments {
		if t >= s.until {
			continue
		}
		begin := time.Duration(0)
		if i > 0 {
			begin = m.segments[i-1].until
		}
		if i == 0 || t-begin >= ramp {
			return s.rate, s.long
		}
		f := float64(t-begin) / float64(ramp)
		p := m.segments[i-1]
		return p.rate + f*(s.rate-p.rate), p.long + f*(s.long-p.long)
	}
	last := m.segments[len(m.segments)-1]
	return last.rate, last.long
}

// flooding reports whether one account floods at a time.
func (m mix) flooding(t time.Duration) bool { return t >= m.floodFrom && t < m.floodTo }

// rateOf returns a client's requests a second at a time.
func (m mix) rateOf(c client, t time.Duration) float64 {
	rate, _ := m.at(t)
	rate *= c.part
	if c.name == m.floods && m.flooding(t) {
		rate *= m.flood
	}
	return rate
}

// draw returns the size of a new request.
func (m mix) draw(r *rand.Rand, t time.Duration) (k kind, prompt, output int) {
	_, long := m.at(t)
	k = m.short
	if r.Float64() < long {
		k = m.long
	}
	vary := func(n int) int { return max(int(float64(n)*(0.5+r.Float64())), 1) }
	return k, vary(k.prompt), vary(k.output)
}

// demand returns the tokens a second of both phases at a time, without flood.
func (m mix) demand(t time.Duration) (prefill, decode float64) {
	rate, long := m.at(t)
	prefill = rate * (long*float64(m.long.prompt) + (1-long)*float64(m.short.prompt))
	decode = rate * (long*float64(m.long.output) + (1-long)*float64(m.short.output))
	return prefill, decode
}
