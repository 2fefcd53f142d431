package pacer

import (
	"math"
	"time"

	"foxtailflow.example/foxtailflow/internal/authority/ranker"
)

// Statement is what a response of an endpoint says of the requests that it takes.
type Statement struct {
	// Limited means that it names a limit; a response that names none ends an earlier
	// one.
	Limited bool
	// PerSecond is the number of requests a second that it takes from all nodes
	// together.
	PerSecond float64
}

const (
	// minRate is the rate of requests, in 1/s, to an endpoint that takes fewer or none:
	// without a response, nobody learns that it takes more again.
	minRate = 0.1
	// Burst is how many requests a node may send at once after a pause.
	Burst = 3
	// slack is the number of requests by which the bursts of all nodes may add up to more
	// than the limit.
	slack = 3
	// recheckTime is how long a node without a share of an endpoint waits until it
	// checks again.
	recheckTime = time.Second
)

// Share returns the rate at which one of several nodes may send requests to an endpoint
// with a limit, in 1/s; 0 means that other nodes have the whole limit.
//
// Each node with a share may send a request at once after a pause. So that these do not
// add up to more than the endpoint takes, only some nodes have a share of a small limit;
// they differ from endpoint to endpoint.
func Share(endpoint, node string, nodes []string, perSecond float64) float64 {
	perSecond = max(perSecond, minRate)
	most := (perSecond + slack) / Burst
	sharing := max(min(len(nodes), int(most)), 1)
	for rank, name := range ranker.Rank(endpoint, nodes) {
		if name == node && rank < sharing {
			return perSecond / float64(sharing)
		}
	}
	return 0
}

// limit is what a node knows of the limit of one endpoint, with the requests that it
// may send now.
//
// It is an immutable value; the with methods return changed copies.
type limit struct {
	endpoint  string
	statement Statement
	// askedAt is when the request of the newest statement was sent, toldAt when its
	// response was received.
	askedAt time.Time
	toldAt  time.Time
	// hearsay means that another node has passed the statement on.
	hearsay bool
	// rate is this node's share in 1/s, as of ratedAt.
	rate    float64
	ratedAt time.Time
	// tokens is the number of requests that may be sent, as of filledAt.
	tokens   float64
	filledAt time.Time
}

// withStatement returns the limit after a statement. Responses overtake each other: one
// without a limit ends an earlier statement only if its request was sent after that was
// received.
func (l limit) withStatement(s Statement, askedAt, now time.Time) limit {
	if s.Limited && askedAt.Before(l.askedAt) || !s.Limited && !askedAt.After(l.toldAt) {
		return l
	}
	if !l.statement.Limited {
		// What was saved before the limit is not spent on it.
		l.tokens, l.filledAt = 0, now
	}
	if s != l.statement {
		l.ratedAt = time.Time{}
	}
	l.statement, l.askedAt, l.toldAt, l.hearsay = s, askedAt, now, false
	return l
}

// withRate returns the limit with this node's share at a time.
func (l limit) withRate(rate float64, now time.Time) limit {
	l = l.withTime(now)
	l.rate, l.ratedAt = rate, now
	return l
}

// withTime returns the limit with the requests that have become available until now.
func (l limit) withTime(now time.Time) limit {
	l.tokens = math.Min(l.tokens+l.rate*now.Sub(l.filledAt).Seconds(), Burst)
	l.filledAt = now
	return l
}

// pause returns how long no request may be sent.
func (l limit) pause() time.Duration {
	switch {
	case l.tokens >= 1:
		return 0
	case l.rate <= 0:
		return recheckTime
	}
	return time.Duration((1 - l.tokens) / l.rate * float64(time.Second))
}
