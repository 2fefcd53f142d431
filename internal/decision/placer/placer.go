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
	Engines []picker.Endpoint
	// Held has the tokens of the prompt's beginning that are probably in an
	// engine's cache, by the engine's identifier.
	Held map[string]int
}

// Plan returns where the request goes, or how long it has to wait for an engine.
func (d Decision) Plan() picker.Plan {
	c := compare(&d)
	p := c.now()
	if !p.Run.OK {
		p.Wait = c.wait()
	}
	return p
}

// wait returns the time until an engine that has refused work may take more.
func (c *comparison) wait() (least time.Duration) {
	for i := range c.Engines {
		e := &c.estimates[i]
		w := c.Engines[i].RefusedUntil.Sub(c.Need.Now)
		if e.status == "" && e.role.Serves(picker.Decode) && w > 0 && (least == 0 || w < least) {
			least = w
		}
	}
	return least
}

// now returns where the request can go now.
func (c *comparison) now() picker.Plan {
	holder := c.holder()
	direct, directCost := c.direct(holder)
	if c.Need.Direct || c.Engine.HandleLife <= 0 {
		return c.plan(direct, -1, holder)
	}
	if c.Need.Source != "" {
		return picker.Plan{Run: c.choice(c.run(c.source()), "takes the prompt over")}
	}
	reader, readCost := c.reader(holder)
	if over := c.overflow(reader, holder); over >= 0 {
		p := c.plan(c.run(over), over, holder)
		p.Read.Reason = "late wherever it is read"
		return p
	}
	if reader < 0 || direct >= 0 && directCost <= readCost && c.left(direct, holder) <= directMost {
		return c.plan(direct, -1, holder)
	}
	return c.plan(c.run(reader), reader, holder)
}

// plan returns the plan of two engines by their places; -1 means none.
func (c *comparison) plan(run, read, holder int) picker.Plan {
	p := picker.Plan{Run: c.choice(run, "reads the prompt itself"), Read: c.choice(read, "costs least")}
	reads := run
	if read >= 0 {
		reads = read
		p.Run.Reason = "answers"
	}
	if reads >= 0 && c.copies(reads, holder) > 0 {
		p.Fetch = c.Engines[holder].Address
	}
	return p
}

func (c *comparison) choice(i int, reason string) picker.Choice {
	if i < 0 {
		return picker.Choice{}
	}
	e := &c.Engines[i]
	b := picker.Basis{Held: c.estimates[i].held, Waiting: int(c.estimates[i].waiting), InWork: e.Sent + int(c.others(e)), Age: -1}
	if !e.Elsewhere.At.IsZero() {
		b.Age = c.Need.Now.Sub(e.Elsewhere.At)
	}
	return picker.Choice{Endpoint: *e, OK: true, Reason: reason, Basis: b}
}

// holder returns the engine that holds the longest beginning, one in the data
// centre before others; -1 if none holds any.
func (c *comparison) holder() int {
	best := -1
	for i := range c.Engines {
		held := c.estimates[i].held
		if held == 0 || c.estimates[i].status != "" {
			continue
		}
		if best < 0 || held > c.estimates[best].held ||
			held == c.estimates[best].held && c.Engines[i].DataCentre == c.Need.DataCentre {
			best = i
		}
	}
	return best
}

// source returns the place of the engine that has read the prompt.
func (c *comparison) source() int {
	for i := range c.Engines {
		if c.Engines[i].Address == c.Need.Source {
			return i
		}
	}
	return -1
}

// best returns the fit engine of least cost, or -1.
func (c *comparison) best(phase picker.Role, price func(i int) cost) (best int, least cost) {
	best = -1
	for i := range c.Engines {
		if !c.fit(i, phase) {
			continue
		}
		if p := price(i); best < 0 || p < least {
			best, least = i, p
		}
	}
	return best, least
}

// direct returns the engine that would best do all the work itself.
func (c *comparison) direct(holder int) (int, cost) {
	return c.best(picker.Decode, func(i int) cost {
		return c.reading(i, holder, c.Rates.Direct) + c.estimates[i].answering + c.estimates[i].crossing
	})
}

// reader returns the engine that would best read the prompt for another, with
// the cost of the answer included.
func (c *comparison) reader(holder int) (int, cost) {
	return c.best(picker.Prefill, func(i int) cost {
		run, running := c.answerer(i)
		if run < 0 {
			return c.reading(i, holder, c.Rates.Read) + queueWeight*float64(c.Slots)
		}
		return c.reading(i, holder, c.Rates.Read) + c.estimates[i].crossing + running
	})
}

// overflow returns the engine for a prompt that will be late wherever it is
// read: the one with the most waiting in the data centre, so that late answers
// delay each other and not those that can still be in time. It returns -1 if
// the prompt is in time at the best engine.
func (c *comparison) overflow(best, holder int) int {
	if best < 0 || c.Need.Prompt < overflowFrom {
		return -1
	}
	late := c.Need.Left <= 0
	if !late {
		first := c.service(best, holder, c.Rates.Read) + float64(c.Rates.Handover.Milliseconds()) + firstToken
		late = first > float64(c.Need.Left.Milliseconds())
	}
	if !late {
		return -1
	}
	over, most := -1, 0.0
	for i := range c.Engines {
		e := &c.Engines[i]
		if !c.fit(i, picker.Prefill) || e.DataCentre != c.Engines[best].DataCentre {
			continue
		}
		if w := c.estimates[i].waiting + score(0, e.ID); over < 0 || w > most {
			over, most = i, w
		}
	}
	return over
}

// run returns the engine that best answers a prompt which another has read.
func (c *comparison) run(reader int) int {
	best, _ := c.answerer(reader)
	return best
}
