package admitter

import (
	"time"

	"foxtailflow.example/foxtailflow/internal/config/definer"
)

// Elsewhere is the work of a client account on the other nodes.
type Elsewhere struct {
	// Done is the work of the last second, Waiting what waits there.
	Done    float64
	Waiting float64
	// Running is the number of requests in progress.
	Running int
}

// Add returns the sum of two.
func (e Elsewhere) Add(o Elsewhere) Elsewhere {
	return Elsewhere{Done: e.Done + o.Done, Waiting: e.Waiting + o.Waiting, Running: e.Running + o.Running}
}

// bucket is a token bucket that holds what its rate gives in one second.
//
// It may go below zero: a request is let in while there is anything left and
// takes all that it costs, so that one larger than the bucket is not shut out.
type bucket struct {
	level float64
	at    time.Time
}

// with returns the bucket at a time, filled by a rate up to one second of it
// and at least one unit.
func (b bucket) with(now time.Time, rate float64) bucket {
	most := max(rate, 1)
	if b.at.IsZero() {
		return bucket{level: most, at: now}
	}
	if dt := now.Sub(b.at).Seconds(); dt > 0 {
		b.level, b.at = min(b.level+dt*rate, most), now
	}
	return b
}

// until returns how long it takes until the level reaches least.
func (b bucket) until(least, rate float64) time.Duration {
	if b.level >= least {
		return 0
	}
	if rate <= 0 {
		return maxRetry
	}
	return time.Duration((least - b.level) / rate * float64(time.Second))
}

// Ledger is what a node keeps of one client account.
//
// It is an immutable value; the With methods return changed copies.
type Ledger struct {
	// InProgress is the number of requests that wait or run here.
	InProgress int
	Waiting    int
	// WaitingWork is the work of those that wait.
	WaitingWork float64
	Elsewhere   Elsewhere

	requests bucket
	tokens   bucket
	// done is the work of the present second, last that of the one before.
	second int64
	done   float64
	last   float64
	// output is the learned mean number of output tokens.
	output float64
}

const (
	// firstOutput is the length of an answer before any is known.
	firstOutput = 256
	// outputShare is the weight of a new answer in the mean: ten answers are
	// enough to follow a change of what an account asks for.
	outputShare = 0.1
)

// Output estimates the output tokens of a request by the caller's bound, 0 if
// there is none, and by what the account's answers have been.
func (l Ledger) Output(bound int) float64 {
	mean := l.output
	if mean == 0 {
		mean = firstOutput
	}
	if bound > 0 {
		return min(mean, float64(bound))
	}
	return mean
}

// WithAdmitted returns the ledger with one more request that waits.
func (l Ledger) WithAdmitted(work, tokens float64) Ledger {
	l.InProgress++
	l.Waiting++
	l.WaitingWork += work
	l.requests.level--
	l.tokens.level -= tokens
	return l
}

// WithStarted returns the ledger with one request less that waits.
func (l Ledger) WithStarted(now time.Time, work float64) Ledger {
	l.Waiting--
	l.WaitingWork = max(l.WaitingWork-work, 0)
	return l.withDone(now, work)
}

// WithExpired returns the ledger without a request that waited in vain.
func (l Ledger) WithExpired(work, tokens float64) Ledger {
	l.Waiting--
	l.InProgress--
	l.WaitingWork = max(l.WaitingWork-work, 0)
	l.tokens.level += tokens
	return l
}

// WithEnded returns the ledger after a request, with the difference of the
// real work and tokens to the estimate, and the real output, 0 if unknown.
func (l Ledger) WithEnded(now time.Time, work, tokens, output float64) Ledger {
	l.InProgress--
	l.tokens.level -= tokens
	if output > 0 {
		if l.output == 0 {
			l.output = output
		}
		l.output += outputShare * (output - l.output)
	}
	return l.withDone(now, work)
}

func (l Ledger) withDone(now time.Time, work float64) Ledger {
	l = l.WithTime(now)
	l.done = max(l.done+work, 0)
	return l
}

// WithTime returns the ledger with its seconds moved on.
func (l Ledger) WithTime(now time.Time) Ledger {
	switch s := now.Unix(); s - l.second {
	case 0:
	case 1:
		l.second, l.last, l.done = s, l.done, 0
	default:
		l.second, l.last, l.done = s, 0, 0
	}
	return l
}

// WithElsewhere returns the ledger with the work on the other nodes.
func (l Ledger) WithElsewhere(e Elsewhere) Ledger {
	l.Elsewhere = e
	return l
}

// LastSecond returns the work begun in the last whole second.
func (l Ledger) LastSecond() float64 { return l.last }

// WithLimits returns the ledger with its buckets filled up to now by this
// node's part of the account's rates.
func (l Ledger) WithLimits(now time.Time, a definer.Account, nodes int) Ledger {
	part := l.part(a, nodes)
	if a.RequestsPerSecond > 0 {
		l.requests = l.requests.with(now, part*float64(a.RequestsPerSecond))
	}
	if a.TokensPerSecond > 0 {
		l.tokens = l.tokens.with(now, part*float64(a.TokensPerSecond))
	}
	return l
}

// part returns this node's part of the account's rates by its demand here and
// elsewhere. If the nodes agree on the figures, their parts add up to one.
func (l Ledger) part(a definer.Account, nodes int) float64 {
	// A node without demand keeps a small part, so that its first requests are
	// let in before the others have heard of them.
	least := max(float64(a.TokensPerSecond)/10, float64(a.RequestsPerSecond)*firstOutput/10, 1)
	own := l.last + l.WaitingWork
	others := l.Elsewhere.Done + l.Elsewhere.Waiting
	return (own + least) / (own + others + least*float64(max(nodes, 1)))
}

// Idle reports whether nothing is lost if the ledger is dropped.
func (l Ledger) Idle(now time.Time) bool {
	return l.InProgress == 0 && now.Unix()-l.second > forgetAfter && l.Elsewhere == (Elsewhere{})
}

// forgetAfter keeps the learned output of an account that pauses, in seconds.
const forgetAfter = 600
