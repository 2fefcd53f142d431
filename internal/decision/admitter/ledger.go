package admitter

import (
	"time"

	"foxtailflow.example/foxtailflow/internal/config/definer"
)

// RemoteLoad is the load of a client account on other nodes.
type RemoteLoad struct {
	// RecentWork is the work of the last second, QueuedWork the queued work.
	RecentWork float64
	QueuedWork float64
	// Requests is the number of requests in progress.
	Requests int
}

// Add returns the sum of two loads.
func (r RemoteLoad) Add(o RemoteLoad) RemoteLoad {
	return RemoteLoad{RecentWork: r.RecentWork + o.RecentWork, QueuedWork: r.QueuedWork + o.QueuedWork, Requests: r.Requests + o.Requests}
}

// bucket is a token bucket with a capacity of one second of its rate.
//
// Its level may go below zero: a request is admitted while the level is positive
// and takes its full cost, so that a request larger than the bucket can pass.
type bucket struct {
	level float64
	at    time.Time
}

// refilled returns the bucket refilled up to now at a rate. Its capacity is one
// second of the rate, and at least one unit.
func (b bucket) refilled(now time.Time, rate float64) bucket {
	capacity := max(rate, 1)
	if b.at.IsZero() {
		return bucket{level: capacity, at: now}
	}
	if dt := now.Sub(b.at).Seconds(); dt > 0 {
		b.level, b.at = min(b.level+dt*rate, capacity), now
	}
	return b
}

// timeUntil returns how long it takes until the level reaches minimum.
func (b bucket) timeUntil(minimum, rate float64) time.Duration {
	if b.level >= minimum {
		return 0
	}
	if rate <= 0 {
		return maxRetryAfter
	}
	return time.Duration((minimum - b.level) / rate * float64(time.Second))
}

// Ledger is what a node records about one client account.
//
// It is an immutable value; the With methods return changed copies.
type Ledger struct {
	// InProgress is the number of requests queued or running on this node.
	InProgress int
	Queued     int
	// QueuedWork is the work of the queued requests.
	QueuedWork float64
	RemoteLoad RemoteLoad

	requests bucket
	tokens   bucket
	// currentWork is the work of the Unix second in second, lastWork that of the
	// second before.
	second      int64
	currentWork float64
	lastWork    float64
	// meanOutput is the learned mean number of output tokens per response.
	meanOutput float64
}

const (
	// defaultOutputTokens is the estimated length of a response before any is known.
	defaultOutputTokens = 256
	// outputWeight is the weight of a new response in the mean: it follows a
	// change in the requests of an account within about ten responses.
	outputWeight = 0.1
)

// Output estimates the output tokens of a request from the caller's bound, 0 if
// there is none, and from the length of the account's earlier responses.
func (l Ledger) Output(bound int) float64 {
	mean := l.meanOutput
	if mean == 0 {
		mean = defaultOutputTokens
	}
	if bound > 0 {
		return min(mean, float64(bound))
	}
	return mean
}

// WithAdmitted returns the ledger with one more queued request.
func (l Ledger) WithAdmitted(work, tokens float64) Ledger {
	l.InProgress++
	l.Queued++
	l.QueuedWork += work
	l.requests.level--
	l.tokens.level -= tokens
	return l
}

// WithStarted returns the ledger after a queued request has started.
func (l Ledger) WithStarted(now time.Time, work float64) Ledger {
	l.Queued--
	l.QueuedWork = max(l.QueuedWork-work, 0)
	return l.withWork(now, work)
}

// WithExpired returns the ledger without a queued request that did not start
// before its deadline; its tokens are given back.
func (l Ledger) WithExpired(work, tokens float64) Ledger {
	l.Queued--
	l.InProgress--
	l.QueuedWork = max(l.QueuedWork-work, 0)
	l.tokens.level += tokens
	return l
}

// WithEnded returns the ledger after a request has ended. Work and tokens are
// the differences between the actual values and the estimates; output is the
// actual number of output tokens, 0 if unknown.
func (l Ledger) WithEnded(now time.Time, work, tokens, output float64) Ledger {
	l.InProgress--
	l.tokens.level -= tokens
	if output > 0 {
		if l.meanOutput == 0 {
			l.meanOutput = output
		}
		l.meanOutput += outputWeight * (output - l.meanOutput)
	}
	return l.withWork(now, work)
}

func (l Ledger) withWork(now time.Time, work float64) Ledger {
	l = l.WithTime(now)
	l.currentWork = max(l.currentWork+work, 0)
	return l
}

// WithTime returns the ledger with its per-second work advanced to now.
func (l Ledger) WithTime(now time.Time) Ledger {
	switch s := now.Unix(); s - l.second {
	case 0:
	case 1:
		l.second, l.lastWork, l.currentWork = s, l.currentWork, 0
	default:
		l.second, l.lastWork, l.currentWork = s, 0, 0
	}
	return l
}

// WithRemoteLoad returns the ledger with a new load on other nodes.
func (l Ledger) WithRemoteLoad(r RemoteLoad) Ledger {
	l.RemoteLoad = r
	return l
}

// WorkLastSecond returns the work started in the last full second.
func (l Ledger) WorkLastSecond() float64 { return l.lastWork }

// WithLimits returns the ledger with its buckets refilled up to now at this
// node's share of the account's rates.
func (l Ledger) WithLimits(now time.Time, a definer.Account, nodes int) Ledger {
	share := l.rateShare(a, nodes)
	if a.RequestsPerSecond > 0 {
		l.requests = l.requests.refilled(now, share*float64(a.RequestsPerSecond))
	}
	if a.TokensPerSecond > 0 {
		l.tokens = l.tokens.refilled(now, share*float64(a.TokensPerSecond))
	}
	return l
}

// rateShare returns this node's share of the account's rates, in proportion to
// the demand here and on other nodes. If the nodes agree on the figures, their
// shares add up to one.
func (l Ledger) rateShare(a definer.Account, nodes int) float64 {
	// A node without demand keeps a small share, so that its first requests are
	// admitted before the other nodes know of them.
	minimum := max(float64(a.TokensPerSecond)/10, float64(a.RequestsPerSecond)*defaultOutputTokens/10, 1)
	own := l.lastWork + l.QueuedWork
	others := l.RemoteLoad.RecentWork + l.RemoteLoad.QueuedWork
	return (own + minimum) / (own + others + minimum*float64(max(nodes, 1)))
}

// Idle reports whether the ledger can be dropped without loss.
func (l Ledger) Idle(now time.Time) bool {
	return l.InProgress == 0 && now.Unix()-l.second > retentionSeconds && l.RemoteLoad == (RemoteLoad{})
}

// retentionSeconds is how long the learned output of an idle account is kept.
const retentionSeconds = 600
