package attempter_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/lab/seeder"
	"foxtailflow.example/foxtailflow/internal/request/attempter"
)

var errBroken = errors.New("broken")

func event(name string) attempter.Event {
	switch name {
	case "claim-held":
		return attempter.ClaimHeld{}
	case "send-began":
		return attempter.SendBegan{}
	case "send-ended":
		return attempter.SendEnded{}
	case "answer-began":
		return attempter.ResponseBegan{}
	case "answer-ended":
		return attempter.ResponseEnded{}
	case "endpoint-refused":
		return attempter.EndpointRefused{Err: errBroken}
	case "caller-gone":
		return attempter.Failed{Err: coder.New(coder.CallerGone, "gone")}
	}
	return attempter.Failed{Err: errBroken}
}

// TestAttempts guards against a wrong outcome or permission to retry for the
// states that an attempt reached: each line of input is one attempt, each word
// an event.
func TestAttempts(t *testing.T) {
	datadriven.RunTest(t, "testdata/attempts", func(_ *testing.T, d *datadriven.TestData) string {
		r := attempter.Request{Repeatable: true, MaxAttempts: 3}
		r.Idempotent = d.HasArg("idempotent")
		r.Continuable = d.HasArg("continues")
		if d.HasArg("stream-body") {
			r.Repeatable = false
		}
		var h attempter.History
		var out strings.Builder
		for line := range strings.Lines(d.Input) {
			var a attempter.Attempt
			delivered := false
			for _, word := range strings.Fields(line) {
				if word == "passed-on" {
					delivered = true
					continue
				}
				a = a.With(event(word))
			}
			h = h.WithAttempt(a, delivered)
			retry := h.Retry(r)
			if retry == attempter.Allowed {
				retry = "allowed"
			}
			_, _ = fmt.Fprintf(&out, "%s after %s: %s, request %s, retry %s\n", a.State(), a.Reached(), a.Outcome(), h.Outcome(), retry)
		}
		return out.String()
	})
}

// TestSentMayHaveRun guards against a request that runs twice because an
// attempt that may have run is taken as not run. For any order of events, an
// attempt that reached sending is not "not run" unless the endpoint reported
// so, and a request that is not idempotent is then not retried.
func TestSentMayHaveRun(t *testing.T) {
	eventNames := []string{"claim-held", "send-began", "send-ended", "answer-began", "answer-ended", "endpoint-refused", "failed"}
	seeder.SetRapidSeed()
	rapid.Check(t, func(t *rapid.T) {
		events := rapid.SliceOfN(rapid.SampledFrom(eventNames), 1, 8).Draw(t, "events")
		var a attempter.Attempt
		sent, notExecuted := false, false
		for _, w := range events {
			ended := a.State() == attempter.Ended
			before := a.State()
			a = a.With(event(w))
			if a.State() < before {
				t.Fatalf("state went back from %s to %s", before, a.State())
			}
			if !ended {
				sent = sent || (w != "claim-held" && w != "endpoint-refused" && w != "failed")
				notExecuted = notExecuted || w == "endpoint-refused"
			}
		}
		if sent && !notExecuted && a.Outcome() == coder.NotRun {
			t.Fatalf("%v: not run although sent", events)
		}
		a = a.With(event("failed"))
		h := attempter.History{}.WithAttempt(a, false)
		if r := h.Retry(attempter.Request{Repeatable: true, MaxAttempts: 9}); sent && !notExecuted && r == attempter.Allowed {
			t.Fatalf("%v: retry allowed", events)
		}
	})
}
