package director

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/decision/picker"
)

// SpotFirst is a Policy that orders the maximum number of spot endpoints and
// keeps a constant share of the engines in the prefill role.
//
// The platform can reclaim the spot endpoints of a whole data centre at once, so
// each data centre has its share, and the loss of one leaves the others. On-demand
// endpoints replace spot endpoints that are unavailable. Prefill is the bottleneck,
// so all engines that are not needed for decoding do prefill.
type SpotFirst struct {
	// MaxSpotCost is the cost of a spot endpoint, as a share of that of an
	// on-demand one, up to which spot endpoints are ordered beyond the current
	// number.
	MaxSpotCost float64
	// PrefillShare is the share of prefill engines.
	PrefillShare float64
	// DecodeOccupancy is the share of the slots of the decode engines up to which
	// responses in progress cause no role changes.
	DecodeOccupancy float64
}

// Counts returns the target numbers of each data centre.
func (p SpotFirst) Counts(s State) []Count {
	var counts []Count
	for _, dc := range dataCentres(s.Deployment) {
		maximum, minimum := bounds(s.Deployment, dc)
		target := min(max(p.targetTotal(s, dc, maximum), minimum), maximum)
		counts = append(counts,
			Count{DataCentre: dc, Tier: definer.Spot, Target: target},
			Count{DataCentre: dc, Tier: definer.OnDemand, Target: p.onDemand(s, dc, target, maximum)})
	}
	return counts
}

// targetTotal returns the target number of endpoints in a data centre: the maximum
// if spot endpoints are cheap enough, else the current number.
func (p SpotFirst) targetTotal(s State, dc string, maximum int) int {
	var spotCost, onDemandCost int
	for _, pl := range s.Deployment.Placements {
		if pl.DataCentre == dc && pl.Tier == definer.Spot {
			spotCost = pl.Cost
		}
		if pl.DataCentre == dc && pl.Tier == definer.OnDemand {
			onDemandCost = pl.Cost
		}
	}
	if float64(spotCost) <= p.MaxSpotCost*float64(onDemandCost) {
		return maximum
	}
	return s.live(dc, definer.Spot) + s.live(dc, definer.OnDemand)
}

// onDemand returns the target number of on-demand endpoints in a data centre.
//
// They replace spot endpoints while those are unavailable. Otherwise, one is
// released for each spot endpoint that has arrived, and half of them if the
// maximum leaves no capacity for spot endpoints.
func (p SpotFirst) onDemand(s State, dc string, target, maximum int) int {
	spot, current := s.live(dc, definer.Spot), s.live(dc, definer.OnDemand)
	switch {
	case s.SpotRefused[dc]:
		return max(target-spot, 0)
	case s.idle():
		return 0
	case current+spot >= maximum:
		return max(current-max(spot, (maximum+1)/2), 0)
	}
	return min(max(target-spot, 0), current)
}

// dataCentres returns the data centres of a deployment's placements, sorted.
func dataCentres(d definer.Deployment) []string {
	var names []string
	for _, p := range d.Placements {
		names = append(names, p.DataCentre)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// bounds returns the maximum and minimum number of endpoints of all tiers in a
// data centre.
func bounds(d definer.Deployment, dc string) (maximum, minimum int) {
	for _, p := range d.Placements {
		if p.DataCentre == dc {
			maximum, minimum = max(maximum, p.Max), max(minimum, p.Min)
		}
	}
	return maximum, minimum
}

// roleShift returns how many engines of a data centre should change their role,
// and from which role to which.
func (p SpotFirst) roleShift(s State, dc string, engines, prefilling int) (from, to picker.Role, n int) {
	if engines < 2 {
		return picker.Both, picker.Both, 0
	}
	decoding := engines - prefilling
	minimum, maximum := p.decodeBounds(s, dc, engines)
	switch {
	case decoding < minimum:
		return picker.Prefill, picker.Decode, minimum - decoding
	case decoding > maximum:
		return picker.Decode, picker.Prefill, decoding - maximum
	}
	return picker.Both, picker.Both, 0
}

// decodeBounds returns the minimum and maximum number of decode engines in a data
// centre.
//
// The share is constant, because the load mix shifts back before a role change has
// paid off. Only a load that exceeds the decode capacity raises it. Where the
// number is whole, one more engine may decode, so that an engine that is added or
// removed causes no role change of another.
func (p SpotFirst) decodeBounds(s State, dc string, engines int) (minimum, maximum int) {
	n := (1 - p.PrefillShare) * float64(engines)
	if slots := float64(s.Deployment.Slots); slots > 0 {
		n = max(n, max(s.Responses[dc], s.responsesAfterLoss())/(p.occupancy(slots)*slots))
	}
	minimum = min(max(int(math.Ceil(n)), 1), engines-1)
	return minimum, max(minimum, min(int(math.Floor(n))+1, engines-1))
}

// randomMargin is the number of standard deviations of random arrivals for which an engine
// keeps free slots.
const randomMargin = 1.7

// occupancy returns the share of the slots of a decode engine up to which responses in
// progress cause no role changes. The fewer slots an engine has, the larger the share that
// random arrivals fill beyond the mean.
func (p SpotFirst) occupancy(slots float64) float64 {
	return min(p.DecodeOccupancy, max(1-randomMargin/math.Sqrt(slots), 0.3))
}

// responsesAfterLoss returns the responses in progress of a data centre once the platform has
// reclaimed the spot endpoints of another one: the others take its responses at once, and a
// role change takes seconds. It is 0 if no spot endpoints can be ordered.
func (s State) responsesAfterLoss() float64 {
	spot := func(pl definer.Placement) bool { return pl.Tier == definer.Spot && pl.Max > 0 }
	others := -1
	for _, dc := range dataCentres(s.Deployment) {
		// One in which nothing can be ordered takes over nothing.
		if maximum, _ := bounds(s.Deployment, dc); maximum > 0 {
			others++
		}
	}
	if others < 1 || !slices.ContainsFunc(s.Deployment.Placements, spot) {
		return 0
	}
	total := 0.0
	for _, n := range s.Responses {
		total += n
	}
	return total / float64(others)
}

// decodeLimited reports whether there are decode engines and all of them have named limits
// of requests, while a prefill engine has none.
//
// Each response takes a request at a decode engine and little of its time, so a limit
// there binds first; one engine without a limit takes the place of several.
func decodeLimited(engines []picker.Endpoint) bool {
	has := func(role picker.Role, limited bool) bool {
		return slices.ContainsFunc(engines, func(e picker.Endpoint) bool { return e.Report.Role == role && e.Limited == limited })
	}
	return has(picker.Decode, true) && !has(picker.Decode, false) && has(picker.Prefill, false)
}

// compareForRole orders engines that may change to a role: for decoding those without a
// limit of requests first, for prefill those with one, and then those with the fewest
// requests.
func compareForRole(a, b picker.Endpoint, role picker.Role) int {
	if a.Limited != b.Limited {
		if a.Limited == (role == picker.Prefill) {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.Sent+a.RemoteLoad.Requests, b.Sent+b.RemoteLoad.Requests), cmp.Compare(a.ID, b.ID))
}

// Roles returns the role changes that bring the share of prefill engines in each
// data centre to its target.
func (p SpotFirst) Roles(s State) []RoleTarget {
	var roles []RoleTarget
	if s.Deployment.Engine.HandleTTL <= 0 {
		return nil
	}
	byDataCentre := make(map[string][]picker.Endpoint)
	for _, e := range s.Endpoints {
		if status := picker.UnavailableReason(e); (status == "" || status == picker.ReasonChanging) && e.Report.Role != picker.Both {
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
		if n == 0 && decodeLimited(engines) {
			from, to, n = picker.Prefill, picker.Decode, 1
		}
		slices.SortFunc(engines, func(a, b picker.Endpoint) int { return compareForRole(a, b, to) })
		for _, e := range engines {
			if n > 0 && e.Report.Role == from {
				roles = append(roles, RoleTarget{Engine: e, Role: to})
				n--
			}
		}
	}
	return roles
}
