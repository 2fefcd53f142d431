package measurer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/decision/picker"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
	"foxtailflow.example/foxtailflow/internal/request/queuer"
)

// Plan names the policies of one run.
type Plan struct {
	Name    string
	Routing string
	Queue   string
	Roles   string
	Fleet   string
}

const (
	nodes   = 8
	engines = 12
	// step is far below the time of a token.
	step = 10 * time.Millisecond
	// Prices of an endpoint for an hour, in thousandths.
	expensive = 1000
	cheap     = 400
	// bounded is how far above the mean output callers set their bound.
	bounded = 1.5
)

var start = time.Unix(0, 0)

// counts are what happened in a run.
type counts struct {
	offered  int
	refused  int
	expired  int
	late     int
	good     int
	tokens   float64
	wasted   float64
	changes  int
	cost     float64
	byClient [2][]float64
}

// run is one experiment.
type run struct {
	plan  Plan
	mix   mix
	clock *timekeeper.Fake
	// random is drawn by the decisions, load by the requests, so that every
	// policy meets the same requests.
	random     *rand.Rand
	load       *rand.Rand
	config     definer.Config
	deployment definer.Deployment
	engines    []*engine
	byID       map[string]*engine
	nodes      []*node
	told       map[*node][]queuer.Work
	arrived    map[*engine]picker.Report
	fresh      map[*engine]bool
	control    control
	count      counts
	serial     int
	length     time.Duration
	jobs       []*job
}

func newRun(p Plan, m mix, seed uint64) *run {
	r := &run{
		plan: p, mix: m, length: length, clock: timekeeper.NewFake(start), random: rand.New(rand.NewPCG(seed, 1)), load: rand.New(rand.NewPCG(seed, 2)),
		byID: make(map[string]*engine), told: make(map[*node][]queuer.Work),
		arrived: make(map[*engine]picker.Report), fresh: make(map[*engine]bool),
	}
	r.control.ratio = 1 / bounded
	r.count.byClient = [2][]float64{make([]float64, len(m.clients)), make([]float64, len(m.clients))}
	r.deployment = definer.Deployment{Name: m.name, Kind: definer.Model, Slots: slotsEach, PrefillRate: prefillRate}
	for _, dc := range m.dataCentres {
		r.deployment.Placements = append(r.deployment.Placements,
			definer.Placement{DataCentre: dc, Tier: definer.OnDemand, Max: engines, Cost: expensive},
			// The platform has few cheap endpoints in one data centre.
			definer.Placement{DataCentre: dc, Tier: definer.Spot, Max: engines / len(m.dataCentres), Cost: cheap})
	}
	defs := definer.Definitions{Deployments: []definer.Deployment{r.deployment}, Limits: definer.DefaultLimits()}
	for _, c := range m.clients {
		defs.Accounts = append(defs.Accounts, definer.Account{Name: c.name, Share: 1})
	}
	r.config = definer.New(defs)
	for i := range nodes {
		r.nodes = append(r.nodes, newNode(r, m.dataCentres[i%len(m.dataCentres)]))
	}
	r.fleet(-arrival)
	return r
}

// do runs the experiment to its end.
func (r *run) do() counts {
	for t := time.Duration(0); t < r.length; t += step {
		r.clock.Advance(step)
		r.events(t)
		r.arrivals(t)
		for _, n := range r.nodes {
			n.work()
		}
		for _, e := range r.engines {
			if !e.present(t) {
				continue
			}
			r.count.cost += price(e) * step.Hours()
			if !e.crashed {
				r.ended(e.step(step))
			}
			r.moveOn(t, e)
		}
		r.giveUp(t)
	}
	return r.count
}

func price(e *engine) float64 {
	if e.tier == definer.Spot {
		return cheap
	}
	return expensive
}

// restart is how long a crashed engine is away.
const restart = 60 * time.Second

// events are what is due at a time: reports, decisions and faults.
func (r *run) events(t time.Duration) {
	every := func(d time.Duration) bool { return t%d == 0 }
	if every(250 * time.Millisecond) {
		clear(r.fresh)
		for _, e := range r.engines {
			if e.crashed || !e.present(t) {
				continue
			}
			e.note(t)
			if report, ok := e.report(t); ok {
				r.arrived[e], r.fresh[e] = report, true
			}
		}
		for _, n := range r.nodes {
			n.refresh(t)
			n.queue.UpdateCapacity()
		}
	}
	if every(time.Second) {
		r.roles(t)
		for _, n := range r.nodes {
			n.queue.UpdateRemoteLoad()
		}
		for _, n := range r.nodes {
			r.told[n] = n.queue.Work()
		}
	}
	if every(10 * time.Second) {
		r.fleet(t)
	}
	switch t {
	case r.mix.crash:
		r.lose(r.engines[0])
	case r.mix.crash + restart:
		r.engines[0].crashed = r.engines[0].gone
		r.engines[0].cache = nil
	case r.mix.withdraw:
		r.withdraw()
	}
}

func (r *run) arrivals(t time.Duration) {
	for i, c := range r.mix.clients {
		for n := poisson(r.load, r.mix.rateOf(c, t)*step.Seconds()); n > 0; n-- {
			r.arrive(t, i)
		}
	}
}

func poisson(r *rand.Rand, mean float64) int {
	n, p, limit := 0, 1.0, math.Exp(-mean)
	for {
		if p *= r.Float64(); p <= limit {
			return n
		}
		n++
	}
}

func (r *run) arrive(t time.Duration, client int) {
	k, prompt, output := r.mix.draw(r.load, t)
	r.serial++
	n := r.nodes[r.load.IntN(len(r.nodes))]
	name := r.mix.clients[client].name
	j := &job{
		client: client, prompt: prompt, output: output, bound: int(bounded * float64(k.output)), node: n, born: t, deadline: t + k.deadline,
		// Each client account has a few beginnings that its requests share.
		group: uint64(client)<<8 | uint64(r.load.IntN(3)),
	}
	j.request = carrier.Request{
		ID: fmt.Sprintf("req-%d", r.serial), Account: name, PromptTokens: prompt, MaxTokens: j.bound,
		Route:    definer.Route{Kind: definer.Model, Deployment: r.mix.name, Priority: picker.NormalPriority},
		Deadline: start.Add(j.deadline).Add(step),
	}
	r.count.offered++
	r.entitle(j, 0)
	if err := n.queue.Add(j); err != nil {
		r.count.refused++
		return
	}
	r.control.arrived.Prefill += float64(prompt)
	r.control.arrived.Decode += r.control.ratio * float64(j.bound)
	r.jobs = append(r.jobs, j)
}

// entitle counts the work of requests that came while one account flooded: what
// was asked for (0) and what was done in time (1), also after the flood's end.
func (r *run) entitle(j *job, which int) {
	if r.mix.flooding(j.born) {
		l := r.config.Limits()
		r.count.byClient[which][j.client] += float64(j.prompt)*l.PrefillTokenWork + float64(j.output)*l.DecodeTokenWork
	}
}

func (r *run) ended(jobs []*job) {
	for _, j := range jobs {
		j.node.left(j, true)
		if !j.decoding {
			j.decoding, j.tried = true, nil
			j.node.send(j)
			continue
		}
		r.control.ratio += 0.02 * (float64(j.output)/float64(j.bound) - r.control.ratio)
		r.count.good++
		r.count.tokens += float64(j.output)
		r.entitle(j, 1)
		j.node.end(j, nil)
	}
}

var errLate = coder.New(coder.DeadlinePassed, "the deadline has passed")

// giveUp ends the jobs in work whose deadline has come.
func (r *run) giveUp(t time.Duration) {
	r.jobs = slices.DeleteFunc(r.jobs, func(j *job) bool {
		if j.over || t < j.deadline {
			return j.over
		}
		if j.at == nil && !slices.Contains(j.node.stuck, j) {
			// It still waits in the queue of its node.
			if r.plan.Queue == "fifo" {
				j.Refuse(nil)
			}
			return j.over
		}
		if j.at != nil {
			r.count.wasted += float64(j.prompt) - j.left + j.produced
			j.at.drop(j)
			j.node.left(j, false)
		}
		r.count.late++
		j.node.end(j, errLate)
		return true
	})
}
