package admitter

import "time"

// Room is what the last load reports say of a deployment on all nodes.
type Room struct {
	// Slots is the number of requests that its endpoints can work on at once;
	// 0 means that none is known.
	Slots int
	// Requests is the number of those that they have, waiting ones included.
	Requests int
	// PrefillRate is the prompt tokens a second that its engines read, 0 if it
	// has none; Backlog is the prompt tokens that wait to be read.
	PrefillRate float64
	Backlog     int
}

// Gate says whether a node may send a request to a deployment.
//
// What waits in the queue of a node can still be overtaken by a request of an
// account that has had less, and what waits in an engine cannot. So engines
// get no more than keeps them busy. The reports that say how full they are
// come late and cover all nodes; a node that filled up to the room it sees
// would do so together with all others. Therefore each node takes a part of
// the known capacity by its part of the demand, and the reports only correct
// it: the number of requests in work by the slots, and the prompt tokens sent
// in a second by the engines' rate.
//
// It is an immutable value; the With methods return changed copies.
type Gate struct {
	// requests bounds those in work.
	requests float64
	// pace is prompt tokens a second, where prompts are paced.
	paced bool
	pace  float64
	// level is the prompt tokens that may be sent now.
	level float64
	at    time.Time
}

const (
	// overcommit is how many requests endpoints get above their slots, so that
	// none idles between the end of a request and the arrival of the next.
	overcommit = 1.25
	// prefillWait is the time for which prompts should wait in the engines. The
	// correction of the pace acts on reports 2 s late and is stable if this is
	// not less.
	prefillWait = 2.0
	// correction is how far the reports move a node's part up or down.
	correction = 0.5
	// burst is the time of pace that may be sent at once.
	burst = 0.5
)

// WithRoom returns the gate after reports, for a node with the given part of
// the demand.
func (g Gate) WithRoom(now time.Time, r Room, part float64) Gate {
	g = g.WithTime(now)
	g.at = now
	limit := overcommit * float64(r.Slots)
	g.requests = 0
	if limit > 0 {
		g.requests = max(part*limit*(1+correct(float64(r.Requests)/limit)), 1)
	}
	g.pace, g.paced = part*r.PrefillRate, r.PrefillRate > 0
	if g.paced {
		g.pace *= 1 + correct(float64(r.Backlog)/(prefillWait*r.PrefillRate))
	}
	return g
}

// correct returns by which part more or less is sent at a fullness, 1 being
// what is wanted; if the endpoints are far too full, nothing is sent.
func correct(fullness float64) float64 {
	return max(correction*(1-fullness), -1)
}

// WithTime returns the gate with what may be sent by now.
func (g Gate) WithTime(now time.Time) Gate {
	if dt := now.Sub(g.at).Seconds(); dt > 0 && !g.at.IsZero() {
		g.level = min(g.level+dt*g.pace, burst*g.pace)
		g.at = now
	}
	if !g.paced {
		g.level = 0
	}
	return g
}

// WithStarted returns the gate after a request with a prompt was sent.
func (g Gate) WithStarted(prompt float64) Gate {
	g.level -= prompt
	return g
}

// Allows reports whether another request may start beside those running.
//
// Without reports there is no bound: the request then finds no endpoint, or an
// endpoint that is not known to be full.
func (g Gate) Allows(running int) bool {
	if g.requests == 0 {
		return true
	}
	return float64(running) < g.requests && (!g.paced || g.level > 0)
}

// Part returns a node's part of the demand by its own and the others' work. If
// the nodes agree on the figures, their parts add up to one.
func Part(own, others float64, nodes int) float64 {
	n := float64(max(nodes, 1))
	// A node without demand keeps a tenth of an even part for its first requests.
	least := (own+others)/(10*n) + 1
	return (own + least) / (own + others + n*least)
}
