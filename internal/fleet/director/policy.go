package director

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/decision/picker"
)

// Steady is a Policy that keeps the same number of cheap endpoints in each data
// centre and a fixed share of them reading prompts.
//
// Cheap endpoints can be withdrawn, a data centre at a time, so each data
// centre has its part and a loss of one leaves the others. Dear ones stand in
// where cheap ones are not to be had.
type Steady struct {
	// PerDataCentre is the number of endpoints wanted in each data centre.
	PerDataCentre int
	// ReadShare is the share of engines that read prompts for the others.
	ReadShare float64
}

// Counts returns the numbers wanted in each data centre.
func (p Steady) Counts(s State) []Count {
	var counts []Count
	for _, dc := range dataCentres(s.Deployment) {
		most, least := bounds(s.Deployment, dc)
		want := min(max(p.PerDataCentre, least), most)
		ready := 0
		for _, e := range s.Endpoints {
			if e.DataCentre == dc && e.Tier == definer.Spot && picker.Status(e) != picker.ReasonLeaving {
				ready++
			}
		}
		spot, dear := want, 0
		if s.Refused[dc] && ready == 0 {
			spot, dear = 0, min(want, most)
		} else if ready < want {
			// The dear ones stay until the cheap ones have come.
			dear = -1
		}
		counts = append(counts, Count{DataCentre: dc, Tier: definer.Spot, Want: spot})
		if dear >= 0 {
			counts = append(counts, Count{DataCentre: dc, Tier: definer.OnDemand, Want: dear})
		}
	}
	return counts
}

// dataCentres returns the data centres of a deployment's placements, in order.
func dataCentres(d definer.Deployment) []string {
	var names []string
	for _, p := range d.Placements {
		names = append(names, p.DataCentre)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// bounds returns the most and least endpoints of all tiers in a data centre.
func bounds(d definer.Deployment, dc string) (most, least int) {
	for _, p := range d.Placements {
		if p.DataCentre == dc {
			most, least = max(most, p.Max), max(least, p.Min)
		}
	}
	return most, least
}

// Roles returns changes that bring the share of readers in each data centre to
// what is wanted.
func (p Steady) Roles(s State) []Role {
	var roles []Role
	if s.Deployment.Engine.HandleLife <= 0 {
		return nil
	}
	by := make(map[string][]picker.Endpoint)
	for _, e := range s.Endpoints {
		if picker.Status(e) == "" && e.Report.Role != picker.Both {
			by[e.DataCentre] = append(by[e.DataCentre], e)
		}
	}
	for _, dc := range slices.Sorted(maps.Keys(by)) {
		engines := by[dc]
		readers := 0
		for _, e := range engines {
			if e.Report.Role == picker.Prefill {
				readers++
			}
		}
		want := min(max(int(math.Round(p.ReadShare*float64(len(engines)))), 1), len(engines)-1)
		from, to, n := picker.Decode, picker.Prefill, want-readers
		if n < 0 {
			from, to, n = picker.Prefill, picker.Decode, -n
		}
		if len(engines) < 2 {
			n = 0
		}
		// The least busy change first.
		slices.SortFunc(engines, func(a, b picker.Endpoint) int {
			return cmp.Or(cmp.Compare(a.Sent+a.Elsewhere.Requests, b.Sent+b.Elsewhere.Requests), cmp.Compare(a.ID, b.ID))
		})
		for _, e := range engines {
			if n > 0 && e.Report.Role == from {
				roles = append(roles, Role{Engine: e, Role: to})
				n--
			}
		}
	}
	return roles
}
