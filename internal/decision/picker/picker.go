// Package picker chooses the endpoint for a request.
//
// A choice is made from values only: what is known of each endpoint, and what
// the request needs. Load reports lag, so a load is the report corrected by
// what this node has sent since the report was made. The candidates of a
// deployment are prepared in a Set, and a Policy draws from it, so the cost of
// a choice does not grow with the number of endpoints.
package picker

import (
	"time"
)

// Need is what a request needs of an endpoint.
type Need struct {
	RequestID  string
	DataCentre string
	// Phase is the kind of work that the request mostly is; "" means Both.
	Phase Role
	// Priority is that of the route; above NormalPriority more are compared.
	Priority int
	// Work is the expected work, in tokens; Pieces the engine memory.
	Work   int
	Pieces int
	// Holders are endpoints that may have the prompt's beginning in their
	// cache, the longest beginning first.
	Holders []string
	// Tried names endpoints that have failed this request.
	Tried []string
	// MayRepeat says that the request may fail at an endpoint without harm.
	MayRepeat bool
	// NoProbe keeps ejected endpoints out.
	NoProbe bool
	// Random is a random number from which the policy draws.
	Random uint64
	Now    time.Time
}

// NormalPriority is the priority of a route that sets none.
const NormalPriority = 5

// random returns the next number of a splitmix64 sequence that begins at Random.
func (n *Need) random() uint64 {
	n.Random += 0x9e3779b97f4a7c15
	z := n.Random
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// Rejected is an endpoint that was not chosen and the reason.
type Rejected struct {
	Endpoint string
	Reason   Reason
}

// Reason says why an endpoint was not chosen.
type Reason string

// The reasons for not choosing an endpoint.
const (
	ReasonLeaving     Reason = "leaving"
	ReasonDraining    Reason = "draining"
	ReasonChanging    Reason = "changing"
	ReasonEjected     Reason = "ejected"
	ReasonUnconfirmed Reason = "unconfirmed"
	ReasonTried       Reason = "tried"
	ReasonMemory      Reason = "memory"
	ReasonLoaded      Reason = "loaded"
	ReasonRefused     Reason = "refused"
)

// Basis is what a choice of an engine rests on.
type Basis struct {
	// Held is the prompt's tokens in the engine's cache, Waiting the tokens that
	// it has to read before.
	Held    int
	Waiting int
	// InWork is the number of requests at the engine.
	InWork int
	// Age is the age of what other nodes have stated of the engine; negative if
	// they have not.
	Age time.Duration
}

// Choice is the decision for one request.
type Choice struct {
	Endpoint Endpoint
	// OK is false if no endpoint is fit.
	OK bool
	// Probe says that this is the trial request of an ejected endpoint, which
	// the caller must reserve first.
	Probe bool
	// Reason says why this one was chosen.
	Reason string
	// Basis is what was known of the endpoint that was chosen.
	Basis    Basis
	Rejected []Rejected
	// Out lists endpoints that were no candidates.
	Out []Rejected
}

func (c *Choice) reject(id string, reason Reason) {
	for _, r := range c.Rejected {
		if r.Endpoint == id {
			return
		}
	}
	c.Rejected = append(c.Rejected, Rejected{Endpoint: id, Reason: reason})
}

func (c *Choice) take(e Endpoint, reason string) bool {
	c.Endpoint, c.OK, c.Reason = e, true, reason
	return true
}

// Policy decides between the candidates of a deployment.
type Policy interface {
	// Choose sets the endpoint and the reason in c and reports whether there
	// is a fit one.
	Choose(n *Need, v View, c *Choice) bool
}

// Picker chooses an endpoint by a policy.
type Picker[P Policy] struct {
	Policy P
}

// Pick chooses one of the candidates.
//
// If none is fit, the requirements are given up one after the other: the role,
// engine memory, and an endpoint not tried before. An endpoint that may be
// leaving is never chosen, not even as the last one.
func (p Picker[P]) Pick(n Need, v View) Choice {
	c := Choice{Out: v.Set.out}
	if probe(&n, v, &c) || p.Policy.Choose(&n, v, &c) {
		return c
	}
	n.Phase, n.Pieces = Both, 0
	if p.Policy.Choose(&n, v, &c) {
		c.Reason = "no other role or memory; " + c.Reason
		return c
	}
	tried := n.Tried
	n.Tried = nil
	if e, ok := v.Draw(&n, tried, &c); ok {
		// An endpoint that has failed this request is better than none.
		c.take(e, "all others tried")
	}
	return c
}

// probe chooses an ejected endpoint whose time is over for its one trial.
//
// A request that must not fail is used only after the endpoint has reported
// again.
func probe(n *Need, v View, c *Choice) bool {
	if n.NoProbe || len(v.Set.ejected) == 0 {
		return false
	}
	e, ok := v.Rows.Get(v.Set.ejected[n.random()%uint64(len(v.Set.ejected))])
	if !ok || !e.MayProbe(n.Now) || Status(e) != ReasonEjected || !e.Report.Role.Serves(n.Phase) {
		return false
	}
	if !n.MayRepeat && !e.Report.At.After(e.EjectedUntil) {
		return false
	}
	for _, t := range n.Tried {
		if t == e.ID {
			return false
		}
	}
	c.Probe = true
	return c.take(e, "trial after ejection")
}

// MayProbe reports whether an ejected endpoint may get its trial request.
func (e Endpoint) MayProbe(now time.Time) bool {
	return e.Ejected() && !now.Before(e.EjectedUntil) && !now.Before(e.ProbeUntil)
}

// TwoChoices draws two endpoints and takes the one with less load.
//
// It stays in the data centre of the node while the load there is within the
// bound, and else compares with two from anywhere.
type TwoChoices struct{}

// Choose takes the less loaded of the endpoints drawn.
func (TwoChoices) Choose(n *Need, v View, c *Choice) bool {
	i := index(n.Phase)
	local, ok := lesser(n, v, v.Set.local[i][n.DataCentre], c)
	if ok && v.Within(local.Load()) {
		return c.take(local, "less loaded of two in the data centre")
	}
	e, found := lesser(n, v, v.Set.all[i], c)
	switch {
	case found && (!ok || e.Load() < local.Load()):
		return c.take(e, "less loaded of two")
	case ok:
		return c.take(local, "less loaded, in the data centre")
	}
	return false
}

// lesser returns the less loaded of two drawn, or of four for a request of
// more than normal priority.
func lesser(n *Need, v View, ids []string, c *Choice) (best Endpoint, ok bool) {
	draws := 2
	if n.Priority > NormalPriority {
		draws = 4
	}
	for range min(draws, len(ids)) {
		e, found := v.Draw(n, ids, c)
		if !found {
			return best, ok
		}
		if !ok || e.Load() < best.Load() {
			best, ok = e, true
		}
	}
	return best, ok
}

// Affine prefers an endpoint that has the prompt's beginning in its cache, as
// long as its load is within the bound; else the next policy decides.
type Affine[P Policy] struct {
	Next P
}

// Choose takes the holder of the longest beginning that is fit.
func (a Affine[P]) Choose(n *Need, v View, c *Choice) bool {
	for _, id := range n.Holders {
		e, ok := v.try(n, id, c)
		if !ok || !e.Report.Role.Serves(n.Phase) {
			continue
		}
		if v.Within(e.Load()) {
			return c.take(e, "has the beginning of the prompt")
		}
		c.reject(id, ReasonLoaded)
	}
	return a.Next.Choose(n, v, c)
}
