package measurer

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc/pool"

	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/lab/assembler"
	"foxtailflow.example/foxtailflow/internal/lab/generator"
)

// Outcomes compares the outcomes that callers receive with what really ran.
//
// Callers send orders with and without idempotency keys, streams and plain
// requests to the nodes of a cluster, first without faults, then with changing
// faults, then while each node in turn is stopped. The callers' record is
// compared with the service's counts of runs and with the usage reports that the
// platform received.
type Outcomes struct {
	Out   io.Writer
	Clock timekeeper.Clock
	Seed  uint64
	// CalmRequests, FaultyRequests and StopRequests are the numbers of requests in
	// the three phases.
	CalmRequests   int
	FaultyRequests int
	StopRequests   int
	// Rate is the number of new requests per second.
	Rate int

	cluster       *assembler.Cluster
	nodes         []string
	client        caller
	expectedTexts map[string]string
	tally         tally
}

const (
	outcomesSecret = "ff-measure"
	modelDeadline  = 10 * time.Second
	orderDeadline  = 5 * time.Second
	outcomesConfig = `
[deployment "wichse-llm"]
slots = 64

[deployment "ladentisch"]
slots = 256

[route "stock"]
kind = plain
path = /stock
deployment = ladentisch
deadline = 5s
idempotent-methods = GET

[limits]
usage-window = 2s
`
)

// outcomesSettings returns the settings of the cluster in which outcomes and
// latencies are measured.
func outcomesSettings(nodes, engines, services int) assembler.Settings {
	return assembler.Settings{
		Nodes: nodes, Engines: engines, Services: services,
		Engine:          generator.Settings{Model: "wichse-llm", PrefillRate: 200_000, DecodeRate: 20_000, Slots: 64, Blocks: 8000},
		Files:           assembler.Configuration(outcomesSecret, outcomesConfig),
		ModelDeployment: "wichse-llm",
		PlainDeployment: "ladentisch",
		OperatorSecret:  "operator",
		Log:             zerolog.Nop(),
	}
}

// Run runs the three phases and prints the comparison.
func (o *Outcomes) Run(ctx context.Context) error {
	w, err := assembler.New(ctx, outcomesSettings(3, 3, 2))
	if err != nil {
		return err
	}
	defer w.Stop()
	o.cluster = w
	for i := range w.Nodes {
		o.nodes = append(o.nodes, w.CallersURL(i))
	}
	// Each request uses a new connection, since a node that stops closes idle
	// ones.
	o.client = caller{clock: o.Clock, transport: &http.Transport{DisableKeepAlives: true}, secret: outcomesSecret}
	o.tally = newTally()
	if err := o.fetchTexts(ctx); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(o.Out, "seed %d\n", o.Seed)
	o.sendLoad(ctx, "calm", o.CalmRequests)
	o.withFaults(ctx, func() { o.sendLoad(ctx, "faults", o.FaultyRequests) })
	if err := o.withStops(ctx, func() { o.sendLoad(ctx, "stops", o.StopRequests) }); err != nil {
		return err
	}
	return o.report(ctx)
}

// prompts is the number of different prompts; maxTokens bounds their responses.
const (
	prompts   = 40
	maxTokens = 30
)

func chatBody(prompt int, stream bool) string {
	return fmt.Sprintf(`{"model":"wichse-llm","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"recipe %d"}]}`,
		stream, 5+prompt%(maxTokens-5), prompt)
}

// fetchTexts requests the expected text of each prompt directly from an engine.
func (o *Outcomes) fetchTexts(ctx context.Context) error {
	o.expectedTexts = make(map[string]string)
	engine := "http://" + o.cluster.Platform.CurrentVMs()[0].Address
	for p := range prompts {
		r := o.client.send(ctx, http.MethodPost, engine+"/v1/chat/completions", chatBody(p, false), "")
		text := responseText(r.body)
		if !r.succeeded() || text == "" {
			return fmt.Errorf("an engine responded with status %d and body %q", r.status, r.body)
		}
		o.expectedTexts[chatBody(p, false)], o.expectedTexts[chatBody(p, true)] = text, text
	}
	return nil
}

// sendLoad sends a number of requests at the configured rate.
func (o *Outcomes) sendLoad(ctx context.Context, phase string, requests int) {
	p := pool.New().WithMaxGoroutines(maxConcurrentCalls)
	began := o.Clock.Now()
	for i := range requests {
		due := time.Duration(i) * time.Second / time.Duration(max(o.Rate, 1))
		if wait := due - o.Clock.Now().Sub(began); wait > 0 && o.Clock.Sleep(ctx, wait) != nil {
			break
		}
		p.Go(func() {
			r := rand.New(rand.NewPCG(o.Seed, uint64(i)<<8|uint64(len(phase))))
			name := fmt.Sprintf("%s-%d", phase, i)
			switch i % 4 {
			case 0:
				o.keyedOrder(ctx, phase, name, r)
			case 1:
				o.plainOrder(ctx, phase, name, r)
			case 2:
				o.chat(ctx, phase, chatBody(r.IntN(prompts), true), r)
			default:
				o.chat(ctx, phase, chatBody(r.IntN(prompts), false), r)
			}
		})
	}
	p.Wait()
}

const (
	// callerAttempts bounds the attempts of a caller; callerPause is the delay
	// between them.
	callerAttempts = 12
	callerPause    = 150 * time.Millisecond
)

// node returns the address of a random node that reports itself as ready, as the
// platform's load balancer would choose it.
func (o *Outcomes) node(ctx context.Context, r *rand.Rand) string {
	for range callerAttempts {
		node := o.nodes[r.IntN(len(o.nodes))]
		if o.client.send(ctx, http.MethodGet, node+"/readyz", "", "").succeeded() {
			return node
		}
	}
	return o.nodes[0]
}

// keyedOrder repeats an order with the same idempotency key until it succeeds.
func (o *Outcomes) keyedOrder(ctx context.Context, phase, name string, r *rand.Rand) {
	began := o.Clock.Now()
	ord := order{name: name, keyed: true}
	for attempt := range callerAttempts {
		resp := o.client.send(ctx, http.MethodPost, o.node(ctx, r)+"/orders", name, name)
		ord = ord.with(resp, phase)
		if attempt == 0 && resp.succeeded() {
			o.tally.latency(phase+"/keyed", resp.duration)
		}
		if resp.succeeded() {
			break
		}
		_ = o.Clock.Sleep(ctx, callerPause)
	}
	o.tally.order(ord)
	o.tally.end(phase, ord.succeeded && o.Clock.Now().Sub(began) < orderDeadline)
}

// plainOrder sends an order without a key. It sends the order again, under
// another name, only if the response reports that it did not run.
func (o *Outcomes) plainOrder(ctx context.Context, phase, name string, r *rand.Rand) {
	began := o.Clock.Now()
	succeeded := false
	for attempt := range callerAttempts {
		ord := order{name: fmt.Sprintf("%s-%d", name, attempt)}
		resp := o.client.send(ctx, http.MethodPost, o.node(ctx, r)+"/orders", ord.name, "")
		ord = ord.with(resp, phase)
		o.tally.order(ord)
		if succeeded = resp.succeeded(); succeeded || !resp.notRun() {
			if attempt == 0 && succeeded {
				o.tally.latency(phase+"/without-key", resp.duration)
			}
			break
		}
		_ = o.Clock.Sleep(ctx, callerPause)
	}
	o.tally.end(phase, succeeded && o.Clock.Now().Sub(began) < orderDeadline)
}

// chat sends a model request, and repeats it until the response is complete.
func (o *Outcomes) chat(ctx context.Context, phase, body string, r *rand.Rand) {
	began := o.Clock.Now()
	succeeded := false
	for range callerAttempts {
		resp := o.client.send(ctx, http.MethodPost, o.node(ctx, r)+"/v1/chat/completions", body, "")
		o.tally.chat(phase, resp, responseText(resp.body) == o.expectedTexts[body])
		if succeeded = resp.succeeded(); succeeded {
			break
		}
		_ = o.Clock.Sleep(ctx, callerPause)
	}
	o.tally.end(phase, succeeded && o.Clock.Now().Sub(began) < modelDeadline)
}

// fault is a query for the fault control of a kind of stand-in.
type fault struct{ target, query string }

// faults are set one at a time; those that prevent claims from being taken last
// no longer than the others.
var faults = []fault{
	{"engine", "cut-after=3"},
	{"engine", "swap-after=2"},
	{"engine", "swap=true"},
	{"engine", "delay=300ms"},
	{"service", "lose-answers=true"},
	{"service", "delay=300ms"},
	{"platform", "lose-answers=0.3"},
	{"platform", "lose-requests=0.3"},
	{"platform", "table-down=true"},
	{"platform", "delay=50ms"},
}

const (
	faultTime     = 400 * time.Millisecond
	faultInterval = 200 * time.Millisecond
)

// withFaults sets and clears faults until load returns.
func (o *Outcomes) withFaults(ctx context.Context, load func()) {
	faulty, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() {
		r := rand.New(rand.NewPCG(o.Seed, 1))
		for i := 0; faulty.Err() == nil; i++ {
			f := faults[i%len(faults)]
			address := o.address(f.target, r)
			o.setFault(ctx, address, f.query)
			o.tally.fault(f.target + " " + f.query)
			_ = o.Clock.Sleep(faulty, faultTime)
			o.setFault(ctx, address, "")
			_ = o.Clock.Sleep(faulty, faultInterval)
		}
	})
	load()
	stop()
	wg.Wait()
}

// address returns the address of a random stand-in of a kind.
func (o *Outcomes) address(kind string, r *rand.Rand) string {
	if kind == "platform" {
		return o.cluster.PlatformURL()
	}
	var matching []string
	for _, vm := range o.cluster.Platform.CurrentVMs() {
		if strings.HasPrefix(vm.ID, kind) {
			matching = append(matching, "http://"+vm.Address)
		}
	}
	return matching[r.IntN(len(matching))]
}

func (o *Outcomes) setFault(ctx context.Context, address, query string) {
	_ = o.client.send(ctx, http.MethodPost, address+"/lab/faults?"+query, "", "")
}

// withStops stops and replaces the nodes one after the other until load returns.
func (o *Outcomes) withStops(ctx context.Context, load func()) error {
	stopping, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	var failure error
	wg.Go(func() {
		for i := 0; stopping.Err() == nil && failure == nil; i++ {
			failure = o.cluster.RestartNode(i % len(o.nodes))
			o.tally.fault("node stopped")
		}
	})
	load()
	stop()
	wg.Wait()
	return failure
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Minute.Microseconds(), 3)
}
