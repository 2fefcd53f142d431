package balancer_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"foxtailflow.example/foxtailflow/internal/decision/balancer"
	"foxtailflow.example/foxtailflow/internal/decision/forecaster"
	"foxtailflow.example/foxtailflow/internal/decision/picker"
)

// TestScripts guards against role changes that cost more than they gain, against
// more engines unavailable than allowed, and against orders to an engine that is
// unavailable.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := balancer.State{
			Now: time.Unix(1000, 0), PrefillRate: 1000, DecodeRate: 1000,
			DrainTime: 5 * time.Second, ChangeTime: 5 * time.Second, MaxUnavailable: 1,
		}
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			switch td.Cmd {
			case "engines":
				s.Engines = parseEngines(t, td, s.Now)
				return ""
			case "demand":
				var d forecaster.Demand
				td.ScanArgs(t, "prefill", &d.Prefill)
				td.ScanArgs(t, "decode", &d.Decode)
				s.Forecast = forecaster.Forecast{}.WithSample(s.Now, d)
				return ""
			case "set":
				td.MaybeScanArgs(t, "max-away", &s.MaxUnavailable)
				return ""
			case "decide":
				var wait int
				td.MaybeScanArgs(t, "wait", &wait)
				s.Now = s.Now.Add(time.Duration(wait) * time.Second)
				d := balancer.CostBenefit{}.Decide(s)
				s.Wanted = d.Wanted
				return show(d)
			}
			td.Fatalf(t, "unknown command %s", td.Cmd)
			return ""
		})
	})
}

// parseEngines parses lines "ID ROLE IN-FLIGHT [away] [to=ROLE] [changed=SECONDS-AGO]".
func parseEngines(t *testing.T, td *datadriven.TestData, now time.Time) []balancer.Engine {
	var engines []balancer.Engine
	for line := range strings.Lines(td.Input) {
		f := strings.Fields(line)
		e := balancer.Engine{ID: f[0], Role: picker.Role(f[1])}
		_, err := fmt.Sscan(f[2], &e.InFlight)
		if err != nil {
			td.Fatalf(t, "%v", err)
		}
		for _, word := range f[3:] {
			ago := 0
			switch {
			case word == "away":
				e.Unavailable = true
			case strings.HasPrefix(word, "to="):
				e.Target = picker.Role(word[len("to="):])
			default:
				_, _ = fmt.Sscanf(word, "changed=%d", &ago)
				e.ChangedAt = now.Add(-time.Duration(ago) * time.Second)
			}
		}
		engines = append(engines, e)
	}
	return engines
}

func show(d balancer.Decision) string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "%s gain=%.1f price=%.1f\n", d.Reason, d.Gain, d.Price)
	for _, o := range d.Orders {
		_, _ = fmt.Fprintf(&b, "%s: %s to %s\n", o.Engine, o.From, o.To)
	}
	for _, r := range d.Rejected {
		_, _ = fmt.Fprintf(&b, "not %s: %s\n", r.Engine, r.Reason)
	}
	return b.String()
}
