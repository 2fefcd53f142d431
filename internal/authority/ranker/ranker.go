// Package ranker ranks the data centres that should hold a duty.
//
// Every node computes the same ranking by rendezvous hashing, without
// communication. A data centre that is added or removed moves only the duties for
// which it ranks first. The ranking is only a preference; the lease decides which
// node holds a duty.
package ranker

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the names, without duplicates, in the order in which they should
// hold the duty.
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
	// The zero byte keeps different pairs from having the same input.
	return xxhash.Sum64String(duty + "\x00" + name)
}
