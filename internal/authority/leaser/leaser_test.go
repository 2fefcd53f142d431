package leaser

import (
	"context"
	"fmt"
	"maps"
	"net/url"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/lab/provider"
)

// cluster has several nodes that watch the duty "d" in one in-memory platform.
type cluster struct {
	clock  *timekeeper.Fake
	memory *provider.Memory
	nodes  map[string]*Leaser
	paused map[string]bool
}

func (w *cluster) add(name string, rank int) {
	w.nodes[name] = &Leaser{
		Clock:   w.clock,
		Table:   w.memory,
		Name:    name,
		Watches: func() map[string]int { return map[string]int{"d": rank} },
		Random:  func() float64 { return 0.5 },
	}
}

func (w *cluster) names() []string { return slices.Sorted(maps.Keys(w.nodes)) }

// run moves the clock and lets the nodes that are not paused do what is due.
func (w *cluster) run(t *testing.T, d time.Duration) {
	for end := w.clock.Now().Add(d); w.clock.Now().Before(end); w.clock.Advance(FollowEvery) {
		for _, n := range w.names() {
			if !w.paused[n] {
				_ = w.nodes[n].Follow(context.Background())
			}
		}
		if held := w.held(); len(held) > 1 {
			t.Fatalf("two holders: %v", held)
		}
	}
}

func (w *cluster) held() []string {
	var held []string
	for _, n := range w.names() {
		for _, g := range w.nodes[n].Held() {
			held = append(held, fmt.Sprintf("%s fencing-token=%d", n, g.Token))
		}
	}
	return held
}

func (w *cluster) do(t *testing.T, d *datadriven.TestData) string {
	arg := func(i int) string { return d.CmdArgs[i].String() }
	switch d.Cmd {
	case "nodes":
		for i := range d.CmdArgs {
			w.add(arg(i), i)
		}
	case "run":
		span, err := time.ParseDuration(arg(0))
		if err != nil {
			t.Fatal(err)
		}
		w.run(t, span)
	case "restart":
		// The name of a process is that of its node and of its start.
		name, _, _ := strings.Cut(arg(0), ".")
		start := arg(1)
		delete(w.nodes, arg(0))
		w.add(start, 0)
		w.nodes[start].Former = func(holder string) bool { return holder != start && strings.HasPrefix(holder, name+".") }
	case "hurry":
		w.nodes[arg(0)].Hurry()
	case "pause", "resume":
		w.paused[arg(0)] = d.Cmd == "pause"
	case "release":
		w.nodes[arg(0)].Release(context.Background())
	case "faults":
		q, _ := url.ParseQuery(strings.Join(strings.Fields(d.Input), "&"))
		w.memory.SetFaults(provider.Faults{TableDown: q.Has("table-down"), LoseAnswers: float64(len(q["lose-answers"]))})
	default:
		t.Fatalf("there is no command %s", d.Cmd)
	}
	if held := w.held(); len(held) > 0 {
		return strings.Join(held, "\n") + "\n"
	}
	return "no holder\n"
}

// TestScripts runs scripts of several nodes that contend for one duty. It
// fails at once if two nodes trust a lease of the duty at the same time.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		clock := timekeeper.NewFake(time.Unix(0, 0))
		w := &cluster{
			clock:  clock,
			memory: &provider.Memory{Clock: clock},
			nodes:  make(map[string]*Leaser),
			paused: make(map[string]bool),
		}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return w.do(t, d) })
	})
}

// TestManyDuties guards against a deadlock when more duties than the pool has
// workers are renewed and others are released in the same pass.
func TestManyDuties(t *testing.T) {
	clock := timekeeper.NewFake(time.Unix(0, 0))
	watches := make(map[string]int)
	for i := range 100 {
		watches[fmt.Sprint(i)] = 0
	}
	l := &Leaser{Clock: clock, Table: &provider.Memory{Clock: clock}, Name: "a", Watches: func() map[string]int { return watches }}
	for i := range 40 {
		if i == 20 {
			for j := range 50 {
				delete(watches, fmt.Sprint(j))
			}
			clock.Advance(DefaultTimes().RenewEvery)
		}
		_ = l.Follow(context.Background())
		clock.Advance(FollowEvery)
	}
	if n := len(l.Held()); n != 50 {
		t.Fatalf("%d duties are held, not 50", n)
	}
}
