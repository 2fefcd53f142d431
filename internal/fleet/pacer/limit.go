package pacer

import "time"

// Statement is what a response of an endpoint says of the requests that it takes.
type Statement struct {
	// Limited means that it names a limit; a response that names none ends an earlier
	// one.
	Limited bool
	// PerSecond is the number of requests a second that it takes from all nodes
	// together.
	PerSecond float64
}

// limit is what a node knows of the limit of one endpoint.
//
// It is an immutable value; the with methods return changed copies.
type limit struct {
	endpoint  string
	statement Statement
	// askedAt is when the request of the newest statement was sent, toldAt when its
	// response was received.
	askedAt time.Time
	toldAt  time.Time
}

// withStatement returns the limit after a statement. Responses overtake each other: one
// without a limit ends an earlier statement only if its request was sent after that was
// received.
func (l limit) withStatement(s Statement, askedAt, now time.Time) limit {
	if s.Limited && askedAt.Before(l.askedAt) || !s.Limited && askedAt.Before(l.toldAt) {
		return l
	}
	l.statement, l.askedAt, l.toldAt = s, askedAt, now
	return l
}
