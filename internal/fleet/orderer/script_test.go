package orderer_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

var callKinds = map[string]callKind{"lease": atLease, "record": atRecord, "read": atRead, "dial": atDial, "order": atOrder}

var faultKinds = map[string]faultKind{"lose": loseResponse, "late": takeEffectLate, "pause": pauseBefore, "pause-after": pauseAfter}

// TestScripts runs cases that random runs rarely reach. Each file says which
// failure it guards against. A violation fails the script.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		var sim *simulation
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "engine" {
				sim = newSimulation(t, variants[map[string]int{"ignores-tokens": 0, "checks-tokens": 1, "no-limit": 2}[d.CmdArgs[0].Key]])
			} else {
				sim.do(t, d)
			}
			if sim.violation != "" {
				t.Fatal(sim.violation)
			}
			return fmt.Sprintf("version=%s applied=%s\n", sim.engine.State().Version, strings.Join(sim.applied(), ","))
		})
	})
}

func (sim *simulation) do(t *testing.T, d *datadriven.TestData) {
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
		sim.changeTarget()
	case "run":
		sim.run(span(0))
	case "cut": // the first holder cannot reach the platform any more
		sim.nodes[0].partitioned = true
	case "fault": // fault CALL KIND SPAN [skip=N] [stays] [want], at the first holder
		f := fault{kind: faultKinds[arg(1)], span: span(2), repeats: d.HasArg("stays"), changesTarget: d.HasArg("want")}
		if d.HasArg("skip") {
			d.ScanArgs(t, "skip", &f.skip)
		}
		sim.nodes[0].faults[callKinds[arg(0)]] = f
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
}
