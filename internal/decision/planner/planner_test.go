package planner_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/decision/planner"
)

// TestScripts guards against a fleet that is too small after the loss of one data
// centre's cheap endpoints, against duplicate orders, and against giving back
// endpoints that running work needs.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := planner.State{Now: time.Unix(100_000, 0)}
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			minutes := func(key string) time.Time {
				n := 0
				td.MaybeScanArgs(t, key, &n)
				return s.Now.Add(-time.Duration(n) * time.Minute)
			}
			switch td.Cmd {
			case "placements":
				s.Deployment.Placements = nil
				lines(t, td, func(dc, tier string, f []int) {
					s.Deployment.Placements = append(s.Deployment.Placements, definer.Placement{
						DataCentre: dc, Tier: definer.Tier(tier), Min: f[0], Max: f[1], Cost: f[2],
					})
				})
			case "fleet":
				s.Endpoints = nil
				lines(t, td, func(dc, tier string, f []int) {
					for i := range f[0] {
						s.Endpoints = append(s.Endpoints, planner.Endpoint{
							ID: fmt.Sprintf("%s-%s-%d", dc, tier, i+1), DataCentre: dc, Tier: definer.Tier(tier), InFlight: 10 - i,
						})
					}
				})
			case "pending":
				s.Pending = nil
				lines(t, td, func(dc, tier string, f []int) {
					s.Pending = append(s.Pending, planner.Pending{DataCentre: dc, Tier: definer.Tier(tier), Missing: f[0], Since: minutes("age")})
				})
			case "withdrawn":
				s.Withdrawn = nil
				lines(t, td, func(dc, tier string, _ []int) {
					s.Withdrawn = append(s.Withdrawn, planner.Withdrawn{DataCentre: dc, Tier: definer.Tier(tier), At: minutes("age")})
				})
			case "plan":
				wait := 0
				td.ScanArgs(t, "need", &s.Need)
				td.MaybeScanArgs(t, "running", &s.Running)
				td.MaybeScanArgs(t, "wait", &wait)
				s.Now = s.Now.Add(time.Duration(wait) * time.Minute)
				d := planner.LossTolerant{ExpensiveOnly: td.HasArg("expensive")}.Plan(s)
				s.SurplusSince = d.SurplusSince
				return show(d)
			default:
				td.Fatalf(t, "unknown command %s", td.Cmd)
			}
			return ""
		})
	})
}

// lines parses lines "DATA-CENTRE TIER NUMBER...".
func lines(t *testing.T, td *datadriven.TestData, f func(dc, tier string, numbers []int)) {
	for line := range strings.Lines(td.Input) {
		words := strings.Fields(line)
		var numbers []int
		for _, w := range words[2:] {
			n := 0
			if _, err := fmt.Sscan(w, &n); err != nil {
				td.Fatalf(t, "%v", err)
			}
			numbers = append(numbers, n)
		}
		f(words[0], words[1], numbers)
	}
}

func show(d planner.Decision) string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "%s survives=%d cost=%d targets", d.Reason, d.Survivors, d.Cost)
	for _, t := range d.Targets {
		_, _ = fmt.Fprintf(&b, " %s/%s=%d", t.DataCentre, t.Tier, t.Count)
	}
	b.WriteString("\n")
	for _, o := range d.Orders {
		_, _ = fmt.Fprintf(&b, "%s/%s add %d withdraw %v\n", o.DataCentre, o.Tier, o.Add, o.Withdraw)
	}
	for _, r := range d.Rejected {
		_, _ = fmt.Fprintf(&b, "not %s: %s\n", r.Name, r.Reason)
	}
	return b.String()
}
