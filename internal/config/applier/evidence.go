package applier

import (
	"slices"
	"time"

	"foxtailflow.example/foxtailflow/internal/inner/messenger"
)

// peerEvidence returns the newest moment at which a peer knew that no version
// above the given one existed; peers that use a newer roster do not count.
//
// The statements' ages count back from now, which is read before they are, so
// that no evidence seems younger than it is.
func peerEvidence(now time.Time, version uint64, r Roster, statements []messenger.State) time.Time {
	var newest time.Time
	for _, s := range statements {
		if !s.HasEvidence || s.ConfigVersion > version || s.RosterVersion > r.Version() {
			continue
		}
		if t := now.Add(-s.EvidenceAge); t.After(newest) {
			newest = t
		}
	}
	return newest
}

// majorityEvidence returns the newest moment at which a majority of the roster
// had stated that it cannot reach the store and has no version above the given
// one; zero if there is no such majority.
//
// A change that a majority has applied at some time leaves no majority that
// states an older version after that time, so the evidence ends FreshFor after
// it at the latest.
func majorityEvidence(now time.Time, version uint64, r Roster, statements []messenger.State) time.Time {
	var stated []time.Time
	for _, s := range statements {
		if !s.StoreUnreachable || s.ConfigVersion > version || !r.Has(s.Member()) {
			continue
		}
		if s.RosterVersion > r.Version() {
			// The majority must be one of the newer roster, which this node lacks.
			return time.Time{}
		}
		stated = append(stated, now.Add(-s.StatedAge))
	}
	if r.Version() == 0 || len(stated) < r.Majority() {
		return time.Time{}
	}
	slices.SortFunc(stated, func(a, b time.Time) int { return b.Compare(a) })
	// The oldest statement of the best majority dates the whole.
	return stated[r.Majority()-1]
}

// startVersion returns the version that a node without the store may start
// from: the newest that any member states, if a majority of the roster states
// one. Every accepted change is on at least one of a majority.
func startVersion(r Roster, statements []messenger.State) (from messenger.State, ok bool) {
	stated := 0
	for _, s := range statements {
		if s.RosterVersion > r.Version() || s.StatedAge > FreshFor {
			continue
		}
		if r.Has(s.Member()) {
			stated++
		}
		if s.ConfigVersion >= from.ConfigVersion {
			from = s
		}
	}
	return from, r.Version() > 0 && stated >= r.Majority()
}
