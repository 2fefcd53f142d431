package queuer

import (
	"math"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/decision/admitter"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
)

// lane holds the requests for one deployment.
type lane[J Job] struct {
	deployment string
	fair       admitter.Fair[entry[J]]
	pace       admitter.Pace
	running    int
	// gate bounds what is sent by what the endpoints can take.
	gate admitter.Gate
}

// part returns an account's part of the shares of the accounts that wait, with
// one more that may come.
func (ln *lane[J]) part(account string, share float64) float64 {
	shares := ln.fair.Shares() + 1
	if ln.fair.WaitingOf(account) == 0 {
		shares += share
	}
	return share / shares
}

// maxLead bounds, in seconds of the deployment's work, how far an account can
// be put behind the others by work on other nodes or a wrong estimate.
const maxLead = 4

// lead returns the bound in work; there is none while the pace is not known.
func (ln *lane[J]) lead() float64 {
	if rate := ln.pace.Rate(); rate > 0 {
		return maxLead * rate
	}
	return math.MaxFloat64
}

// Done notes that a worker has finished a job, with the work that it really was.
func (q *Queue[J]) Done(job J, result carrier.Result) {
	cfg, err := q.Configs.Config()
	now := q.Clock.Now()
	q.mu.Lock()
	defer q.unlock()
	s, ok := q.running[job]
	if !ok {
		return
	}
	delete(q.running, job)
	ln := q.lanes[s.lane]
	ln.running--
	work, tokens, output := s.work, s.tokens, 0.0
	u := result.Usage
	switch {
	case err == nil && (u.PromptTokens > 0 || u.OutputTokens > 0):
		l := cfg.Limits()
		work = float64(u.PromptTokens)*l.WorkPrefill + float64(u.OutputTokens)*l.WorkDecode
		tokens = float64(u.PromptTokens + u.OutputTokens)
		output = float64(u.OutputTokens)
	case result.Err != nil && coder.Of(result.Err).Outcome() == coder.NotRun:
		work, tokens = 0, 0
	}
	q.ledgers[s.account] = q.ledgers[s.account].WithEnded(now, work-s.work, tokens-s.tokens, output)
	ln.fair.Charge(s.account, work-s.work, ln.lead())
	if work > 0 {
		ln.pace = ln.pace.WithDone(now, work, ln.fair.Len() > 0)
	}
	ln.pace = ln.pace.WithTime(s.output, now.Sub(s.at), result.Err == nil)
	q.pump(now)
}

// Expire refuses the jobs whose deadline has come while they waited.
func (q *Queue[J]) Expire() {
	now := q.Clock.Now()
	q.mu.Lock()
	defer q.unlock()
	for _, ln := range q.order {
		for _, it := range ln.fair.Expire(now) {
			q.ledgers[it.Account] = q.ledgers[it.Account].WithExpired(it.Value.work, it.Value.tokens)
			q.waiting--
			f := coder.Refuse(coder.DeadlinePassed, "the deadline passed while the request waited").WithRetryAfter(time.Second)
			q.doomed = append(q.doomed, refusal[J]{job: it.Value.job, err: f})
		}
	}
	q.timerAt = time.Time{}
	q.setTimer(now)
}

// setTimer makes Expire due at the earliest deadline.
func (q *Queue[J]) setTimer(now time.Time) {
	var first time.Time
	for _, ln := range q.order {
		if t, ok := ln.fair.FirstDeadline(); ok && (first.IsZero() || t.Before(first)) {
			first = t
		}
	}
	if first.IsZero() || !q.timerAt.IsZero() && !first.Before(q.timerAt) {
		// A timer that fires for a job that has left finds nothing to do.
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
	// Done is the work of the last second, Waiting what waits.
	Done    float64
	Waiting float64
	// Running is the number of requests in progress.
	Running int
}

// Work returns the work of each client account that has any, for the peers.
func (q *Queue[J]) Work() []Work {
	now := q.Clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []Work
	for name, l := range q.ledgers {
		l = l.WithTime(now)
		if l.InProgress > 0 || l.LastSecond() > 0 {
			out = append(out, Work{Account: name, Done: l.LastSecond(), Waiting: l.WaitingWork, Running: l.InProgress})
		}
	}
	return out
}

// Balance takes in what the other nodes do; it is run once a second.
//
// Accounts that have had more of their share elsewhere than the others that
// wait here are put behind by the difference.
func (q *Queue[J]) Balance() {
	if q.Peers == nil {
		return
	}
	nodes, work := q.Peers.Elsewhere()
	now := q.Clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.nodes = nodes
	for name, l := range q.ledgers {
		l = l.WithElsewhere(work[name])
		if l.Idle(now) {
			delete(q.ledgers, name)
			continue
		}
		q.ledgers[name] = l
	}
	for name, e := range work {
		if _, ok := q.ledgers[name]; !ok && q.ledgers != nil {
			q.ledgers[name] = admitter.Ledger{}.WithTime(now).WithElsewhere(e)
		}
	}
	for _, ln := range q.order {
		ln.balance(work)
	}
}

func (ln *lane[J]) balance(work map[string]admitter.Elsewhere) {
	least := -1.0
	charge := make(map[string]float64)
	ln.fair.Waiting(func(account string, _ int, _, share float64) {
		had := work[account].Done / share
		charge[account] = had * share
		if least < 0 || had < least {
			least = had
		}
	})
	ln.fair.Waiting(func(account string, _ int, _, share float64) {
		charge[account] -= least * share
	})
	for account, w := range charge {
		if w > 0 {
			ln.fair.Charge(account, w, ln.lead())
		}
	}
	ln.fair.Forget()
}
