package orderer_test

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"foxtailflow.example/foxtailflow/internal/authority/leaser"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/lab/generator"
	"foxtailflow.example/foxtailflow/internal/lab/provider"
	"foxtailflow.example/foxtailflow/internal/lab/seeder"
)

const limit = 5 * time.Second

// variants are the kinds of engines. The last has no known connection limit, so
// an order that is in flight to it may arrive at any time.
var variants = []definer.Deployment{
	{Name: "d", Kind: definer.Model, Fencing: definer.FencingIgnored, OrderConnectionLimit: limit},
	{Name: "d", Kind: definer.Model, Fencing: definer.FencingChecked, OrderConnectionLimit: limit},
	{Name: "d", Kind: definer.Model, Fencing: definer.FencingIgnored},
}

// TestProperty runs leaser, orderer and sender of three processes through pauses,
// kills, restarts, engine crashes, outages, lost responses and late effects. It guards
// against two processes that trust the same lease, against orders that an engine
// applies twice or not in the order of their recording, and against an engine that
// does not reach its target after the faults. The seed is printed.
func TestProperty(t *testing.T) {
	seeder.SetRapidSeed()
	t.Logf("run again with -rapid.seed=%s", flag.Lookup("rapid.seed").Value)
	for i, d := range variants {
		t.Run(fmt.Sprintf("%s-%v", d.Fencing, d.OrderConnectionLimit), func(t *testing.T) {
			orders := 0
			rapid.Check(t, func(rt *rapid.T) {
				sim := newSimulation(rt, variants[i])
				rt.Repeat(sim.actions())
				sim.settle()
				orders += sim.orders
			})
			t.Logf("orders recorded in all runs: %d", orders)
		})
	}
}

func newSimulation(t interface{ Fatal(...any) }, d definer.Deployment) *simulation {
	clock := timekeeper.NewFake(time.Unix(0, 0))
	sim := &simulation{t: t, clock: clock, memory: &provider.Memory{Clock: clock}, deployment: d, draining: make(map[string]bool), targetVersion: "v0"}
	sim.startEngine()
	for range 3 {
		sim.nodes = append(sim.nodes, sim.newNode())
	}
	sim.run(5 * time.Second)
	return sim
}

// actions returns the possible actions. A fault happens at the next call of its
// kind.
func (sim *simulation) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"run":    func(t *rapid.T) { sim.run(span(t, 60)) },
		"freeze": func(t *rapid.T) { sim.node(t).paused = true },
		"cut":    func(t *rapid.T) { sim.node(t).partitioned = true },
		"thaw": func(*rapid.T) {
			for _, n := range sim.nodes {
				n.paused, n.partitioned = false, false
			}
		},
		"restart": func(t *rapid.T) {
			i := slices.Index(sim.nodes, sim.node(t))
			sim.nodes[i] = sim.newNode()
		},
		"outage": func(t *rapid.T) {
			sim.memory.SetFaults(provider.Faults{TableDown: rapid.Bool().Draw(t, "down")})
		},
		"fault": func(t *rapid.T) {
			sim.node(t).faults[drawCall(t)] = drawFault(t)
		},
		"engine-crash": func(*rapid.T) { sim.startEngine() },
		"want": func(t *rapid.T) {
			sim.changeTarget()
			sim.run(span(t, 12))
		},
		"want-with-fault": func(t *rapid.T) {
			sim.changeTarget()
			sim.node(t).faults[drawCall(t)] = drawFault(t)
			sim.run(span(t, 12))
			sim.changeTarget()
		},
		"": func(t *rapid.T) {
			sim.check()
			if sim.violation != "" {
				t.Fatal(sim.violation)
			}
		},
	}
}

// node draws a process, mostly the one that holds the lease.
func (sim *simulation) node(t *rapid.T) *node {
	if i := rapid.IntRange(-4, len(sim.nodes)-1).Draw(t, "node"); i >= 0 {
		return sim.nodes[i]
	}
	for _, n := range sim.nodes {
		if _, ok := n.leaser.Grant("placement/d"); ok {
			return n
		}
	}
	return sim.nodes[0]
}

func span(t *rapid.T, most int) time.Duration {
	return time.Duration(rapid.IntRange(1, most).Draw(t, "quarter-seconds")) * leaser.StepInterval
}

func drawCall(t *rapid.T) callKind {
	return rapid.SampledFrom([]callKind{atLease, atRecord, atRead, atDial, atOrder}).Draw(t, "place")
}

func drawFault(t *rapid.T) fault {
	return fault{
		kind: rapid.SampledFrom([]faultKind{loseResponse, takeEffectLate, pauseBefore, pauseAfter}).Draw(t, "kind"),
		skip: rapid.IntRange(0, 2).Draw(t, "skip"),
		span: span(t, 40),
	}
}

func (sim *simulation) changeTarget() {
	sim.targets++
	sim.targetVersion = fmt.Sprintf("v%d", sim.targets)
}

// violate records the first violation. The checks between actions report it.
func (sim *simulation) violate(format string, args ...any) {
	if sim.violation == "" {
		sim.violation = fmt.Sprintf(format, args...)
	}
}

// check records a violation if two processes trust the lease, if an order took
// effect twice or out of order, or if an engine without a known connection limit
// got a second order.
func (sim *simulation) check() {
	var holders []string
	for _, n := range sim.nodes {
		if g, ok := n.leaser.Grant("placement/d"); ok {
			holders = append(holders, fmt.Sprintf("%s token %d", n.leaser.Name, g.Token))
		}
	}
	if len(holders) > 1 {
		sim.violate("two processes trust the lease: %v", holders)
	}
	applied := sim.applied()
	for i := 1; i < len(applied); i++ {
		if applied[i] <= applied[i-1] {
			sim.violate("orders took effect as %v\n%s", applied, strings.Join(sim.engine.Record(), "\n"))
		}
	}
	if sim.deployment.Fencing == definer.FencingIgnored && sim.deployment.OrderConnectionLimit == 0 && len(applied) > 1 {
		sim.violate("an engine without a known connection limit got a second order: %v", applied)
	}
}

// applied returns the orders that took effect at the engine, in the order in
// which they arrived.
func (sim *simulation) applied() []string {
	var ids []string
	for _, line := range sim.engine.Record() {
		if id, ok := strings.CutPrefix(line, "applied id="); ok {
			ids = append(ids, id)
		}
	}
	return ids
}

// settle ends all faults and fails if the engine does not reach its target and is
// not replaced.
func (sim *simulation) settle() {
	sim.memory.SetFaults(provider.Faults{})
	for _, n := range sim.nodes {
		n.paused, n.partitioned = false, false
		n.faults = make(map[callKind]fault)
	}
	sim.run(90 * time.Second)
	sim.check()
	if sim.violation != "" {
		sim.t.Fatal(sim.violation)
	}
	replaced := slices.ContainsFunc(sim.memory.Record(), func(line string) bool { return strings.Contains(line, "withdraw=e1") })
	if got := sim.engine.State().Version; got != sim.targetVersion && !replaced {
		sim.t.Fatal(fmt.Sprintf("the engine has version %q, not %q, and is not replaced", got, sim.targetVersion))
	}
}

func (sim *simulation) startEngine() {
	sim.engine = generator.New(sim.clock, generator.Settings{CheckFencing: sim.deployment.Fencing == definer.FencingChecked})
}

// run advances the clock and runs the tasks of every process that is not paused.
func (sim *simulation) run(d time.Duration) {
	for end := sim.clock.Now().Add(d); sim.clock.Now().Before(end); sim.clock.Advance(leaser.StepInterval) {
		sim.ticks++
		for _, n := range sim.nodes {
			if n.paused {
				continue
			}
			n.exclusively(func() {
				_ = n.leaser.RunDue(context.Background())
				if sim.ticks%4 == 0 {
					_ = n.orderer.Run(context.Background())
				}
			})
			sim.check()
		}
	}
}
