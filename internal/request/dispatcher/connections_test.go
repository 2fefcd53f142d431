package dispatcher_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"foxtailflow.example/foxtailflow/internal/base/runner"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/decision/picker"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
	"foxtailflow.example/foxtailflow/internal/request/dispatcher"
	"foxtailflow.example/foxtailflow/internal/request/forwarder"
)

// TestConnections guards against a node that alone opens all the connections that
// an endpoint takes from all nodes: those beyond are reset, and a request on one
// is of unknown outcome.
func TestConnections(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct{ most, nodes, want int }{{370, 9, 82}, {0, 9, 0}, {4, 9, 1}} {
		n := &single{nodes: c.nodes, config: definer.New(definer.Definitions{
			Deployments: []definer.Deployment{{Name: "llm", Kind: definer.Model, MaxConnections: c.most}},
		})}
		n.ask(t)
		is.Equal(n.seen, []string{fmt.Sprintf("read %d", c.want), fmt.Sprintf("run %d", c.want)})
	}
}

// single is a node with one engine that does nothing but note attempts.
type single struct {
	config definer.Config
	nodes  int
	seen   []string
}

func (n *single) ask(t *testing.T) {
	q := &jobs{runner.Queue[*dispatcher.Job]{Limit: 1}}
	d := &dispatcher.Dispatcher{
		Clock: timekeeper.System{}, Log: zerolog.Nop(), Configs: n, Chooser: n, Endpoints: unnoted{}, Forwarder: n, Queue: q,
		Nodes: func() int { return n.nodes },
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go runner.Pool[*dispatcher.Job]{Workers: 1, Source: q, Handle: d.Handle}.Run(ctx)
	d.Do(ctx, carrier.Request{
		Route: definer.Route{Kind: definer.Model, Deployment: "llm"}, PromptTokens: 9000, Deadline: time.Now().Add(time.Minute),
	}, nil)
}

// jobs is a queue that lets everything through.
type jobs struct{ runner.Queue[*dispatcher.Job] }

// Add puts a job into the queue.
func (q *jobs) Add(j *dispatcher.Job) error { q.Queue.Add(j); return nil }

// Done does nothing.
func (q *jobs) Done(*dispatcher.Job, carrier.Result) {}

// Config returns the configuration.
func (n *single) Config() (definer.Config, error) { return n.config, nil }

// Current reports that the configuration may be used.
func (n *single) Current() error { return nil }

// Choose has the prompt read before it is answered.
func (n *single) Choose(_ carrier.Request, p carrier.Progress) picker.Plan {
	return picker.Plan{Run: picker.Choice{OK: true}, Read: picker.Choice{OK: p.Source.ID == ""}}
}

// Forward notes an attempt.
func (n *single) Forward(_ context.Context, a forwarder.Attempt, _ carrier.Reply) forwarder.Report {
	n.seen = append(n.seen, fmt.Sprint("run ", a.Connections))
	return forwarder.Report{}
}

// Read notes a reading.
func (n *single) Read(_ context.Context, a forwarder.Attempt) (carrier.Handle, forwarder.Report) {
	n.seen = append(n.seen, fmt.Sprint("read ", a.Connections))
	return carrier.Handle{ID: "h"}, forwarder.Report{}
}

// unnoted takes note of nothing that happens at endpoints.
type unnoted struct{}

// Sent does nothing.
func (unnoted) Sent(string, int) {}

// Read does nothing.
func (unnoted) Read(string, int) {}

// Done does nothing.
func (unnoted) Done(string, int, picker.Sign, definer.Rule) {}

// Report does nothing.
func (unnoted) Report(string, carrier.Load) {}
