package picker_test

import (
	"fmt"
	"testing"

	"foxtailflow.example/foxtailflow/internal/base/keeper"
	"foxtailflow.example/foxtailflow/internal/decision/picker"
)

// BenchmarkPick measures one choice for several numbers of workers.
func BenchmarkPick(b *testing.B) {
	for _, workers := range []int{12, 1200, 12_000} {
		v := benchView(workers)
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			b.ReportAllocs()
			p := picker.Picker[picker.PrefixAffinity[picker.TwoChoices]]{}
			n := picker.Requirements{Now: start, DataCentre: "dc-1", Phase: picker.Decode, Blocks: 4, Holders: []string{"engine-3"}}
			i := uint64(0)
			for b.Loop() {
				i++
				n.Random = i
				if c := p.Pick(n, v); !c.OK {
					b.Fatal("no endpoint was chosen")
				}
			}
		})
	}
}

// BenchmarkNewSet measures the rebuild of a Set.
func BenchmarkNewSet(b *testing.B) {
	for _, workers := range []int{12, 1200, 12_000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			v := benchView(workers)
			all := v.Endpoints.Values()
			b.ReportAllocs()
			for b.Loop() {
				picker.NewSet(all)
			}
		})
	}
}

func benchView(workers int) picker.View {
	rows := &keeper.Table[string, picker.Endpoint]{}
	var all []picker.Endpoint
	mean := 0
	for i := range workers {
		e := parseEndpoint([]string{
			fmt.Sprintf("engine-%d", i), fmt.Sprintf("dc-%d", i%4), fmt.Sprintf("in-flight=%d", i%7),
			"role=" + string([]picker.Role{picker.Prefill, picker.Decode, picker.Both}[i%3]),
		})
		if i%50 == 49 {
			e = e.WithLeaving(true)
		}
		rows.Put(e.ID, e)
		all = append(all, e)
		mean += e.Load()
	}
	return picker.View{Set: picker.NewSet(all), Endpoints: rows, Mean: mean / workers}
}
