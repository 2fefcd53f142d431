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

// variants are the kinds of engine. The last has no known limit: what is under
// way to it may arrive at any time.
var variants = []definer.Deployment{
	{Name: "d", Kind: definer.Model, Fencing: definer.FencingIgnored, OrderConnectionLimit: limit},
	{Name: "d", Kind: definer.Model, Fencing: definer.FencingChecked, OrderConnectionLimit: limit},
	{Name: "d", Kind: definer.Model, Fencing: definer.FencingIgnored},
}

// TestProperty drives leaser, orderer and sender of three processes through
// pauses, kills, restarts, outages, lost answers and late effects. At no time
// do two processes trust the same lease, and an engine applies orders in the
// order of their recording, each once. After the faults the engine gets what
// is wanted. The seed is printed.
func TestProperty(t *testing.T) {
	seeder.Rapid()
	t.Logf("run again with -rapid.seed=%s", flag.Lookup("rapid.seed").Value)
	for i, d := range variants {
		t.Run(fmt.Sprintf("%s-%v", d.Fencing, d.OrderConnectionLimit), func(t *testing.T) {
			orders := 0
			rapid.Check(t, func(rt *rapid.T) {
				w := newSimulation(rt, variants[i])
				rt.Repeat(w.actions())
				w.settle()
				orders += w.orders
			})
			t.Logf("orders recorded in all runs: %d", orders)
		})
	}
}

func newSimulation(t interface{ Fatal(...any) }, d definer.Deployment) *simulation {
	clock := timekeeper.NewFake(time.Unix(0, 0))
	w := &simulation{t: t, clock: clock, memory: &provider.Memory{Clock: clock}, deployment: d, draining: make(map[string]bool), targetVersion: "v0"}
	w.startEngine()
	for range 3 {
		w.nodes = append(w.nodes, w.newNode())
	}
	w.run(5 * time.Second)
	return w
}

// actions are what can happen; a fault waits for the next call of its kind.
func (w *simulation) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"run":    func(t *rapid.T) { w.run(span(t, 60)) },
		"freeze": func(t *rapid.T) { w.node(t).paused = true },
		"cut":    func(t *rapid.T) { w.node(t).partitioned = true },
		"thaw": func(*rapid.T) {
			for _, n := range w.nodes {
				n.paused, n.partitioned = false, false
			}
		},
		"restart": func(t *rapid.T) {
			i := slices.Index(w.nodes, w.node(t))
			w.nodes[i] = w.newNode()
		},
		"outage": func(t *rapid.T) {
			w.memory.SetFaults(provider.Faults{TableDown: rapid.Bool().Draw(t, "down")})
		},
		"fault": func(t *rapid.T) {
			w.node(t).faults[drawPlace(t)] = drawFault(t)
		},
		"engine-crash": func(*rapid.T) { w.startEngine() },
		"want": func(t *rapid.T) {
			w.changeTarget()
			w.run(span(t, 12))
		},
		"want-with-fault": func(t *rapid.T) {
			w.changeTarget()
			w.node(t).faults[drawPlace(t)] = drawFault(t)
			w.run(span(t, 12))
			w.changeTarget()
		},
		"": func(t *rapid.T) {
			w.check()
			if w.violation != "" {
				t.Fatal(w.violation)
			}
		},
	}
}

// node draws a process, most often the one that has the lease.
func (w *simulation) node(t *rapid.T) *node {
	if i := rapid.IntRange(-4, len(w.nodes)-1).Draw(t, "node"); i >= 0 {
		return w.nodes[i]
	}
	for _, n := range w.nodes {
		if _, ok := n.leaser.Grant("placement/d"); ok {
			return n
		}
	}
	return w.nodes[0]
}

func span(t *rapid.T, most int) time.Duration {
	return time.Duration(rapid.IntRange(1, most).Draw(t, "quarter-seconds")) * leaser.FollowEvery
}

func drawPlace(t *rapid.T) place {
	return rapid.SampledFrom([]place{atLease, atRecord, atRead, atDial, atOrder}).Draw(t, "place")
}

func drawFault(t *rapid.T) fault {
	return fault{
		kind: rapid.SampledFrom([]faultKind{loseResponse, takeEffectLate, pauseBefore, pauseAfter}).Draw(t, "kind"),
		skip: rapid.IntRange(0, 2).Draw(t, "skip"),
		span: span(t, 40),
	}
}

func (w *simulation) changeTarget() {
	w.targets++
	w.targetVersion = fmt.Sprintf("v%d", w.targets)
}

// violate notes the first broken rule; the next check at the top reports it.
func (w *simulation) violate(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, args...)
	}
}

// check notes a broken rule.
func (w *simulation) check() {
	var holders []string
	for _, n := range w.nodes {
		if g, ok := n.leaser.Grant("placement/d"); ok {
			holders = append(holders, fmt.Sprintf("%s token %d", n.leaser.Name, g.Token))
		}
	}
	if len(holders) > 1 {
		w.violate("two processes trust the lease: %v", holders)
	}
	applied := w.applied()
	for i := 1; i < len(applied); i++ {
		if applied[i] <= applied[i-1] {
			w.violate("orders took effect as %v\n%s", applied, strings.Join(w.engine.Record(), "\n"))
		}
	}
	if w.deployment.Fencing == definer.FencingIgnored && w.deployment.OrderConnectionLimit == 0 && len(applied) > 1 {
		w.violate("an engine without a known limit got a second order: %v", applied)
	}
}

// applied returns the orders that took effect at the engine, as they came.
func (w *simulation) applied() []string {
	var ids []string
	for _, line := range w.engine.Record() {
		if id, ok := strings.CutPrefix(line, "applied id="); ok {
			ids = append(ids, id)
		}
	}
	return ids
}

// settle ends all faults and expects the engine to become what is wanted.
func (w *simulation) settle() {
	w.memory.SetFaults(provider.Faults{})
	for _, n := range w.nodes {
		n.paused, n.partitioned = false, false
		n.faults = make(map[place]fault)
	}
	w.run(90 * time.Second)
	w.check()
	if w.violation != "" {
		w.t.Fatal(w.violation)
	}
	replaced := slices.ContainsFunc(w.memory.Record(), func(line string) bool { return strings.Contains(line, "withdraw=e1") })
	if got := w.engine.State().Version; got != w.targetVersion && !replaced {
		w.t.Fatal(fmt.Sprintf("the engine has version %q, not %q, and is not replaced", got, w.targetVersion))
	}
}

func (w *simulation) startEngine() {
	w.engine = generator.New(w.clock, generator.Settings{CheckFencing: w.deployment.Fencing == definer.FencingChecked})
}

// run moves the clock and lets every process that is not paused do its tasks.
func (w *simulation) run(d time.Duration) {
	for end := w.clock.Now().Add(d); w.clock.Now().Before(end); w.clock.Advance(leaser.FollowEvery) {
		w.ticks++
		for _, n := range w.nodes {
			if n.paused {
				continue
			}
			n.exclusively(func() {
				_ = n.leaser.Follow(context.Background())
				if w.ticks%4 == 0 {
					_ = n.orderer.Run(context.Background())
				}
			})
			w.check()
		}
	}
}
