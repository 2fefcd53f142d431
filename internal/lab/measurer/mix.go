// Package measurer measures the decisions under load and compares them with
// baselines.
//
// The decision code of the product runs in a loop with a fake clock: several
// nodes, each with its own queue, prefix index and delayed load reports, send
// generated requests to engines that are modelled by two rates and a number of
// slots. Mix, length and seeds are fixed. The figures compare policies; they do
// not predict the performance of a real engine.
package measurer

import (
	"math/rand/v2"
	"time"
)

// requestKind is a kind of request: its mean prompt and output in tokens, and
// its deadline.
type requestKind struct {
	prompt   int
	output   int
	deadline time.Duration
}

// client is a client account and its share of the requests.
type client struct {
	name  string
	share float64
}

// segment is a period of the experiment with a constant ratio of the kinds.
type segment struct {
	until time.Duration
	// rate is in requests per second; longShare is the share of long prompts.
	rate      float64
	longShare float64
}

// mix is the load of one deployment.
type mix struct {
	name        string
	dataCentres []string
	long        requestKind
	short       requestKind
	clients     []client
	segments    []segment
	// floodFactor multiplies the requests of floodAccount from floodFrom until
	// floodUntil.
	floodAccount string
	floodFactor  float64
	floodFrom    time.Duration
	floodUntil   time.Duration
	crashAt      time.Duration
	withdrawAt   time.Duration
}

const (
	// rampTime is the time in which the load moves from one segment's values to
	// the next one's.
	rampTime = 30 * time.Second
	// runLength is the simulated time of one run.
	runLength = 600 * time.Second
)

// wichseMix has long batch records, whose late verdicts stall the kettles, and
// advice with long responses.
func wichseMix() mix {
	return mix{
		name:        "wichse-llm",
		dataCentres: []string{"dc-1", "dc-2", "dc-3", "dc-4"},
		long:        requestKind{prompt: 6000, output: 100, deadline: 15 * time.Second},
		short:       requestKind{prompt: 400, output: 600, deadline: 30 * time.Second},
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
			{until: 120 * time.Second, rate: 13, longShare: .4},
			{until: 300 * time.Second, rate: 10, longShare: .9},
			{until: 480 * time.Second, rate: 16, longShare: .05},
			{until: runLength, rate: 13, longShare: .4},
		},
		floodAccount: "sales", floodFactor: 12, floodFrom: 200 * time.Second, floodUntil: 400 * time.Second,
		crashAt: 150 * time.Second, withdrawAt: 500 * time.Second,
	}
}

// presenterMix has long playlists, and rewrites that must complete during the
// show; two stations are far larger than the others.
func presenterMix() mix {
	return mix{
		name:        "presenter-lm",
		dataCentres: []string{"dc-1", "dc-2", "dc-3"},
		long:        requestKind{prompt: 4000, output: 150, deadline: 15 * time.Second},
		short:       requestKind{prompt: 500, output: 300, deadline: 10 * time.Second},
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
			{until: 100 * time.Second, rate: 20, longShare: .3},
			{until: 220 * time.Second, rate: 15, longShare: .8},
			{until: 360 * time.Second, rate: 27, longShare: .1},
			{until: 480 * time.Second, rate: 15, longShare: .8},
			{until: runLength, rate: 20, longShare: .3},
		},
		floodAccount: "lagos-1", floodFactor: 6, floodFrom: 240 * time.Second, floodUntil: 460 * time.Second,
		crashAt: 150 * time.Second, withdrawAt: 520 * time.Second,
	}
}

// at returns the request rate and the share of long prompts at a time.
func (m mix) at(t time.Duration) (rate, long float64) {
	for i, s := range m.segments {
		if t >= s.until {
			continue
		}
		start := time.Duration(0)
		if i > 0 {
			start = m.segments[i-1].until
		}
		if i == 0 || t-start >= rampTime {
			return s.rate, s.longShare
		}
		f := float64(t-start) / float64(rampTime)
		p := m.segments[i-1]
		return p.rate + f*(s.rate-p.rate), p.longShare + f*(s.longShare-p.longShare)
	}
	last := m.segments[len(m.segments)-1]
	return last.rate, last.longShare
}

// flooding reports whether one account floods at a time.
func (m mix) flooding(t time.Duration) bool { return t >= m.floodFrom && t < m.floodUntil }

// rateOf returns the requests per second of a client at a time.
func (m mix) rateOf(c client, t time.Duration) float64 {
	rate, _ := m.at(t)
	rate *= c.share
	if c.name == m.floodAccount && m.flooding(t) {
		rate *= m.floodFactor
	}
	return rate
}

// draw returns the kind and the random size of a new request.
func (m mix) draw(r *rand.Rand, t time.Duration) (k requestKind, prompt, output int) {
	_, long := m.at(t)
	k = m.short
	if r.Float64() < long {
		k = m.long
	}
	vary := func(n int) int { return max(int(float64(n)*(0.5+r.Float64())), 1) }
	return k, vary(k.prompt), vary(k.output)
}

// demand returns the tokens per second of both phases at a time, without the
// flood.
func (m mix) demand(t time.Duration) (prefill, decode float64) {
	rate, long := m.at(t)
	prefill = rate * (long*float64(m.long.prompt) + (1-long)*float64(m.short.prompt))
	decode = rate * (long*float64(m.long.output) + (1-long)*float64(m.short.output))
	return prefill, decode
}
