package picker

import (
	"foxtailflow.example/foxtailflow/internal/base/keeper"
)

// phases are the kinds of work for which candidates are prepared.
var phases = [...]Role{Prefill, Decode, Both}

// Set holds the candidates of one deployment, prepared for drawing.
//
// It has identifiers only, so it need not change when a load changes: it is
// rebuilt when an endpoint comes, goes, changes its role or its fitness. A
// choice draws from it without a pass over all endpoints. It is immutable.
type Set struct {
	all     [len(phases)][]string
	local   [len(phases)]map[string][]string
	ejected []string
	out     []Rejected
}

// maxOut bounds the endpoints whose exclusion a decision line explains.
const maxOut = 16

// NewSet returns the candidates among the endpoints of a deployment.
func NewSet(endpoints []Endpoint) Set {
	var s Set
	for i := range phases {
		s.local[i] = make(map[string][]string)
	}
	for _, e := range endpoints {
		reason := Status(e)
		if reason != "" && len(s.out) < maxOut {
			s.out = append(s.out, Rejected{Endpoint: e.ID, Reason: reason})
		}
		switch reason {
		case ReasonEjected:
			s.ejected = append(s.ejected, e.ID)
		case "":
			for i, phase := range phases {
				if e.Report.Role.Serves(phase) {
					s.all[i] = append(s.all[i], e.ID)
					s.local[i][e.DataCentre] = append(s.local[i][e.DataCentre], e.ID)
				}
			}
		}
	}
	return s
}

// Fit returns the number of endpoints that take new work.
func (s Set) Fit() int { return len(s.all[index(Both)]) }

// Candidates returns the identifiers of the endpoints fit for a phase; the
// slice must not be changed.
func (s Set) Candidates(phase Role) []string { return s.all[index(phase)] }

// Out returns why endpoints are not in the set, up to a bound.
func (s Set) Out() []Rejected { return s.out }

func index(phase Role) int {
	for i, p := range phases {
		if p == phase {
			return i
		}
	}
	return len(phases) - 1
}

// Status says why an endpoint takes no new work of any kind, or "".
func Status(e Endpoint) Reason {
	switch {
	case e.Leaving || e.Report.Leaving:
		return ReasonLeaving
	case e.Draining:
		return ReasonDraining
	case e.Report.Changing, e.Changing:
		return ReasonChanging
	case e.Ejected():
		return ReasonEjected
	case e.Unconfirmed:
		return ReasonUnconfirmed
	}
	return ""
}

// View is what a choice is made from.
type View struct {
	Set Set
	// Rows has the present values of the candidates.
	Rows *keeper.Table[string, Endpoint]
	// Mean is the mean load of the endpoints.
	Mean int
}

// boundedLoad is how far above the mean an endpoint may be before a request
// that would gain from its cache, or its data centre, goes elsewhere.
const boundedLoad = 1.25

// Within reports whether a load is within the bound above the mean; one
// request more than the bound is allowed, as the mean may be zero.
func (v View) Within(load int) bool {
	return float64(load) <= boundedLoad*float64(v.Mean)+RequestLoad
}

const (
	// maxDraws is how often an unfit candidate is drawn again. A set lags only
	// by the changes of the last moment, so nearly all of its members are fit.
	maxDraws = 4
	// maxWalk bounds the pass that follows, so that a decision stays cheap.
	maxWalk = 64
)

// Draw returns a fit endpoint drawn at random from ids.
//
// It notes in c why others were rejected.
func (v View) Draw(n *Need, ids []string, c *Choice) (Endpoint, bool) {
	if len(ids) == 0 {
		return Endpoint{}, false
	}
	for range maxDraws {
		if e, ok := v.try(n, ids[n.random()%uint64(len(ids))], c); ok {
			return e, true
		}
	}
	start := n.random() % uint64(len(ids))
	for i := range min(len(ids), maxWalk) {
		if e, ok := v.try(n, ids[(start+uint64(i))%uint64(len(ids))], c); ok {
			return e, true
		}
	}
	return Endpoint{}, false
}

func (v View) try(n *Need, id string, c *Choice) (Endpoint, bool) {
	e, ok := v.Rows.Get(id)
	if !ok {
		return e, false
	}
	reason := exclude(n, e)
	if reason != "" {
		c.reject(id, reason)
	}
	return e, reason == ""
}

// exclude says why an endpoint is not fit for a need, or "".
func exclude(n *Need, e Endpoint) Reason {
	if reason := Status(e); reason != "" {
		return reason
	}
	for _, t := range n.Tried {
		if t == e.ID {
			return ReasonTried
		}
	}
	if n.Now.Before(e.RefusedUntil) {
		return ReasonRefused
	}
	if n.Pieces > 0 && !e.Report.At.IsZero() && e.Report.FreePieces < n.Pieces {
		return ReasonMemory
	}
	return ""
}
