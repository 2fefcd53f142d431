// Package queuer holds the requests queued for a worker.
//
// There is one queue for each deployment, in which the requests are ordered by
// client account. A worker gets a request only while the deployment has
// capacity: a request queued here can still be overtaken by one of an account
// that has had less, whereas a request queued in an engine cannot. Idle workers
// block until they get a job; each new request and each finished one may hand a
// job to one of them.
package queuer

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/runner"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/decision/admitter"
	"foxtailflow.example/foxtailflow/internal/decision/explainer"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
)

// Job is a queued request.
type Job interface {
	comparable
	// Request returns the request.
	Request() carrier.Request
	// Refuse ends the job with an error; no worker has got it.
	Refuse(err error)
}

// ConfigSource provides the configuration in force.
type ConfigSource interface {
	Config() (definer.Config, error)
}

// CapacitySource returns the capacity of deployments.
type CapacitySource interface {
	// Capacity returns the capacity of the endpoints of a deployment and how much
	// of it is in use.
	Capacity(d definer.Deployment) admitter.Capacity
}

// PeerLoads returns the load of the other nodes.
type PeerLoads interface {
	// RemoteLoad returns the number of nodes in service, including this one, and
	// the work of each client account on other nodes.
	RemoteLoad() (nodes int, work map[string]admitter.RemoteLoad)
}

// Queue holds the queued requests of one node and hands them to workers.
type Queue[J Job] struct {
	Clock   timekeeper.Clock
	Log     zerolog.Logger
	Configs ConfigSource
	// Capacity and Peers may be nil: then capacity is unlimited, and there is one
	// node.
	Capacity CapacitySource
	Peers    PeerLoads

	mu          sync.Mutex
	deployments map[string]*deploymentQueue[J]
	rotation    []*deploymentQueue[J]
	lastServed  int
	ledgers     map[string]admitter.Ledger
	nodes       int
	queued      int
	running     map[J]runningJob
	idle        runner.Idle[J]
	// expired holds the jobs to refuse once the lock is released.
	expired []refusal[J]
	timer   timekeeper.Timer
	timerAt time.Time
}

// entry is a job with the estimates by which it was admitted.
type entry[J Job] struct {
	job     J
	work    float64
	tokens  float64
	prefill float64
	output  float64
}

// refusal is a job that is refused after it was queued.
type refusal[J Job] struct {
	job J
	err coder.Error
}

// runningJob is a job that a worker has got, with the estimates by which it was
// admitted.
type runningJob struct {
	account    string
	deployment string
	work       float64
	tokens     float64
	output     float64
	at         time.Time
}

// Add queues a job, or refuses it; a refused job has not run.
func (q *Queue[J]) Add(job J) error {
	cfg, err := q.Configs.Config()
	if err != nil {
		return err
	}
	r := job.Request()
	now := q.Clock.Now()
	q.mu.Lock()
	f, refused := q.admit(cfg, r, job, now)
	q.handOut(now)
	q.unlockAndRefuse()
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
	dq := q.deployment(r.Route.Deployment)
	ledger := q.ledgers[r.Account].WithTime(now).WithLimits(now, account, q.nodes)
	output := 0.0
	if r.Route.Kind == definer.Model {
		output = ledger.Output(r.MaxTokens)
	}
	work := max(float64(r.PromptTokens)*limits.PrefillTokenWork+output*limits.DecodeTokenWork, 1)
	tokens := float64(r.PromptTokens) + output
	ahead := dq.fairQueue.WorkAhead(r.Account, share, r.Route.Priority)
	in := admitter.Input{
		Now: now, Deadline: r.Deadline, Account: account, Ledger: ledger, Nodes: q.nodes,
		Queued: q.queued, QueueLimit: limits.MaxQueue, Share: dq.shareOf(r.Account, share),
	}
	if dq.fairQueue.Len() > 0 {
		in.QueueingDelay, in.ServiceTime = dq.estimate.QueueingDelay(ahead), dq.estimate.ServiceTime(output)
	}
	if f, refused := admitter.Decide(in); refused {
		q.ledgers[r.Account] = ledger
		return f, true
	}
	dq.fairQueue.Add(admitter.Item[entry[J]]{
		Value: entry[J]{job: job, work: work, tokens: tokens, prefill: prefillTokens(r), output: output}, Account: r.Account, Share: share,
		Priority: r.Route.Priority, Work: work, Deadline: r.Deadline,
	})
	q.ledgers[r.Account] = ledger.WithAdmitted(work, tokens)
	q.queued++
	return coder.Error{}, false
}

func (q *Queue[J]) deployment(deployment string) *deploymentQueue[J] {
	dq, ok := q.deployments[deployment]
	if !ok {
		if q.deployments == nil {
			q.deployments = make(map[string]*deploymentQueue[J])
			q.ledgers = make(map[string]admitter.Ledger)
			q.running = make(map[J]runningJob)
		}
		dq = &deploymentQueue[J]{deployment: deployment}
		q.deployments[deployment] = dq
		q.rotation = append(q.rotation, dq)
	}
	return dq
}

// Next blocks until there is a job for a worker; it returns false once ctx is
// done.
func (q *Queue[J]) Next(ctx context.Context) (job J, ok bool) {
	q.mu.Lock()
	handover := q.idle.Add()
	q.handOut(q.Clock.Now())
	q.unlockAndRefuse()
	return q.idle.Await(ctx, &q.mu, handover)
}

// unlockAndRefuse releases the lock and refuses the jobs that cannot meet their
// deadlines.
func (q *Queue[J]) unlockAndRefuse() {
	expired := q.expired
	q.expired = nil
	q.mu.Unlock()
	for _, d := range expired {
		r := d.job.Request()
		explainer.LogRefusal(q.Log, r.ID, r.Account, r.Route.Deployment, d.err)
		d.job.Refuse(d.err)
	}
}

// UpdateCapacity updates the capacity of each deployment and hands out the jobs
// that it allows; it is called after new load reports.
//
// The capacity is read before the lock of the queue is taken, because the table
// of endpoints precedes the queue in the lock order.
func (q *Queue[J]) UpdateCapacity() {
	capacities := make(map[string]admitter.Capacity)
	cfg, err := q.Configs.Config()
	if err == nil && q.Capacity != nil {
		for _, d := range cfg.Deployments() {
			capacities[d.Name] = q.Capacity.Capacity(d)
		}
	}
	now := q.Clock.Now()
	q.mu.Lock()
	defer q.unlockAndRefuse()
	for _, dq := range q.rotation {
		dq.limiter = dq.limiter.WithCapacity(now, capacities[dq.deployment], q.demandShare())
	}
	q.handOut(now)
}

// prefillTokens returns the prompt tokens that an engine prefills for a
// request.
func prefillTokens(r carrier.Request) float64 {
	if r.Route.Kind != definer.Model {
		return 0
	}
	return float64(r.PromptTokens)
}

// demandShare returns this node's share of the demand on all nodes.
func (q *Queue[J]) demandShare() float64 {
	own, others := 0.0, 0.0
	for _, l := range q.ledgers {
		own += l.WorkLastSecond() + l.QueuedWork
		others += l.RemoteLoad.RecentWork + l.RemoteLoad.QueuedWork
	}
	return admitter.DemandShare(own, others, q.nodes)
}

// handOut hands jobs to idle workers and sets the timer for the earliest
// deadline.
func (q *Queue[J]) handOut(now time.Time) {
	for q.idle.Any() {
		item, dq, ok := q.takeNext(now)
		if !ok {
			break
		}
		e := item.Value
		q.queued--
		if f, late := admitter.TooLate(now, item.Deadline, dq.estimate.ServiceTime(e.output)); late {
			q.ledgers[item.Account] = q.ledgers[item.Account].WithExpired(e.work, e.tokens)
			dq.fairQueue.Charge(item.Account, -e.work, 0)
			q.expired = append(q.expired, refusal[J]{job: e.job, err: f})
			continue
		}
		dq.running++
		dq.limiter = dq.limiter.WithStarted(e.prefill)
		q.running[e.job] = runningJob{account: item.Account, deployment: dq.deployment, work: e.work, tokens: e.tokens, output: e.output, at: now}
		q.ledgers[item.Account] = q.ledgers[item.Account].WithStarted(now, e.work)
		q.idle.HandOver(e.job)
	}
	q.setTimer(now)
}

// takeNext removes the next job, visiting the deployments that have capacity in
// rotation.
func (q *Queue[J]) takeNext(now time.Time) (item admitter.Item[entry[J]], dq *deploymentQueue[J], ok bool) {
	for range q.rotation {
		q.lastServed = (q.lastServed + 1) % len(q.rotation)
		dq = q.rotation[q.lastServed]
		dq.limiter = dq.limiter.WithTime(now)
		if dq.fairQueue.Len() == 0 || !dq.limiter.Allows(dq.running) {
			continue
		}
		item, ok = dq.fairQueue.Next()
		return item, dq, ok
	}
	return item, nil, false
}
