// Package queuer holds the requests that wait for a worker.
//
// There is one lane for each deployment, in which the admission orders the
// requests by client account. A worker gets a request of a lane only while the
// deployment has room: a request that waits here can still be overtaken by one
// of an account that has had less, and one that waits in an engine cannot.
// Workers that wait are parked, and each new request or freed place wakes one.
package queuer

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/decision/admitter"
	"foxtailflow.example/foxtailflow/internal/decision/explainer"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
)

// Job is a request that waits.
type Job interface {
	comparable
	// Request returns the request.
	Request() carrier.Request
	// Refuse ends the job, which no worker has got, with an error.
	Refuse(err error)
}

// Configs tells the configuration in force.
type Configs interface {
	Config() (definer.Config, error)
}

// Rooms tells how much a deployment can take.
type Rooms interface {
	// Room returns what its endpoints can take and how full they are.
	Room(d definer.Deployment) admitter.Room
}

// Peers tells what the other nodes do.
type Peers interface {
	// Elsewhere returns the number of nodes in service, with this one, and the
	// work of each client account on the others.
	Elsewhere() (nodes int, work map[string]admitter.Elsewhere)
}

// Queue is the requests of one node that wait, in the order of the admission.
type Queue[J Job] struct {
	Clock   timekeeper.Clock
	Log     zerolog.Logger
	Configs Configs
	// Rooms and Peers may be nil: then there is always room, and one node.
	Rooms Rooms
	Peers Peers

	mu      sync.Mutex
	lanes   map[string]*lane[J]
	order   []*lane[J]
	turn    int
	ledgers map[string]admitter.Ledger
	nodes   int
	waiting int
	running map[J]started
	parked  []chan J
	// doomed are jobs to refuse once the lock is released.
	doomed  []refusal[J]
	timer   timekeeper.Timer
	timerAt time.Time
}

// entry is a job with the estimate by which it was admitted.
type entry[J Job] struct {
	job    J
	work   float64
	tokens float64
	prompt float64
	output float64
}

// refusal is a job that is refused after it waited.
type refusal[J Job] struct {
	job J
	err coder.Error
}

// started is a job in work.
type started struct {
	account string
	lane    string
	work    float64
	tokens  float64
	output  float64
	at      time.Time
}

// Add puts a job into the queue, or refuses it; a refused job has not run.
func (q *Queue[J]) Add(job J) error {
	cfg, err := q.Configs.Config()
	if err != nil {
		return err
	}
	r := job.Request()
	now := q.Clock.Now()
	q.mu.Lock()
	f, refused := q.admit(cfg, r, job, now)
	q.pump(now)
	q.unlock()
	if !refused {
		return nil
	}
	explainer.LogRefusal(q.Log, r.ID, r.Account, r.Route.Deployment, f)
	return f
}

func (q *Queue[J]) admit(cfg definer.Config, r carrier.Request, job J, now time.Time) (coder.Error, bool) {
	account, ok := cfg.Account(r.Account)
	if !ok {
		account = definer.Account{Name: r.Account, Share: 1}
	}
	share := float64(max(account.Share, 1))
	limits := cfg.Limits()
	ln := q.lane(r.Route.Deployment)
	ledger := q.ledgers[r.Account].WithTime(now).WithLimits(now, account, q.nodes)
	output := 0.0
	if r.Route.Kind == definer.Model {
		output = ledger.Output(r.MaxTokens)
	}
	work := max(float64(r.PromptTokens)*limits.WorkPrefill+output*limits.WorkDecode, 1)
	tokens := float64(r.PromptTokens) + output
	ahead := ln.fair.Ahead(r.Account, share, r.Route.Priority)
	in := admitter.Input{
		Now: now, Deadline: r.Deadline, Account: account, Ledger: ledger, Nodes: q.nodes,
		Waiting: q.waiting, Limit: limits.MaxQueue, Share: ln.part(r.Account, share),
	}
	if ln.fair.Len() > 0 {
		in.Wait, in.Service = ln.pace.Wait(ahead), ln.pace.Service(output)
	}
	if f, refused := admitter.Decide(in); refused {
		q.ledgers[r.Account] = ledger
		return f, true
	}
	ln.fair.Add(admitter.Item[entry[J]]{
		Value: entry[J]{job: job, work: work, tokens: tokens, prompt: promptOf(r), output: output}, Account: r.Account, Share: share,
		Priority: r.Route.Priority, Work: work, Deadline: r.Deadline,
	})
	q.ledgers[r.Account] = ledger.WithAdmitted(work, tokens)
	q.waiting++
	return coder.Error{}, false
}

func (q *Queue[J]) lane(deployment string) *lane[J] {
	ln, ok := q.lanes[deployment]
	if !ok {
		if q.lanes == nil {
			q.lanes = make(map[string]*lane[J])
			q.ledgers = make(map[string]admitter.Ledger)
			q.running = make(map[J]started)
		}
		ln = &lane[J]{deployment: deployment}
		q.lanes[deployment] = ln
		q.order = append(q.order, ln)
	}
	return ln
}

// Next blocks until there is a job for a worker; false means there is no more.
func (q *Queue[J]) Next(ctx context.Context) (job J, ok bool) {
	wake := make(chan J, 1)
	q.mu.Lock()
	q.parked = append(q.parked, wake)
	q.pump(q.Clock.Now())
	q.unlock()
	select {
	case job = <-wake:
		return job, true
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, c := range q.parked {
		if c == wake {
			q.parked = append(q.parked[:i], q.parked[i+1:]...)
			return job, false
		}
	}
	// A job was handed over at the same time; it must not be lost.
	return <-wake, true
}

// unlock releases the lock and refuses what was found to be too late.
func (q *Queue[J]) unlock() {
	doomed := q.doomed
	q.doomed = nil
	q.mu.Unlock()
	for _, d := range doomed {
		r := d.job.Request()
		explainer.LogRefusal(q.Log, r.ID, r.Account, r.Route.Deployment, d.err)
		d.job.Refuse(d.err)
	}
}

// Wake asks for the room of each deployment and hands out jobs that have some;
// it is called after new load reports.
//
// The room is asked for without the lock of the queue, as the endpoints come
// before it in the lock order.
func (q *Queue[J]) Wake() {
	rooms := make(map[string]admitter.Room)
	cfg, err := q.Configs.Config()
	if err == nil && q.Rooms != nil {
		for _, d := range cfg.Deployments() {
			rooms[d.Name] = q.Rooms.Room(d)
		}
	}
	now := q.Clock.Now()
	q.mu.Lock()
	defer q.unlock()
	for _, ln := range q.order {
		ln.gate = ln.gate.WithRoom(now, rooms[ln.deployment], q.part())
	}
	q.pump(now)
}

// promptOf returns the prompt tokens that an engine reads for a request.
func promptOf(r carrier.Request) float64 {
	if r.Route.Kind != definer.Model {
		return 0
	}
	return float64(r.PromptTokens)
}

// part returns this node's part of the demand of all nodes.
func (q *Queue[J]) part() float64 {
	own, others := 0.0, 0.0
	for _, l := range q.ledgers {
		own += l.LastSecond() + l.WaitingWork
		others += l.Elsewhere.Done + l.Elsewhere.Waiting
	}
	return admitter.Part(own, others, q.nodes)
}

// pump hands jobs to parked workers and sets the timer for the first deadline.
func (q *Queue[J]) pump(now time.Time) {
	for len(q.parked) > 0 {
		it, ln, ok := q.take(now)
		if !ok {
			break
		}
		e := it.Value
		q.waiting--
		if f, late := admitter.TooLate(now, it.Deadline, ln.pace.Service(e.output)); late {
			q.ledgers[it.Account] = q.ledgers[it.Account].WithExpired(e.work, e.tokens)
			ln.fair.Charge(it.Account, -e.work, 0)
			q.doomed = append(q.doomed, refusal[J]{job: e.job, err: f})
			continue
		}
		last := len(q.parked) - 1
		wake := q.parked[last]
		q.parked = q.parked[:last]
		ln.running++
		ln.gate = ln.gate.WithStarted(e.prompt)
		q.running[e.job] = started{account: it.Account, lane: ln.deployment, work: e.work, tokens: e.tokens, output: e.output, at: now}
		q.ledgers[it.Account] = q.ledgers[it.Account].WithStarted(now, e.work)
		wake <- e.job
	}
	q.setTimer(now)
}

// take takes the next job of the lanes with room, in turns.
func (q *Queue[J]) take(now time.Time) (it admitter.Item[entry[J]], ln *lane[J], ok bool) {
	for range q.order {
		q.turn = (q.turn + 1) % len(q.order)
		ln = q.order[q.turn]
		ln.gate = ln.gate.WithTime(now)
		if ln.fair.Len() == 0 || !ln.gate.Allows(ln.running) {
			continue
		}
		it, ok = ln.fair.Next()
		return it, ln, ok
	}
	return it, nil, false
}
