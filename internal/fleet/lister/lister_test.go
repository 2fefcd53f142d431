package lister_test

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/rs/zerolog"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/fleet/lister"
	"foxtailflow.example/foxtailflow/internal/fleet/supplier"
	"foxtailflow.example/foxtailflow/internal/store/follower"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

// TestScripts guards against endpoints that are dropped because their entries
// expired in an outage, against endpoints that stay listed after they have left,
// against a malformed entry that affects others, and against endpoints that have left, or
// are leaving, and are back as live with an older copy of the store.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		clock := timekeeper.NewFake(time.Unix(1000, 0))
		var resumed time.Time
		var entries string
		version := transactor.Version(0)
		l := &lister.Lister{
			Clock: clock, Log: zerolog.Nop(), RewriteTimeout: 2 * time.Second,
			Snapshot: func() follower.Snapshot {
				s := follower.NewSnapshot(version, rows(entries, version))
				s.OutageEndedAt, s.ConfirmedAt = resumed, clock.Now()
				return s
			},
			Decode: decode,
		}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "entries":
				entries = d.Input
				version++
			case "restored":
				// The store comes back from a copy with these entries.
				entries = d.Input
				version = transactor.NewVersion(version.Era()+1, 1)
				resumed = clock.Now()
			case "resumed":
				resumed = clock.Now()
			case "wait":
				span, err := time.ParseDuration(d.CmdArgs[0].Key)
				if err != nil {
					t.Fatal(err)
				}
				clock.Advance(span)
			}
			vms, _, err := l.List(context.Background())
			if err != nil {
				t.Fatal(err)
			}
			var names []string
			for _, vm := range vms {
				names = append(names, vm.ID+":"+string(vm.State))
			}
			slices.Sort(names)
			return strings.Join(names, " ") + "\n"
		})
	})
}

func rows(entries string, version transactor.Version) []transactor.Row {
	var rows []transactor.Row
	for _, e := range strings.Fields(entries) {
		name, state, _ := strings.Cut(e, ":")
		rows = append(rows, transactor.Row{Key: "servers/" + name, Value: []byte(state), Version: version})
	}
	return rows
}

// decode takes the value of a row as the endpoint's state and the revision of the entry.
func decode(r transactor.Row) (supplier.VM, error) {
	if string(r.Value) == "broken" {
		return supplier.VM{}, coder.New(coder.PlatformRefused, "malformed")
	}
	state, revision, _ := strings.Cut(string(r.Value), ":")
	vm := supplier.VM{ID: strings.TrimPrefix(r.Key, "servers/"), State: supplier.VMState(state)}
	if revision != "" {
		var err error
		if vm.Revision, err = strconv.ParseUint(revision, 10, 64); err != nil {
			return vm, err
		}
	}
	return vm, nil
}
