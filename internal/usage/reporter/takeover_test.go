package reporter_test

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/rs/zerolog"

	"foxtailflow.example/foxtailflow/internal/authority/leaser"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/lab/provider"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
	"foxtailflow.example/foxtailflow/internal/usage/counter"
	"foxtailflow.example/foxtailflow/internal/usage/reporter"
	"foxtailflow.example/foxtailflow/internal/usage/sealer"
)

// TestTakeover guards H6: a new holder must not report while a report of its
// predecessor may still be under way.
func TestTakeover(t *testing.T) {
	clock := timekeeper.NewFake(time.Unix(1000, 0))
	m := &provider.Memory{Clock: clock}
	o := &owner{grants: make(map[string]leaser.Grant)}
	r := &reporter.Reporter{
		Clock: clock, Log: zerolog.Nop(), Table: m, Leases: o,
		Reports:       func(leaser.Grant) counter.Reports { return m },
		Groups:        func() int { return 1 },
		Window:        func() time.Duration { return time.Second },
		PlatformLimit: 5 * time.Second,
	}
	datadriven.RunTest(t, "testdata/takeover", func(t *testing.T, td *datadriven.TestData) string {
		switch td.Cmd {
		case "take":
			token, _ := strconv.ParseUint(td.CmdArgs[0].Key, 10, 64)
			g := leaser.Grant{Duty: reporter.Duty(0), Token: token, Taken: clock.Now()}
			version, err := m.Commit(context.Background(), transactor.Tx{}.WithPut(leaser.EpochKey(g.Duty), nil))
			if err != nil {
				t.Fatal(err)
			}
			g.Epoch = version
			o.grants[g.Duty] = g
		case "seal":
			figures := []counter.Figures{{Account: "baden", Model: "m", Requests: 3}}
			tx := transactor.Tx{}.WithPut(sealer.SegmentPrefix(0)+td.CmdArgs[0].Key, sealer.EncodeFigures(figures))
			if _, err := m.Commit(context.Background(), tx); err != nil {
				t.Fatal(err)
			}
		case "run":
			seconds, _ := strconv.Atoi(td.CmdArgs[0].Key)
			for range seconds {
				if err := r.Run(context.Background()); err != nil {
					return err.Error() + "\n"
				}
				clock.Advance(time.Second)
			}
			return strconv.Itoa(len(m.Record())) + " reports\n"
		}
		return ""
	})
}
