package merger_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"foxtailflow.example/foxtailflow/internal/config/merger"
	"foxtailflow.example/foxtailflow/internal/config/parser"
)

// BenchmarkMerge measures the merge of a configuration with a file for each
// client account and each model, and reports the memory of the result.
func BenchmarkMerge(b *testing.B) {
	for _, size := range []struct{ accounts, models int }{{8, 1}, {1700, 13}} {
		b.Run(fmt.Sprintf("accounts=%d,models=%d", size.accounts, size.models), func(b *testing.B) {
			files := benchFiles(size.accounts, size.models)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			r, err := merger.Merge(files)
			if err != nil {
				b.Fatal(err)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := merger.Merge(files); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "result-bytes")
			runtime.KeepAlive(r)
		})
	}
}

func benchFiles(accounts, models int) []parser.File {
	var files []parser.File
	for i := range models {
		files = append(files, parser.File{Name: fmt.Sprintf("model-%03d.ini", i), Data: []byte(strings.ReplaceAll(`
[deployment "m-$"]
kind = model
model = m-$
slots = 32

[route "r-$"]
kind = model
model = m-$
deployment = m-$
deadline = 30s

[placement "p-$"]
deployment = m-$
data-centre = dc-1
tier = spot
max = 100
cost = 400
`, "$", fmt.Sprint(i)))})
	}
	for i := range accounts {
		files = append(files, parser.File{Name: fmt.Sprintf("account-%05d.ini", i), Data: fmt.Appendf(nil, `
[client-account "a-%[1]d"]
share = 2
max-concurrent = 100
requests-per-second = 50

[key "k-%[1]d"]
client-account = a-%[1]d
hash = sha256:%064[1]x
`, i+1)})
	}
	return files
}
