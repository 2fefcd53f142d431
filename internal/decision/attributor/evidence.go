package attributor

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Evidence holds the crashes of the recent past.
//
// It is an immutable value; the With methods return changed copies. Two nodes that
// merge what the other has have the same evidence, in whatever order and how often
// they do so.
type Evidence struct {
	crashes map[string]entry
	// revision counts the changes.
	revision uint64
}

// entry is a crash with the revision of its last change.
type entry struct {
	crash    Crash
	revision uint64
}

// maxCrashes bounds the number of crashes; the oldest are dropped first.
const maxCrashes = 128

// Empty reports whether there is no crash.
func (e Evidence) Empty() bool { return len(e.crashes) == 0 }

// Len returns the number of crashes.
func (e Evidence) Len() int { return len(e.crashes) }

// Revision returns the number of changes so far.
func (e Evidence) Revision() uint64 { return e.revision }

// Get returns the crash of an endpoint.
func (e Evidence) Get(endpoint string) (Crash, bool) {
	x, ok := e.crashes[endpoint]
	return x.crash, ok
}

// Since returns the crashes that have changed after a revision.
func (e Evidence) Since(revision uint64) []Crash {
	var changed []Crash
	for _, x := range e.crashes {
		if x.revision > revision {
			changed = append(changed, x.crash)
		}
	}
	slices.SortFunc(changed, byEnd)
	return changed
}

// byEnd orders crashes by their ends.
func byEnd(a, b Crash) int {
	return cmp.Or(a.EndedAt.Compare(b.EndedAt), cmp.Compare(a.Endpoint, b.Endpoint))
}

// WithCrash returns the evidence with an account of a crash merged into it. The
// revision stays the same if the account says nothing new.
func (e Evidence) WithCrash(c Crash) Evidence {
	x, ok := e.crashes[c.Endpoint]
	merged, changed := x.crash.Merge(c)
	switch {
	case !ok:
		merged = c
	case !changed:
		return e
	}
	e = e.with(merged)
	if len(e.crashes) > maxCrashes {
		delete(e.crashes, e.Since(0)[0].Endpoint)
	}
	return e
}

// with returns the evidence with one crash replaced. The map of the result is not yet
// shared.
func (e Evidence) with(c Crash) Evidence {
	e.revision++
	e.crashes = maps.Clone(e.crashes)
	if e.crashes == nil {
		e.crashes = make(map[string]entry)
	}
	e.crashes[c.Endpoint] = entry{crash: c, revision: e.revision}
	return e
}

// WithAnswered returns the evidence after a prompt with the given parts was answered
// completely: they are cleared of all crashes.
func (e Evidence) WithAnswered(parts []string) Evidence {
	for _, x := range e.crashes {
		if c := x.crash.WithCleared(parts...); len(c.Cleared) != len(x.crash.Cleared) {
			e = e.with(c)
		}
	}
	return e
}

// Without returns the evidence without the crashes before a time.
func (e Evidence) Without(before time.Time) Evidence {
	for id, x := range e.crashes {
		if x.crash.EndedAt.Before(before) {
			e.crashes = maps.Clone(e.crashes)
			delete(e.crashes, id)
		}
	}
	return e
}
