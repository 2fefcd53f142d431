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

// margin is how much more than the expected time must be left to start a
// request: answers differ in length, and one that is given up at its deadline
// has used an engine for nothing while others waited.
const margin = 1.25

// TooLate returns the refusal of a request whose turn has come, and whether it
// is refused: work on it would be lost, and other requests would wait for it.
func TooLate(now, deadline time.Time, service time.Duration) (coder.Error, bool) {
	left := deadline.Sub(now)
	if float64(left) >= margin*float64(service) {
		return coder.Error{}, false
	}
	return refuse(coder.WouldMissTime, fullRetry, "the work of about %v is longer than the time left, %v",
		service.Round(time.Millisecond), left.Round(time.Millisecond)), true
}
