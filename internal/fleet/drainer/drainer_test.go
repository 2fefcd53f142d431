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
	"foxtailflow.example/foxtailflow/internal/platform/transactor"
)

var ctx = context.Background()

func node(clock *timekeeper.Fake, m *provider.Memory) *drainer.Drainer {
	d := &drainer.Drainer{
		Clock:     clock,
		Table:     m,
		Endpoints: &keeper.Table[string, picker.Endpoint]{},
		List:      &drainer.Lister{Clock: clock, VMs: m},
	}
	for _, id := range []string{"e1", "e2"} {
		d.Endpoints.Put(id, picker.Endpoint{ID: id, Deployment: "d", Report: picker.Report{At: clock.Now()}})
	}
	_, _, _ = d.List.List(ctx)
	return d
}

func drains(d *drainer.Drainer, id string) bool {
	e, _ := d.Endpoints.Get(id)
	return e.Draining
}

// TestNotice guards against a node that goes on sending to an endpoint that
// another node drains, and against a change before every node has read it.
func TestNotice(t *testing.T) {
	is := is.New(t)
	clock := timekeeper.NewFake(time.Unix(0, 0))
	m := &provider.Memory{Clock: clock}
	epoch, err := m.Commit(ctx, transactor.Tx{}.WithPut(leaser.EpochKey("p"), nil))
	is.NoErr(err)
	g := leaser.Grant{Duty: "p", Token: 1, Epoch: epoch}
	holder, other := node(clock, m), node(clock, m)

	is.NoErr(holder.Begin(ctx, g, "d", "e1"))
	is.True(drains(holder, "e1"))  // at once where it was ordered
	is.True(!holder.Noticed("e1")) // the other node may not have read it
	is.NoErr(other.Refresh(ctx))   // which happens each second
	is.True(drains(other, "e1"))   // no new work there either
	is.True(!drains(other, "e2"))  // the neighbour stays
	clock.Advance(drainer.NoticeWait)
	is.True(holder.Noticed("e1"))

	m.SetFaults(provider.Faults{TableDown: true})
	is.True(other.Refresh(ctx) != nil)
	is.True(drains(other, "e1")) // an outage ends no drain
	m.SetFaults(provider.Faults{})

	stale := leaser.Grant{Duty: "p", Token: 1, Epoch: epoch + 7}
	is.True(holder.Begin(ctx, stale, "d", "e2") != nil) // not after a takeover
	is.NoErr(holder.End(ctx, g, "d", "e1"))
	is.NoErr(other.Refresh(ctx))
	is.True(!drains(other, "e1"))
}

// TestOldList guards against new work for an endpoint that is gone while the
// platform's list is too old to say so, and against taking away those that
// still report.
func TestOldList(t *testing.T) {
	is := is.New(t)
	clock := timekeeper.NewFake(time.Unix(0, 0))
	m := &provider.Memory{Clock: clock}
	d := node(clock, m)
	m.SetFaults(provider.Faults{FleetDown: true})
	for range 11 {
		clock.Advance(time.Second)
		_, _, _ = d.List.List(ctx)
		d.Endpoints.Update("e1", func(e picker.Endpoint, _ bool) (picker.Endpoint, bool) {
			return e.WithReport(picker.Report{At: clock.Now()}), true
		})
		is.NoErr(d.Refresh(ctx))
	}
	is.True(!drains(d, "e1")) // reports, so it runs
	is.True(drains(d, "e2"))  // silent for longer than the limit
	m.SetFaults(provider.Faults{})
	_, _, _ = d.List.List(ctx)
	is.NoErr(d.Refresh(ctx))
	is.True(!drains(d, "e2")) // the list is current again and has it
}
