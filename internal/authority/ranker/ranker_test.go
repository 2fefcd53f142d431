package ranker_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"foxtailflow.example/foxtailflow/internal/authority/ranker"
)

// TestRank guards against duties that move although their node remains, against
// a ranking that depends on the order of the names, and against an uneven
// distribution of the duties.
func TestRank(t *testing.T) {
	is := is.New(t)
	var all []string
	for i := range 9 {
		all = append(all, fmt.Sprintf("node-%d", i))
	}
	moved, perNode := 0, make(map[string]int)
	for i := range 900 {
		d := fmt.Sprintf("placement/%d", i)
		before := ranker.Rank(d, all)
		perNode[before[0]]++
		after := ranker.Rank(d, append([]string{"node-8"}, all[1:8]...))
		if before[0] != after[0] {
			moved++
			is.Equal(before[0], "node-0") // only the duties of the lost node move
		}
	}
	is.Equal(moved, perNode["node-0"])
	for _, n := range all {
		is.True(perNode[n] > 60 && perNode[n] < 140) // about 100 each
	}
}
