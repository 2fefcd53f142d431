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
	// Room returns the requests that its endpoints can work on at once, and
	// those that they have, both on all nodes; 0 slots means not known.
	Room(deployment string, slotsEach int) (slots, busy int)
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
	timer   timekeeper.Timer
	timerAt time.Time
}

// entry is a job with the estimate by which it was admitted.
type entry[J Job] struct {
	job    J
	work   float64
	tokens float64
}

// started is a job in work.
type started struct {
	account string
	lane    string
	work    float64
	tokens  float64
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
	q.mu.Unlock()
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
		in.Wait, in.Service = ln.pace.Wait(ahead), ln.pace.Service(work)
	}
	if f, refused := admitter.Decide(in); refused {
		q.ledgers[r.Account] = ledger
		return f, true
	}
	ln.slotsEach = slotsOf(cfg, r.Route.Deployment)
	ln.fair.Add(admitter.Item[entry[J]]{
		Value: entry[J]{job: job, work: work, tokens: tokens}, Account: r.Account, Share: share,
		Priority: r.Route.Priority, Work: work, Deadline: r.Deadline,
	})
	q.ledgers[r.Account] = ledger.WithAdmitted(work, tokens)
	q.waiting++
	return coder.Error{}, false
}

func slotsOf(cfg definer.Config, deployment string) int {
	d, _ := cfg.Deployment(deployment)
	return d.Slots
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
	q.mu.Unlock()
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

// Wake asks for the room of each deployment and hands out jobs that have some;
// it is called after new load reports.
//
// The room is asked for without the lock of the queue, as the endpoints come
// before it in the lock order; in between it is corrected by what this node
// starts and ends.
func (q *Queue[J]) Wake() {
	type room struct{ slots, busy int }
	rooms := make(map[string]room)
	if q.Rooms != nil {
		for name, each := range q.slots() {
			slots, busy := q.Rooms.Room(name, each)
			rooms[name] = room{slots: slots, busy: busy}
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for name, r := range rooms {
		ln := q.lanes[name]
		ln.slots, ln.busy, ln.then = r.slots, r.busy, ln.running
	}
	q.pump(q.Clock.Now())
}

func (q *Queue[J]) slots() map[string]int {
	q.mu.Lock()
	defer q.mu.Unlock()
	each := make(map[string]int, len(q.lanes))
	for name, ln := range q.lanes {
		each[name] = ln.slotsEach
	}
	return each
}

// pump hands jobs to parked workers and sets the timer for the first deadline.
func (q *Queue[J]) pump(now time.Time) {
	for len(q.parked) > 0 {
		it, ln, ok := q.take()
		if !ok {
			break
		}
		e := it.Value
		last := len(q.parked) - 1
		wake := q.parked[last]
		q.parked = q.parked[:last]
		q.waiting--
		ln.running++
		q.running[e.job] = started{account: it.Account, lane: ln.deployment, work: e.work, tokens: e.tokens, at: now}
		q.ledgers[it.Account] = q.ledgers[it.Account].WithStarted(now, e.work)
		wake <- e.job
	}
	q.setTimer(now)
}

// take takes the next job of the lanes with room, in turns.
func (q *Queue[J]) take() (it admitter.Item[entry[J]], ln *lane[J], ok bool) {
	for range q.order {
		q.turn = (q.turn + 1) % len(q.order)
		ln = q.order[q.turn]
		if ln.fair.Len() == 0 || !ln.hasRoom(q.nodes) {
			continue
		}
		it, ok = ln.fair.Next()
		return it, ln, ok
	}
	return it, nil, false
}
