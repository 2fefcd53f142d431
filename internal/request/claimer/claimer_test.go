package claimer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/lab/provider"
	"foxtailflow.example/foxtailflow/internal/lab/seeder"
	"foxtailflow.example/foxtailflow/internal/request/claimer"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

// start runs a claimer until the test ends.
func start(t *testing.T, clock timekeeper.Clock, m transactor.Table, node string) *claimer.Claimer {
	c := claimer.New(clock, zerolog.Nop(), m, node)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { c.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return c
}

func describe(taken claimer.TakeResult, err error) string {
	switch {
	case err != nil:
		f := coder.FromError(err)
		return fmt.Sprintf("%d %s retry-after=%v", f.Code(), f.Outcome(), f.RetryAfter())
	case taken.Replayed:
		return fmt.Sprintf("replayed %d %s", taken.Response.Status, taken.Response.Body)
	}
	return "held"
}

// TestClaims guards against a repeat that runs again or gets the wrong result,
// for each state in which its key can be. Commands name a node, a request and a
// body.
func TestClaims(t *testing.T) {
	datadriven.Walk(t, "testdata/claims", func(t *testing.T, path string) {
		// The simulated platform faults take no time; the test advances the clock
		// to make claims expire.
		clock := &offsetClock{}
		m := &provider.Memory{Clock: clock}
		nodes := map[string]*claimer.Claimer{"a": start(t, clock, m, "a"), "b": start(t, clock, m, "b")}
		held := make(map[string]claimer.HeldClaim)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var node, request, body, account string
			d.MaybeScanArgs(t, "node", &node)
			d.MaybeScanArgs(t, "request", &request)
			d.MaybeScanArgs(t, "body", &body)
			d.MaybeScanArgs(t, "account", &account)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			switch d.Cmd {
			case "take":
				taken, err := nodes[node].Take(ctx, claimer.ClaimParams{
					Account: account, IdempotencyKey: "key", Request: request, BodyHash: claimer.BodyHash("POST", "/orders", []byte(body)),
					Deadline: clock.Now().Add(time.Minute), ValidFor: time.Hour,
				})
				held[request] = taken.Held
				return describe(taken, err) + "\n"
			case "finish", "too-large":
				nodes[node].RecordResponse(held[request], claimer.Response{Status: 200, Body: []byte(body), Recorded: d.Cmd == "finish"})
			case "lose":
				nodes[node].RecordUnknown(ctx, held[request])
			case "release":
				nodes[node].Release(ctx, held[request])
			case "settle":
				nodes[node].Flush(ctx)
			case "faults":
				var f provider.Faults
				f.TableDown = d.HasArg("down")
				if d.HasArg("lose-answers") {
					f.LoseResponses = 1
				}
				m.SetFaults(f)
			case "advance":
				clock.advance(t, d)
			case "purge":
				if err := nodes["a"].Purge(ctx); err != nil {
					return err.Error()
				}
				rows, err := m.Scan(ctx, "claim/", "", 0)
				return fmt.Sprintf("%d rows %v\n", len(rows), err)
			}
			return ""
		})
	})
}

// offsetClock is the system clock plus an offset that the test advances.
type offsetClock struct {
	timekeeper.System
	mu     sync.Mutex
	offset time.Duration
}

func (s *offsetClock) Now() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.System.Now().Add(s.offset)
}

func (s *offsetClock) advance(t *testing.T, d *datadriven.TestData) {
	var text string
	d.ScanArgs(t, "by", &text)
	by, err := time.ParseDuration(text)
	is.New(t).NoErr(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.offset += by
}

// input is an operation on one key.
type input struct{ op, request string }

// model is the sequential specification of one key. A refusal implies nothing.
// A request holds the claim only if no other request does, and a replay is the
// response of the request that held it.
var model = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, in, out any) (bool, any) {
		s, i, o := state.(string), in.(input), out.(string)
		switch {
		case i.op == "take" && o == "held":
			return s == "", "running " + i.request
		case i.op == "take" && strings.HasPrefix(o, "replayed 200 "):
			return s == "answered "+strings.TrimPrefix(o, "replayed 200 "), s
		case i.op == "take":
			return true, s
		case i.op == "release":
			return s == "running "+i.request, ""
		}
		return s == "running "+i.request, "answered " + i.request
	},
	DescribeOperation: func(in, out any) string { return fmt.Sprintf("%v -> %v", in, out) },
}

// flakyTable is a table whose commits take time and lose requests and
// responses: some commits have no effect, others take effect after their
// failure is returned.
type flakyTable struct {
	transactor.Table
	random func() float64
	wg     *sync.WaitGroup
}

func (f flakyTable) Commit(ctx context.Context, tx transactor.Tx) (transactor.Version, error) {
	unsure := coder.New(coder.PlatformUnsure, "no response")
	time.Sleep(time.Duration(f.random() * float64(2*time.Millisecond)))
	switch p := f.random(); {
	case p < 0.1:
		return 0, unsure
	case p < 0.2:
		f.wg.Go(func() {
			time.Sleep(5 * time.Millisecond)
			_, _ = f.Table.Commit(context.WithoutCancel(ctx), tx)
		})
		return 0, unsure
	case p < 0.4:
		_, _ = f.Table.Commit(ctx, tx)
		return 0, unsure
	}
	return f.Table.Commit(ctx, tx)
}

// TestHistory guards against a request that runs twice because its repeats
// claim the key at several nodes while commits or their responses are lost or
// late: the recorded history must be linearizable, with the key held by one
// request at a time.
func TestHistory(t *testing.T) {
	is := is.New(t)
	seed := seeder.Seed()
	t.Logf("seed %d", seed)
	m := &provider.Memory{Clock: timekeeper.System{}}
	var wg sync.WaitGroup
	var nodes []*claimer.Claimer
	for i := range 3 {
		var mu sync.Mutex
		r := rand.New(rand.NewPCG(seed, 100+uint64(i)))
		random := func() float64 {
			mu.Lock()
			defer mu.Unlock()
			return r.Float64()
		}
		nodes = append(nodes, start(t, timekeeper.System{}, flakyTable{Table: m, random: random, wg: &wg}, fmt.Sprintf("node-%d", i)))
	}
	h := &history{from: time.Now()}
	for caller := range 9 {
		wg.Go(func() {
			r := rand.New(rand.NewPCG(seed, uint64(caller)))
			for n := range 40 {
				h.repeat(nodes[caller%3], caller, fmt.Sprintf("r-%d-%d", caller, n), r)
			}
		})
	}
	wg.Wait()
	result, _ := porcupine.CheckOperationsVerbose(model, h.ops, 20*time.Second)
	t.Logf("%d operations, %d held", len(h.ops), h.held)
	is.Equal(result, porcupine.Ok) // the history of claims is not linearizable
	is.True(h.held > 0)            // no request held the claim
}

type history struct {
	mu   sync.Mutex
	from time.Time
	ops  []porcupine.Operation
	held int
}

func (h *history) record(caller int, in input, run func() string) string {
	call := time.Since(h.from).Nanoseconds()
	out := run()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: caller, Input: in, Call: call, Output: out, Return: time.Since(h.from).Nanoseconds()})
	if out == "held" {
		h.held++
	}
	return out
}

// repeat takes the claim for one request. If the claim is held, the request
// ends as not run, or rarely with a response.
func (h *history) repeat(c *claimer.Claimer, caller int, request string, r *rand.Rand) {
	ctx := context.Background()
	var taken claimer.TakeResult
	out := h.record(caller, input{op: "take", request: request}, func() string {
		var err error
		taken, err = c.Take(ctx, claimer.ClaimParams{
			Account: "baden", IdempotencyKey: "key", Request: request, BodyHash: "h",
			Deadline: time.Now().Add(time.Minute), ValidFor: time.Hour,
		})
		return describe(taken, err)
	})
	if out != "held" {
		return
	}
	if r.IntN(60) == 0 {
		h.record(caller, input{op: "finish", request: request}, func() string {
			c.RecordResponse(taken.Held, claimer.Response{Status: 200, Body: []byte(request), Recorded: true})
			c.Flush(ctx)
			return ""
		})
		return
	}
	h.record(caller, input{op: "release", request: request}, func() string {
		c.Release(ctx, taken.Held)
		for range 50 {
			_ = c.Settle(ctx)
		}
		return ""
	})
}
