package queuer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
	"foxtailflow.example/foxtailflow/internal/request/queuer"
)

// BenchmarkQueue measures one request passing through the queue, with requests
// from a given number of client accounts.
func BenchmarkQueue(b *testing.B) {
	for _, accounts := range []int{8, 1700} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			q := &queuer.Queue[*job]{Clock: timekeeper.System{}, Log: zerolog.Nop(), Configs: &stubNode{}}
			until := time.Now().Add(time.Hour)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				j := &job{request: carrier.Request{
					Account: fmt.Sprint("account-", i%accounts), PromptTokens: 100, Deadline: until,
					Route: definer.Route{Kind: definer.Model, Deployment: "m", Priority: 5},
				}}
				if err := q.Add(j); err != nil {
					b.Fatal(err)
				}
				got, ok := q.Next(b.Context())
				if !ok {
					b.Fatal("no job")
				}
				q.Done(got, carrier.Result{Usage: carrier.Usage{PromptTokens: 100, OutputTokens: 100}})
			}
		})
	}
}
