// Package assigner says which nodes should have which duty.
//
// Every node computes the same ranking from the same list of live nodes by
// rendezvous hashing, without talking to another: a node that comes or goes
// moves only the duties for which it ranks first. The ranking is a preference
// only. Lists may differ between nodes for a while; the lease decides.
package assigner

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Watchers is the number of nodes that watch one duty. A duty is without a
// watcher only if that many nodes fail before the list of live nodes changes.
const Watchers = 3

// Live lists the nodes that are believed to run.
type Live interface {
	Live() []string
}

// Self is a Live that knows of one node only.
type Self string

// Live returns the node.
func (s Self) Live() []string { return []string{string(s)} }

// Assigner ranks one node among the live ones.
type Assigner struct {
	Node string
	Live Live
	// Duties lists the duties that there are at present.
	Duties func() []string
}

// Watches returns the duties that the node watches, with its rank in each.
func (a Assigner) Watches() map[string]int {
	nodes := a.Live.Live()
	if !slices.Contains(nodes, a.Node) {
		nodes = append(slices.Clone(nodes), a.Node)
	}
	watches := make(map[string]int)
	for _, d := range a.Duties() {
		if i := slices.Index(Rank(d, nodes), a.Node); i < Watchers {
			watches[d] = i
		}
	}
	return watches
}

// Rank returns the nodes in the order in which they should have the duty.
func Rank(duty string, nodes []string) []string {
	ranked := slices.Clone(nodes)
	slices.SortFunc(ranked, func(a, b string) int {
		x, y := score(duty, a), score(duty, b)
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

func score(duty, node string) uint64 {
	// The zero byte keeps different pairs from having the same text.
	return xxhash.Sum64String(duty + "\x00" + node)
}
