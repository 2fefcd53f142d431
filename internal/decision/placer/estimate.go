package placer

import (
	"math"
	"slices"

	"foxtailflow.example/foxtailflow/internal/decision/calibrator"
	"foxtailflow.example/foxtailflow/internal/decision/picker"
)

// comparison is a decision with the estimates of each engine, computed once. A fleet may have
// thousands of engines, so the costs are computed of those only that are compared.
type comparison struct {
	*Decision
	estimates []estimate
	// decodeByDC has the best decode engine of each data centre, without the cost
	// of copying the prompt.
	decodeByDC []decodeCandidate
	// meanRemote is the mean number of requests of other nodes at a decode engine.
	meanRemote float64
}

// estimate holds the values from which the costs of one engine are computed.
type estimate struct {
	status picker.Reason
	role   picker.Role
	// excluded is set if the engine is in the backoff after a refusal, has spent its
	// limit of requests or asked for a pause, or the request has failed there.
	excluded bool
	// comparedPrefill and comparedDecode are set if the costs of the phase are compared at
	// the engine.
	comparedPrefill bool
	comparedDecode  bool
	// cached is the number of tokens of the prompt prefix in its cache.
	cached int
	// queued is the number of prompt tokens that it has to prefill first.
	queued float64
	// costed says that what follows has been computed.
	costed bool
	// prefillRate and directRate are the prompt tokens that it prefills per millisecond, for
	// another engine and beside its own decoding.
	prefillRate float64
	directRate  float64
	// decodeCost is the cost of decoding one more response, transferCost that of
	// sending the request to its data centre.
	decodeCost   cost
	transferCost cost
}

type decodeCandidate struct {
	dataCentre string
	index      int
	cost       cost
}

func newComparison(d *Decision) *comparison {
	c := &comparison{Decision: d, estimates: make([]estimate, len(d.Engines))}
	load := d.decodeLoad()
	c.meanRemote = load.remote / float64(max(load.engines, 1))
	for i := range d.Engines {
		e := &d.Engines[i]
		c.estimates[i] = estimate{
			status:   picker.UnavailableReason(*e),
			role:     e.Report.Role,
			excluded: e.Pause(d.Requirements.Now) > 0 || slices.Contains(d.Requirements.Tried, e.ID),
			cached:   d.CachedTokens[e.ID],
			queued:   c.queuedTokens(e),
		}
	}
	holder := c.cacheHolder()
	if c.splitsPhases() {
		key := c.drawKey()
		c.drawPrefill(key, holder)
		if key != d.Requirements.Random && c.lateAtDrawn(holder) {
			c.drawPrefill(d.Requirements.Random, holder)
		}
	}
	c.drawDecode(d.Requirements.Random, holder)
	for i := range d.Engines {
		e := &c.estimates[i]
		if e.comparedPrefill || e.comparedDecode {
			c.addCosts(i)
		}
		if e.comparedDecode {
			c.addDecodeCandidate(decodeCandidate{dataCentre: d.Engines[i].DataCentre, index: i, cost: e.decodeCost + e.transferCost})
		}
	}
	return c
}

// addCosts completes the estimate of an engine.
func (c *comparison) addCosts(i int) {
	e, engine := &c.estimates[i], &c.Engines[i]
	if e.costed {
		return
	}
	factor := c.engineFactor(engine)
	e.costed = true
	e.prefillRate, e.directRate = c.Rates.PrefillRate*factor, c.Rates.DirectRate*factor
	e.decodeCost, e.transferCost = c.decodeCost(engine), c.transferCost(engine)
}

// engineFactor returns the speed of an engine as a multiple of that of its deployment, by
// what nodes have measured there and by what it has last said of itself.
func (c *comparison) engineFactor(e *picker.Endpoint) float64 {
	now := c.Requirements.Now
	var remote calibrator.Sums
	if c.remoteLoadRecent(e) {
		remote = e.RemoteLoad.Measured.AsOf(now)
	}
	return calibrator.EngineRate(c.Rates.PrefillRate, e.Measured.AsOf(now), remote) / c.Rates.PrefillRate / e.Slowdown.FactorAt(now)
}

// addDecodeCandidate keeps an engine if it is the best decode engine so far in its
// data centre.
func (c *comparison) addDecodeCandidate(a decodeCandidate) {
	for i, b := range c.decodeByDC {
		if b.dataCentre == a.dataCentre {
			if a.cost < b.cost {
				c.decodeByDC[i] = a
			}
			return
		}
	}
	c.decodeByDC = append(c.decodeByDC, a)
}

// accepts reports whether an engine takes new work of a phase.
func (c *comparison) accepts(i int, phase picker.Role) bool {
	e := &c.estimates[i]
	return e.status == "" && !e.excluded && e.role.Serves(phase)
}

// compares reports whether the costs of a phase are compared at an engine.
func (c *comparison) compares(i int, phase picker.Role) bool {
	if phase == picker.Prefill {
		return c.estimates[i].comparedPrefill
	}
	return c.estimates[i].comparedDecode
}

// splitsPhases reports whether an engine may prefill the prompt for another one. It may not
// if one has done so already.
func (c *comparison) splitsPhases() bool {
	return !c.Requirements.NoHandover && c.Engine.HandleTTL > 0 && c.Requirements.PrefillSource == ""
}

// drawKey returns the key by which prefill engines are drawn. Prompts with a long shared
// prefix use the same engines on all nodes, so that these have it cached.
func (c *comparison) drawKey() uint64 {
	if c.Requirements.PrefixKey != 0 && c.Requirements.PromptTokens > minSpreadTokens {
		return c.Requirements.PrefixKey
	}
	return c.Requirements.Random
}

// lateAtDrawn reports whether the prompt would be late at all prefill engines that are drawn.
// Most prompts may share one prefix, by which the same few engines are drawn on all nodes.
func (c *comparison) lateAtDrawn(holder int) bool {
	for i := range c.Engines {
		if !c.estimates[i].comparedPrefill {
			continue
		}
		c.addCosts(i)
		if !c.late(c.prefillTime(i, holder, c.estimates[i].prefillRate)) {
			return false
		}
	}
	return true
}

// decodeEngine returns the best engine to decode a prompt that was prefilled at
// another, with the cost of its response; -1 if there is none.
func (c *comparison) decodeEngine(prefill int) (best int, least cost) {
	best = -1
	for _, a := range c.decodeByDC {
		p := a.cost + float64(c.Rates.Handover.Milliseconds())
		if prefill >= 0 {
			p += c.copyCost(c.Requirements.PromptTokens, a.dataCentre != c.Engines[prefill].DataCentre)
		}
		if best < 0 || p < least {
			best, least = a.index, p
		}
	}
	return best, least
}

// copyableTokens returns the tokens that an engine can copy from the holder.
func (c *comparison) copyableTokens(i, holder int) int {
	if holder < 0 || holder == i || !c.Engine.FetchesPrefix {
		return 0
	}
	if n := c.estimates[holder].cached - c.estimates[i].cached; n >= minCopyTokens {
		return n
	}
	return 0
}

// prefillTokens returns the tokens of the prompt that an engine has to prefill.
func (c *comparison) prefillTokens(i, holder int) int {
	return max(c.Requirements.PromptTokens-c.estimates[i].cached-c.copyableTokens(i, holder), 0)
}

// prefillCost is the cost of prefilling the prompt at an engine, including the work
// queued there.
func (c *comparison) prefillCost(i, holder int, rate float64) cost {
	e := &c.Engines[i]
	p := c.prefillTime(i, holder, rate)
	if n := c.copyableTokens(i, holder); n > 0 {
		p += c.copyCost(n, e.DataCentre != c.Engines[holder].DataCentre)
	}
	if e.Limited && e.Report.Role == picker.Prefill {
		p += limitedWeight
	}
	if c.prefillTokens(i, holder) > minSpreadTokens {
		p += maxSpread * hashScore(c.Requirements.PrefixKey, e.ID)
	}
	return p
}

// prefillTime is the time until an engine has prefilled the prompt, in
// milliseconds.
func (c *comparison) prefillTime(i, holder int, rate float64) cost {
	return (c.estimates[i].queued + float64(c.prefillTokens(i, holder))) / rate
}

// queuedTokens estimates the prompt tokens that an engine has to prefill first.
func (c *comparison) queuedTokens(e *picker.Endpoint) float64 {
	if c.remoteLoadRecent(e) {
		return float64(e.SentPrefillTokens + e.RemoteLoad.PrefillTokens)
	}
	return float64(e.SentPrefillTokens) + remoteRequestTokens*c.remoteRequests(e)
}

// remoteLoadRecent reports whether the remote load of an engine is recent.
func (c *comparison) remoteLoadRecent(e *picker.Endpoint) bool {
	return !e.RemoteLoad.At.IsZero() && c.Requirements.Now.Sub(e.RemoteLoad.At) < maxRemoteLoadAge
}

// remoteRequests estimates the requests of other nodes at an engine.
func (c *comparison) remoteRequests(e *picker.Endpoint) float64 {
	if c.remoteLoadRecent(e) {
		return float64(e.RemoteLoad.Requests)
	}
	age := c.Requirements.Now.Sub(e.Report.At)
	if e.Report.At.IsZero() || age >= maxReportAge {
		return 0
	}
	return float64(max(e.Requests()-e.Sent, 0)) * (1 - float64(age)/float64(maxReportAge))
}

// expectedRemote estimates the requests of other nodes at an engine now.
//
// Of the requests that were there when the others reported, only those are left that last
// longer than the age of the reports. If short requests were counted in full, all nodes would
// send theirs to the engine that was idle a moment ago.
func (c *comparison) expectedRemote(e *picker.Endpoint) float64 {
	known := c.remoteRequests(e)
	if c.ServiceTime <= 0 || !c.remoteLoadRecent(e) {
		return known
	}
	age := c.Requirements.Now.Sub(e.RemoteLoad.At) + reportDelay
	left := math.Exp(-float64(age) / float64(c.ServiceTime))
	return c.meanRemote + (known-c.meanRemote)*left
}

// decodeCost is the cost of decoding one more response at an engine.
func (c *comparison) decodeCost(e *picker.Endpoint) cost {
	n := float64(e.Sent) + c.expectedRemote(e)
	p := n*requestWeight + decodeMS*(e.Slowdown.FactorAt(c.Requirements.Now)-1)
	if c.Requirements.Isolate {
		p = n * isolatedRequestWeight
	}
	if e.Limited {
		p += limitedWeight
	}
	slots := e.Slots
	if slots == 0 {
		slots = c.Slots
	}
	if excess := n + 1 - float64(slots); slots > 0 && excess > 0 {
		p += excess * queueWeight
	}
	return p
}

// transferCost is the cost of sending the request to the data centre of an engine.
func (c *comparison) transferCost(e *picker.Endpoint) cost {
	if e.DataCentre == c.Requirements.DataCentre {
		return 0
	}
	return float64(c.Requirements.BodyBytes+requestOverheadBytes) / crossBytesPerMS
}

// copyCost is the cost of copying tokens from one engine to another.
func (c *comparison) copyCost(tokens int, across bool) cost {
	bytes := float64(tokens) * float64(c.Engine.TokenBytes)
	weight := copyWeight
	bytesPerMS := c.Engine.LinkMbps * 125
	if across {
		weight, bytesPerMS = crossCopyWeight, bytesPerMS/2
	}
	p := bytes / 1e9 * weight
	if bytesPerMS > 0 {
		p += bytes / bytesPerMS
	}
	return p
}

// hashScore returns a number in [0, 1) that is the same on all nodes for a key
// and an endpoint.
func hashScore(key uint64, id string) float64 {
	h := key ^ 0x9e3779b97f4a7c15
	for i := range len(id) {
		h = (h ^ uint64(id[i])) * 0x100000001b3
	}
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	h ^= h >> 32
	return float64(h>>11) / (1 << 53)
}
