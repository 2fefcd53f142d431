package assigner_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"foxtailflow.example/foxtailflow/internal/authority/assigner"
)

// TestRank guards against duties that move although their node stays, and
// against a ranking that depends on the order of the list.
func TestRank(t *testing.T) {
	is := is.New(t)
	var all []string
	for i := range 9 {
		all = append(all, fmt.Sprintf("node-%d", i))
	}
	moved, per := 0, make(map[string]int)
	for i := range 900 {
		d := fmt.Sprintf("placement/%d", i)
		before := assigner.Rank(d, all)
		per[before[0]]++
		after := assigner.Rank(d, append([]string{"node-8"}, all[1:8]...))
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
