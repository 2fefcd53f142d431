// Package placer decides which engine prefills a prompt and which one decodes the
// response.
//
// Prefill limits the throughput of a fleet of model engines, and most of a prompt
// has often been prefilled before. So a decision compares, in engine time, what
// each engine would have to prefill, what it could copy from the cache of
// another, what is already queued there, and what is sent between data centres.
// If engines hand prompts over, the prefill engine may differ from the decode
// engine. A decision is a function of values.
package placer

import (
	"cmp"
	"slices"
	"time"

	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/decision/picker"
)

// Rates are the speeds of the engines of a deployment on which estimates are based. What was
// measured at an engine, or what it says of itself, changes them for that engine.
type Rates struct {
	// PrefillRate is the number of prompt tokens that a prefill engine prefills per
	// millisecond, DirectRate that of an engine that also decodes.
	PrefillRate float64
	DirectRate  float64
	// Handover is the time to hand a prompt over to another engine, without the
	// time to copy it.
	Handover time.Duration
}

// directShare is the speed of prefill on an engine that also decodes, as a share of that
// of a prefill engine: it prefills at half the speed, in smaller chunks.
const directShare = 0.375

// RatesAt returns the rates of engines that prefill the given number of prompt tokens
// per millisecond.
func RatesAt(prefillRate float64) Rates {
	return Rates{PrefillRate: prefillRate, DirectRate: directShare * prefillRate, Handover: 7 * time.Millisecond}
}

// Requirements holds the requirements of a request.
type Requirements struct {
	DataCentre string
	// PromptTokens is the number of prompt tokens, BodyBytes the number of
	// bytes of the request body.
	PromptTokens int
	BodyBytes    int
	// PrefixKey is the key of the prompt's longest shared prefix; 0 means none.
	PrefixKey uint64
	// Random is a number drawn for this choice.
	Random uint64
	// Tried names endpoints at which the request has failed.
	Tried []string
	// PrefillSource is the address of the engine that has prefilled the prompt,
	// if any.
	PrefillSource string
	// NoHandover is set if the engine that decodes must also prefill the prompt.
	NoHandover bool
	// Isolate is set if the request may crash the engine that decodes it: the fewer
	// requests that has, the better.
	Isolate bool
	// Remaining is the remaining time until the response is late; 0 or less
	// means that it is late already.
	Remaining time.Duration
	// Patience is the remaining time until the caller gives up if it gets no first
	// event; 0 means that this is not known.
	Patience time.Duration
	Now      time.Time
}

// cost is engine time plus the delay of the caller, in milliseconds.
type cost = float64

// The weights of a decision.
const (
	// crossBytesPerMS is the number of bytes sent between data centres that cost as
	// much as a millisecond.
	crossBytesPerMS = 600
	// requestOverheadBytes is the size of a request without its body.
	requestOverheadBytes = 900
	// copyWeight and crossCopyWeight are the costs of a GB of engine memory copied
	// within and between data centres, in addition to the time it takes.
	copyWeight      = 20.0
	crossCopyWeight = 35.0
	// requestWeight is the slowdown that an in-flight request causes to the others
	// of an engine.
	requestWeight = 0.8
	// isolatedRequestWeight is the cost of an in-flight request that may be lost.
	isolatedRequestWeight = 100.0
	// limitedWeight is the cost of a request at an engine that has named a limit of
	// requests: a short prompt takes as much of that as a long one.
	limitedWeight = 30.0
	// queueWeight is the cost of a request that is queued for a slot.
	queueWeight = 40.0
	// maxSpread bounds a cost that differs between otherwise equal engines, so that
	// all nodes choose the same engine for a prefix.
	maxSpread = 20.0
	// minSpreadTokens is the number of tokens to prefill above which that cost is
	// added.
	minSpreadTokens = 1000
	// maxDirectTokens is the maximum number of tokens that a decode engine
	// prefills itself where a prefill engine is available: the responses of
	// requests that arrive meanwhile are delayed until it has done so.
	maxDirectTokens = 512
	// minOverflowTokens is the size from which a late prompt delays others so much
	// that the choice of its prefill engine matters.
	minOverflowTokens = 2000
	// overflowDivisor is the number of prefill engines of a data centre of which one
	// takes prompts that will be late.
	overflowDivisor = 4
	// patienceShare is the share of the time until a caller gives up that estimates may
	// use: the load that other nodes have added since their last report is not in them.
	patienceShare = 0.75
	// firstTokenMS is the time from the handover of a prompt to the first event of
	// the response.
	firstTokenMS = 40
	// decodeMS is the time that a short response takes to decode, by which an engine that
	// works more slowly than usual costs more.
	decodeMS = 40
	// minCopyTokens is the minimum number of tokens worth copying.
	minCopyTokens = 512
	// remoteRequestTokens is the mean number of prompt tokens still to be
	// prefilled for a request of another node.
	remoteRequestTokens = 700
	// maxReportAge is the age up to which the load report of an engine is used.
	maxReportAge = 400 * time.Millisecond
	// maxRemoteLoadAge is the age up to which the remote load is used, reportDelay the mean
	// time from a change at another node to its arrival here.
	maxRemoteLoadAge = time.Second
	reportDelay      = 250 * time.Millisecond
)

// Decision holds the values from which engines of one deployment are chosen.
type Decision struct {
	Requirements Requirements
	Rates        Rates
	// ServiceTime is the mean time for which a request is at the engine that decodes it; 0
	// means that it is not known.
	ServiceTime time.Duration
	Engine      definer.Engine
	Slots       int
	Engines     []picker.Endpoint
	// CachedTokens maps the identifier of an engine to the number of tokens of
	// the prompt prefix that are probably in its cache.
	CachedTokens map[string]int
}

// Plan returns the engines for the request, or the time until one may take it.
func (d Decision) Plan() picker.Plan {
	c := newComparison(&d)
	p := c.planNow()
	p.PromptTokens, p.PrefillRate = d.Requirements.PromptTokens, d.Rates.PrefillRate
	if !p.Run.OK {
		p.RetryIn = c.shortestPause()
	}
	return p
}

// Occupancy returns the requests at the available engines that decode, and the number that
// they process at once.
func (d Decision) Occupancy() (requests, slots float64) {
	load := d.decodeLoad()
	return load.own + load.remote, load.slots
}

// decodeLoad is the load of the available engines that decode: the requests of this node and
// of the others, and the number that the engines process at once.
type decodeLoad struct {
	engines            int
	own, remote, slots float64
}

func (d *Decision) decodeLoad() (sum decodeLoad) {
	c := comparison{Decision: d}
	for i := range d.Engines {
		e := &d.Engines[i]
		if picker.UnavailableReason(*e) != "" || !e.Report.Role.Serves(picker.Decode) {
			continue
		}
		sum.engines++
		sum.own += float64(e.Sent)
		sum.remote += c.remoteRequests(e)
		sum.slots += float64(cmp.Or(e.Slots, d.Slots))
	}
	return sum
}

// shortestPause returns the time until an engine that has refused work, or has spent its
// limit of requests, may take more.
func (c *comparison) shortestPause() (least time.Duration) {
	for i := range c.Engines {
		e := &c.estimates[i]
		w := c.Engines[i].Pause(c.Requirements.Now)
		if e.status == "" && e.role.Serves(picker.Decode) && w > 0 && (least == 0 || w < least) {
			least = w
		}
	}
	return least
}

// planNow returns the engines that can take the request now.
func (c *comparison) planNow() picker.Plan {
	holder := c.cacheHolder()
	direct, directCost := c.directEngine(holder)
	if c.Requirements.NoHandover || c.Engine.HandleTTL <= 0 {
		return c.planFor(direct, -1, holder)
	}
	if c.Requirements.PrefillSource != "" {
		return picker.Plan{Run: c.choice(c.decodeFor(c.sourceEngine()), "decodes the handed-over prompt")}
	}
	prefill, prefillCost := c.prefillEngine(holder)
	if overflow := c.overflowEngine(prefill, holder); overflow >= 0 {
		p := c.planFor(c.decodeFor(overflow), overflow, holder)
		p.Prefill.Reason = "late on all prefill engines"
		return p
	}
	if prefill < 0 || direct >= 0 && directCost <= prefillCost && c.prefillTokens(direct, holder) <= maxDirectTokens {
		return c.planFor(direct, -1, holder)
	}
	return c.planFor(c.decodeFor(prefill), prefill, holder)
}

// planFor returns the plan for the engines with the given indexes; -1 means none.
func (c *comparison) planFor(decode, prefill, holder int) picker.Plan {
	p := picker.Plan{Run: c.choice(decode, "prefills the prompt itself"), Prefill: c.choice(prefill, "lowest cost")}
	prefillIndex := decode
	if prefill >= 0 {
		prefillIndex = prefill
		p.Run.Reason = "answers"
		p.Prefill.Basis.PrefillRate = c.estimates[prefill].prefillRate
	} else if decode >= 0 {
		p.Run.Basis.PrefillRate = c.estimates[decode].directRate
	}
	if prefillIndex >= 0 && c.copyableTokens(prefillIndex, holder) > 0 {
		p.FetchFrom = c.Engines[holder].Address
	}
	return p
}

func (c *comparison) choice(i int, reason string) picker.Choice {
	if i < 0 {
		return picker.Choice{}
	}
	e := &c.Engines[i]
	b := picker.Basis{CachedTokens: c.estimates[i].cached, QueuedTokens: int(c.estimates[i].queued), InFlight: e.Sent + int(c.remoteRequests(e)), RemoteLoadAge: -1}
	if !e.RemoteLoad.At.IsZero() {
		b.RemoteLoadAge = c.Requirements.Now.Sub(e.RemoteLoad.At)
	}
	return picker.Choice{Endpoint: *e, OK: true, Reason: reason, Basis: b}
}

// cacheHolder returns the engine with the longest prefix in its cache, preferably
// in the data centre of the request; -1 if there is none.
func (c *comparison) cacheHolder() int {
	best := -1
	for i := range c.Engines {
		cached := c.estimates[i].cached
		if cached == 0 || c.estimates[i].status != "" || c.Requirements.Now.Before(c.Engines[i].PauseRequestedUntil) {
			continue
		}
		if best < 0 || cached > c.estimates[best].cached ||
			cached == c.estimates[best].cached && c.Engines[i].DataCentre == c.Requirements.DataCentre {
			best = i
		}
	}
	return best
}

// sourceEngine returns the index of the engine that has prefilled the prompt, or -1.
func (c *comparison) sourceEngine() int {
	for i := range c.Engines {
		if c.Engines[i].Address == c.Requirements.PrefillSource {
			return i
		}
	}
	return -1
}

// cheapest returns the engine that accepts the phase at the lowest cost, or -1.
func (c *comparison) cheapest(phase picker.Role, costOf func(i int) cost) (index int, least cost) {
	index = -1
	for i := range c.Engines {
		if !c.compares(i, phase) {
			continue
		}
		if p := costOf(i); index < 0 || p < least {
			index, least = i, p
		}
	}
	return index, least
}

// directEngine returns the best engine to both prefill and decode.
func (c *comparison) directEngine(holder int) (int, cost) {
	return c.cheapest(picker.Decode, func(i int) cost {
		return c.prefillCost(i, holder, c.estimates[i].directRate) + c.estimates[i].decodeCost + c.estimates[i].transferCost
	})
}

// prefillEngine returns the best engine to prefill the prompt for another one; the
// cost includes that of the decode engine.
func (c *comparison) prefillEngine(holder int) (int, cost) {
	return c.cheapest(picker.Prefill, func(i int) cost {
		decode, decodeCost := c.decodeEngine(i)
		if decode < 0 {
			return c.prefillCost(i, holder, c.estimates[i].prefillRate) + queueWeight*float64(c.Slots)
		}
		return c.prefillCost(i, holder, c.estimates[i].prefillRate) + c.estimates[i].transferCost + decodeCost
	})
}

// overflowEngine returns the prefill engine for a prompt that will be late on
// every engine, so that late prompts delay each other and not those that can still be
// in time: one of those with the most queued tokens in the data centre of the best
// engine, at which the caller still waits for the first event. It returns -1 if the
// prompt goes to the best engine: it is in time there, or it would be late on an idle
// engine as well and those with the most queued tokens are too busy.
func (c *comparison) overflowEngine(best, holder int) int {
	if best < 0 || c.Requirements.PromptTokens < minOverflowTokens || !c.late(c.prefillTime(best, holder, c.estimates[best].prefillRate)) {
		return -1
	}
	var busiest []int
	for i := range c.Engines {
		if c.accepts(i, picker.Prefill) && c.Engines[i].DataCentre == c.Engines[best].DataCentre {
			busiest = append(busiest, i)
		}
	}
	slices.SortFunc(busiest, func(a, b int) int { return cmp.Compare(c.overflowRank(b), c.overflowRank(a)) })
	for _, i := range busiest[:(len(busiest)+overflowDivisor-1)/overflowDivisor] {
		c.addCosts(i)
		if c.servable(c.prefillTime(i, holder, c.estimates[i].prefillRate)) {
			return i
		}
	}
	if c.late(float64(c.prefillTokens(best, holder)) / c.estimates[best].prefillRate) {
		return -1
	}
	return busiest[0]
}

// overflowRank is the number of tokens queued at an engine, in the same order on all
// nodes if that is equal.
func (c *comparison) overflowRank(i int) float64 {
	return c.estimates[i].queued + hashScore(0, c.Engines[i].ID)
}

// late reports whether the first event comes after the target if the prompt is
// prefilled after the given time, in milliseconds.
func (c *comparison) late(prefillMS float64) bool {
	return c.firstEventMS(prefillMS) > max(float64(c.Requirements.Remaining.Milliseconds()), 0)
}

// servable reports whether the caller still waits when the prompt is prefilled after
// the given time, in milliseconds.
func (c *comparison) servable(prefillMS float64) bool {
	p := c.Requirements.Patience
	return p == 0 || c.firstEventMS(prefillMS) <= patienceShare*float64(p.Milliseconds())
}

func (c *comparison) firstEventMS(prefillMS float64) float64 {
	return prefillMS + float64(c.Rates.Handover.Milliseconds()) + firstTokenMS
}

// decodeFor returns the best engine to decode a prompt that another has prefilled.
func (c *comparison) decodeFor(prefill int) int {
	best, _ := c.decodeEngine(prefill)
	return best
}
