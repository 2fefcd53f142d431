package observer

import (
	"context"
	"slices"
	"time"

	"github.com/sourcegraph/conc/pool"

	"foxtailflow.example/foxtailflow/internal/decision/picker"
	"foxtailflow.example/foxtailflow/internal/platform/transactor"
)

const (
	// listTrusted is the age up to which an entry of the list is enough to send
	// work to an endpoint that does not report.
	listTrusted = 10 * time.Second
	// reportTrusted is the age up to which a report is enough although the list
	// is old, as in an outage of the platform.
	reportTrusted = 3 * time.Second
)

// RefreshList takes the platform's list of VMs into the table.
func (o *Observer) RefreshList(ctx context.Context) error {
	vms, age, err := o.VMs.List(ctx)
	if err != nil {
		return err
	}
	listed := make(map[string]bool, len(vms))
	ids := make(map[string][]string)
	made := o.Clock.Now().Add(-age)
	for _, v := range vms {
		listed[v.ID] = true
		ids[v.Deployment] = append(ids[v.Deployment], v.ID)
		o.update(v.ID, func(e picker.Endpoint, _ bool) (picker.Endpoint, bool) {
			e.ID, e.Address, e.DataCentre = v.ID, v.Address, v.DataCentre
			e.Deployment, e.Tier = v.Deployment, v.Tier
			if made.After(e.Listed) {
				e.Listed = made
			}
			return e.WithLeaving(v.State == transactor.Leaving), true
		})
	}
	for _, e := range o.Table.Values() {
		if !listed[e.ID] {
			o.forget(e)
		}
	}
	o.setOrder(ids)
	o.rebuildStale()
	o.listed.Update(func(bool) (bool, bool) { return true, true })
	return nil
}

// Listed reports whether the platform's list was read since the start.
func (o *Observer) Listed() bool { return o.listed.Get() }

// setOrder takes over the order of the list in each deployment.
func (o *Observer) setOrder(ids map[string][]string) {
	var names []string
	o.groups.Each(func(name string, _ group) bool {
		names = append(names, name)
		return true
	})
	for _, name := range names {
		o.groups.Update(name, func(g group, ok bool) (group, bool) {
			if slices.Equal(g.ids, ids[name]) {
				return g, ok
			}
			g.ids, g.stale = ids[name], true
			return g, ok
		})
	}
}

// forget drops an endpoint that the list no longer has, once its work is done.
func (o *Observer) forget(e picker.Endpoint) {
	gone := false
	o.update(e.ID, func(e picker.Endpoint, ok bool) (picker.Endpoint, bool) {
		gone = ok && e.Sent <= 0
		return e.WithLeaving(true), ok && !gone
	})
	if gone && o.OnGone != nil {
		o.OnGone(e.ID)
	}
}

const (
	// concurrentReports bounds the load reports that are asked for at once.
	concurrentReports = 32
	// reportsPerRound bounds the reports of one round; with more endpoints each
	// is asked in its turn, and what was sent corrects the older reports.
	reportsPerRound = 256
)

// askAll asks the endpoints whose turn it is.
func (o *Observer) askAll(ctx context.Context) {
	endpoints := o.Table.Values()
	if len(endpoints) > reportsPerRound {
		endpoints = o.turn(endpoints)
	}
	p := pool.New().WithMaxGoroutines(concurrentReports)
	for _, e := range endpoints {
		p.Go(func() { o.refreshOne(ctx, e) })
	}
	p.Wait()
}

// turn returns the endpoints of this round.
func (o *Observer) turn(endpoints []picker.Endpoint) []picker.Endpoint {
	slices.SortFunc(endpoints, func(a, b picker.Endpoint) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	round := 0
	o.rounds.Update(func(n int) (int, bool) {
		round = n
		return n + 1, true
	})
	turns := (len(endpoints) + reportsPerRound - 1) / reportsPerRound
	first := round % turns * reportsPerRound
	return endpoints[first:min(first+reportsPerRound, len(endpoints))]
}

func (o *Observer) refreshOne(ctx context.Context, e picker.Endpoint) {
	l, err := o.Engines.Load(ctx, e.Address)
	if err != nil {
		o.Log.Debug().Str("endpoint", e.ID).Err(err).Msg("no load report")
		return
	}
	report := picker.Report{
		At:         o.Clock.Now(),
		Lag:        o.ReportLag,
		InFlight:   l.InFlight,
		Queued:     l.Queued,
		Backlog:    l.Backlog,
		FreePieces: l.FreePieces,
		Role:       picker.Role(l.Role),
		Leaving:    l.Leaving,
		Changing:   l.Changing,
	}
	o.update(e.ID, func(e picker.Endpoint, ok bool) (picker.Endpoint, bool) {
		if !ok {
			return e, false
		}
		return e.WithReport(report), true
	})
}

// markUnconfirmed marks endpoints of which neither the list nor a report is
// recent: they may be gone without this node having heard of it.
func (o *Observer) markUnconfirmed() {
	now := o.Clock.Now()
	turns := time.Duration(o.Table.Len()/reportsPerRound + 1)
	for _, e := range o.Table.Values() {
		old := now.Sub(e.Listed) > listTrusted && now.Sub(e.Report.At) > reportTrusted*turns
		if old == e.Unconfirmed {
			continue
		}
		o.update(e.ID, func(e picker.Endpoint, ok bool) (picker.Endpoint, bool) {
			return e.WithUnconfirmed(old), ok
		})
	}
}
