package synchronizer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/usage/synchronizer"
)

// TestScripts guards against usage windows that shift when the time of day of a VM
// jumps.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		start := time.Unix(1000, 0)
		steady, wall := timekeeper.NewFake(start), timekeeper.NewFake(start)
		var offsets []time.Duration
		d := &synchronizer.Synchronizer{Steady: steady, Wall: wall, Offsets: func() []time.Duration { return offsets }}
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			arg := func(i int) time.Duration {
				v, err := time.ParseDuration(td.CmdArgs[i].Key)
				if err != nil {
					t.Fatal(err)
				}
				return v
			}
			switch td.Cmd {
			case "wall":
				wall.Advance(arg(0))
			case "pass":
				steady.Advance(arg(0))
				wall.Advance(arg(0))
			case "store":
				d.SetStoreClock(arg(0))
			case "published":
				offsets = nil
				for i := range td.CmdArgs {
					offsets = append(offsets, arg(i))
				}
			}
			own, ok := d.Offset()
			return fmt.Sprintf("now %v, own %v %v\n", d.Now().Sub(time.Unix(0, 0)), own, ok)
		})
	})
}
