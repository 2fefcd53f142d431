package excluder_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/rs/zerolog"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/roundtripper"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/fleet/excluder"
)

// TestScripts guards against requests to an endpoint that has said that it leaves, against
// a mark that a list or an overtaken response ends, against one that holds for another
// endpoint or for the next start, and against marks that are kept for ever. It guards
// likewise against messages to an endpoint that has asked for a pause, and against a pause
// that a shorter one, a success or a list ends, or that never ends.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		h := &harness{clock: timekeeper.NewFake(time.Unix(1000, 0)), listed: make(map[string]bool), rows: make(map[string]excluder.Mark)}
		h.excluder = &excluder.Excluder{
			Clock: h.clock, Log: zerolog.Nop(),
			Decode: func(_ int, header http.Header) excluder.Statement {
				pause, _ := time.ParseDuration(header.Get("Pause"))
				return excluder.Statement{Leaving: header.Get("Says") == "leaving", Pause: pause}
			},
			Listed: func(endpoint string) bool { return h.listed[endpoint] },
			OnMark: func(endpoint string, m excluder.Mark) {
				if h.listed[endpoint] {
					h.rows[endpoint] = m
				}
			},
		}
		datadriven.RunTest(t, path, h.run)
	})
}

type harness struct {
	clock    *timekeeper.Fake
	excluder *excluder.Excluder
	listed   map[string]bool
	// rows has the marks in the endpoint table, which forgets endpoints that are not listed.
	rows map[string]excluder.Mark
}

func (h *harness) run(t *testing.T, d *datadriven.TestData) string {
	arg := ""
	if len(d.CmdArgs) > 0 {
		arg = d.CmdArgs[0].Key
	}
	if arg == "-" {
		arg = ""
	}
	to := roundtripper.Destination{Address: "a1", Endpoint: arg, Control: d.HasArg("control")}
	switch d.Cmd {
	case "list":
		clear(h.listed)
		for _, a := range d.CmdArgs {
			h.listed[a.Key] = true
		}
		for endpoint := range h.rows {
			if !h.listed[endpoint] {
				delete(h.rows, endpoint)
			}
		}
		return ""
	case "response":
		header := http.Header{}
		if d.HasArg("leaving") {
			header.Set("Says", "leaving")
		}
		pause := ""
		d.MaybeScanArgs(t, "pause", &pause)
		header.Set("Pause", pause)
		h.excluder.RecordResponse(to, h.clock.Now(), http.StatusOK, header)
		return ""
	case "wait":
		span, err := time.ParseDuration(arg)
		if err != nil {
			t.Fatal(err)
		}
		h.clock.Advance(span)
		return ""
	case "sweep":
		if err := h.excluder.Sweep(t.Context()); err != nil {
			t.Fatal(err)
		}
		return fmt.Sprintf("%d marked\n", h.excluder.Marked())
	case "send":
		if err := h.excluder.Admit(to); err != nil {
			e := coder.FromError(err)
			if e.Code() == coder.EndpointPaused {
				left := h.rows[arg].PausedUntil.Sub(h.clock.Now())
				return fmt.Sprintf("%d %s, retry after %v; table: paused for %v\n", e.Code(), e.Outcome(), e.RetryAfter(), left)
			}
			return fmt.Sprintf("%d %s; table: leaving %v\n", e.Code(), e.Outcome(), h.rows[arg].Leaving)
		}
		return "sent\n"
	}
	d.Fatalf(t, "unknown command %s", d.Cmd)
	return ""
}
