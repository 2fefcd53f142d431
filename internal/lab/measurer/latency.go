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
// Calls through a node and calls to the endpoint itself are sent in turn at the
// same rate in the same run, each when it is due, whether or not the former
// ones are answered.
type Latency struct {
	Out   io.Writer
	Clock timekeeper.Clock
	// Rate is the number of calls a second through the node.
	Rate int
	// Time is how long each kind of call is sent.
	Time time.Duration
}

const (
	// callersAtOnce bounds the calls in progress.
	callersAtOnce = 1024
	// warmUp is the share of calls at the beginning that is not counted.
	warmUp = 10
)

// Run measures plain calls and first tokens and prints both.
func (l Latency) Run(ctx context.Context) error {
	w, err := assembler.New(ctx, outcomesPlan(1, 1, 1))
	if err != nil {
		return err
	}
	defer w.Stop()
	c := caller{
		clock:     l.Clock,
		transport: &http.Transport{MaxIdleConnsPerHost: callersAtOnce},
		secret:    outcomesSecret,
	}
	vms := w.Platform.VMsNow()
	engine, service := "http://"+vms[0].Address, "http://"+vms[1].Address
	plain := func(base string) time.Duration {
		r := c.send(ctx, http.MethodGet, base+"/stock/wax", "", "")
		return valid(r, r.took)
	}
	body := `{"model":"wichse-llm","stream":true,"max_tokens":1,"messages":[{"role":"user","content":"damp"}]}`
	first := func(base string) time.Duration {
		r := c.send(ctx, http.MethodPost, base+"/v1/chat/completions", body, "")
		return valid(r, r.first)
	}
	l.compare("plain call", plain, w.Address(0), service)
	l.compare("first token", first, w.Address(0), engine)
	return ctx.Err()
}

// valid returns the time of a call that was answered, or -1.
func valid(r reply, d time.Duration) time.Duration {
	if !r.answered() {
		return -1
	}
	return d
}

// compare sends calls through the node and directly, in turn.
func (l Latency) compare(name string, call func(base string) time.Duration, node, direct string) {
	n := int(l.Time.Seconds() * float64(l.Rate))
	through, without := newSamples(), newSamples()
	p := pool.New().WithMaxGoroutines(callersAtOnce)
	began := l.Clock.Now()
	step := time.Second / time.Duration(2*l.Rate)
	for i := range 2 * n {
		if wait := time.Duration(i)*step - l.Clock.Now().Sub(began); wait > 0 {
			_ = l.Clock.Sleep(context.Background(), wait)
		}
		base, s := node, through
		if i%2 == 1 {
			base, s = direct, without
		}
		p.Go(func() { s.add(call(base), i >= 2*n/warmUp) })
	}
	p.Wait()
	rate := float64(n) / l.Clock.Now().Sub(began).Seconds()
	a, b := through.histogram, without.histogram
	at := func(h *hdrhistogram.Histogram, q float64) time.Duration {
		return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
	}
	_, _ = fmt.Fprintf(l.Out, "%s at %.0f/s: through a node median %v, 99%% %v (%d, %d failed); direct median %v, 99%% %v (%d, %d failed); a node adds %v and %v\n",
		name, rate, at(a, 50), at(a, 99), a.TotalCount(), through.failed, at(b, 50), at(b, 99), b.TotalCount(), without.failed,
		at(a, 50)-at(b, 50), at(a, 99)-at(b, 99))
}
