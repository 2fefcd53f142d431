package queuer_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/rs/zerolog"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/decision/admitter"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
	"foxtailflow.example/foxtailflow/internal/request/queuer"
)

type job struct {
	request carrier.Request
	mu      sync.Mutex
	err     error
}

func (j *job) Request() carrier.Request { return j.request }

func (j *job) Refuse(err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.err = err
}

func (j *job) refused() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.err
}

// stubNode provides the configuration, capacity and remote load that the queue
// reads.
type stubNode struct {
	slots, inFlight int
	rate            float64
	backlog         int
	nodes           int
	work            map[string]admitter.RemoteLoad
}

func (n *stubNode) Capacity(d definer.Deployment) admitter.Capacity {
	if n.slots == 0 || d.Name == "n" {
		return admitter.Capacity{}
	}
	return admitter.Capacity{Slots: n.slots, Requests: n.inFlight, PrefillRate: n.rate, Backlog: n.backlog}
}

func (n *stubNode) RemoteLoad() (int, map[string]admitter.RemoteLoad) { return n.nodes, n.work }

func (n *stubNode) Config() (definer.Config, error) { return config, nil }

var config = func() definer.Config {
	limits := definer.DefaultLimits()
	limits.MaxQueue = 40
	return definer.New(definer.Definitions{
		Accounts:    []definer.Account{{Name: "big", Share: 1}, {Name: "small", Share: 1}, {Name: "few", Share: 1, MaxConcurrent: 2}},
		Deployments: []definer.Deployment{{Name: "m", Slots: 4}, {Name: "n", Slots: 4}},
		Limits:      limits,
	})
}()

// harness drives a queue from a script; Next never blocks.
type harness struct {
	node    *stubNode
	clock   *timekeeper.Fake
	q       *queuer.Queue[*job]
	jobs    []*job
	started []*job
}

// TestScripts guards against a worker that gets a job for a deployment without
// capacity, an expired job that stays queued, lost jobs, and unfair shares
// between nodes.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &harness{node: &stubNode{nodes: 1}, clock: timekeeper.NewFake(time.Unix(1000, 0))}
		s.q = &queuer.Queue[*job]{Clock: s.clock, Log: zerolog.Nop(), Configs: s.node, Capacity: s.node, Peers: s.node}
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string { return s.run(t, td) })
	})
}

func (s *harness) run(t *testing.T, td *datadriven.TestData) string {
	name, count := "", 1
	if len(td.CmdArgs) > 0 {
		name = td.CmdArgs[0].Key
	}
	td.MaybeScanArgs(t, "count", &count)
	switch td.Cmd {
	case "add":
		return s.add(t, td, name, count)
	case "next":
		return s.next(t, count)
	case "done":
		for range count {
			r := carrier.Result{Usage: carrier.Usage{PromptTokens: 100, OutputTokens: 10}}
			if td.HasArg("given-up") {
				r.Err = coder.New(coder.DeadlinePassed, "the deadline has passed")
			}
			s.q.Done(s.started[0], r)
			s.started = s.started[1:]
		}
	case "room":
		td.ScanArgs(t, "slots", &s.node.slots)
		td.ScanArgs(t, "busy", &s.node.inFlight)
		td.MaybeScanArgs(t, "nodes", &s.node.nodes)
		s.node.rate, s.node.backlog = 0, 0
		td.MaybeScanArgs(t, "rate", &s.node.rate)
		td.MaybeScanArgs(t, "backlog", &s.node.backlog)
		s.q.UpdateRemoteLoad()
		for range count {
			s.clock.Advance(250 * time.Millisecond)
			s.q.UpdateCapacity()
		}
	case "elsewhere":
		var e admitter.RemoteLoad
		td.MaybeScanArgs(t, "done", &e.RecentWork)
		td.MaybeScanArgs(t, "running", &e.Requests)
		s.node.work = map[string]admitter.RemoteLoad{name: e}
		s.q.UpdateRemoteLoad()
	case "advance":
		d, err := time.ParseDuration(name)
		if err != nil {
			td.Fatalf(t, "%v", err)
		}
		s.clock.Advance(d)
		refused := 0
		for _, j := range s.jobs {
			if j.refused() != nil {
				refused++
			}
		}
		return fmt.Sprintf("%d refused while queued\n", refused)
	default:
		td.Fatalf(t, "unknown command %s", td.Cmd)
	}
	return ""
}

func (s *harness) add(t *testing.T, td *datadriven.TestData, account string, count int) string {
	deadline, to := 60, "m"
	td.MaybeScanArgs(t, "deadline", &deadline)
	td.MaybeScanArgs(t, "to", &to)
	admitted, lastError := 0, ""
	for range count {
		now := s.clock.Now()
		j := &job{request: carrier.Request{
			ID: "req", Account: account, PromptTokens: 100, MaxTokens: 10,
			Route:    definer.Route{Kind: definer.Model, Deployment: to, Priority: 5},
			Deadline: now.Add(time.Duration(deadline) * time.Second),
		}}
		if err := s.q.Add(j); err != nil {
			lastError = "; " + err.Error()
			continue
		}
		admitted++
		s.jobs = append(s.jobs, j)
	}
	return fmt.Sprintf("%d admitted%s\n", admitted, lastError)
}

// next takes up to count jobs, until none has capacity.
func (s *harness) next(t *testing.T, count int) string {
	var order []string
	for range count {
		// With a context that is done, Next returns a job that is ready, or none,
		// without blocking.
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		j, ok := s.q.Next(ctx)
		if !ok {
			order = append(order, "none")
			break
		}
		s.started = append(s.started, j)
		order = append(order, j.request.Account)
	}
	return strings.Join(order, " ") + "\n"
}

// TestNextWakes guards against a worker that misses a job and a job that is
// lost when its worker stops: every job is handed out exactly once.
func TestNextWakes(t *testing.T) {
	node := &stubNode{}
	q := &queuer.Queue[*job]{Clock: timekeeper.System{}, Log: zerolog.Nop(), Configs: node}
	const jobs, workers = 400, 16
	var wg sync.WaitGroup
	var mu sync.Mutex
	got := make(map[*job]int)
	ctx, cancel := context.WithCancel(t.Context())
	for i := range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; ; n++ {
				// Some workers stop at once, as when a node shuts down.
				c, stop := ctx, context.CancelFunc(func() {})
				if i%2 == 0 && n%3 == 0 {
					c, stop = context.WithTimeout(ctx, time.Microsecond)
				}
				j, ok := q.Next(c)
				stop()
				if ok {
					mu.Lock()
					got[j]++
					mu.Unlock()
					q.Done(j, carrier.Result{})
				}
				if ctx.Err() != nil {
					return
				}
			}
		}()
	}
	for i := range jobs {
		j := &job{request: carrier.Request{Account: fmt.Sprint(i % 7), Deadline: time.Now().Add(time.Minute)}}
		for q.Add(j) != nil {
			// The queue is full until the workers catch up.
			q.UpdateCapacity()
		}
	}
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		mu.Lock()
		n := len(got)
		mu.Unlock()
		if n == jobs {
			break
		}
	}
	cancel()
	wg.Wait()
	if len(got) != jobs {
		t.Fatalf("%d of %d jobs were handed out", len(got), jobs)
	}
	for _, n := range got {
		if n != 1 {
			t.Fatalf("a job was handed out %d times", n)
		}
	}
}
