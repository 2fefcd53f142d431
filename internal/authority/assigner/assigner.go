// Package assigner says which data centres should have which duty.
//
// Every node computes the same ranking by rendezvous hashing, without talking to
// another: a data centre that comes or goes moves only the duties for which it
// ranks first. The ranking is a preference only; the lease decides.
package assigner

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns names in the order in which they should have the duty.
func Rank(duty string, names []string) []string {
	ranked := slices.Clone(names)
	slices.SortFunc(ranked, func(a, b string) int {
		x, y := weight(duty, a), weight(duty, b)
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		case a < b:
			return -1
		}
		return 1
	})
	return slices.Compact(ranked)
}

func weight(duty, name string) uint64 {
	// The zero byte keeps different pairs from having the same text.
	return xxhash.Sum64String(duty + "\x00" + name)
}
