// Package attributor decides which parts of prompts crash endpoints.
//
// An endpoint that crashes takes all of its requests with it, so one crash says
// little. Evidence collects the crashes that the nodes have seen, each with the
// parts of the prompts to which the endpoint had not begun to respond. A part is
// cleared once a prompt with it is answered completely, as a part that crashes
// endpoints never is. What several crashes have in common is to blame, and explains
// these crashes: they no longer count against the other prompts that were there. A
// decision is a function of values.
package attributor

import (
	"slices"
	"time"
)

// Crash is the end of one endpoint as the nodes have seen it.
//
// It is an immutable value; the With methods return changed copies.
type Crash struct {
	// Endpoint identifies one start of the endpoint.
	Endpoint string
	EndedAt  time.Time
	// Suspects are the parts of the prompts to which it had not begun to respond. Known
	// are those of them that had been answered before, Cleared those that were answered
	// since. All are sorted.
	Suspects []string
	Known    []string
	Cleared  []string
	// Refuted means that the endpoint has responded to a later request, or had
	// announced that it was leaving.
	Refuted bool
}

const (
	// maxSuspects bounds the parts of one crash: engines process up to some hundred
	// requests at once, and a request has two or three parts that others share and two
	// of its own.
	maxSuspects = 1024
	// endTolerance is the difference from which on an earlier time of the end replaces
	// a later one. Times pass between nodes as ages, which only grow on their way.
	endTolerance = 20 * time.Millisecond
)

// WithSuspects returns a copy with further suspects.
func (c Crash) WithSuspects(parts ...string) Crash {
	c.Suspects = union(c.Suspects, parts, maxSuspects)
	return c
}

// WithCleared returns a copy in which the given parts, as far as they are suspects,
// are cleared.
func (c Crash) WithCleared(parts ...string) Crash {
	c.Cleared = union(c.Cleared, c.among(parts), maxSuspects)
	return c
}

// WithKnown returns a copy in which the given parts, as far as they are suspects, had
// been answered before.
func (c Crash) WithKnown(parts ...string) Crash {
	c.Known = union(c.Known, c.among(parts), maxSuspects)
	return c
}

// among returns those parts that are suspects.
func (c Crash) among(parts []string) []string {
	var out []string
	for _, p := range parts {
		if c.Has(p) {
			out = append(out, p)
		}
	}
	return out
}

// Has reports whether a part is among the suspects, cleared or not.
func (c Crash) Has(part string) bool {
	_, ok := slices.BinarySearch(c.Suspects, part)
	return ok
}

// WithRefuted returns a copy that does not count.
func (c Crash) WithRefuted() Crash {
	c.Refuted = true
	return c
}

// Merge returns what c and another account of the same crash say together, and
// whether that is more than c.
func (c Crash) Merge(o Crash) (merged Crash, changed bool) {
	merged = c
	merged.Suspects = union(c.Suspects, o.Suspects, maxSuspects)
	merged.Known = union(c.Known, o.Known, maxSuspects)
	merged.Cleared = union(c.Cleared, o.Cleared, maxSuspects)
	merged.Refuted = c.Refuted || o.Refuted
	changed = len(merged.Suspects) != len(c.Suspects) || len(merged.Known) != len(c.Known) ||
		len(merged.Cleared) != len(c.Cleared) || merged.Refuted != c.Refuted
	if o.EndedAt.Before(c.EndedAt.Add(-endTolerance)) {
		merged.EndedAt, changed = o.EndedAt, true
	}
	return merged, changed
}

// suspected returns the suspects that are not cleared.
func (c Crash) suspected() []string {
	if len(c.Cleared) == 0 {
		return c.Suspects
	}
	var open []string
	for _, p := range c.Suspects {
		if _, ok := slices.BinarySearch(c.Cleared, p); !ok {
			open = append(open, p)
		}
	}
	return open
}

// union returns the sorted elements of a, which is sorted, and b, up to a number of
// elements.
func union(a, b []string, most int) []string {
	out := a
	for _, p := range b {
		i, ok := slices.BinarySearch(out, p)
		if ok || len(out) >= most {
			continue
		}
		out = slices.Insert(slices.Clone(out), i, p)
	}
	return out
}
