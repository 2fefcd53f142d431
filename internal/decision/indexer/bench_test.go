package indexer_test

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"

	"foxtailflow.example/foxtailflow/internal/decision/indexer"
)

// BenchmarkIndex measures a look-up and the insertion of a full chain in a full
// index, and reports the memory of the index.
func BenchmarkIndex(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	x := &indexer.Index{}
	chain := make([]uint64, indexer.MaxBlocks)
	for i := range uint64(2 * indexer.DefaultLimit / indexer.MaxBlocks) {
		x.Store(fmt.Sprintf("engine-%d", i%12_000), fill(chain, i))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	bytes := float64(after.HeapAlloc - before.HeapAlloc)
	b.Run("holders", func(b *testing.B) {
		b.ReportAllocs()
		var i uint64
		for b.Loop() {
			i++
			x.Holders(make([]string, 0, 4), fill(chain, i%4096))
		}
		b.ReportMetric(bytes, "index-bytes")
	})
	b.Run("store", func(b *testing.B) {
		b.ReportAllocs()
		var i uint64
		for b.Loop() {
			i++
			x.Store("engine-7", fill(chain, i))
		}
	})
}

// BenchmarkChain measures the hashing of a prompt of 16 KiB.
func BenchmarkChain(b *testing.B) {
	prompt := bytes.Repeat([]byte("playlist"), 2048)
	var dst [indexer.MaxBlocks]uint64
	b.ReportAllocs()
	for b.Loop() {
		indexer.Chain(dst[:0], prompt)
	}
}

func fill(chain []uint64, n uint64) []uint64 {
	for i := range chain {
		chain[i] = (n*indexer.MaxBlocks + uint64(i)) * 0x9e3779b97f4a7c15
	}
	return chain
}
