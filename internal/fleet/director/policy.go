package director

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/decision/picker"
)

// Filled is a Policy that takes as many cheap endpoints as there may be, and has
// a steady share of the engines read prompts for the others.
//
// Cheap endpoints can be withdrawn, a data centre at a time, so each data
// centre has its part and a loss of one leaves the others. Dear ones stand in
// where cheap ones are not to be had. Reading prompts is what binds: all
// engines read that the answers do not need.
type Filled struct {
	// Cheap is the price of a cheap endpoint, as a share of that of a dear one, up
	// to which cheap ones are taken beyond the number that is there.
	Cheap float64
	// Readers is the share of engines that read.
	Readers float64
	// Occupancy is the share of the slots of the engines that answer up to which
	// answers in progress leave them as they are.
	Occupancy float64
}

// Counts returns the numbers wanted in each data centre.
func (p Filled) Counts(s State) []Count {
	var counts []Count
	for _, dc := range dataCentres(s.Deployment) {
		most, least := bounds(s.Deployment, dc)
		want := min(max(p.wantedTotal(s, dc, most), least), most)
		counts = append(counts,
			Count{DataCentre: dc, Tier: definer.Spot, Want: want},
			Count{DataCentre: dc, Tier: definer.OnDemand, Want: p.onDemand(s, dc, want, most)})
	}
	return counts
}

// wantedTotal returns the number of endpoints wanted in a data centre: as many as
// there may be where cheap ones cost little, else those that are there.
func (p Filled) wantedTotal(s State, dc string, most int) int {
	var spotCost, onDemandCost int
	for _, pl := range s.Deployment.Placements {
		if pl.DataCentre == dc && pl.Tier == definer.Spot {
			spotCost = pl.Cost
		}
		if pl.DataCentre == dc && pl.Tier == definer.OnDemand {
			onDemandCost = pl.Cost
		}
	}
	if float64(spotCost) <= p.Cheap*float64(onDemandCost) {
		return most
	}
	return s.live(dc, definer.Spot) + s.live(dc, definer.OnDemand)
}

// onDemand returns the number of dear endpoints wanted in a data centre.
//
// They stand in for cheap ones while those are not to be had. Else one leaves
// for each cheap one that has come, and half of them where cheap ones have no
// room.
func (p Filled) onDemand(s State, dc string, want, most int) int {
	spot, have := s.live(dc, definer.Spot), s.live(dc, definer.OnDemand)
	switch {
	case s.Refused[dc]:
		return max(want-spot, 0)
	case s.idle():
		return 0
	case have+spot >= most:
		return max(have-max(spot, (most+1)/2), 0)
	}
	return min(max(want-spot, 0), have)
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

// roleShift returns how many engines of a data centre should change their role.
func (p Filled) roleShift(s State, dc string, engines, prefilling int) (from, to picker.Role, n int) {
	if engines < 2 {
		return picker.Both, picker.Both, 0
	}
	decoding := engines - prefilling
	least, most := p.decodeBounds(s, dc, engines)
	switch {
	case decoding < least:
		return picker.Prefill, picker.Decode, least - decoding
	case decoding > most:
		return picker.Decode, picker.Prefill, decoding - most
	}
	return picker.Both, picker.Both, 0
}

// decodeBounds returns the least and most engines of a data centre that should
// answer.
//
// The share is steady, as the mix shifts back before a change of roles has paid
// for itself, but for a load that leaves no room for answers. Where the share is
// a whole number, one more may answer, so that an engine which comes or goes
// changes no other.
func (p Filled) decodeBounds(s State, dc string, engines int) (least, most int) {
	n := (1 - p.Readers) * float64(engines)
	if slots := float64(s.Deployment.Slots); slots > 0 {
		n = max(n, s.Answers[dc]/(p.Occupancy*slots))
	}
	least = min(max(int(math.Ceil(n)), 1), engines-1)
	return least, max(least, min(int(math.Floor(n))+1, engines-1))
}

// Roles returns changes that bring the share of readers in each data centre to
// what is wanted.
func (p Filled) Roles(s State) []Role {
	var roles []Role
	if s.Deployment.Engine.HandleLife <= 0 {
		return nil
	}
	byDataCentre := make(map[string][]picker.Endpoint)
	for _, e := range s.Endpoints {
		if status := picker.Status(e); (status == "" || status == picker.ReasonChanging) && e.Report.Role != picker.Both {
			byDataCentre[e.DataCentre] = append(byDataCentre[e.DataCentre], e)
		}
	}
	for _, dc := range slices.Sorted(maps.Keys(byDataCentre)) {
		engines := byDataCentre[dc]
		prefilling := 0
		for _, e := range engines {
			if e.Report.Role == picker.Prefill {
				prefilling++
			}
		}
		from, to, n := p.roleShift(s, dc, len(engines), prefilling)
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
