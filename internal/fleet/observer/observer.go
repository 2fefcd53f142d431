// Package observer keeps the table of endpoints.
//
// What a node knows of an endpoint comes from several sources that all lag or
// fail: the platform's list of VMs, the endpoint's own load report, and the
// attempts that this node made. Each source changes its part of the row.
package observer

import (
	"context"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc/pool"

	"foxtailflow.example/foxtailflow/internal/base/keeper"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/decision/picker"
	"foxtailflow.example/foxtailflow/internal/engine/speaker"
	"foxtailflow.example/foxtailflow/internal/platform/transactor"
	"foxtailflow.example/foxtailflow/internal/request/retrier"
)

// Observer keeps the table of endpoints.
type Observer struct {
	Clock timekeeper.Clock
	Log   zerolog.Logger
	VMs   transactor.VMs
	// Engines asks endpoints for their load.
	Engines speaker.Client
	Table   keeper.Table[string, picker.Endpoint]
	// groups maps a deployment to the identifiers of its endpoints.
	groups keeper.Table[string, []string]
}

// Of returns the endpoints of a deployment, in the order of the platform's list.
func (o *Observer) Of(deployment string) []picker.Endpoint {
	ids, _ := o.groups.Get(deployment)
	endpoints := make([]picker.Endpoint, 0, len(ids))
	for _, id := range ids {
		if e, ok := o.Table.Get(id); ok {
			endpoints = append(endpoints, e)
		}
	}
	return endpoints
}

// Sent notes that a request of the given work goes to an endpoint.
func (o *Observer) Sent(id string, work int) {
	now := o.Clock.Now()
	o.change(id, func(e picker.Endpoint) picker.Endpoint {
		if !e.EjectedUntil.IsZero() && !now.Before(e.EjectedUntil) {
			e = e.WithProbing()
		}
		return e.WithSent(work)
	})
}

// Done notes the end of a request; ok is false if the endpoint failed.
func (o *Observer) Done(id string, work int, ok bool, rule definer.Rule) {
	now := o.Clock.Now()
	mayEject := ok || o.mayEject(id, rule.Deployment, now)
	o.change(id, func(e picker.Endpoint) picker.Endpoint {
		e = e.WithDone(work)
		if ok {
			return e.WithSuccess()
		}
		var until time.Time
		if e.Failures+1 >= rule.EjectAfter && mayEject {
			until = now.Add(rule.EjectFor)
		}
		return e.WithFailure(until)
	})
}

// mayEject reports whether an endpoint may be set aside beside the others.
func (o *Observer) mayEject(id, deployment string, now time.Time) bool {
	out, total := 0, 0
	for _, e := range o.Of(deployment) {
		total++
		if e.ID != id && (now.Before(e.EjectedUntil) || e.Probing) {
			out++
		}
	}
	return retrier.MayEject(out, total)
}

func (o *Observer) change(id string, f func(picker.Endpoint) picker.Endpoint) {
	o.Table.Update(id, func(e picker.Endpoint, ok bool) (picker.Endpoint, bool) {
		if !ok {
			return e, false
		}
		return f(e), true
	})
}

// RefreshList takes the platform's list of VMs into the table.
func (o *Observer) RefreshList(ctx context.Context) error {
	vms, _, err := o.VMs.List(ctx)
	if err != nil {
		return err
	}
	groups := make(map[string][]string)
	listed := make(map[string]bool, len(vms))
	for _, v := range vms {
		listed[v.ID] = true
		groups[v.Deployment] = append(groups[v.Deployment], v.ID)
		o.Table.Update(v.ID, func(e picker.Endpoint, _ bool) (picker.Endpoint, bool) {
			e.ID, e.Address, e.DataCentre = v.ID, v.Address, v.DataCentre
			e.Deployment, e.Tier = v.Deployment, v.Tier
			return e.WithLeaving(v.State == transactor.Leaving), true
		})
	}
	for _, e := range o.Table.Values() {
		if !listed[e.ID] {
			o.forget(e, groups)
		}
	}
	for name, ids := range groups {
		o.groups.Put(name, ids)
	}
	return nil
}

// forget drops an endpoint that the list no longer has, once its work is done.
func (o *Observer) forget(e picker.Endpoint, groups map[string][]string) {
	if _, ok := groups[e.Deployment]; !ok {
		groups[e.Deployment] = nil
	}
	o.Table.Update(e.ID, func(e picker.Endpoint, ok bool) (picker.Endpoint, bool) {
		return e.WithLeaving(true), ok && e.Sent > 0
	})
}

// concurrentReports bounds the load reports that are asked for at once.
const concurrentReports = 16

// RefreshLoad asks every endpoint for its load report.
func (o *Observer) RefreshLoad(ctx context.Context) error {
	p := pool.New().WithMaxGoroutines(concurrentReports)
	for _, e := range o.Table.Values() {
		p.Go(func() { o.refreshOne(ctx, e) })
	}
	p.Wait()
	return nil
}

func (o *Observer) refreshOne(ctx context.Context, e picker.Endpoint) {
	l, err := o.Engines.Load(ctx, e.Address)
	if err != nil {
		o.Log.Debug().Str("endpoint", e.ID).Err(err).Msg("no load report")
		return
	}
	report := picker.Report{
		At:         o.Clock.Now(),
		InFlight:   l.InFlight,
		Queued:     l.Queued,
		Backlog:    l.Backlog,
		FreePieces: l.FreePieces,
		Role:       picker.Role(l.Role),
		Leaving:    l.Leaving,
		Changing:   l.Changing,
	}
	o.change(e.ID, func(e picker.Endpoint) picker.Endpoint { return e.WithReport(report) })
}
