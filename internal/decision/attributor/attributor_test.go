package attributor_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"foxtailflow.example/foxtailflow/internal/decision/attributor"
)

// start is the time 0 of the scripts.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestScripts guards against a part that is blamed for crashes with another cause, and
// against a harmful part that is not found. Each script has the crashes that the nodes
// have seen; the output is what they show at a time.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var e attributor.Evidence
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "reset":
				e = attributor.Evidence{}
			case "crash":
				e = e.WithCrash(crash(t, d))
			case "refuted":
				c, _ := e.Get(d.CmdArgs[0].Key)
				e = e.WithCrash(c.WithRefuted())
			case "answered":
				e = e.WithAnswered(names(d.CmdArgs))
			case "assess":
				return assess(t, d, e)
			case "reports":
				return reports(e)
			default:
				d.Fatalf(t, "unknown command %s", d.Cmd)
			}
			return ""
		})
	})
}

// crash returns a crash by its endpoint, its time and its suspects.
func crash(t *testing.T, d *datadriven.TestData) attributor.Crash {
	c := attributor.Crash{Endpoint: d.CmdArgs[0].Key, EndedAt: at(t, d)}
	for _, a := range d.CmdArgs {
		switch a.Key {
		case "suspects":
			c = c.WithSuspects(a.Vals...)
		case "known":
			c = c.WithKnown(a.Vals...)
		}
	}
	return c
}

func at(t *testing.T, d *datadriven.TestData) time.Time {
	ms := 0
	d.ScanArgs(t, "ms", &ms)
	return start.Add(time.Duration(ms) * time.Millisecond)
}

func names(args []datadriven.CmdArg) []string {
	var out []string
	for _, a := range args {
		out = append(out, a.Key)
	}
	return out
}

// assess prints the findings, then the suspects.
func assess(t *testing.T, d *datadriven.TestData, e attributor.Evidence) string {
	var known []attributor.Pattern
	for _, a := range d.CmdArgs {
		if a.Key == "known" {
			known = append(known, a.Vals)
		}
	}
	a := e.Assess(at(t, d), known)
	var b strings.Builder
	for _, f := range a.Findings {
		fmt.Fprintf(&b, "%s crash endpoints: %s\n", strings.Join(f.Pattern, "+"), strings.Join(f.Endpoints, " "))
	}
	for _, part := range slices.Sorted(maps.Keys(a.Suspects)) {
		s := a.Suspects[part]
		fmt.Fprintf(&b, "%s suspected of %d", part, s.Crashes)
		if !s.LikelyHarmful() {
			b.WriteString(", likely by chance")
		}
		if !s.HoldUntil.IsZero() {
			fmt.Fprintf(&b, ", held until %d ms", s.HoldUntil.Sub(start).Milliseconds())
		}
		b.WriteString("\n")
	}
	if !a.Next.IsZero() {
		fmt.Fprintf(&b, "assess again at %d ms\n", a.Next.Sub(start).Milliseconds())
	}
	return b.String()
}

// reports prints the crashes.
func reports(e attributor.Evidence) string {
	var b strings.Builder
	fmt.Fprintf(&b, "revision %d\n", e.Revision())
	for _, c := range e.Since(0) {
		fmt.Fprintf(&b, "%s at %d ms: suspects %v, known %v, cleared %v, refuted %v\n", c.Endpoint, c.EndedAt.Sub(start).Milliseconds(), c.Suspects, c.Known, c.Cleared, c.Refuted)
	}
	return b.String()
}
