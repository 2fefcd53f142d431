package attributor

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minCrashes is the number of crashes, at different times, that blame a part. If
	// endpoints crash in quick succession, two times and minEndpoints are enough.
	minCrashes   = 3
	minTimes     = 2
	minEndpoints = 4
	// minCrashesKnown is the same for a part that was answered before the crashes. A
	// part that most prompts share is at each crash, and while all endpoints are down,
	// nothing clears it.
	minCrashesKnown = 8
	// SettleTime is how long after a crash it counts only as a suspicion: the reports
	// of all nodes, and good responses that clear a part, may still be on their way.
	SettleTime = 1200 * time.Millisecond
	// groupTime is the time within which crashes count as one event: endpoints that
	// fail together, as with a rack, are no evidence against what only some of them
	// held.
	groupTime = 50 * time.Millisecond
)

// Pattern is a set of prompt parts, sorted by name. A prompt matches it if it has all
// of them.
type Pattern []string

// Key returns a short name of the pattern.
func (p Pattern) Key() string {
	return strconv.FormatUint(xxhash.Sum64String(strings.Join(p, ",")), 16)
}

// Matches reports whether all parts of the pattern are among parts.
func (p Pattern) Matches(parts []string) bool {
	for _, name := range p {
		if !slices.Contains(parts, name) {
			return false
		}
	}
	return len(p) > 0
}

// Finding is a pattern that several crashes have in common.
type Finding struct {
	Pattern Pattern
	// Endpoints are those that have crashed.
	Endpoints []string
}

// Suspicion is what is held against one part.
type Suspicion struct {
	// Crashes is the number of events that nothing else explains, Endpoints that of the
	// endpoints that have crashed in them.
	Crashes   int
	Endpoints int
	// Known means that the part was answered before one of them.
	Known bool
	// HoldUntil is when a decision on the part is due; the zero time means that there
	// are too few crashes for one.
	HoldUntil time.Time
}

// LikelyHarmful reports whether a prompt with the part is to be handled as one that may
// crash its endpoint. A part that was answered before is more likely to be there by
// chance.
func (s Suspicion) LikelyHarmful() bool {
	return s.Crashes > 0 && !s.Known || s.Crashes >= minCrashesKnown/2
}

// blamed reports whether the crashes are enough to blame the part.
func (s Suspicion) blamed() bool {
	if s.Known {
		return s.Crashes >= minCrashesKnown
	}
	return s.Crashes >= minCrashes || s.Crashes >= minTimes && s.Endpoints >= minEndpoints
}

// with returns the suspicion after one more event.
func (s Suspicion) with(part string, g group) Suspicion {
	s.Crashes++
	s.Endpoints += len(g.crashes)
	s.Known = s.Known || slices.ContainsFunc(g.crashes, func(c Crash) bool {
		_, ok := slices.BinarySearch(c.Known, part)
		return ok
	})
	return s
}

// Assessment is what the evidence says at a time.
type Assessment struct {
	Findings []Finding
	// Suspects are the parts with crashes that no finding explains.
	Suspects map[string]Suspicion
	// Next is when the assessment changes without further evidence; the zero time means
	// never.
	Next time.Time
}

// group is one event: crashes within groupTime.
type group struct {
	crashes []Crash
	// common are the parts that are suspects of all of them.
	common  []string
	settles time.Time
	// explained means that a pattern explains it. Then only the parts of that are
	// common.
	explained bool
}

// Assess returns what the evidence says. Crashes that a known pattern explains are no
// evidence against anything else.
func (e Evidence) Assess(now time.Time, known []Pattern) Assessment {
	groups := e.groups()
	for _, p := range slices.SortedFunc(slices.Values(known), slices.Compare) {
		groups = explain(groups, p)
	}
	var a Assessment
	for {
		f, ok := strongest(groups, now)
		if !ok {
			break
		}
		a.Findings = append(a.Findings, f)
		groups = explain(groups, f.Pattern)
	}
	a.Suspects = make(map[string]Suspicion)
	for _, g := range groups {
		if g.explained {
			continue
		}
		for _, p := range g.common {
			a.Suspects[p] = a.Suspects[p].with(p, g)
		}
		if now.Before(g.settles) && (a.Next.IsZero() || g.settles.Before(a.Next)) {
			a.Next = g.settles
		}
	}
	for _, g := range groups {
		for _, p := range g.common {
			if s := a.Suspects[p]; !g.explained && s.blamed() && g.settles.After(s.HoldUntil) {
				s.HoldUntil = g.settles
				a.Suspects[p] = s
			}
		}
	}
	return a
}

// groups returns the events, in the order of time.
func (e Evidence) groups() []group {
	var groups []group
	for _, c := range e.Since(0) {
		if c.Refuted {
			continue
		}
		last := len(groups) - 1
		if last < 0 || c.EndedAt.Sub(groups[last].crashes[0].EndedAt) > groupTime {
			groups = append(groups, group{common: c.suspected()})
			last++
		}
		g := &groups[last]
		g.crashes = append(g.crashes, c)
		g.settles = c.EndedAt.Add(SettleTime)
		g.common = intersection(g.common, c.suspected())
	}
	return groups
}

// intersection returns the elements of a that are also in b, which is sorted.
func intersection(a, b []string) []string {
	var both []string
	for _, p := range a {
		if _, ok := slices.BinarySearch(b, p); ok {
			both = append(both, p)
		}
	}
	return both
}

// explain returns the groups after those that a pattern explains are marked.
func explain(groups []group, p Pattern) []group {
	after := slices.Clone(groups)
	for i, g := range after {
		if p.Matches(g.common) {
			after[i].common, after[i].explained = p, true
		}
	}
	return after
}

// strongest returns the parts that are blamed for the most settled groups. Parts that
// were there each time together cannot be told apart, and only prompts with all of them
// are known to crash endpoints. A part that was answered before is blamed only if no
// other one is.
//
// Groups that a pattern explains count as well, against its parts only, once minTimes
// groups that none explains have the part, too: then the pattern was too narrow, as if
// one request, sent again, was blamed for what a part of its prompt does.
func strongest(groups []group, now time.Time) (f Finding, ok bool) {
	members := make(map[string][]int)
	unexplained := make(map[string]int)
	suspicions := make(map[string]Suspicion)
	for i, g := range groups {
		if now.Before(g.settles) {
			continue
		}
		for _, p := range g.common {
			members[p] = append(members[p], i)
			if !g.explained {
				unexplained[p]++
			}
			suspicions[p] = suspicions[p].with(p, g)
		}
	}
	best := ""
	for p, s := range suspicions {
		if unexplained[p] >= minTimes && s.blamed() && (best == "" || stronger(s, suspicions[best], members[p], members[best])) {
			best = p
		}
	}
	if best == "" {
		return Finding{}, false
	}
	for p, in := range members {
		if suspicions[p].Known == suspicions[best].Known && slices.Equal(in, members[best]) {
			f.Pattern = append(f.Pattern, p)
		}
	}
	slices.Sort(f.Pattern)
	for _, i := range members[best] {
		for _, c := range groups[i].crashes {
			f.Endpoints = append(f.Endpoints, c.Endpoint)
		}
	}
	return f, true
}

// stronger reports whether the suspicion a, for some events, is stronger than b.
func stronger(a, b Suspicion, inA, inB []int) bool {
	if a.Known != b.Known {
		return b.Known
	}
	if len(inA) != len(inB) {
		return len(inA) > len(inB)
	}
	return slices.Compare(inA, inB) < 0
}
