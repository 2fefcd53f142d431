package logger

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/rs/zerolog"

	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
)

// TestLines guards against log lines that block the code that logs, flood the
// output, or are dropped without being counted.
func TestLines(t *testing.T) {
	datadriven.RunTest(t, "testdata/lines", func(t *testing.T, d *datadriven.TestData) string {
		var out string
		synctest.Test(t, func(t *testing.T) { out = runScript(t, d) })
		return out
	})
}

// sink records each write as one line of text, its log lines separated by blanks.
type sink struct{ strings.Builder }

func (s *sink) Write(p []byte) (int, error) {
	s.WriteString("write:")
	for line := range bytes.Lines(p) {
		text := strings.TrimSpace(string(line))
		var n int
		if _, err := fmt.Sscanf(text, `{"level":"warn","lines":%d`, &n); err == nil {
			text = fmt.Sprintf("left-out=%d", n)
		}
		s.WriteString(" " + text)
	}
	s.WriteString("\n")
	return len(p), nil
}

func runScript(t *testing.T, d *datadriven.TestData) string {
	out := &sink{}
	capacity, perSecond := 0, 1000
	if d.HasArg("room") {
		d.ScanArgs(t, "room", &capacity)
	}
	if d.HasArg("rate") {
		d.ScanArgs(t, "rate", &perSecond)
	}
	w := &Writer{Clock: timekeeper.System{}, Out: out, Capacity: capacity}
	l := NewLimitedWriter(w, perSecond)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	started := false
	start := func() {
		if !started {
			started = true
			go func() { w.Run(ctx); close(done) }()
		}
	}
	for line := range strings.Lines(d.Input) {
		words := strings.Fields(line)
		switch words[0] {
		case "write":
			if _, err := fmt.Fprintln(w, words[1]); err != nil {
				t.Fatal(err)
			}
		case "info", "warn":
			level, err := zerolog.ParseLevel(words[0])
			if err != nil {
				t.Fatal(err)
			}
			for _, word := range words[1:] {
				if _, err := l.WriteLevel(level, []byte(word+"\n")); err != nil {
					t.Fatal(err)
				}
			}
		case "advance":
			pause, err := time.ParseDuration(words[1])
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(pause)
		case "run":
			start()
			time.Sleep(2 * flushDelay)
		case "stop":
			start()
			stop()
		default:
			t.Fatalf("unknown step %q", line)
		}
	}
	start()
	stop()
	<-done
	return out.String()
}
