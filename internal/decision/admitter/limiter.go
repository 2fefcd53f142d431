package admitter

import "time"

// Capacity is the capacity and the load of a deployment, over all nodes, in the
// latest load reports.
type Capacity struct {
	// Slots is the number of requests that its endpoints can process at once;
	// 0 means unknown.
	Slots int
	// Requests is the number of requests at the endpoints, queued ones included.
	Requests int
	// PrefillRate is the number of prompt tokens that its engines prefill per
	// second, 0 if it has no engines. Backlog is the number of prompt tokens
	// that are queued for prefill.
	PrefillRate float64
	Backlog     int
}

// SendLimiter limits what a node sends to a deployment.
//
// A request queued on a node can still be overtaken by a request of an account
// that has been served less; a request queued in an engine cannot. So engines
// get only as much work as keeps them busy. Load reports arrive late and cover
// all nodes: if each node filled up the free capacity that it sees, all nodes
// together would overfill it. Therefore each node uses a share of the known
// capacity that equals its share of the demand, and the reports only correct
// it. The limits are the number of in-flight requests, derived from the slots,
// and the prompt tokens sent per second, derived from the engines' rate.
//
// It is an immutable value; the With methods return changed copies.
type SendLimiter struct {
	// maxRequests bounds the in-flight requests; 0 means no limit.
	maxRequests float64
	// limitsPrompts is set if prompt tokens are limited to promptRate per second.
	limitsPrompts bool
	promptRate    float64
	// allowance is the number of prompt tokens that may be sent now.
	allowance float64
	at        time.Time
}

const (
	// overcommit is the number of requests per slot. It is above 1 so that no
	// slot idles between the end of a request and the arrival of the next.
	overcommit = 1.25
	// prefillQueueSeconds is the intended queueing delay of prompts in the
	// engines. The rate is corrected from reports that are 2 s late, which is
	// stable only if the delay is not below that.
	prefillQueueSeconds = 2.0
	// maxCorrection is the largest fraction by which reports raise a node's share,
	// and the gain of the correction.
	maxCorrection = 0.5
	// burstSeconds bounds the tokens that may be sent at once, in seconds of
	// promptRate.
	burstSeconds = 0.5
)

// WithCapacity returns the limiter after load reports, for a node with the
// given share of the demand.
func (l SendLimiter) WithCapacity(now time.Time, c Capacity, share float64) SendLimiter {
	l = l.WithTime(now)
	l.at = now
	limit := overcommit * float64(c.Slots)
	l.maxRequests = 0
	if limit > 0 {
		l.maxRequests = max(share*limit*(1+correctionAt(float64(c.Requests)/limit)), 1)
	}
	l.promptRate, l.limitsPrompts = share*c.PrefillRate, c.PrefillRate > 0
	if l.limitsPrompts {
		l.promptRate *= 1 + correctionAt(float64(c.Backlog)/(prefillQueueSeconds*c.PrefillRate))
	}
	return l
}

// correctionAt returns the fraction by which a node sends more or less at a
// utilisation, 1 being the intended one. At a utilisation of 3 or more it is -1:
// nothing is sent.
func correctionAt(utilisation float64) float64 {
	return max(maxCorrection*(1-utilisation), -1)
}

// WithTime returns the limiter with its allowance refilled up to now.
func (l SendLimiter) WithTime(now time.Time) SendLimiter {
	if dt := now.Sub(l.at).Seconds(); dt > 0 && !l.at.IsZero() {
		l.allowance = min(l.allowance+dt*l.promptRate, burstSeconds*l.promptRate)
		l.at = now
	}
	if !l.limitsPrompts {
		l.allowance = 0
	}
	return l
}

// WithStarted returns the limiter after a request with a prompt was sent.
func (l SendLimiter) WithStarted(prompt float64) SendLimiter {
	l.allowance -= prompt
	return l
}

// Allows reports whether another request may start in addition to those running.
//
// Without reports there is no limit: the request then finds no endpoint, or an
// endpoint that is not known to be full.
func (l SendLimiter) Allows(running int) bool {
	if l.maxRequests == 0 {
		return true
	}
	return float64(running) < l.maxRequests && (!l.limitsPrompts || l.allowance > 0)
}

// DemandShare returns a node's share of the demand from its own work and that
// of the other nodes. If the nodes agree on the figures, their shares add up to
// one.
func DemandShare(own, others float64, nodes int) float64 {
	n := float64(max(nodes, 1))
	// A node without demand keeps a tenth of an even share for its first requests.
	minimum := (own+others)/(10*n) + 1
	return (own + minimum) / (own + others + n*minimum)
}
