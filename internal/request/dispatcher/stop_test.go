package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
)

// TestStop guards against a node that takes a request in a planned stop that it has to cut
// off before it is complete.
func TestStop(t *testing.T) {
	datadriven.RunTest(t, "testdata/stop", func(t *testing.T, d *datadriven.TestData) string {
		clock := timekeeper.NewFake(time.Unix(1000, 0))
		x := &Dispatcher{Clock: clock}
		var took []string
		target, deadline, end := "0s", "6s", ""
		d.MaybeScanArgs(t, "target", &target)
		d.MaybeScanArgs(t, "deadline", &deadline)
		d.MaybeScanArgs(t, "end", &end)
		for _, a := range d.CmdArgs {
			if a.Key == "took" {
				took = a.Vals
			}
		}
		r := carrier.Request{Arrived: clock.Now(), Deadline: clock.Now().Add(span(t, deadline)), Route: definer.Route{Name: "chat", LatencyTarget: span(t, target)}}
		for _, text := range took {
			x.recordDuration(carrier.Request{Arrived: clock.Now().Add(-span(t, text)), Route: r.Route}, carrier.Result{Complete: !d.HasArg("cut")})
		}
		if end != "" {
			x.EndBy(clock.Now().Add(span(t, end)))
		}
		fitted, err := x.fitToStop(r)
		if err != nil {
			e := coder.FromError(err)
			return fmt.Sprintf("refused: %d %s\n", e.Code(), e.Outcome())
		}
		return fmt.Sprintf("taken for %v\n", fitted.Deadline.Sub(clock.Now()))
	})
}

func span(t *testing.T, text string) time.Duration {
	t.Helper()
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}
