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
	"foxtailflow.example/foxtailflow/internal/engine/controller"
	"foxtailflow.example/foxtailflow/internal/fleet/orderer"
)

type demand struct{ prefill, decode float64 }

func (d *demand) Demand(string) forecaster.Demand {
	return forecaster.Demand{Prefill: d.prefill, Decode: d.decode}
}

// harness runs an adviser for a deployment whose engines change their role as
// soon as it is ordered, or never if slow is set.
type harness struct {
	clock   *timekeeper.Fake
	demand  demand
	adviser *Adviser[balancer.CostBenefit, planner.LossTolerant]
	d       definer.Deployment
	engines []orderer.Engine
	changes []string
	wanted  []orderer.Count
	slow    bool
}

func newHarness() *harness {
	h := &harness{clock: timekeeper.NewFake(time.Unix(1000, 0))}
	h.adviser = &Adviser[balancer.CostBenefit, planner.LossTolerant]{Clock: h.clock, Log: zerolog.Nop(), DemandSource: &h.demand}
	h.d = definer.Deployment{
		Name: "m", Kind: definer.Model, Slots: 16, PrefillRate: 8000, DecodeRate: 1500, RoleChangeTime: 5 * time.Second, MaxUnavailable: 1,
		Placements: []definer.Placement{
			{DataCentre: "dc-1", Tier: definer.OnDemand, Min: 1, Max: 20, Cost: 4},
			{DataCentre: "dc-1", Tier: definer.Spot, Max: 20, Cost: 1},
			{DataCentre: "dc-2", Tier: definer.Spot, Max: 20, Cost: 1},
		},
	}
	return h
}

// run calls the adviser once a second for the given time. Engines have their
// target role one second later.
func (h *harness) run(seconds int) {
	for range seconds {
		var endpoints []picker.Endpoint
		for _, e := range h.engines {
			endpoints = append(endpoints, e.Endpoint)
		}
		h.wanted = h.adviser.Counts(h.d, endpoints)
		targets := h.adviser.Targets(h.d, h.engines)
		for i, e := range h.engines {
			if role := targets[e.Endpoint.ID].Role; role != "" && role != e.State.Role {
				if !h.slow {
					h.engines[i].State.Role = role
				}
				h.changes = append(h.changes, e.Endpoint.ID+" to "+role)
			}
		}
		h.clock.Advance(time.Second)
	}
}

// TestScripts guards against a new holder that changes the fleet before it has a
// forecast, against a second role change while one is not finished, and against
// orders for a data centre whose spot endpoints the platform has just reclaimed.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		h := newHarness()
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string { return h.do(t, td) })
	})
}

func (h *harness) do(t *testing.T, td *datadriven.TestData) string {
	switch td.Cmd {
	case "engines": // ID DATA-CENTRE TIER ROLE
		h.engines = nil
		for line := range strings.Lines(td.Input) {
			f := strings.Fields(line)
			h.engines = append(h.engines, orderer.Engine{
				Endpoint: picker.Endpoint{ID: f[0], DataCentre: f[1], Tier: definer.Tier(f[2]), Deployment: "m"},
				State:    controller.State{Role: f[3], Phase: phaseServing},
			})
		}
		return ""
	case "slow":
		h.slow = true
		return ""
	case "run": // SECONDS prefill=N decode=N
		var prefill, decode int
		td.ScanArgs(t, "prefill", &prefill)
		td.ScanArgs(t, "decode", &decode)
		h.demand = demand{prefill: float64(prefill), decode: float64(decode)}
		seconds, err := strconv.Atoi(td.CmdArgs[0].Key)
		if err != nil {
			t.Fatal(err)
		}
		h.changes = nil
		h.run(seconds)
		return h.output()
	}
	td.Fatalf(t, "unknown command %s", td.Cmd)
	return ""
}

func (h *harness) output() string {
	var b strings.Builder
	last := ""
	for _, c := range h.changes {
		if c != last {
			_, _ = fmt.Fprintln(&b, c)
		}
		last = c
	}
	for _, c := range h.wanted {
		_, _ = fmt.Fprintf(&b, "%s/%s %d\n", c.DataCentre, c.Tier, c.Target)
	}
	return b.String()
}
