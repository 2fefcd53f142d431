package drainer_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailflow.example/foxtailflow/internal/authority/leaser"
	"foxtailflow.example/foxtailflow/internal/base/keeper"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/decision/picker"
	"foxtailflow.example/foxtailflow/internal/fleet/drainer"
	"foxtailflow.example/foxtailflow/internal/lab/provider"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

var ctx = context.Background()

// endpoints is the endpoint table of a node.
type endpoints struct {
	keeper.Table[string, picker.Endpoint]
}

func (e *endpoints) All() []picker.Endpoint { return e.Values() }

func (e *endpoints) SetDraining(id string, draining bool) {
	e.Update(id, func(e picker.Endpoint, ok bool) (picker.Endpoint, bool) { return e.WithDraining(draining), ok })
}

func newDrainer(clock *timekeeper.Fake, m *provider.Memory) *drainer.Drainer {
	table := &endpoints{}
	for _, id := range []string{"e1", "e2"} {
		table.Put(id, picker.Endpoint{ID: id, Deployment: "d"})
	}
	return &drainer.Drainer{Clock: clock, Table: m, Endpoints: table}
}

func isDraining(d *drainer.Drainer, id string) bool {
	e, _ := d.Endpoints.(*endpoints).Get(id)
	return e.Draining
}

// TestDrain guards against a node that still sends requests to an endpoint that
// another node drains, and against a change of the endpoint before every node
// has read that it is draining.
func TestDrain(t *testing.T) {
	is := is.New(t)
	clock := timekeeper.NewFake(time.Unix(0, 0))
	m := &provider.Memory{Clock: clock}
	epoch, err := m.Commit(ctx, transactor.Tx{}.WithPut(leaser.EpochKey("p"), nil))
	is.NoErr(err)
	g := leaser.Grant{Duty: "p", Token: 1, Epoch: epoch}
	holder, other := newDrainer(clock, m), newDrainer(clock, m)

	is.NoErr(holder.Begin(ctx, g, "d", "e1"))
	is.True(isDraining(holder, "e1")) // the node that ordered the drain marks it at once
	is.True(!holder.Propagated("e1")) // the other node may not have read the row
	is.NoErr(other.Refresh(ctx))      // runs every second
	is.True(isDraining(other, "e1"))  // the other node sends no new requests either
	is.True(!isDraining(other, "e2")) // other endpoints are not marked
	clock.Advance(drainer.PropagationDelay)
	is.True(holder.Propagated("e1"))

	m.SetFaults(provider.Faults{TableDown: true})
	is.True(other.Refresh(ctx) != nil)
	is.True(isDraining(other, "e1")) // an outage of the table does not end a drain
	m.SetFaults(provider.Faults{})

	stale := leaser.Grant{Duty: "p", Token: 1, Epoch: epoch + 7}
	is.True(holder.Begin(ctx, stale, "d", "e2") != nil) // refused after a takeover
	is.NoErr(holder.End(ctx, g, "d", "e1"))
	is.NoErr(other.Refresh(ctx))
	is.True(!isDraining(other, "e1"))
}
