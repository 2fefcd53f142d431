package picker_test

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"foxtailflow.example/foxtailflow/internal/base/keeper"
	"foxtailflow.example/foxtailflow/internal/decision/picker"
)

var start = time.Unix(1000, 0)

// TestScripts guards against work for endpoints that take none, against all nodes
// choosing the same endpoint after a lagging report, and against an overloaded
// cache holder.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		rows := &keeper.Table[string, picker.Endpoint]{}
		var all []picker.Endpoint
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			switch td.Cmd {
			case "endpoints":
				all = nil
				for line := range strings.Lines(td.Input) {
					e := parseEndpoint(strings.Fields(line))
					all = append(all, e)
					rows.Put(e.ID, e)
				}
				return ""
			case "late":
				// The endpoint changes after the set was prepared.
				rows.Update(td.CmdArgs[0].Key, func(e picker.Endpoint, _ bool) (picker.Endpoint, bool) {
					return e.WithDraining(true), true
				})
				return ""
			case "report":
				return reportScript(t, td)
			case "pick":
				return pickScript(t, td, all, rows)
			}
			td.Fatalf(t, "unknown command %s", td.Cmd)
			return ""
		})
	})
}

func pickScript(t *testing.T, td *datadriven.TestData, all []picker.Endpoint, rows *keeper.Table[string, picker.Endpoint]) string {
	n := picker.Requirements{Now: start, DataCentre: "dc-1", Priority: picker.NormalPriority}
	var phase, holders, tried string
	td.MaybeScanArgs(t, "phase", &phase)
	td.MaybeScanArgs(t, "holder", &holders)
	td.MaybeScanArgs(t, "tried", &tried)
	td.MaybeScanArgs(t, "pieces", &n.Blocks)
	td.MaybeScanArgs(t, "priority", &n.Priority)
	n.Phase, n.MayRetry = picker.Role(phase), td.HasArg("may-repeat")
	if holders != "" {
		n.Holders = []string{holders}
	}
	if tried != "" {
		n.Tried = strings.Split(tried, "+")
	}
	mean := 0
	for _, e := range all {
		mean += e.Load() / len(all)
	}
	v := picker.View{Set: picker.NewSet(all), Endpoints: rows, Mean: mean}
	chosen, reasons := make(map[string]int), make(map[string]bool)
	for i := range 100 {
		n.Random = uint64(i)
		c := picker.Picker[picker.PrefixAffinity[picker.TwoChoices]]{}.Pick(n, v)
		if !c.OK {
			chosen["none"]++
			continue
		}
		chosen[c.Endpoint.ID]++
		reasons[c.Reason] = true
	}
	var b strings.Builder
	for _, id := range slices.Sorted(maps.Keys(chosen)) {
		_, _ = fmt.Fprintf(&b, "%s=%d ", id, chosen[id])
	}
	_, _ = fmt.Fprintf(&b, "%s\n", strings.Join(slices.Sorted(maps.Keys(reasons)), "; "))
	for _, r := range v.Set.Excluded() {
		_, _ = fmt.Fprintf(&b, "out %s: %s\n", r.Endpoint, r.Reason)
	}
	return b.String()
}

// parseEndpoint parses "ID DATA-CENTRE [KEY=VALUE | FLAG]...".
func parseEndpoint(f []string) picker.Endpoint {
	e := picker.Endpoint{ID: f[0], DataCentre: f[1]}
	r := picker.Report{At: start, FreeBlocks: 1000, Role: picker.Both}
	for _, word := range f[2:] {
		key, value, _ := strings.Cut(word, "=")
		n, _ := strconv.Atoi(value)
		switch key {
		case "in-flight":
			r.InFlight = n
		case "backlog":
			r.Backlog = n
		case "free":
			r.FreeBlocks = n
		case "role":
			r.Role = picker.Role(value)
		case "leaving":
			e = e.WithLeaving(true)
		case "signals":
			r.Leaving = true
		case "announced":
			e = e.WithAnnounced(true)
		case "asks-pause":
			e = e.WithPauseRequested(start.Add(time.Second))
		case "changing":
			r.Changing = true
		case "draining":
			e = e.WithDraining(true)
		case "unconfirmed":
			e = e.WithUnconfirmed(true)
		case "ejected":
			e = e.WithFailure(start.Add(time.Duration(n) * time.Second))
		case "probing":
			e = e.WithProbe(start.Add(time.Second))
		}
	}
	return e.WithReport(r)
}

// reportScript sends requests between reports that lag by 2 s and shows the
// corrected number of requests.
func reportScript(t *testing.T, td *datadriven.TestData) string {
	e := picker.Endpoint{}
	var b strings.Builder
	for line := range strings.Lines(td.Input) {
		var at float64
		var sent, done, inFlight int
		if _, err := fmt.Sscanf(line, "at=%f sent=%d done=%d reported=%d", &at, &sent, &done, &inFlight); err != nil {
			td.Fatalf(t, "%v", err)
		}
		for range sent {
			e = e.WithSent(100)
		}
		for range done {
			e = e.WithDone(100)
		}
		e = e.WithReport(picker.Report{At: start.Add(time.Duration(at * float64(time.Second))), Lag: 2 * time.Second, InFlight: inFlight})
		_, _ = fmt.Fprintf(&b, "at %.1f: %d requests\n", at, e.Requests())
	}
	return b.String()
}
