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
	nodeCount = 8
	fleetSize = 12
	// tick is the time step of the simulation, shorter than the time of a token.
	tick = 10 * time.Millisecond
	// Prices of an endpoint per hour, in thousandths.
	onDemandPrice = 1000
	spotPrice     = 400
	// maxTokensFactor is the ratio of the callers' max tokens to the mean output.
	maxTokensFactor = 1.5
)

var start = time.Unix(0, 0)

// counts are the results of a run.
type counts struct {
	offered      int
	refused      int
	expired      int
	late         int
	inTime       int
	tokens       float64
	wasted       float64
	changes      int
	cost         float64
	workByClient [2][]float64
}

// run is one run of the experiment.
type run struct {
	plan  Plan
	mix   mix
	clock *timekeeper.Fake
	// decisionRandom serves the decisions and loadRandom the requests, so that
	// all policies get the same requests.
	decisionRandom *rand.Rand
	loadRandom     *rand.Rand
	config         definer.Config
	deployment     definer.Deployment
	engines        []*engine
	byID           map[string]*engine
	nodes          []*node
	reportedWork   map[*node][]queuer.Work
	latestReports  map[*engine]picker.Report
	newReport      map[*engine]bool
	control        controlState
	count          counts
	requestCount   int
	duration       time.Duration
	jobs           []*job
}

func newRun(p Plan, m mix, seed uint64) *run {
	r := &run{
		plan: p, mix: m, duration: runLength, clock: timekeeper.NewFake(start), decisionRandom: rand.New(rand.NewPCG(seed, 1)), loadRandom: rand.New(rand.NewPCG(seed, 2)),
		byID: make(map[string]*engine), reportedWork: make(map[*node][]queuer.Work),
		latestReports: make(map[*engine]picker.Report), newReport: make(map[*engine]bool),
	}
	r.control.outputRatio = 1 / maxTokensFactor
	r.count.workByClient = [2][]float64{make([]float64, len(m.clients)), make([]float64, len(m.clients))}
	r.deployment = definer.Deployment{Name: m.name, Kind: definer.Model, Slots: slotsPerEngine, PrefillRate: prefillRate}
	for _, dc := range m.dataCentres {
		r.deployment.Placements = append(r.deployment.Placements,
			definer.Placement{DataCentre: dc, Tier: definer.OnDemand, Max: fleetSize, Cost: onDemandPrice},
			// The platform has few spot endpoints in one data centre.
			definer.Placement{DataCentre: dc, Tier: definer.Spot, Max: fleetSize / len(m.dataCentres), Cost: spotPrice})
	}
	defs := definer.Definitions{Deployments: []definer.Deployment{r.deployment}, Limits: definer.DefaultLimits()}
	for _, c := range m.clients {
		defs.Accounts = append(defs.Accounts, definer.Account{Name: c.name, Share: 1})
	}
	r.config = definer.New(defs)
	for i := range nodeCount {
		r.nodes = append(r.nodes, newNode(r, m.dataCentres[i%len(m.dataCentres)]))
	}
	r.planFleet(-orderDelay)
	return r
}

// execute runs the experiment to its end.
func (r *run) execute() counts {
	for t := time.Duration(0); t < r.duration; t += tick {
		r.clock.Advance(tick)
		r.events(t)
		r.arrivals(t)
		for _, n := range r.nodes {
			n.startReady()
		}
		for _, e := range r.engines {
			if !e.present(t) {
				continue
			}
			r.count.cost += price(e) * tick.Hours()
			if !e.crashed {
				r.completePhase(e.step(tick))
			}
			r.advanceRole(t, e)
		}
		r.expireJobs(t)
	}
	return r.count
}

func price(e *engine) float64 {
	if e.tier == definer.Spot {
		return spotPrice
	}
	return onDemandPrice
}

// restartTime is the time that a crashed engine is unavailable.
const restartTime = 60 * time.Second

// events runs what is due at a time: reports, decisions and faults.
func (r *run) events(t time.Duration) {
	every := func(d time.Duration) bool { return t%d == 0 }
	if every(250 * time.Millisecond) {
		clear(r.newReport)
		for _, e := range r.engines {
			if e.crashed || !e.present(t) {
				continue
			}
			e.recordReport(t)
			if report, ok := e.takeReport(t); ok {
				r.latestReports[e], r.newReport[e] = report, true
			}
		}
		for _, n := range r.nodes {
			n.refresh(t)
			n.queue.UpdateCapacity()
		}
	}
	if every(time.Second) {
		r.decideRoles(t)
		for _, n := range r.nodes {
			n.queue.UpdateRemoteLoad()
		}
		for _, n := range r.nodes {
			r.reportedWork[n] = n.queue.Work()
		}
	}
	if every(10 * time.Second) {
		r.planFleet(t)
	}
	switch t {
	case r.mix.crashAt:
		r.failEngine(r.engines[0])
	case r.mix.crashAt + restartTime:
		r.engines[0].crashed = r.engines[0].removed
		r.engines[0].cache = nil
	case r.mix.withdrawAt:
		r.withdrawSpot()
	}
}

func (r *run) arrivals(t time.Duration) {
	for i, c := range r.mix.clients {
		for n := poisson(r.loadRandom, r.mix.rateOf(c, t)*tick.Seconds()); n > 0; n-- {
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
	k, prompt, output := r.mix.draw(r.loadRandom, t)
	r.requestCount++
	n := r.nodes[r.loadRandom.IntN(len(r.nodes))]
	name := r.mix.clients[client].name
	j := &job{
		client: client, prompt: prompt, output: output, maxTokens: int(maxTokensFactor * float64(k.output)), node: n, createdAt: t, deadline: t + k.deadline,
		// The requests of each client account share a few prompt prefixes.
		prefix: uint64(client)<<8 | uint64(r.loadRandom.IntN(3)),
	}
	j.request = carrier.Request{
		ID: fmt.Sprintf("req-%d", r.requestCount), Account: name, PromptTokens: prompt, MaxTokens: j.maxTokens,
		Route:    definer.Route{Kind: definer.Model, Deployment: r.mix.name, Priority: picker.NormalPriority},
		Deadline: start.Add(j.deadline).Add(tick),
	}
	r.count.offered++
	r.countWork(j, 0)
	if err := n.queue.Add(j); err != nil {
		r.count.refused++
		return
	}
	r.control.currentDemand.Prefill += float64(prompt)
	r.control.currentDemand.Decode += r.control.outputRatio * float64(j.maxTokens)
	r.jobs = append(r.jobs, j)
}

// countWork adds the work of a request that arrived while one account flooded to
// a column of workByClient: 0 for requested work, 1 for work completed in time,
// which may be after the flood has ended.
func (r *run) countWork(j *job, column int) {
	if r.mix.flooding(j.createdAt) {
		l := r.config.Limits()
		r.count.workByClient[column][j.client] += float64(j.prompt)*l.PrefillTokenWork + float64(j.output)*l.DecodeTokenWork
	}
}

// completePhase moves prefilled jobs to the decode phase and finishes decoded
// ones.
func (r *run) completePhase(jobs []*job) {
	for _, j := range jobs {
		j.node.release(j, true)
		if !j.decoding {
			j.decoding, j.tried = true, nil
			j.node.dispatch(j)
			continue
		}
		r.control.outputRatio += 0.02 * (float64(j.output)/float64(j.maxTokens) - r.control.outputRatio)
		r.count.inTime++
		r.count.tokens += float64(j.output)
		r.countWork(j, 1)
		j.node.finish(j, nil)
	}
}

var errDeadlinePassed = coder.New(coder.DeadlinePassed, "the deadline has passed")

// expireJobs ends the jobs whose deadline has passed.
func (r *run) expireJobs(t time.Duration) {
	r.jobs = slices.DeleteFunc(r.jobs, func(j *job) bool {
		if j.ended || t < j.deadline {
			return j.ended
		}
		if j.engine == nil && !slices.Contains(j.node.unassigned, j) {
			// The job is still queued on its node. The queue under test refuses
			// expired jobs itself; the FIFO baseline does not.
			if r.plan.Queue == "fifo" {
				j.Refuse(nil)
			}
			return j.ended
		}
		if j.engine != nil {
			r.count.wasted += float64(j.prompt) - j.remainingPrompt + j.produced
			j.engine.remove(j)
			j.node.release(j, false)
		}
		r.count.late++
		j.node.finish(j, errDeadlinePassed)
		return true
	})
}
