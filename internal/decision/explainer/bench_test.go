package explainer_test

import (
	"io"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"foxtailflow.example/foxtailflow/internal/decision/explainer"
	"foxtailflow.example/foxtailflow/internal/decision/picker"
)

// BenchmarkLogRouting measures the logging of one choice with 16 excluded endpoints.
func BenchmarkLogRouting(b *testing.B) {
	log := zerolog.New(io.Discard)
	c := picker.Choice{OK: true, Endpoint: picker.Endpoint{ID: "engine-1"}, Reason: "less loaded of two"}
	for range 16 {
		c.Excluded = append(c.Excluded, picker.Rejected{Endpoint: "engine-2", Reason: picker.ReasonDraining})
	}
	b.ReportAllocs()
	for b.Loop() {
		explainer.LogRouting(log, "req-0f", "baden", "wichse-llm", c, explainer.ListState{Version: 1 << 20, Age: time.Second, Source: "10.0.0.2:70"})
	}
}
