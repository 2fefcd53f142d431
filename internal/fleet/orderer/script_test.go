package orderer_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

var places = map[string]place{"lease": atLease, "record": atRecord, "read": atRead, "dial": atDial, "order": atOrder}

var kinds = map[string]faultKind{"lose": loseResponse, "late": takeEffectLate, "pause": pauseBefore, "pause-after": pauseAfter}

// TestScripts runs cases that random runs seldom meet; each file says which
// failure it guards against. A broken rule fails the script.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		var w *simulation
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "engine" {
				w = newSimulation(t, variants[map[string]int{"ignores-tokens": 0, "checks-tokens": 1, "no-limit": 2}[d.CmdArgs[0].Key]])
			} else {
				w.do(t, d)
			}
			if w.violation != "" {
				t.Fatal(w.violation)
			}
			return fmt.Sprintf("version=%s applied=%s\n", w.engine.State().Version, strings.Join(w.applied(), ","))
		})
	})
}

func (w *simulation) do(t *testing.T, d *datadriven.TestData) {
	arg := func(i int) string { return d.CmdArgs[i].Key }
	span := func(i int) time.Duration {
		v, err := time.ParseDuration(arg(i))
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
	switch d.Cmd {
	case "want":
		w.changeTarget()
	case "run":
		w.run(span(0))
	case "cut": // the first holder no longer reaches the platform
		w.nodes[0].partitioned = true
	case "fault": // fault PLACE KIND SPAN [skip=N] [stays] [want], of the first holder
		f := fault{kind: kinds[arg(1)], span: span(2), repeats: d.HasArg("stays"), changesTarget: d.HasArg("want")}
		if d.HasArg("skip") {
			d.ScanArgs(t, "skip", &f.skip)
		}
		w.nodes[0].faults[places[arg(0)]] = f
	default:
		t.Fatalf("there is no command %s", d.Cmd)
	}
}
