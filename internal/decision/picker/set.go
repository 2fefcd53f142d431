package picker

import (
	"foxtailflow.example/foxtailflow/internal/base/keeper"
)

// phases are the phases for which candidates are prepared.
var phases = [...]Role{Prefill, Decode, Both}

// Set holds the candidates of one deployment, prepared for random selection.
//
// It contains identifiers only, so it does not change with the load. It is
// rebuilt when an endpoint is added or removed, changes its role, or starts or
// stops taking new work. A choice draws from it without a pass over all
// endpoints. It is immutable.
type Set struct {
	all      [len(phases)][]string
	local    [len(phases)]map[string][]string
	ejected  []string
	excluded []Rejected
}

// maxExcluded bounds the excluded endpoints listed in a decision line.
const maxExcluded = 16

// NewSet returns the candidates among the endpoints of a deployment.
func NewSet(endpoints []Endpoint) Set {
	var s Set
	for i := range phases {
		s.local[i] = make(map[string][]string)
	}
	for _, e := range endpoints {
		reason := UnavailableReason(e)
		if reason != "" && len(s.excluded) < maxExcluded {
			s.excluded = append(s.excluded, Rejected{Endpoint: e.ID, Reason: reason})
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

// Available returns the number of endpoints that take new work.
func (s Set) Available() int { return len(s.all[phaseIndex(Both)]) }

// Candidates returns the identifiers of the endpoints that serve a phase; the
// slice must not be modified.
func (s Set) Candidates(phase Role) []string { return s.all[phaseIndex(phase)] }

// Excluded returns endpoints that are not in the set with the reasons, up to
// maxExcluded.
func (s Set) Excluded() []Rejected { return s.excluded }

func phaseIndex(phase Role) int {
	for i, p := range phases {
		if p == phase {
			return i
		}
	}
	return len(phases) - 1
}

// UnavailableReason returns why an endpoint takes no new work of any phase, or "".
func UnavailableReason(e Endpoint) Reason {
	switch {
	case e.IsLeaving():
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

// View is the state of a deployment from which a choice is made.
type View struct {
	Set Set
	// Endpoints has the current values of the candidates.
	Endpoints *keeper.Table[string, Endpoint]
	// Mean is the mean load of the endpoints.
	Mean int
}

// maxLoadFactor is the load, relative to the mean, up to which an endpoint is
// preferred for its cache or its data centre.
const maxLoadFactor = 1.25

// Within reports whether a load is at most maxLoadFactor times the mean, plus
// one request, as the mean may be zero.
func (v View) Within(load int) bool {
	return float64(load) <= maxLoadFactor*float64(v.Mean)+RequestLoad
}

const (
	// maxDraws bounds the random draws. A set misses only the most recent
	// changes, so nearly all of its members are suitable.
	maxDraws = 4
	// maxScan bounds the scan that follows, so that a decision stays cheap.
	maxScan = 64
)

// Draw returns a suitable endpoint drawn at random from ids.
//
// It records in c why others were rejected.
func (v View) Draw(req *Requirements, ids []string, c *Choice) (Endpoint, bool) {
	if len(ids) == 0 {
		return Endpoint{}, false
	}
	for range maxDraws {
		if e, ok := v.getSuitable(req, ids[req.random()%uint64(len(ids))], c); ok {
			return e, true
		}
	}
	start := req.random() % uint64(len(ids))
	for i := range min(len(ids), maxScan) {
		if e, ok := v.getSuitable(req, ids[(start+uint64(i))%uint64(len(ids))], c); ok {
			return e, true
		}
	}
	return Endpoint{}, false
}

func (v View) getSuitable(req *Requirements, id string, c *Choice) (Endpoint, bool) {
	e, ok := v.Endpoints.Get(id)
	if !ok {
		return e, false
	}
	reason := exclusionReason(req, e)
	if reason != "" {
		c.reject(id, reason)
	}
	return e, reason == ""
}

// exclusionReason returns why an endpoint does not meet the requirements, or "".
func exclusionReason(req *Requirements, e Endpoint) Reason {
	if reason := UnavailableReason(e); reason != "" {
		return reason
	}
	for _, t := range req.Tried {
		if t == e.ID {
			return ReasonTried
		}
	}
	if req.Now.Before(e.RefusedUntil) {
		return ReasonRefused
	}
	if req.Now.Before(e.PauseRequestedUntil) {
		return ReasonPaused
	}
	if req.Now.Before(e.PausedUntil) {
		return ReasonLimited
	}
	if req.Blocks > 0 && !e.Report.At.IsZero() && e.Report.FreeBlocks < req.Blocks {
		return ReasonMemory
	}
	return ""
}
