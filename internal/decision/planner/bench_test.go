package planner_test

import (
	"fmt"
	"testing"

	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/decision/planner"
)

// BenchmarkPlan measures one plan of one deployment for several numbers of workers.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ workers, dataCentres int }{{12, 4}, {923, 24}, {12_000, 24}} {
		b.Run(fmt.Sprintf("workers=%d", size.workers), func(b *testing.B) {
			s := planner.State{Need: float64(size.workers)}
			for i := range size.dataCentres {
				dc := fmt.Sprintf("dc-%d", i)
				s.Deployment.Placements = append(s.Deployment.Placements,
					definer.Placement{DataCentre: dc, Tier: definer.OnDemand, Max: size.workers, Cost: 1000},
					definer.Placement{DataCentre: dc, Tier: definer.Spot, Max: size.workers / size.dataCentres, Cost: 400})
			}
			for i := range size.workers {
				s.Endpoints = append(s.Endpoints, planner.Endpoint{
					ID: fmt.Sprint(i), DataCentre: fmt.Sprintf("dc-%d", i%size.dataCentres), Tier: definer.Spot,
				})
			}
			b.ReportAllocs()
			for b.Loop() {
				planner.LossTolerant{}.Plan(s)
			}
		})
	}
}
