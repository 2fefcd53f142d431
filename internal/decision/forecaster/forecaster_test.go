package forecaster_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"foxtailflow.example/foxtailflow/internal/decision/forecaster"
)

// TestScripts guards against a forecast that lags behind a ramp or overshoots it.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var f forecaster.Forecast
		at := time.Unix(0, 0)
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			var count int
			var prefill, decode, prefillStep, ahead float64
			td.MaybeScanArgs(t, "count", &count)
			td.MaybeScanArgs(t, "prefill", &prefill)
			td.MaybeScanArgs(t, "decode", &decode)
			td.MaybeScanArgs(t, "prefill-step", &prefillStep)
			td.MaybeScanArgs(t, "ahead", &ahead)
			switch td.Cmd {
			case "samples":
				for range count {
					at = at.Add(time.Second)
					f = f.WithSample(at, forecaster.Demand{Prefill: prefill, Decode: decode})
					prefill += prefillStep
				}
				return fmt.Sprintf("level %.0f %.0f\n", f.Level().Prefill, f.Level().Decode)
			case "after":
				d := f.After(time.Duration(ahead * float64(time.Second)))
				return fmt.Sprintf("%.0f %.0f\n", d.Prefill, d.Decode)
			}
			td.Fatalf(t, "unknown command %s", td.Cmd)
			return ""
		})
	})
}
