// Package placer decides where a prompt is read and where its answer is made.
//
// Reading a prompt is what binds a fleet of model engines, and most of a prompt
// was often read before. So a decision compares, in engine time, what each
// engine would have to read, what it could copy from the cache of another, what
// waits there already, and what crosses data centres on the way. The engine
// that reads may be another than the one that answers, where engines hand
// prompts over. The decision is made from values only.
package placer

import (
	"time"

	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/decision/picker"
)

// Rates are the speeds of engines on which estimates rest.
type Rates struct {
	// Read is the prompt tokens that an engine which only reads takes in a
	// millisecond, Direct those of an engine that also answers.
	Read   float64
	Direct float64
	// Handover is the time that a prompt takes from one engine to another
	// beside its copying.
	Handover time.Duration
}

// DefaultRates are those of the engines of both deployments: a step for each
// piece of 1,024 tokens (256 on an engine that answers) beside the reading.
func DefaultRates() Rates {
	return Rates{Read: 40, Direct: 15, Handover: 7 * time.Millisecond}
}

// Need is what a request needs.
type Need struct {
	DataCentre string
	// Prompt is the number of prompt tokens, Body that of the bytes of a request.
	Prompt int
	Body   int
	// Key is that of the prompt's longest shared beginning; 0 means none.
	Key uint64
	// Tried names endpoints that have failed the request.
	Tried []string
	// Source is the address of the engine that has read the prompt already.
	Source string
	// Direct says that the engine which answers has to read the prompt.
	Direct bool
	// Left is the time until the answer is late; 0 means that it has none, or is
	// late already.
	Left time.Duration
	Now  time.Time
}

// Candidate is an endpoint with what it probably holds of the prompt.
type Candidate struct {
	picker.Endpoint
	// Held is the number of tokens of the prompt's beginning in its cache.
	Held int
}

// cost is engine time, and time that the caller waits, in milliseconds.
type cost = float64

// The weights of a decision.
const (
	// crossBytes is the number of bytes between data centres that weigh as much
	// as a millisecond.
	crossBytes = 600
	// headBytes is the size of a request beside its body.
	headBytes = 900
	// copyWeight and crossCopyWeight weigh a GB of engine memory that is copied
	// within and between data centres, beside the time it takes.
	copyWeight      = 20.0
	crossCopyWeight = 35.0
	// requestWeight is what a request in work slows the others of an engine.
	requestWeight = 0.8
	// queueWeight is what a request costs that has to wait for a slot.
	queueWeight = 40.0
	// spread is the most by which engines that nothing else tells apart differ,
	// so that all nodes choose the same one for a beginning.
	spread = 20.0
	// spreadTokens is the size of a beginning from which on that matters.
	spreadTokens = 1000
	// directMost is the most tokens that an engine reads which also answers, where
	// others can read: all answers that come to it meanwhile wait until it has.
	directMost = 512
	// overflowFrom is the size of a prompt from which on it delays others so much
	// that it matters where it is read once it is late.
	overflowFrom = 2000
	// firstToken is the time from the taking over of a prompt to the first event,
	// in milliseconds.
	firstToken = 40
	// minCopy is the least number of tokens that are worth copying.
	minCopy = 512
	// otherWork is the prompt tokens that a request of another node has left to
	// be read, on the mean.
	otherWork = 700
	// reportLife is how long what an engine has told of its load says anything.
	reportLife = 400 * time.Millisecond
	// elsewhereLife is how long the statements of other nodes are used.
	elsewhereLife = time.Second
)

// Decision compares the engines of one deployment.
type Decision struct {
	Need    Need
	Rates   Rates
	Engine  definer.Engine
	Slots   int
	Engines []Candidate
}

// Plan returns where the request goes, or how long it has to wait for an engine.
func (d Decision) Plan() picker.Plan {
	p := d.now()
	if !p.Run.OK {
		p.Wait = d.wait()
	}
	return p
}

// wait returns the time until an engine that has refused work may take more.
func (d Decision) wait() (least time.Duration) {
	for _, e := range d.Engines {
		w := e.RefusedUntil.Sub(d.Need.Now)
		if picker.Status(e.Endpoint) == "" && e.Report.Role.Serves(picker.Decode) && w > 0 && (least == 0 || w < least) {
			least = w
		}
	}
	return least
}

// now returns where the request can go now.
func (d Decision) now() picker.Plan {
	holder := d.holder()
	direct, directCost := d.direct(holder)
	if d.Need.Direct || d.Engine.HandleLife <= 0 {
		return d.plan(direct, -1, holder)
	}
	if d.Need.Source != "" {
		return picker.Plan{Run: d.choice(d.run(d.source()), "takes the prompt over")}
	}
	reader, readCost := d.reader(holder)
	if over := d.overflow(reader, holder); over >= 0 {
		return d.plan(d.run(over), over, holder)
	}
	if reader < 0 || direct >= 0 && directCost <= readCost && d.left(direct, holder) <= directMost {
		return d.plan(direct, -1, holder)
	}
	return d.plan(d.run(reader), reader, holder)
}

// plan returns the plan of two engines by their places; -1 means none.
func (d Decision) plan(run, read, holder int) picker.Plan {
	p := picker.Plan{Run: d.choice(run, "reads the prompt itself"), Read: d.choice(read, "reads the prompt")}
	reads := run
	if read >= 0 {
		reads = read
		p.Run.Reason = "answers"
	}
	if reads >= 0 && d.copies(reads, holder) > 0 {
		p.Fetch = d.Engines[holder].Address
	}
	return p
}

func (d Decision) choice(i int, reason string) picker.Choice {
	if i < 0 {
		return picker.Choice{}
	}
	e := d.Engines[i]
	b := picker.Basis{Held: e.Held, Waiting: int(d.waiting(e)), InWork: e.Sent + int(d.others(e)), Age: -1}
	if !e.Elsewhere.At.IsZero() {
		b.Age = d.Need.Now.Sub(e.Elsewhere.At)
	}
	return picker.Choice{Endpoint: e.Endpoint, OK: true, Reason: reason, Basis: b}
}

// holder returns the engine that holds the longest beginning, one in the data
// centre before others; -1 if none holds any.
func (d Decision) holder() int {
	best := -1
	for i, e := range d.Engines {
		if e.Held == 0 || picker.Status(e.Endpoint) != "" {
			continue
		}
		if best < 0 || e.Held > d.Engines[best].Held ||
			e.Held == d.Engines[best].Held && e.DataCentre == d.Need.DataCentre {
			best = i
		}
	}
	return best
}

// source returns the place of the engine that has read the prompt.
func (d Decision) source() int {
	for i, e := range d.Engines {
		if e.Address == d.Need.Source {
			return i
		}
	}
	return -1
}

// fit reports whether an engine takes new work of a phase.
func (d Decision) fit(e Candidate, phase picker.Role) bool {
	if picker.Status(e.Endpoint) != "" || !e.Report.Role.Serves(phase) || d.Need.Now.Before(e.RefusedUntil) {
		return false
	}
	for _, id := range d.Need.Tried {
		if id == e.ID {
			return false
		}
	}
	return true
}

// best returns the fit engine of least cost, or -1.
func (d Decision) best(phase picker.Role, price func(i int) cost) (best int, least cost) {
	best = -1
	for i, e := range d.Engines {
		if !d.fit(e, phase) {
			continue
		}
		if c := price(i); best < 0 || c < least {
			best, least = i, c
		}
	}
	return best, least
}

// direct returns the engine that would best do all the work itself.
func (d Decision) direct(holder int) (int, cost) {
	return d.best(picker.Decode, func(i int) cost {
		return d.reading(i, holder, d.Rates.Direct) + d.answering(i) + d.crossing(i)
	})
}

// reader returns the engine that would best read the prompt for another, with
// the cost of the answer included.
func (d Decision) reader(holder int) (int, cost) {
	return d.best(picker.Prefill, func(i int) cost {
		run := d.run(i)
		if run < 0 {
			return d.reading(i, holder, d.Rates.Read) + queueWeight*float64(d.Slots)
		}
		return d.reading(i, holder, d.Rates.Read) + d.crossing(i) + d.running(run, i)
	})
}

// overflow returns the engine for a prompt that will be late wherever it is
// read: the one with the most waiting in the data centre, so that late answers
// delay each other and not those that can still be in time. It returns -1 if
// the prompt is in time at the best engine.
func (d Decision) overflow(best, holder int) int {
	if best < 0 || d.Need.Prompt < overflowFrom {
		return -1
	}
	late := d.Need.Left <= 0
	if !late {
		first := d.service(best, holder, d.Rates.Read) + float64(d.Rates.Handover.Milliseconds()) + firstToken
		late = first > float64(d.Need.Left.Milliseconds())
	}
	if !late {
		return -1
	}
	over, most := -1, 0.0
	for i, e := range d.Engines {
		if !d.fit(e, picker.Prefill) || e.DataCentre != d.Engines[best].DataCentre {
			continue
		}
		if w := d.waiting(e) + score(0, e.ID); over < 0 || w > most {
			over, most = i, w
		}
	}
	return over
}

// run returns the engine that best answers a prompt which another has read.
func (d Decision) run(reader int) int {
	best, _ := d.best(picker.Decode, func(i int) cost { return d.running(i, reader) })
	return best
}

// running is the cost of an answer at one engine to a prompt read at another.
func (d Decision) running(i, reader int) cost {
	c := d.answering(i) + d.crossing(i) + float64(d.Rates.Handover.Milliseconds())
	if reader >= 0 {
		c += d.copying(d.Need.Prompt, d.Engines[i].DataCentre != d.Engines[reader].DataCentre)
	}
	return c
}

// copies returns the tokens that an engine can copy from the holder.
func (d Decision) copies(i, holder int) int {
	if holder < 0 || holder == i || !d.Engine.Fetches {
		return 0
	}
	if n := d.Engines[holder].Held - d.Engines[i].Held; n >= minCopy {
		return n
	}
	return 0
}

// left returns the tokens that an engine has to read of the prompt.
func (d Decision) left(i, holder int) int {
	return max(d.Need.Prompt-d.Engines[i].Held-d.copies(i, holder), 0)
}

// reading is the cost of reading the prompt at an engine, with what waits there.
func (d Decision) reading(i, holder int, rate float64) cost {
	e := d.Engines[i]
	left := d.left(i, holder)
	c := d.service(i, holder, rate)
	if n := d.copies(i, holder); n > 0 {
		c += d.copying(n, e.DataCentre != d.Engines[holder].DataCentre)
	}
	if left > spreadTokens {
		c += spread * score(d.Need.Key, e.ID)
	}
	return c
}

// service is the time until an engine has read the prompt, in milliseconds.
func (d Decision) service(i, holder int, rate float64) cost {
	return (d.waiting(d.Engines[i]) + float64(d.left(i, holder))) / rate
}

// waiting estimates the prompt tokens that an engine has to read before.
func (d Decision) waiting(e Candidate) float64 {
	if d.heard(e) {
		return float64(e.SentWork + e.Elsewhere.Reading)
	}
	return float64(e.SentWork) + otherWork*d.others(e)
}

// heard reports whether what other nodes have stated is recent.
func (d Decision) heard(e Candidate) bool {
	return !e.Elsewhere.At.IsZero() && d.Need.Now.Sub(e.Elsewhere.At) < elsewhereLife
}

// others estimates the requests of other nodes at an engine.
func (d Decision) others(e Candidate) float64 {
	if d.heard(e) {
		return float64(e.Elsewhere.Requests)
	}
	age := d.Need.Now.Sub(e.Report.At)
	if e.Report.At.IsZero() || age >= reportLife {
		return 0
	}
	return float64(max(e.Requests()-e.Sent, 0)) * (1 - float64(age)/float64(reportLife))
}

// answering is the cost of one more answer at an engine.
func (d Decision) answering(i int) cost {
	e := d.Engines[i]
	n := float64(e.Sent) + d.others(e)
	c := n * requestWeight
	slots := e.Slots
	if slots == 0 {
		slots = d.Slots
	}
	if over := n + 1 - float64(slots); slots > 0 && over > 0 {
		c += over * queueWeight
	}
	return c
}

// crossing is the cost of sending the request to another data centre.
func (d Decision) crossing(i int) cost {
	if d.Engines[i].DataCentre == d.Need.DataCentre {
		return 0
	}
	return float64(d.Need.Body+headBytes) / crossBytes
}

// copying is the cost of copying tokens from one engine to another.
func (d Decision) copying(tokens int, across bool) cost {
	bytes := float64(tokens) * float64(d.Engine.TokenBytes)
	weight := copyWeight
	perMS := d.Engine.LinkMbps * 125
	if across {
		weight, perMS = crossCopyWeight, perMS/2
	}
	c := bytes / 1e9 * weight
	if perMS > 0 {
		c += bytes / perMS
	}
	return c
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
