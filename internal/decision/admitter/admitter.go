package admitter

import (
	"math"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/config/definer"
)

// Input holds the values from which an admission is decided.
type Input struct {
	Now      time.Time
	Deadline time.Time
	Account  definer.Account
	// Ledger must have its buckets refilled up to Now.
	Ledger Ledger
	// Nodes is the number of nodes in service.
	Nodes int
	// Queued is the number of requests queued on this node, QueueLimit the maximum.
	Queued     int
	QueueLimit int
	// Share is the account's fraction of the shares of all accounts with queued
	// requests, with an allowance for an account that has none queued yet.
	Share float64
	// QueueingDelay is the expected queueing delay, ServiceTime the expected
	// service time.
	QueueingDelay time.Duration
	ServiceTime   time.Duration
}

const (
	// maxRetryAfter bounds the retry delay: the estimate is worthless beyond it.
	maxRetryAfter = time.Minute
	minRetryAfter = 100 * time.Millisecond
	// defaultRetryAfter applies where the queueing delay is unknown.
	defaultRetryAfter = time.Second
)

// Decide returns the refusal of a request and reports whether it is refused.
//
// A refused request has not run.
func Decide(in Input) (coder.Error, bool) {
	a, l := in.Account, in.Ledger
	rateShare := l.rateShare(a, in.Nodes)
	switch {
	case a.MaxConcurrent > 0 && l.InProgress+l.RemoteLoad.Requests >= a.MaxConcurrent:
		return refuse(coder.ConcurrencyFull, defaultRetryAfter, "client account %s has %d requests in progress, its limit", a.Name, a.MaxConcurrent), true
	case a.RequestsPerSecond > 0 && l.requests.level < 1:
		return refuse(coder.RateLimited, l.requests.timeUntil(1, rateShare*float64(a.RequestsPerSecond)),
			"client account %s is above %d requests a second", a.Name, a.RequestsPerSecond), true
	case a.TokensPerSecond > 0 && l.tokens.level <= 0:
		return refuse(coder.RateLimited, l.tokens.timeUntil(1, rateShare*float64(a.TokensPerSecond)),
			"client account %s is above %d tokens a second", a.Name, a.TokensPerSecond), true
	case queueFull(in):
		return refuse(coder.QueueFull, max(in.QueueingDelay, defaultRetryAfter), "%d requests wait", in.Queued), true
	}
	remaining := in.Deadline.Sub(in.Now)
	if in.QueueingDelay > 0 && in.QueueingDelay+in.ServiceTime > remaining {
		return refuse(coder.WouldMissTime, in.QueueingDelay+in.ServiceTime-remaining,
			"the estimated queueing delay of %v and service time of %v exceed the remaining time of %v",
			in.QueueingDelay.Round(time.Millisecond), in.ServiceTime.Round(time.Millisecond), remaining.Round(time.Millisecond)), true
	}
	return coder.Error{}, false
}

// queueFull reports whether the queue takes no further request of the account.
//
// Once the queue is half full, an account may not exceed its share of the limit,
// so that one account cannot shut out the others by flooding the queue.
func queueFull(in Input) bool {
	if in.Queued >= in.QueueLimit {
		return true
	}
	quota := math.Max(in.Share*float64(in.QueueLimit), 1)
	return in.Queued >= in.QueueLimit/2 && float64(in.Ledger.Queued) >= quota
}

func refuse(code coder.Code, retry time.Duration, format string, args ...any) coder.Error {
	return coder.Refuse(code, format, args...).WithRetryAfter(min(max(retry, minRetryAfter), maxRetryAfter))
}

// startMargin is the factor by which the remaining time must exceed the expected
// service time before a request is started. Responses differ in length, and one
// that is cancelled at its deadline has used an engine for nothing while other
// requests were queued.
const startMargin = 1.25

// TooLate returns the refusal of a request that is next to be served, and
// reports whether it is refused. A request that would miss its deadline is not
// started: its work would be lost, and it would delay other requests.
func TooLate(now, deadline time.Time, service time.Duration) (coder.Error, bool) {
	remaining := deadline.Sub(now)
	if float64(remaining) >= startMargin*float64(service) {
		return coder.Error{}, false
	}
	return refuse(coder.WouldMissTime, defaultRetryAfter, "the estimated service time of %v exceeds the remaining time of %v",
		service.Round(time.Millisecond), remaining.Round(time.Millisecond)), true
}
