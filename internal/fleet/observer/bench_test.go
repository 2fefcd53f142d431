package observer_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/decision/picker"
	"foxtailflow.example/foxtailflow/internal/engine/controller"
	"foxtailflow.example/foxtailflow/internal/fleet/observer"
	"foxtailflow.example/foxtailflow/internal/fleet/supplier"
)

// BenchmarkTable measures the endpoint table by the number of endpoints: the two
// changes of each attempt, a refresh of the list, and one round of load reports
// without the network. It reports the memory of the table.
func BenchmarkTable(b *testing.B) {
	for _, workers := range []int{12, 1200, 12_000} {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		o, h := benchObserver(b, workers)
		runtime.GC()
		runtime.ReadMemStats(&after)
		bytes := float64(after.HeapAlloc - before.HeapAlloc)
		b.Run(fmt.Sprintf("attempt/workers=%d", workers), func(b *testing.B) {
			b.ReportAllocs()
			rule := definer.DefaultRule("d")
			i := 0
			for b.Loop() {
				i++
				id := h.vms[i%workers].ID
				o.RecordSent(id, 500)
				o.RecordDone(id, 500, picker.ResultResponse, rule)
			}
			b.ReportMetric(bytes, "table-bytes")
		})
		b.Run(fmt.Sprintf("list/workers=%d", workers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if err := o.RefreshList(b.Context()); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprintf("reports/workers=%d", workers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if err := o.RefreshLoad(b.Context()); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func benchObserver(b *testing.B, workers int) (*observer.Observer, *harness) {
	h := &harness{loads: make(map[string]controller.Load)}
	for i := range workers {
		id := fmt.Sprintf("engine-%d", i)
		h.vms = append(h.vms, supplier.VM{
			ID: id, Address: id, DataCentre: fmt.Sprintf("dc-%d", i%24), Deployment: fmt.Sprintf("m-%d", i%13), State: supplier.Live,
		})
		h.loads[id] = controller.Load{InFlight: i % 7, Role: "both"}
	}
	o := &observer.Observer{Clock: timekeeper.System{}, Log: zerolog.Nop(), VMs: h, Engines: controller.Client{Transport: h}, ReportLag: 2 * time.Second}
	if err := o.RefreshList(b.Context()); err != nil {
		b.Fatal(err)
	}
	// The first report of an endpoint sets its role, which rebuilds the
	// candidates. A node in steady state knows all roles.
	for range workers/256 + 1 {
		if err := o.RefreshLoad(b.Context()); err != nil {
			b.Fatal(err)
		}
	}
	return o, h
}
