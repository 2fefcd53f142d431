package dispatcher_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/runner"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
	"foxtailflow.example/foxtailflow/internal/request/dispatcher"
	"foxtailflow.example/foxtailflow/internal/request/forwarder"
)

// TestQueuedRequestEnds guards against a request that gets no answer at its deadline, or is
// begun after it, because all workers of the node are busy.
func TestQueuedRequestEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := &busyNode{free: make(chan struct{})}
		q := &openQueue{runner.Queue[*dispatcher.Job]{Limit: 2}}
		d := &dispatcher.Dispatcher{
			Clock: timekeeper.System{}, Log: zerolog.Nop(), Configs: n, Chooser: n, Endpoints: n, Forwarder: n, Queue: q,
			Random: func() float64 { return 0.5 },
		}
		ctx, stop := context.WithCancel(t.Context())
		go runner.Pool[*dispatcher.Job]{Workers: 1, Source: q, Handle: d.Handle}.Run(ctx)
		request := func(id string, timeout time.Duration) carrier.Request {
			return carrier.Request{ID: id, Method: "POST", Route: definer.Route{Kind: definer.Plain, Deployment: "shop", Attempts: 1}, Deadline: time.Now().Add(timeout)}
		}
		go d.Do(ctx, request("slow", time.Hour), nil)
		synctest.Wait()
		began := time.Now()
		result := d.Do(ctx, request("queued", time.Second), nil)
		is.Equal(time.Since(began), time.Second) // the caller is answered at the deadline
		is.True(coder.Is(result.Err, coder.DeadlinePassed))
		is.Equal(coder.FromError(result.Err).Outcome(), coder.NotRun)
		close(n.free)
		synctest.Wait()
		is.Equal(n.forwarded, []string{"slow"}) // the other one never runs
		stop()
		synctest.Wait()
	})
}

// busyNode is a node whose endpoint responds once it is free.
type busyNode struct {
	leavingNode
	free      chan struct{}
	forwarded []string
}

// Forward waits until the endpoint is free.
func (n *busyNode) Forward(ctx context.Context, a forwarder.Attempt, w carrier.ResponseWriter) forwarder.Report {
	n.forwarded = append(n.forwarded, a.Request.ID)
	<-n.free
	a.EndpointID = "e2"
	return n.leavingNode.Forward(ctx, a, w)
}
