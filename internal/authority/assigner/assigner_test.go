package assigner_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"foxtailflow.example/foxtailflow/internal/authority/assigner"
)

type nodes []string

func (n nodes) Live() []string { return n }

// TestRank guards against duties that move although their node stays, and
// against a ranking that depends on the order of the list.
func TestRank(t *testing.T) {
	is := is.New(t)
	var all nodes
	for i := range 9 {
		all = append(all, fmt.Sprintf("node-%d", i))
	}
	moved, per := 0, make(map[string]int)
	for i := range 900 {
		d := fmt.Sprintf("placement/%d", i)
		before := assigner.Rank(d, all)
		per[before[0]]++
		after := assigner.Rank(d, append(nodes{"node-8"}, all[1:8]...))
		if before[0] != after[0] {
			moved++
			is.Equal(before[0], "node-0") // only the duties of the lost node move
		}
	}
	is.Equal(moved, per["node-0"])
	for _, n := range all {
		is.True(per[n] > 60 && per[n] < 140) // about 100 each
	}
}

// TestWatches guards against a duty with fewer watchers than stated.
func TestWatches(t *testing.T) {
	is := is.New(t)
	all := nodes{"a", "b", "c", "d", "e"}
	ranks := make(map[int]int)
	for _, n := range all {
		a := assigner.Assigner{Node: n, Live: all, Duties: func() []string { return []string{"placement/x"} }}
		for _, rank := range a.Watches() {
			ranks[rank]++
		}
	}
	is.Equal(ranks, map[int]int{0: 1, 1: 1, 2: 1})
}
