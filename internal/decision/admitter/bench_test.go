package admitter_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/decision/admitter"
)

// BenchmarkAccounts measures the admission and the start of one request while
// all accounts have queued requests, and reports the memory of the queues.
func BenchmarkAccounts(b *testing.B) {
	for _, accounts := range []int{8, 1700} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			f := &admitter.FairQueue[int]{}
			ledgers := make(map[string]admitter.Ledger)
			names := make([]string, accounts)
			item := func(i int) admitter.Item[int] {
				return admitter.Item[int]{Account: names[i%accounts], Share: 1, Priority: 5, Work: float64(100 + i%7), Deadline: start.Add(time.Minute)}
			}
			for i := range accounts {
				names[i] = fmt.Sprintf("client-account-%d", i)
				ledgers[names[i]] = admitter.Ledger{}
			}
			for i := range 2 * accounts {
				f.Add(item(i))
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				a := definer.Account{Name: names[i%accounts], Share: 1, RequestsPerSecond: 1 << 30}
				l := ledgers[a.Name].WithTime(start).WithLimits(start, a, 9)
				in := admitter.Input{Now: start, Deadline: start.Add(time.Minute), Account: a, Ledger: l, Nodes: 9, QueueLimit: 1 << 20, Share: 1}
				in.QueueingDelay = time.Duration(f.WorkAhead(a.Name, 1, 5))
				if _, refused := admitter.Decide(in); refused {
					b.Fatal("refused")
				}
				f.Add(item(i))
				it, _ := f.Next()
				ledgers[it.Account] = l.WithAdmitted(it.Work, 100).WithStarted(start, it.Work).WithEnded(start, 0, 0, 100)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "table-bytes")
		})
	}
}
