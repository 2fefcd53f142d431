package picker

import (
	"time"
)

// Need is what a request needs of an endpoint.
type Need struct {
	RequestID  string
	DataCentre string
	// Work is the expected work, in tokens; Pieces the engine memory.
	Work   int
	Pieces int
	// Prefix is the hash chain of the prompt's beginning, longest last.
	Prefix []uint64
	// Tried names endpoints that have failed this request.
	Tried []string
	// Random is a random number by which the policy draws.
	Random uint64
	Now    time.Time
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
	ReasonLeaving  Reason = "leaving"
	ReasonDraining Reason = "draining"
	ReasonChanging Reason = "changing"
	ReasonEjected  Reason = "ejected"
	ReasonTried    Reason = "tried"
	ReasonRole     Reason = "role"
	ReasonLoaded   Reason = "loaded"
)

// Choice is the decision for one request.
type Choice struct {
	Endpoint Endpoint
	// OK is false if no endpoint is fit.
	OK bool
	// Reason says why this one was chosen.
	Reason   string
	Rejected []Rejected
}

// Policy decides between endpoints that are fit.
type Policy interface {
	// Choose returns an index into fit, which is not empty, and the reason.
	Choose(n Need, fit []Endpoint) (int, string)
}

// Picker chooses an endpoint by a policy.
type Picker[P Policy] struct {
	Policy P
}

// Pick chooses one of the endpoints.
func (p Picker[P]) Pick(n Need, endpoints []Endpoint) Choice {
	var c Choice
	fit := make([]Endpoint, 0, len(endpoints))
	var tried []Endpoint
	for _, e := range endpoints {
		reason := exclude(n, e)
		switch reason {
		case "":
			fit = append(fit, e)
			continue
		case ReasonTried:
			tried = append(tried, e)
		}
		c.Rejected = append(c.Rejected, Rejected{Endpoint: e.ID, Reason: reason})
	}
	if len(fit) == 0 {
		// An endpoint that has failed this request is better than none.
		fit = tried
	}
	if len(fit) == 0 {
		return c
	}
	i, reason := p.Policy.Choose(n, fit)
	c.Endpoint, c.OK, c.Reason = fit[i], true, reason
	return c
}

// exclude says why an endpoint is not fit, or "" if it is.
func exclude(n Need, e Endpoint) Reason {
	switch {
	case e.Leaving || e.Report.Leaving:
		return ReasonLeaving
	case e.Draining:
		return ReasonDraining
	case e.Report.Changing:
		return ReasonChanging
	case n.Now.Before(e.EjectedUntil) || e.Probing:
		return ReasonEjected
	}
	for _, t := range n.Tried {
		if t == e.ID {
			return ReasonTried
		}
	}
	return ""
}

// TwoChoices draws two endpoints and takes the one with less load.
//
// The load is the report corrected by what this node has sent since.
type TwoChoices struct{}

// Choose returns the less loaded of two endpoints drawn at random.
func (TwoChoices) Choose(n Need, fit []Endpoint) (int, string) {
	a := int(n.Random % uint64(len(fit)))
	b := int((n.Random >> 32) % uint64(len(fit)))
	if load(fit[b]) < load(fit[a]) {
		a = b
	}
	return a, "less loaded of two"
}

func load(e Endpoint) int {
	return max(e.Report.InFlight+e.Report.Queued+e.SentSince, e.Sent)
}
