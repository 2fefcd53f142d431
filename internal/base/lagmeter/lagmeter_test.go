package lagmeter_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"foxtailflow.example/foxtailflow/internal/base/lagmeter"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
)

// TestScripts guards against a process that counts as prompt although it wakes late or has
// not woken at all, and against a lateness that counts for ever.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			clock := &lateClock{}
			m := &lagmeter.Meter{Clock: clock}
			datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
				switch d.Cmd {
				case "run":
					go m.Run(ctx)
				case "late":
					clock.late = parse(t, d)
				case "wait":
					time.Sleep(parse(t, d))
				default:
					d.Fatalf(t, "unknown command %s", d.Cmd)
				}
				synctest.Wait()
				return m.Lag(time.Now().Add(-2*time.Second)).String() + "\n"
			})
		})
	})
}

func parse(t *testing.T, d *datadriven.TestData) time.Duration {
	span, err := time.ParseDuration(d.CmdArgs[0].Key)
	if err != nil {
		t.Fatal(err)
	}
	return span
}

// lateClock wakes late.
type lateClock struct {
	timekeeper.System
	late time.Duration
}

// Sleep blocks for d and the lateness of the clock.
func (c *lateClock) Sleep(ctx context.Context, d time.Duration) error {
	return c.System.Sleep(ctx, d+c.late)
}
