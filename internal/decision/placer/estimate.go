package placer

import (
	"slices"

	"foxtailflow.example/foxtailflow/internal/decision/picker"
)

// comparison is a decision with what it needs of each engine worked out once: a
// fleet may have hundreds of engines, and a prompt is compared at each as reader
// and with each as the one that answers.
type comparison struct {
	*Decision
	estimates []estimate
	// answerers has the best engine to answer in each data centre, without the
	// copying of the prompt.
	answerers []answerer
}

// estimate is what the costs of one engine are made from.
type estimate struct {
	status picker.Reason
	role   picker.Role
	// refuses says that it is left alone after a refusal, or has failed the
	// request.
	refuses bool
	// held is the tokens of the prompt's beginning in its cache.
	held int
	// waiting is the prompt tokens that it has to read before.
	waiting float64
	// answering is the cost of one more answer, crossing that of sending the
	// request to its data centre.
	answering cost
	crossing  cost
}

type answerer struct {
	dataCentre string
	place      int
	cost       cost
}

func compare(d *Decision) *comparison {
	c := &comparison{Decision: d, estimates: make([]estimate, len(d.Engines))}
	for i := range d.Engines {
		e := &d.Engines[i]
		c.estimates[i] = estimate{
			status:    picker.Status(*e),
			role:      e.Report.Role,
			refuses:   d.Need.Now.Before(e.RefusedUntil) || slices.Contains(d.Need.Tried, e.ID),
			held:      d.Held[e.ID],
			waiting:   c.waiting(e),
			answering: c.answering(e),
			crossing:  c.crossing(e),
		}
		if c.fit(i, picker.Decode) {
			c.offer(answerer{dataCentre: e.DataCentre, place: i, cost: c.estimates[i].answering + c.estimates[i].crossing})
		}
	}
	return c
}

// offer keeps an engine if it is the best to answer in its data centre.
func (c *comparison) offer(a answerer) {
	for i, b := range c.answerers {
		if b.dataCentre == a.dataCentre {
			if a.cost < b.cost {
				c.answerers[i] = a
			}
			return
		}
	}
	c.answerers = append(c.answerers, a)
}

// fit reports whether an engine takes new work of a phase.
func (c *comparison) fit(i int, phase picker.Role) bool {
	e := &c.estimates[i]
	return e.status == "" && !e.refuses && e.role.Serves(phase)
}

// answerer returns the engine that best answers a prompt read at another, and
// the cost of its answer.
func (c *comparison) answerer(reader int) (best int, least cost) {
	best = -1
	for _, a := range c.answerers {
		p := a.cost + float64(c.Rates.Handover.Milliseconds())
		if reader >= 0 {
			p += c.copying(c.Need.Prompt, a.dataCentre != c.Engines[reader].DataCentre)
		}
		if best < 0 || p < least {
			best, least = a.place, p
		}
	}
	return best, least
}

// copies returns the tokens that an engine can copy from the holder.
func (c *comparison) copies(i, holder int) int {
	if holder < 0 || holder == i || !c.Engine.Fetches {
		return 0
	}
	if n := c.estimates[holder].held - c.estimates[i].held; n >= minCopy {
		return n
	}
	return 0
}

// left returns the tokens that an engine has to read of the prompt.
func (c *comparison) left(i, holder int) int {
	return max(c.Need.Prompt-c.estimates[i].held-c.copies(i, holder), 0)
}

// reading is the cost of reading the prompt at an engine, with what waits there.
func (c *comparison) reading(i, holder int, rate float64) cost {
	e := &c.Engines[i]
	p := c.service(i, holder, rate)
	if n := c.copies(i, holder); n > 0 {
		p += c.copying(n, e.DataCentre != c.Engines[holder].DataCentre)
	}
	if c.left(i, holder) > spreadTokens {
		p += spread * score(c.Need.Key, e.ID)
	}
	return p
}

// service is the time until an engine has read the prompt, in milliseconds.
func (c *comparison) service(i, holder int, rate float64) cost {
	return (c.estimates[i].waiting + float64(c.left(i, holder))) / rate
}

// waiting estimates the prompt tokens that an engine has to read before.
func (c *comparison) waiting(e *picker.Endpoint) float64 {
	if c.heard(e) {
		return float64(e.SentWork + e.Elsewhere.Reading)
	}
	return float64(e.SentWork) + otherWork*c.others(e)
}

// heard reports whether what other nodes have stated is recent.
func (c *comparison) heard(e *picker.Endpoint) bool {
	return !e.Elsewhere.At.IsZero() && c.Need.Now.Sub(e.Elsewhere.At) < elsewhereLife
}

// others estimates the requests of other nodes at an engine.
func (c *comparison) others(e *picker.Endpoint) float64 {
	if c.heard(e) {
		return float64(e.Elsewhere.Requests)
	}
	age := c.Need.Now.Sub(e.Report.At)
	if e.Report.At.IsZero() || age >= reportLife {
		return 0
	}
	return float64(max(e.Requests()-e.Sent, 0)) * (1 - float64(age)/float64(reportLife))
}

// answering is the cost of one more answer at an engine.
func (c *comparison) answering(e *picker.Endpoint) cost {
	n := float64(e.Sent) + c.others(e)
	p := n * requestWeight
	slots := e.Slots
	if slots == 0 {
		slots = c.Slots
	}
	if over := n + 1 - float64(slots); slots > 0 && over > 0 {
		p += over * queueWeight
	}
	return p
}

// crossing is the cost of sending the request to another data centre.
func (c *comparison) crossing(e *picker.Endpoint) cost {
	if e.DataCentre == c.Need.DataCentre {
		return 0
	}
	return float64(c.Need.Body+headBytes) / crossBytes
}

// copying is the cost of copying tokens from one engine to another.
func (c *comparison) copying(tokens int, across bool) cost {
	bytes := float64(tokens) * float64(c.Engine.TokenBytes)
	weight := copyWeight
	perMS := c.Engine.LinkMbps * 125
	if across {
		weight, perMS = crossCopyWeight, perMS/2
	}
	p := bytes / 1e9 * weight
	if perMS > 0 {
		p += bytes / perMS
	}
	return p
}

// score returns a number from 0 to below 1 that each pair of a key and an
// endpoint has on all nodes.
func score(key uint64, id string) float64 {
	h := key ^ 0x9e3779b97f4a7c15
	for i := range len(id) {
		h = (h ^ uint64(id[i])) * 0x100000001b3
	}
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	h ^= h >> 32
	return float64(h>>11) / (1 << 53)
}
