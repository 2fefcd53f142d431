package pacer_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"foxtailflow.example/foxtailflow/internal/base/roundtripper"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/fleet/pacer"
)

// TestScripts guards against nodes that together send an endpoint more than it takes,
// against a limit that ends by a response which was overtaken, and against one that
// never ends. Each command is a response, a message of another node, passing time or a
// number of requests; the output is what the endpoint gets.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		h := &harness{clock: timekeeper.NewFake(time.Unix(1000, 0)), nodes: []string{"n1"}}
		h.pacer = &pacer.Pacer{
			Clock: h.clock, Log: zerolog.Nop(), Node: "n1", Nodes: func() []string { return h.nodes },
			Decode: decode, EndpointAt: func(address string) (string, bool) { return "e@" + h.start, address == "a1" },
			OnLimit: func(_ string, limited bool, until time.Time) { h.limited, h.paused = limited, until },
		}
		datadriven.RunTest(t, path, h.run)
	})
}

type harness struct {
	clock *timekeeper.Fake
	pacer *pacer.Pacer
	nodes []string
	// start is the incarnation of the endpoint.
	start   string
	limited bool
	paused  time.Time
	// asked are the times at which requests were sent, by their names.
	asked map[string]time.Time
}

// decode decodes the limit of the scripts.
func decode(_ int, h http.Header) (pacer.Statement, bool) {
	text := h.Get("Limit")
	if text == "" {
		return pacer.Statement{}, true
	}
	n, err := strconv.ParseFloat(text, 64)
	return pacer.Statement{Limited: true, PerSecond: n}, err == nil
}

func (h *harness) run(t *testing.T, d *datadriven.TestData) string {
	var at string
	ms, count := 0, 1
	limit := -1.0
	d.MaybeScanArgs(t, "asked", &at)
	d.MaybeScanArgs(t, "age-ms", &ms)
	d.MaybeScanArgs(t, "count", &count)
	for _, a := range d.CmdArgs {
		if a.Key == "limit" {
			n, err := strconv.ParseFloat(a.Vals[0], 64)
			if err != nil {
				t.Fatal(err)
			}
			limit = n
		}
	}
	switch d.Cmd {
	case "nodes":
		h.nodes = nil
		for i := range count {
			h.nodes = append(h.nodes, fmt.Sprint("n", i+1))
		}
	case "restarted":
		h.start = d.CmdArgs[0].Key
	case "ask":
		if h.asked == nil {
			h.asked = make(map[string]time.Time)
		}
		h.asked[d.CmdArgs[0].Key] = h.clock.Now()
	case "response":
		sentAt := h.clock.Now()
		if at != "" {
			sentAt = h.asked[at]
		}
		header := http.Header{}
		if limit >= 0 {
			header.Set("Limit", fmt.Sprint(limit))
		}
		h.pacer.RecordResponse(roundtripper.Destination{Address: "a1"}, sentAt, http.StatusOK, header)
	case "hearsay":
		h.pacer.RecordHearsay("a1", "e@"+h.start, pacer.Statement{Limited: limit >= 0, PerSecond: max(limit, 0)}, time.Duration(ms)*time.Millisecond)
	case "forget":
		h.pacer.Forget("e@" + h.start)
		h.limited = false
	case "wait":
		span, err := time.ParseDuration(d.CmdArgs[0].Key)
		if err != nil {
			t.Fatal(err)
		}
		h.clock.Advance(span)
	case "send":
		return h.send(count)
	case "told":
		s, age, ok := h.pacer.Told("a1")
		return fmt.Sprintf("%+v, %v ago, %v\n", s, age, ok)
	default:
		d.Fatalf(t, "unknown command %s", d.Cmd)
	}
	return ""
}

// send tries to send requests and prints how many are admitted, and when the next one is.
func (h *harness) send(count int) string {
	admitted := 0
	for range count {
		if h.pacer.Admit(roundtripper.Destination{Address: "a1"}) == nil {
			admitted++
		}
	}
	out := fmt.Sprintf("%d of %d", admitted, count)
	if wait := h.paused.Sub(h.clock.Now()); h.limited && wait > 0 {
		out += fmt.Sprintf(", the next one in %v", wait.Round(time.Millisecond))
	}
	return out + "\n"
}

// TestShares guards against shares that add up to more than an endpoint takes: with the
// bursts of all nodes, no 4 s may have more than one and a half times the limit and 5.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := make([]string, rapid.IntRange(1, 120).Draw(t, "nodes"))
		for i := range nodes {
			nodes[i] = fmt.Sprint("n", i)
		}
		limit := rapid.Float64Range(0, 200).Draw(t, "limit")
		sum, most := 0.0, 0.0
		for _, n := range nodes {
			if rate := pacer.Share("e1", n, nodes, limit); rate > 0 {
				sum += rate
				most += 4*rate + pacer.Burst
			}
		}
		if sum < limit*0.999 || sum > max(limit, 0.1)*1.001 {
			t.Fatalf("the shares of %g add up to %g", limit, sum)
		}
		if most > 1.5*4*limit+5 {
			t.Fatalf("%g requests in 4 s with a limit of %g", most, limit)
		}
	})
}

// ExampleShare shows that a small limit is not divided among all nodes.
func ExampleShare() {
	nodes := strings.Fields("n1 n2 n3 n4 n5 n6 n7")
	for _, perSecond := range []float64{2, 12, 30} {
		sharing := 0
		for _, n := range nodes {
			if pacer.Share("e1", n, nodes, perSecond) > 0 {
				sharing++
			}
		}
		fmt.Printf("%g requests a second: %d nodes\n", perSecond, sharing)
	}
	// Output:
	// 2 requests a second: 1 nodes
	// 12 requests a second: 5 nodes
	// 30 requests a second: 7 nodes
}
