package admitter

import (
	"math"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/config/definer"
)

// Input is what an admission is decided from.
type Input struct {
	Now      time.Time
	Deadline time.Time
	Account  definer.Account
	// Ledger has its buckets filled up to now.
	Ledger Ledger
	// Nodes is the number of nodes in service.
	Nodes int
	// Waiting is the number of requests that wait on this node, Limit its bound.
	Waiting int
	Limit   int
	// Share is the account's part of the shares of those that wait, with room
	// left for an account that does not wait yet.
	Share float64
	// Wait is how long the request would wait, Service how long it would run.
	Wait    time.Duration
	Service time.Duration
}

const (
	// maxRetry bounds the advice to retry: later the estimate means nothing.
	maxRetry = time.Minute
	minRetry = 100 * time.Millisecond
	// fullRetry is the advice where the wait is not known.
	fullRetry = time.Second
)

// Decide returns the refusal of a request, and whether it is refused.
//
// A refused request has not run.
func Decide(in Input) (coder.Error, bool) {
	a, l := in.Account, in.Ledger
	part := l.part(a, in.Nodes)
	switch {
	case a.MaxConcurrent > 0 && l.InProgress+l.Elsewhere.Running >= a.MaxConcurrent:
		return refuse(coder.ConcurrencyFull, fullRetry, "client account %s has %d requests in progress, its limit", a.Name, a.MaxConcurrent), true
	case a.RequestsPerSecond > 0 && l.requests.level < 1:
		return refuse(coder.RateLimited, l.requests.until(1, part*float64(a.RequestsPerSecond)),
			"client account %s is above %d requests a second", a.Name, a.RequestsPerSecond), true
	case a.TokensPerSecond > 0 && l.tokens.level <= 0:
		return refuse(coder.RateLimited, l.tokens.until(1, part*float64(a.TokensPerSecond)),
			"client account %s is above %d tokens a second", a.Name, a.TokensPerSecond), true
	case full(in):
		return refuse(coder.QueueFull, max(in.Wait, fullRetry), "%d requests wait", in.Waiting), true
	}
	left := in.Deadline.Sub(in.Now)
	if in.Wait > 0 && in.Wait+in.Service > left {
		return refuse(coder.WouldMissTime, in.Wait+in.Service-left,
			"the wait of about %v and the work of about %v are longer than the time left, %v",
			in.Wait.Round(time.Millisecond), in.Service.Round(time.Millisecond), left.Round(time.Millisecond)), true
	}
	return coder.Error{}, false
}

// full reports whether there is no room for another request of the account.
//
// Above half of the limit an account may not wait with more than its part, so
// that a flood of one cannot keep others out.
func full(in Input) bool {
	if in.Waiting >= in.Limit {
		return true
	}
	part := math.Max(in.Share*float64(in.Limit), 1)
	return in.Waiting >= in.Limit/2 && float64(in.Ledger.Waiting) >= part
}

func refuse(code coder.Code, retry time.Duration, format string, args ...any) coder.Error {
	return coder.Refuse(code, format, args...).WithRetryAfter(min(max(retry, minRetry), maxRetry))
}

// Pace is how fast a deployment works, as this node has measured it.
//
// It is an immutable value; the With methods return changed copies.
type Pace struct {
	// rate is work a second while requests waited, 0 if not known.
	rate float64
	// service is the mean time of a request, size its mean work.
	service float64
	size    float64

	since time.Time
	work  float64
	// slack says that nothing waited at some time since then.
	slack bool
}

const (
	// paceEvery is the least time over which a rate is measured.
	paceEvery = time.Second
	// paceShare is the weight of a new rate: a lost engine shows in 3 s.
	paceShare = 0.3
	// serviceShare is the weight of one request in the mean service time.
	serviceShare = 0.05
	// Requests differ from the mean by more than their work says; the bounds
	// keep one odd estimate from refusing what could be served.
	minScale, maxScale = 0.25, 3
)

// WithDone returns the pace after a request of the given work that ran for d;
// waiting says whether others wait.
func (p Pace) WithDone(now time.Time, work float64, d time.Duration, waiting bool) Pace {
	if p.size == 0 {
		p.service, p.size = d.Seconds(), work
	}
	p.service += serviceShare * (d.Seconds() - p.service)
	p.size += serviceShare * (work - p.size)
	if p.since.IsZero() {
		p.since, p.slack = now, !waiting
		return p
	}
	p.work += work
	p.slack = p.slack || !waiting
	dt := now.Sub(p.since)
	if dt < paceEvery {
		return p
	}
	rate := p.work / dt.Seconds()
	switch {
	case p.slack:
		// Not all capacity was used, so it is at least this.
		p.rate = max(p.rate, rate)
	case p.rate == 0:
		p.rate = rate
	default:
		p.rate += paceShare * (rate - p.rate)
	}
	p.since, p.work, p.slack = now, 0, !waiting
	return p
}

// Wait returns how long the given work takes, 0 if that is not known.
func (p Pace) Wait(ahead float64) time.Duration {
	if p.rate <= 0 {
		return 0
	}
	return time.Duration(ahead / p.rate * float64(time.Second))
}

// Service returns how long a request of the given work runs, 0 if not known.
func (p Pace) Service(work float64) time.Duration {
	if p.size <= 0 {
		return 0
	}
	scale := min(max(work/p.size, minScale), maxScale)
	return time.Duration(p.service * scale * float64(time.Second))
}

// Rate returns work a second, 0 if not known.
func (p Pace) Rate() float64 { return p.rate }
