package measurer

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"foxtailflow.example/foxtailflow/internal/base/keeper"
	"foxtailflow.example/foxtailflow/internal/config/applier"
)

// Acceptance measures how quickly a change is in force on every node.
type Acceptance struct {
	Out     io.Writer
	Nodes   int
	Changes int
	// Fault is "none", "paused" or "cut": what happens to one node during each
	// change. A paused node goes on after up to 4 s.
	Fault string
	Seed  uint64
}

const keyText = "[client-account \"baden\"]\n[key \"k\"]\nclient-account = baden\n" +
	"hash = sha256:61de55ba3388aec4fdf6ecfc6eef846fb0f1b13e28cc8381270c27ffa313aee5\n"

// result are the durations of one kind of change.
type result struct {
	name string
	// last is until no node answers by the older version, answer until the
	// proposer has the answer.
	last, answer []time.Duration
	notInForce   int
	// late counts uses by the older version after the answer.
	late int
}

// Run accepts and withdraws a key again and again and prints the durations.
func (a Acceptance) Run(ctx context.Context) error {
	g, err := startMembers(ctx, a.Nodes)
	if err != nil {
		return err
	}
	defer g.close()
	_, _ = fmt.Fprintf(a.Out, "nodes %d, changes %d, fault %s, seed %d\n", a.Nodes, a.Changes, a.Fault, a.Seed)
	rng := rand.New(rand.NewPCG(a.Seed, 0))
	created, withdrawn := result{name: "acceptance"}, result{name: "withdrawal"}
	for range a.Changes {
		if err := a.change(ctx, g, rng, applier.Change{File: "k.ini", Data: []byte(keyText)}, &created); err != nil {
			return err
		}
		if err := a.change(ctx, g, rng, applier.Change{File: "k.ini", Removed: true}, &withdrawn); err != nil {
			return err
		}
	}
	created.print(a.Out)
	withdrawn.print(a.Out)
	return nil
}

// change makes one change through one node while another has the fault.
func (a Acceptance) change(ctx context.Context, g *members, rng *rand.Rand, c applier.Change, r *result) error {
	via := g.nodes[rng.IntN(len(g.nodes))]
	faulty := g.nodes[rng.IntN(len(g.nodes))]
	for faulty == via {
		faulty = g.nodes[rng.IntN(len(g.nodes))]
	}
	resume := time.Duration(rng.Int64N(int64(4 * time.Second)))
	version := via.applier.View().Version() + 1
	w := &watch{version: version}
	watching, stop := context.WithCancel(ctx)
	var wg conc.WaitGroup
	for _, m := range g.nodes {
		wg.Go(func() { w.follow(watching, m) })
	}
	switch a.Fault {
	case "paused":
		faulty.pause(true)
		timer := g.clock.AfterFunc(resume, func() { faulty.pause(false) })
		defer timer.Stop()
	case "cut":
		faulty.cut.Store(true)
	}
	began := g.clock.Now()
	accepted, err := via.applier.Propose(ctx, c, via.applier.View().Files.ChangedAt(c.File))
	answered := g.clock.Now()
	if err != nil && accepted.Version == 0 {
		stop()
		wg.Wait()
		return err
	}
	if !accepted.InForce {
		r.notInForce++
	}
	// A node that is paused for longer than the answer took goes on here, still
	// watched, before the next change.
	err = g.await(ctx, func(m *member) bool { return !m.paused.Get() })
	faulty.cut.Store(false)
	if err == nil {
		err = g.await(ctx, func(m *member) bool {
			return m.applier.View().Version() >= version && m.applier.Current() == nil
		})
	}
	stop()
	wg.Wait()
	last := began
	for _, t := range w.last.Values() {
		if t.After(last) {
			last = t
		}
	}
	if accepted.InForce && last.After(answered) {
		r.late++
	}
	r.last, r.answer = append(r.last, last.Sub(began)), append(r.answer, answered.Sub(began))
	return err
}

// watch notes when each node last answered by a version before a change.
type watch struct {
	version uint64
	last    keeper.Table[string, time.Time]
}

// follow asks a node every millisecond whether it would serve a request.
func (w *watch) follow(ctx context.Context, m *member) {
	for m.group.clock.Sleep(ctx, time.Millisecond) == nil {
		if m.unpaused(ctx) != nil {
			return
		}
		// As for a request: first the configuration, then its freshness. A pause
		// that begins between the two is a request that was there before it.
		at := m.group.clock.Now()
		v := m.applier.View()
		if m.applier.Current() == nil && v.Version() < w.version {
			w.last.Put(m.id, at)
		}
	}
}

func (r result) print(out io.Writer) {
	_, _ = fmt.Fprintf(out, "%s: last use of the older version median %v max %v; answer median %v max %v; not in force %d; uses after the answer %d; changes %d\n",
		r.name, median(r.last), slices.Max(r.last), median(r.answer), slices.Max(r.answer), r.notInForce, r.late, len(r.last))
}

func median(ds []time.Duration) time.Duration {
	ds = slices.Clone(ds)
	slices.Sort(ds)
	return ds[len(ds)/2]
}

// Cost measures what membership costs a node and the store.
type Cost struct {
	Out     io.Writer
	Sizes   []int
	For     time.Duration
	Changes int
}

// Run prints a line for each number of nodes, idle and under change.
func (c Cost) Run(ctx context.Context) error {
	for _, n := range c.Sizes {
		if err := c.measure(ctx, n); err != nil {
			return err
		}
	}
	return nil
}

func (c Cost) measure(ctx context.Context, n int) error {
	g, err := startMembers(ctx, n)
	if err != nil {
		return err
	}
	defer g.close()
	// What starting nodes tell of themselves more often must be over.
	if err := g.clock.Sleep(ctx, 15*time.Second); err != nil {
		return err
	}
	idle := g.sample()
	if err := g.clock.Sleep(ctx, c.For); err != nil {
		return err
	}
	busy := g.sample()
	busy.sub(idle).print(c.Out, "idle", n)
	seen := uint64(0)
	for i := range c.Changes {
		via := g.nodes[i%n]
		accepted, err := via.applier.Propose(ctx, applier.Change{File: "k.ini", Data: []byte(keyText)}, seen)
		if err != nil {
			return err
		}
		seen = accepted.Version
		if err := g.clock.Sleep(ctx, c.For/time.Duration(c.Changes)); err != nil {
			return err
		}
	}
	g.sample().sub(busy).print(c.Out, "one change a second", n)
	return nil
}

// sample is what was spent up to a moment.
type sample struct {
	at            time.Time
	reads, writes int64
	sent          int64
	processor     time.Duration
	// span is the time between two samples.
	span time.Duration
}

func (g *members) sample() sample {
	s := sample{at: g.clock.Now(), sent: g.sent.Load()}
	s.reads, s.writes = g.store.Counts()
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) == nil {
		s.processor = time.Duration(u.Utime.Nano() + u.Stime.Nano())
	}
	return s
}

func (s sample) sub(before sample) sample {
	return sample{
		at:        before.at,
		reads:     s.reads - before.reads,
		writes:    s.writes - before.writes,
		sent:      s.sent - before.sent,
		processor: s.processor - before.processor,
		span:      s.at.Sub(before.at),
	}
}

func (s sample) print(out io.Writer, name string, nodes int) {
	d := s.span.Seconds()
	_, _ = fmt.Fprintf(out, "%d nodes, %s, %.0f s: store %.2f reads/s %.2f writes/s; each node sends %.0f bytes/s and takes %.2f ms/s of processor time\n",
		nodes, name, d, float64(s.reads)/d, float64(s.writes)/d,
		float64(s.sent)/d/float64(nodes), float64(s.processor.Milliseconds())/d/float64(nodes))
}
