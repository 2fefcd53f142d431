package sharer_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/datadriven"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
	"foxtailflow.example/foxtailflow/internal/request/sharer"
)

// TestScripts guards against requests for an idle deployment that wait for the workers of a
// busy one, workers that stay idle although requests wait that may have them, and requests
// that are lost or overtake others of their deployment.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			h := &harness{}
			datadriven.RunTest(t, path, h.run)
			for _, stop := range h.stops {
				stop()
			}
			synctest.Wait()
		})
	})
}

// job is a request with a name.
type job struct{ name, deployment string }

// Request returns the request.
func (j *job) Request() carrier.Request {
	return carrier.Request{Route: definer.Route{Deployment: j.deployment}}
}

// harness is a queue with workers that hold their jobs until they are told to finish.
type harness struct {
	queue *sharer.Queue[*job]
	stops []context.CancelFunc
	jobs  int

	mu sync.Mutex
	// taken has the jobs in the order in which workers got them, running those that are
	// not finished, each with what finishes it.
	taken   []string
	running map[string]chan struct{}
}

func (h *harness) run(t *testing.T, d *datadriven.TestData) string {
	out := ""
	switch d.Cmd {
	case "queue":
		workers, deployments, limit := 0, 0, 100
		d.ScanArgs(t, "workers", &workers)
		d.ScanArgs(t, "deployments", &deployments)
		d.MaybeScanArgs(t, "limit", &limit)
		h.queue = &sharer.Queue[*job]{Workers: workers, Limit: limit, Deployments: func() int { return deployments }}
		h.running = make(map[string]chan struct{})
		for range workers {
			ctx, stop := context.WithCancel(t.Context())
			h.stops = append(h.stops, stop)
			go h.work(ctx)
			synctest.Wait()
		}
	case "add":
		var count int
		d.ScanArgs(t, "count", &count)
		for range count {
			h.jobs++
			name := d.CmdArgs[0].Key
			if err := h.queue.Add(&job{name: fmt.Sprint(name, h.jobs), deployment: name}); err != nil {
				out += fmt.Sprintf("%s%d refused: %d\n", name, h.jobs, coder.FromError(err).Code())
			}
			synctest.Wait()
		}
	case "finish":
		for _, a := range d.CmdArgs {
			h.finish(a.Key)
			synctest.Wait()
		}
	case "stop":
		h.stops[0]()
		h.stops = h.stops[1:]
		synctest.Wait()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.taken) > 0 {
		out += strings.Join(h.taken, " ") + "\n"
	}
	h.taken = nil
	return out
}

// finish lets the worker that has a job finish it.
func (h *harness) finish(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	close(h.running[name])
	delete(h.running, name)
}

func (h *harness) work(ctx context.Context) {
	for {
		j, ok := h.queue.Next(ctx)
		if !ok {
			return
		}
		end := make(chan struct{})
		h.mu.Lock()
		h.taken, h.running[j.name] = append(h.taken, j.name), end
		h.mu.Unlock()
		select {
		case <-end:
		case <-ctx.Done():
		}
		h.queue.Done(j, carrier.Result{})
	}
}
