// Package drainer stops new requests to endpoints that will be taken out of
// service.
//
// Before such a change, the holder of the placement duty lists the endpoint in
// the row drain/DEPLOYMENT. Every node reads these rows and marks the endpoints
// in its table: no new request is sent to them, while running requests complete.
// An endpoint is drained once every node has had time to read the row and the
// endpoint itself reports nothing in flight.
//
// An endpoint that leaves on its own gets no new requests either: the observer
// marks it in the endpoint table by the platform's list, the endpoint's own
// signal and missing reports.
package drainer

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"foxtailflow.example/foxtailflow/internal/authority/leaser"
	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/keeper"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/decision/picker"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

// The times of a drain.
const (
	// RefreshInterval is the delay between two reads of the rows.
	RefreshInterval = time.Second
	// PropagationDelay is the time after which every node has read a new row:
	// the delay between two reads with its jitter, one call, and a request that
	// is being sent meanwhile. It leaves 1 s of the 5 s bound for leaving
	// endpoints.
	PropagationDelay = 4 * time.Second
)

// Endpoints is the endpoint table of the node.
type Endpoints interface {
	// All returns the endpoints in no particular order.
	All() []picker.Endpoint
	// SetDraining marks an endpoint as draining or not.
	SetDraining(id string, draining bool)
}

// Drainer marks the endpoints that get no new requests.
type Drainer struct {
	Clock     timekeeper.Clock
	Log       zerolog.Logger
	Table     transactor.Table
	Endpoints Endpoints

	rows keeper.Cell[drainRows]
}

// Refresh reads which endpoints are draining and marks them. A task runs it
// every RefreshInterval.
func (d *Drainer) Refresh(ctx context.Context) error {
	rows, err := transactor.ScanAll(ctx, d.Table, keyPrefix)
	if err == nil {
		err = d.apply(rows)
	}
	d.markDraining()
	return err
}

// apply stores rows that were read from the table.
func (d *Drainer) apply(rows []transactor.Row) error {
	read := make(drainRows, len(rows))
	now := d.Clock.Now()
	old := d.rows.Get()
	for _, r := range rows {
		ids, err := decodeIDs(r.Value)
		if err != nil {
			return err
		}
		deployment := strings.TrimPrefix(r.Key, keyPrefix)
		read[deployment] = old.seenRow(deployment, r.Version, ids, now)
	}
	d.rows.Update(func(current drainRows) (drainRows, bool) {
		// A commit of this node may be newer than the row that the scan returned.
		for name, row := range current {
			if row.version > read[name].version {
				read[name] = row
			}
		}
		return read, true
	})
	return nil
}

// markDraining marks the listed endpoints as draining in the endpoint table and
// clears the mark of the others.
func (d *Drainer) markDraining() {
	listed := d.rows.Get()
	for _, e := range d.Endpoints.All() {
		_, draining := listed.since(e.ID)
		if draining == e.Draining {
			continue
		}
		d.Log.Info().Str("endpoint", e.ID).Bool("draining", draining).Msg("endpoint draining changed")
		d.Endpoints.SetDraining(e.ID, draining)
	}
}

// Draining returns the draining endpoints of a deployment, sorted.
func (d *Drainer) Draining(deployment string) []string {
	return d.rows.Get().ids(deployment)
}

// Propagated reports whether every node has had time to read that an endpoint is
// draining.
func (d *Drainer) Propagated(id string) bool {
	at, ok := d.rows.Get().since(id)
	return ok && d.Clock.Now().Sub(at) >= PropagationDelay
}

// Begin lists an endpoint as draining.
func (d *Drainer) Begin(ctx context.Context, g leaser.Grant, deployment, id string) error {
	return d.change(ctx, g, deployment, func(ids []string) []string {
		if slices.Contains(ids, id) {
			return ids
		}
		return append(ids, id)
	})
}

// End removes an endpoint from the draining ones, so that it gets new requests
// again.
func (d *Drainer) End(ctx context.Context, g leaser.Grant, deployment, id string) error {
	return d.change(ctx, g, deployment, func(ids []string) []string {
		return slices.DeleteFunc(ids, func(listed string) bool { return listed == id })
	})
}

// change writes the row of a deployment. If the response to the commit is lost,
// the next Refresh reads whether the commit took effect.
func (d *Drainer) change(ctx context.Context, g leaser.Grant, deployment string, edit func([]string) []string) error {
	current := d.rows.Get()
	before := current.ids(deployment)
	ids := edit(slices.Clone(before))
	if slices.Equal(before, ids) {
		return nil
	}
	key := keyPrefix + deployment
	version, err := d.Table.Commit(ctx, g.Guard(transactor.Tx{}).
		WithCheck(key, current[deployment].version).
		WithPut(key, encodeIDs(ids)))
	if err != nil {
		return coder.Wrap(coder.FromError(err).Code(), err, "cannot write the draining endpoints of deployment %s", deployment)
	}
	now := d.Clock.Now()
	d.rows.Update(func(n drainRows) (drainRows, bool) {
		return n.with(deployment, n.seenRow(deployment, version, ids, now)), n[deployment].version < version
	})
	d.markDraining()
	return nil
}
