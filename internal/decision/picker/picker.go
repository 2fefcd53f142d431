// Package picker chooses the endpoint for a request.
//
// A choice is a function of values: the state of each endpoint and the
// requirements of the request. Load reports lag, so a load is the report
// corrected by what this node has sent since the report was made. The candidates
// of a deployment are prepared in a Set, and a Policy samples from it, so the
// cost of a choice does not grow with the number of endpoints.
package picker

import (
	"time"
)

// Requirements holds the requirements of a request on its endpoint.
type Requirements struct {
	RequestID  string
	DataCentre string
	// Phase is the phase of most of the request's work; "" means Both.
	Phase Role
	// Priority is the priority of the route; above NormalPriority more endpoints
	// are compared.
	Priority int
	// Work is the expected work in tokens, Blocks the engine memory in blocks.
	Work   int
	Blocks int
	// Holders names endpoints that may have a prefix of the prompt in their
	// cache, the longest prefix first.
	Holders []string
	// Tried names endpoints at which this request has failed.
	Tried []string
	// MayRetry is set if the request can be retried after it fails at an
	// endpoint.
	MayRetry bool
	// NoProbe excludes ejected endpoints.
	NoProbe bool
	// Random is the state of the random numbers that the policy uses.
	Random uint64
	Now    time.Time
}

// NormalPriority is the priority of a route that sets none.
const NormalPriority = 5

// random returns the next number of a splitmix64 sequence with the state Random.
func (req *Requirements) random() uint64 {
	req.Random += 0x9e3779b97f4a7c15
	z := req.Random
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// Rejected is an endpoint that was not chosen, with the reason.
type Rejected struct {
	Endpoint string
	Reason   Reason
}

// Reason is why an endpoint was not chosen.
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
	ReasonLimited     Reason = "limited"
	ReasonPaused      Reason = "paused"
)

// Basis is the state of the engine on which a choice is based.
type Basis struct {
	// CachedTokens is the number of the prompt's tokens in the engine's cache,
	// QueuedTokens the number of prompt tokens that it has to prefill first.
	CachedTokens int
	QueuedTokens int
	// InFlight is the number of requests at the engine.
	InFlight int
	// PrefillRate is the number of prompt tokens per millisecond that the engine is assumed
	// to prefill, by what nodes have measured there and by what it says of itself; 0 if it
	// does not prefill the prompt.
	PrefillRate float64
	// RemoteLoadAge is the age of the remote load of the engine; negative if
	// unknown.
	RemoteLoadAge time.Duration
}

// PrefillTokens returns the tokens of a prompt that the engine has to prefill.
func (b Basis) PrefillTokens(prompt int) int { return max(prompt-b.CachedTokens, 0) }

// Choice is the decision for one request.
type Choice struct {
	Endpoint Endpoint
	// OK is false if there is no suitable endpoint.
	OK bool
	// Probe is set if this is the trial request of an ejected endpoint, which the
	// caller must reserve first.
	Probe bool
	// Reason is why this endpoint was chosen.
	Reason string
	// Basis is the state of the endpoint on which the choice is based.
	Basis    Basis
	Rejected []Rejected
	// Excluded lists endpoints that were not candidates.
	Excluded []Rejected
}

func (c *Choice) reject(id string, reason Reason) {
	for _, r := range c.Rejected {
		if r.Endpoint == id {
			return
		}
	}
	c.Rejected = append(c.Rejected, Rejected{Endpoint: id, Reason: reason})
}

func (c *Choice) choose(e Endpoint, reason string) bool {
	c.Endpoint, c.OK, c.Reason = e, true, reason
	return true
}

// Policy chooses between the candidates of a deployment.
type Policy interface {
	// Choose sets the endpoint and the reason in c and reports whether there is
	// a suitable endpoint.
	Choose(req *Requirements, v View, c *Choice) bool
}

// Picker chooses an endpoint by a policy.
type Picker[P Policy] struct {
	Policy P
}

// Pick chooses one of the candidates.
//
// If none is suitable, requirements are dropped in two steps: first the role and
// the engine memory, then that the endpoint has not been tried. An endpoint that
// may be leaving is never chosen, even if there is no other.
func (p Picker[P]) Pick(req Requirements, v View) Choice {
	c := Choice{Excluded: v.Set.excluded}
	if probe(&req, v, &c) || p.Policy.Choose(&req, v, &c) {
		return c
	}
	req.Phase, req.Blocks = Both, 0
	if p.Policy.Choose(&req, v, &c) {
		c.Reason = "none with the role and memory; " + c.Reason
		return c
	}
	tried := req.Tried
	req.Tried = nil
	if e, ok := v.Draw(&req, tried, &c); ok {
		// An endpoint at which this request has failed is better than none.
		c.choose(e, "all others already tried")
	}
	return c
}

// probe chooses an ejected endpoint whose ejection time is over, for its one
// trial request.
//
// A request that cannot be repeated is sent only once the endpoint has reported
// again.
func probe(req *Requirements, v View, c *Choice) bool {
	if req.NoProbe || len(v.Set.ejected) == 0 {
		return false
	}
	e, ok := v.Endpoints.Get(v.Set.ejected[req.random()%uint64(len(v.Set.ejected))])
	if !ok || !e.MayProbe(req.Now) || UnavailableReason(e) != ReasonEjected || !e.Report.Role.Serves(req.Phase) {
		return false
	}
	if req.Now.Before(e.PauseRequestedUntil) {
		return false
	}
	if !req.MayRetry && !e.Report.At.After(e.EjectedUntil) {
		return false
	}
	for _, t := range req.Tried {
		if t == e.ID {
			return false
		}
	}
	c.Probe = true
	return c.choose(e, "trial after ejection")
}

// MayProbe reports whether an ejected endpoint may get its trial request.
func (e Endpoint) MayProbe(now time.Time) bool {
	return e.Ejected() && !now.Before(e.EjectedUntil) && !now.Before(e.ProbeUntil)
}

// TwoChoices draws two endpoints and chooses the one with less load.
//
// It draws from the data centre of the node while the load there is within the
// bound; otherwise it also compares two from all data centres.
type TwoChoices struct{}

// Choose chooses the least loaded of the endpoints drawn.
func (TwoChoices) Choose(req *Requirements, v View, c *Choice) bool {
	i := phaseIndex(req.Phase)
	local, ok := leastLoaded(req, v, v.Set.local[i][req.DataCentre], c)
	if ok && v.Within(local.Load()) {
		return c.choose(local, "less loaded of two in the data centre")
	}
	e, found := leastLoaded(req, v, v.Set.all[i], c)
	switch {
	case found && (!ok || e.Load() < local.Load()):
		return c.choose(e, "less loaded of two")
	case ok:
		return c.choose(local, "less loaded, in the data centre")
	}
	return false
}

// leastLoaded returns the least loaded of two endpoints drawn, or of four for a
// request above normal priority.
func leastLoaded(req *Requirements, v View, ids []string, c *Choice) (best Endpoint, ok bool) {
	draws := 2
	if req.Priority > NormalPriority {
		draws = 4
	}
	for range min(draws, len(ids)) {
		e, found := v.Draw(req, ids, c)
		if !found {
			return best, ok
		}
		if !ok || e.Load() < best.Load() {
			best, ok = e, true
		}
	}
	return best, ok
}

// PrefixAffinity prefers an endpoint that has a prefix of the prompt in its
// cache, as long as its load is within the bound; otherwise the next policy
// decides.
type PrefixAffinity[P Policy] struct {
	Fallback P
}

// Choose chooses the suitable holder of the longest prefix.
func (a PrefixAffinity[P]) Choose(req *Requirements, v View, c *Choice) bool {
	for _, id := range req.Holders {
		e, ok := v.getSuitable(req, id, c)
		if !ok || !e.Report.Role.Serves(req.Phase) {
			continue
		}
		if v.Within(e.Load()) {
			return c.choose(e, "prompt prefix cached")
		}
		c.reject(id, ReasonLoaded)
	}
	return a.Fallback.Choose(req, v, c)
}
