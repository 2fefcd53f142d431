package measurer

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc/pool"

	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/lab/assembler"
)

// Latency measures the time that a node adds to a call.
//
// Calls through a node and direct calls to the endpoint alternate at the same
// rate in the same run. Each is sent when it is due, whether or not earlier ones
// have completed.
type Latency struct {
	Out   io.Writer
	Clock timekeeper.Clock
	// Rate is the number of calls per second through the node.
	Rate int
	// Duration is the duration of the measurement of each kind of call.
	Duration time.Duration
}

const (
	// maxConcurrentCalls bounds the calls in progress.
	maxConcurrentCalls = 1024
	// warmUpDivisor sets the warm-up: the first 1/warmUpDivisor of the calls is
	// not counted.
	warmUpDivisor = 10
	// unlimitedRate is in tokens per second: a token takes a nanosecond.
	unlimitedRate = 1_000_000_000
)

// Run measures and prints the latency of plain calls and of first tokens.
func (l Latency) Run(ctx context.Context) error {
	settings := outcomesSettings(1, 1, 1)
	// A sleep of microseconds can take a millisecond on an idle processor, which
	// would hide the latency that the node adds.
	settings.Engine.PrefillRate, settings.Engine.DecodeRate = unlimitedRate, unlimitedRate
	cluster, err := assembler.New(ctx, settings)
	if err != nil {
		return err
	}
	defer cluster.Stop()
	client := caller{
		clock:     l.Clock,
		transport: &http.Transport{MaxIdleConnsPerHost: maxConcurrentCalls},
		secret:    outcomesSecret,
	}
	vms := cluster.Platform.CurrentVMs()
	engine, service := "http://"+vms[0].Address, "http://"+vms[1].Address
	plainCall := func(base string) time.Duration {
		r := client.send(ctx, http.MethodGet, base+"/stock/wax", "", "")
		return timeOrFailed(r, r.duration)
	}
	body := `{"model":"wichse-llm","stream":true,"max_tokens":1,"messages":[{"role":"user","content":"damp"}]}`
	firstToken := func(base string) time.Duration {
		r := client.send(ctx, http.MethodPost, base+"/v1/chat/completions", body, "")
		return timeOrFailed(r, r.firstByte)
	}
	l.compare("plain call", plainCall, cluster.CallersURL(0), service)
	l.compare("first token", firstToken, cluster.CallersURL(0), engine)
	return ctx.Err()
}

// timeOrFailed returns the time of a call that succeeded, or -1.
func timeOrFailed(r response, d time.Duration) time.Duration {
	if !r.succeeded() {
		return -1
	}
	return d
}

// compare alternates calls through the node with direct calls, and prints the
// latencies of both.
func (l Latency) compare(name string, call func(base string) time.Duration, node, direct string) {
	n := int(l.Duration.Seconds() * float64(l.Rate))
	viaNode, directly := newSamples(), newSamples()
	p := pool.New().WithMaxGoroutines(maxConcurrentCalls)
	began := l.Clock.Now()
	step := time.Second / time.Duration(2*l.Rate)
	for i := range 2 * n {
		if wait := time.Duration(i)*step - l.Clock.Now().Sub(began); wait > 0 {
			_ = l.Clock.Sleep(context.Background(), wait)
		}
		base, s := node, viaNode
		if i%2 == 1 {
			base, s = direct, directly
		}
		p.Go(func() { s.add(call(base), i >= 2*n/warmUpDivisor) })
	}
	p.Wait()
	rate := float64(n) / l.Clock.Now().Sub(began).Seconds()
	a, b := viaNode.histogram, directly.histogram
	at := func(h *hdrhistogram.Histogram, q float64) time.Duration {
		return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
	}
	_, _ = fmt.Fprintf(l.Out, "%s at %.0f/s: through a node median %v, 99%% %v (%d, %d failed); direct median %v, 99%% %v (%d, %d failed); a node adds %v and %v\n",
		name, rate, at(a, 50), at(a, 99), a.TotalCount(), viaNode.failed, at(b, 50), at(b, 99), b.TotalCount(), directly.failed,
		at(a, 50)-at(b, 50), at(a, 99)-at(b, 99))
}
