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

// TestScripts guards against a node that the others cannot find: its row is
// written once its clock is known, again after another has removed it, and a
// row that cannot be read hides no other.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			memory := &provider.Memory{Clock: timekeeper.System{}}
			w := &world{memory: memory, known: true, node: &registrar.Registrar{
				Log: zerolog.Nop(), Table: memory,
				Self: registrar.Node{ID: "n2", Address: "10.0.0.2:1", DataCentre: "b", Incarnation: 5},
			}}
			w.node.Offset = func() (time.Duration, bool) { return 3 * time.Second, w.known }
			datadriven.RunTest(t, path, w.do)
		})
	})
}

type world struct {
	memory *provider.Memory
	node   *registrar.Registrar
	known  bool
}

// Read returns the rows of the store.
func (w *world) Read(ctx context.Context, prefix string) (c transactor.Changes, err error) {
	c.Rows, err = transactor.ScanAll(ctx, w.memory, prefix)
	c.Version = 1
	return c, err
}

// Watch waits and tells of nothing.
func (w *world) Watch(ctx context.Context, _ string, _ uint64, _ time.Duration) (transactor.Changes, error) {
	<-ctx.Done()
	return transactor.Changes{}, ctx.Err()
}

func (w *world) do(t *testing.T, d *datadriven.TestData) string {
	arg := func(i int) string { return d.CmdArgs[i].Key }
	var err error
	switch d.Cmd {
	case "clock":
		w.known = arg(0) == "known"
	case "register":
		err = w.node.Register(t.Context())
	case "leave":
		err = w.node.Leave(t.Context())
	case "store":
		w.memory.SetFaults(provider.Faults{TableDown: d.HasArg("down")})
	case "row":
		_, err = w.memory.Commit(t.Context(), transactor.Tx{}.WithPut(registrar.Prefix+arg(0), []byte(d.Input)))
	case "remove":
		_, err = w.memory.Commit(t.Context(), transactor.Tx{}.WithDelete(registrar.Prefix+arg(0)))
	case "apply":
		// A follower's snapshot is that of a real table.
		f := &follower.Follower{
			Clock: timekeeper.System{}, Log: zerolog.Nop(), Feed: w, Prefix: registrar.Prefix,
			Pulse: &follower.Pulse{}, Wait: time.Second, Refresh: time.Minute, Retry: time.Second,
		}
		ctx, stop := context.WithCancel(t.Context())
		go f.Run(ctx)
		synctest.Wait()
		w.node.Apply(f.Snapshot())
		stop()
		synctest.Wait()
	}
	if err != nil {
		return err.Error() + "\n"
	}
	var b strings.Builder
	for _, n := range w.node.Nodes() {
		fmt.Fprintf(&b, "%s %s in %s started %d offset %v\n", n.ID, n.Address, n.DataCentre, n.Incarnation, n.Offset)
	}
	fmt.Fprintf(&b, "data centres %v, of b %d\n", w.node.DataCentres(), len(w.node.Of("b")))
	return b.String()
}
