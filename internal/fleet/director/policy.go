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
		counts = append(counts,
			Count{DataCentre: dc, Tier: definer.Spot, Want: want},
			Count{DataCentre: dc, Tier: definer.OnDemand, Want: p.dear(s, dc, want, most)})
	}
	return counts
}

// dear returns the number of dear endpoints wanted in a data centre.
//
// They stand in for cheap ones while those are not to be had. Else one leaves
// for each cheap one that has come, and half of them where cheap ones have no
// room.
func (p Steady) dear(s State, dc string, want, most int) int {
	cheap, have := s.live(dc, definer.Spot), s.live(dc, definer.OnDemand)
	switch {
	case s.Refused[dc]:
		return max(want-cheap, 0)
	case s.idle():
		return 0
	case have+cheap >= most:
		return max(have-max(cheap, (most+1)/2), 0)
	}
	return min(max(want-cheap, 0), have)
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

// shift returns how many engines of a data centre should change their role. A
// share between two whole numbers allows both, so that an engine which comes or
// goes changes no other.
func (p Steady) shift(engines, readers int) (from, to picker.Role, n int) {
	if engines < 2 {
		return picker.Both, picker.Both, 0
	}
	share := p.ReadShare * float64(engines)
	least := min(max(int(math.Floor(share)), 1), engines-1)
	most := min(max(int(math.Ceil(share)), 1), engines-1)
	if readers < least {
		return picker.Decode, picker.Prefill, least - readers
	}
	return picker.Prefill, picker.Decode, max(readers-most, 0)
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
		if status := picker.Status(e); (status == "" || status == picker.ReasonChanging) && e.Report.Role != picker.Both {
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
		from, to, n := p.shift(len(engines), readers)
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
