package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"foxtailflow.example/foxtailflow/internal/decision/balancer"
	"foxtailflow.example/foxtailflow/internal/decision/forecaster"
	"foxtailflow.example/foxtailflow/internal/decision/picker"
)

// BenchmarkDecide measures one role decision for several numbers of engines.
func BenchmarkDecide(b *testing.B) {
	for _, engines := range []int{12, 923, 12_000} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			now := time.Unix(1000, 0)
			s := balancer.State{
				Now: now, PrefillRate: 1000, DecodeRate: 1000, DrainTime: 5 * time.Second, ChangeTime: 5 * time.Second, MaxUnavailable: engines,
				Forecast: forecaster.Forecast{}.WithSample(now, forecaster.Demand{Prefill: 900 * float64(engines), Decode: 10}),
				Wanted:   balancer.WantedChange{From: picker.Decode, To: picker.Prefill},
			}
			for i := range engines {
				s.Engines = append(s.Engines, balancer.Engine{ID: fmt.Sprint(i), Role: []picker.Role{picker.Prefill, picker.Decode}[i%2], InFlight: i % 7})
			}
			b.ReportAllocs()
			for b.Loop() {
				if d := (balancer.CostBenefit{MinGain: 1e-9}).Decide(s); len(d.Orders) != 1 {
					b.Fatal(d.Reason)
				}
			}
		})
	}
}
