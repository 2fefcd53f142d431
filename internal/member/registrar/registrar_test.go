package registrar_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/rs/zerolog"

	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/lab/provider"
	"foxtailflow.example/foxtailflow/internal/member/registrar"
	"foxtailflow.example/foxtailflow/internal/store/follower"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

// TestScripts guards against a node that the others cannot find: its row must be
// written once its clock offset is known and again after another node has removed
// it, and a malformed row must not hide the others.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			memory := &provider.Memory{Clock: timekeeper.System{}}
			e := &testEnv{memory: memory, clockKnown: true, node: &registrar.Registrar{
				Log: zerolog.Nop(), Table: memory,
				Self: registrar.Node{ID: "n2", Address: "10.0.0.2:1", DataCentre: "b", Incarnation: 5},
			}}
			e.node.ClockOffset = func() (time.Duration, bool) { return 3 * time.Second, e.clockKnown }
			datadriven.RunTest(t, path, e.run)
		})
	})
}

type testEnv struct {
	memory     *provider.Memory
	node       *registrar.Registrar
	clockKnown bool
}

// Read returns the rows of the store.
func (e *testEnv) Read(ctx context.Context, prefix string) (c transactor.Changes, err error) {
	c.Rows, err = transactor.ScanAll(ctx, e.memory, prefix)
	c.Version = 1
	return c, err
}

// Watch blocks until ctx is done and returns no changes.
func (e *testEnv) Watch(ctx context.Context, _ string, _ transactor.Version, _ time.Duration) (transactor.Changes, error) {
	<-ctx.Done()
	return transactor.Changes{}, ctx.Err()
}

func (e *testEnv) run(t *testing.T, d *datadriven.TestData) string {
	arg := func(i int) string { return d.CmdArgs[i].Key }
	var err error
	switch d.Cmd {
	case "clock":
		e.clockKnown = arg(0) == "known"
	case "register":
		err = e.node.Register(t.Context())
	case "leave":
		err = e.node.Deregister(t.Context())
	case "store":
		e.memory.SetFaults(provider.Faults{TableDown: d.HasArg("down")})
	case "row":
		_, err = e.memory.Commit(t.Context(), transactor.Tx{}.WithPut(registrar.KeyPrefix+arg(0), []byte(d.Input)))
	case "remove":
		_, err = e.memory.Commit(t.Context(), transactor.Tx{}.WithDelete(registrar.KeyPrefix+arg(0)))
	case "apply":
		// Apply takes the snapshot of a follower.
		f := &follower.Follower{
			Clock: timekeeper.System{}, Log: zerolog.Nop(), Feed: e, Prefix: registrar.KeyPrefix,
			Reachability: &follower.Reachability{}, WatchTimeout: time.Second, RefreshInterval: time.Minute, RetryDelay: time.Second,
		}
		ctx, stop := context.WithCancel(t.Context())
		go f.Run(ctx)
		synctest.Wait()
		e.node.Apply(f.Snapshot())
		stop()
		synctest.Wait()
	}
	if err != nil {
		return err.Error() + "\n"
	}
	var b strings.Builder
	for _, n := range e.node.Nodes() {
		fmt.Fprintf(&b, "%s %s in %s started %d offset %v\n", n.ID, n.Address, n.DataCentre, n.Incarnation, n.ClockOffset)
	}
	fmt.Fprintf(&b, "data centres %v, of b %d\n", e.node.DataCentres(), len(e.node.InDataCentre("b")))
	return b.String()
}
