package queuer

import (
	"math"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/decision/admitter"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
)

// deploymentQueue holds the queued requests of one deployment.
type deploymentQueue[J Job] struct {
	deployment string
	fairQueue  admitter.FairQueue[entry[J]]
	estimate   admitter.Throughput
	running    int
	// limiter bounds what is sent by the capacity of the endpoints.
	limiter admitter.SendLimiter
}

// shareOf returns an account's share as a fraction of the shares of all
// accounts with queued requests, including this account and one more that may
// follow.
func (dq *deploymentQueue[J]) shareOf(account string, share float64) float64 {
	shares := dq.fairQueue.Shares() + 1
	if dq.fairQueue.QueuedOf(account) == 0 {
		shares += share
	}
	return share / shares
}

// maxLagSeconds bounds, in seconds of the deployment's work, how far work on
// other nodes or a wrong estimate can put an account behind the others.
const maxLagSeconds = 4

// maxLag returns the bound in units of work; there is none until the service
// rate is known.
func (dq *deploymentQueue[J]) maxLag() float64 {
	if rate := dq.estimate.Rate(); rate > 0 {
		return maxLagSeconds * rate
	}
	return math.MaxFloat64
}

// Done records that a worker has finished a job, and corrects the estimated
// work to the actual work.
func (q *Queue[J]) Done(job J, result carrier.Result) {
	cfg, err := q.Configs.Config()
	now := q.Clock.Now()
	q.mu.Lock()
	defer q.unlockAndRefuse()
	started, ok := q.running[job]
	if !ok {
		return
	}
	delete(q.running, job)
	dq := q.deployments[started.deployment]
	dq.running--
	work, tokens, output := started.work, started.tokens, 0.0
	u := result.Usage
	switch {
	case err == nil && (u.PromptTokens > 0 || u.OutputTokens > 0):
		l := cfg.Limits()
		work = float64(u.PromptTokens)*l.PrefillTokenWork + float64(u.OutputTokens)*l.DecodeTokenWork
		tokens = float64(u.PromptTokens + u.OutputTokens)
		output = float64(u.OutputTokens)
	case result.Err != nil && coder.FromError(result.Err).Outcome() == coder.NotRun:
		work, tokens = 0, 0
	}
	q.ledgers[started.account] = q.ledgers[started.account].WithEnded(now, work-started.work, tokens-started.tokens, output)
	dq.fairQueue.Charge(started.account, work-started.work, dq.maxLag())
	if work > 0 {
		dq.estimate = dq.estimate.WithWorkDone(now, work, dq.fairQueue.Len() > 0)
	}
	dq.estimate = dq.estimate.WithServiceTime(started.output, now.Sub(started.at), result.Err == nil)
	q.handOut(now)
}

// Expire refuses the jobs whose deadline passed while they were queued.
func (q *Queue[J]) Expire() {
	now := q.Clock.Now()
	q.mu.Lock()
	defer q.unlockAndRefuse()
	for _, dq := range q.rotation {
		for _, it := range dq.fairQueue.Expire(now) {
			q.ledgers[it.Account] = q.ledgers[it.Account].WithExpired(it.Value.work, it.Value.tokens)
			q.queued--
			f := coder.Refuse(coder.DeadlinePassed, "the deadline passed while the request was queued").WithRetryAfter(time.Second)
			q.expired = append(q.expired, refusal[J]{job: it.Value.job, err: f})
		}
	}
	q.timerAt = time.Time{}
	q.setTimer(now)
}

// setTimer schedules Expire for the earliest deadline.
func (q *Queue[J]) setTimer(now time.Time) {
	var first time.Time
	for _, dq := range q.rotation {
		if t, ok := dq.fairQueue.FirstDeadline(); ok && (first.IsZero() || t.Before(first)) {
			first = t
		}
	}
	if first.IsZero() || !q.timerAt.IsZero() && !first.Before(q.timerAt) {
		// A timer that fires for a job no longer queued has no effect.
		return
	}
	q.timerAt = first
	if q.timer == nil {
		q.timer = q.Clock.AfterFunc(first.Sub(now), q.Expire)
		return
	}
	q.timer.Reset(first.Sub(now))
}

// Work is the work of one client account on this node.
type Work struct {
	Account string
	// RecentWork is the work of the last second, QueuedWork the queued work.
	RecentWork float64
	QueuedWork float64
	// Requests is the number of requests in progress.
	Requests int
}

// Work returns the work of each client account that has any; it is reported to
// the peers.
func (q *Queue[J]) Work() []Work {
	now := q.Clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []Work
	for name, l := range q.ledgers {
		l = l.WithTime(now)
		if l.InProgress > 0 || l.WorkLastSecond() > 0 {
			out = append(out, Work{Account: name, RecentWork: l.WorkLastSecond(), QueuedWork: l.QueuedWork, Requests: l.InProgress})
		}
	}
	return out
}

// Queued returns the number of requests that wait for an endpoint of a deployment.
func (q *Queue[J]) Queued(deployment string) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	if dq, ok := q.deployments[deployment]; ok {
		return dq.fairQueue.Len()
	}
	return 0
}

// UpdateRemoteLoad takes over the load on other nodes; it is called once a second.
//
// Accounts with queued requests here that have had more work per share done on
// other nodes than the others are put behind by the difference.
func (q *Queue[J]) UpdateRemoteLoad() {
	if q.Peers == nil {
		return
	}
	nodes, work := q.Peers.RemoteLoad()
	now := q.Clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.nodes = nodes
	for name, l := range q.ledgers {
		l = l.WithRemoteLoad(work[name])
		if l.Idle(now) {
			delete(q.ledgers, name)
			continue
		}
		q.ledgers[name] = l
	}
	for name, e := range work {
		if _, ok := q.ledgers[name]; !ok && q.ledgers != nil {
			q.ledgers[name] = admitter.Ledger{}.WithTime(now).WithRemoteLoad(e)
		}
	}
	for _, dq := range q.rotation {
		dq.chargeRemoteWork(work)
	}
}

// chargeRemoteWork charges each account with queued requests for the work per
// share that it has had on other nodes beyond the account that has had least.
func (dq *deploymentQueue[J]) chargeRemoteWork(work map[string]admitter.RemoteLoad) {
	least := -1.0
	charge := make(map[string]float64)
	dq.fairQueue.EachAccount(func(account string, _ int, _, share float64) {
		servedPerShare := work[account].RecentWork / share
		charge[account] = servedPerShare * share
		if least < 0 || servedPerShare < least {
			least = servedPerShare
		}
	})
	dq.fairQueue.EachAccount(func(account string, _ int, _, share float64) {
		charge[account] -= least * share
	})
	for account, w := range charge {
		if w > 0 {
			dq.fairQueue.Charge(account, w, dq.maxLag())
		}
	}
	dq.fairQueue.Forget()
}
