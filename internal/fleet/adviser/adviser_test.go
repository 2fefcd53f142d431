package adviser

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/rs/zerolog"

	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/decision/balancer"
	"foxtailflow.example/foxtailflow/internal/decision/forecaster"
	"foxtailflow.example/foxtailflow/internal/decision/picker"
	"foxtailflow.example/foxtailflow/internal/decision/planner"
	"foxtailflow.example/foxtailflow/internal/engine/speaker"
	"foxtailflow.example/foxtailflow/internal/fleet/orderer"
)

type demand struct{ prefill, decode float64 }

func (d *demand) Demand(string) forecaster.Demand {
	return forecaster.Demand{Prefill: d.prefill, Decode: d.decode}
}

// harness is a deployment whose engines take a role as soon as it is wanted.
type harness struct {
	clock   *timekeeper.Fake
	demand  demand
	adviser *Adviser[balancer.Priced, planner.Surviving]
	d       definer.Deployment
	engines []orderer.Engine
	changes []string
	wanted  []orderer.Count
	slow    bool
}

func newHarness() *harness {
	w := &harness{clock: timekeeper.NewFake(time.Unix(1000, 0))}
	w.adviser = &Adviser[balancer.Priced, planner.Surviving]{Clock: w.clock, Log: zerolog.Nop(), Demands: &w.demand}
	w.d = definer.Deployment{
		Name: "m", Kind: definer.Model, Slots: 16, PrefillRate: 8000, DecodeRate: 1500, RoleChange: 5 * time.Second, MaxAway: 1,
		Placements: []definer.Placement{
			{DataCentre: "dc-1", Tier: definer.OnDemand, Min: 1, Max: 20, Cost: 4},
			{DataCentre: "dc-1", Tier: definer.Spot, Max: 20, Cost: 1},
			{DataCentre: "dc-2", Tier: definer.Spot, Max: 20, Cost: 1},
		},
	}
	return w
}

// run lets seconds pass; a role that is wanted is there a second later.
func (w *harness) run(seconds int) {
	for range seconds {
		var endpoints []picker.Endpoint
		for _, e := range w.engines {
			endpoints = append(endpoints, e.Endpoint)
		}
		w.wanted = w.adviser.Counts(w.d, endpoints)
		targets := w.adviser.Targets(w.d, w.engines)
		for i, e := range w.engines {
			if role := targets[e.Endpoint.ID].Role; role != "" && role != e.State.Role {
				if !w.slow {
					w.engines[i].State.Role = role
				}
				w.changes = append(w.changes, e.Endpoint.ID+" to "+role)
			}
		}
		w.clock.Advance(time.Second)
	}
}

// TestScripts guards against a holder that changes a fleet of which it has
// seen nothing, against a second change while one is not finished, and against
// orders for a place whose cheap endpoints were just taken back.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		w := newHarness()
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string { return w.do(t, td) })
	})
}

func (w *harness) do(t *testing.T, td *datadriven.TestData) string {
	switch td.Cmd {
	case "engines": // ID DATA-CENTRE TIER ROLE
		w.engines = nil
		for line := range strings.Lines(td.Input) {
			f := strings.Fields(line)
			w.engines = append(w.engines, orderer.Engine{
				Endpoint: picker.Endpoint{ID: f[0], DataCentre: f[1], Tier: definer.Tier(f[2]), Deployment: "m"},
				State:    speaker.State{Role: f[3], Phase: phaseServing},
			})
		}
		return ""
	case "slow":
		w.slow = true
		return ""
	case "run": // SECONDS prefill=N decode=N
		var prefill, decode int
		td.ScanArgs(t, "prefill", &prefill)
		td.ScanArgs(t, "decode", &decode)
		w.demand = demand{prefill: float64(prefill), decode: float64(decode)}
		seconds, err := strconv.Atoi(td.CmdArgs[0].Key)
		if err != nil {
			t.Fatal(err)
		}
		w.changes = nil
		w.run(seconds)
		return w.output()
	}
	td.Fatalf(t, "unknown command %s", td.Cmd)
	return ""
}

func (w *harness) output() string {
	var b strings.Builder
	last := ""
	for _, c := range w.changes {
		if c != last {
			_, _ = fmt.Fprintln(&b, c)
		}
		last = c
	}
	for _, c := range w.wanted {
		_, _ = fmt.Fprintf(&b, "%s/%s %d\n", c.DataCentre, c.Tier, c.Want)
	}
	return b.String()
}
