// Package observer keeps the table of endpoints.
//
// What a node knows of an endpoint comes from several sources that all lag or
// fail: the platform's list of VMs, the endpoint's own load report, and the
// attempts that this node made. Each source changes its part of the row. For
// each deployment there is a prepared set of candidates, which is rebuilt when
// an endpoint comes, goes, or changes its role or fitness; sums over the
// deployment are kept up to date with each change of a row.
package observer

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"foxtailflow.example/foxtailflow/internal/base/keeper"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/decision/admitter"
	"foxtailflow.example/foxtailflow/internal/decision/picker"
	"foxtailflow.example/foxtailflow/internal/engine/speaker"
	"foxtailflow.example/foxtailflow/internal/fleet/supplier"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
)

// Observer keeps the table of endpoints.
type Observer struct {
	Clock timekeeper.Clock
	Log   zerolog.Logger
	VMs   supplier.VMs
	// Engines asks endpoints for their load.
	Engines speaker.Client
	// ReportLag is the age that load reports are taken to have.
	ReportLag time.Duration
	// OnGone is called for each endpoint that is dropped; nil means nothing.
	OnGone func(id string)
	// OnRefresh is called after each round of reports; nil means nothing.
	OnRefresh func()
	Table     keeper.Table[string, picker.Endpoint]
	deployments    keeper.Table[string, deploymentState]
	// rebuildMu orders rebuilds, so that the last has seen every change.
	rebuildMu sync.Mutex
	list       keeper.Cell[list]
}

// deploymentState is what is kept of one deployment; it is an immutable value.
type deploymentState struct {
	// ids are in the order of the platform's list.
	ids   []string
	set   picker.Set
	sums  Sums
	stale bool
}

// Sums are sums over the endpoints of a deployment.
type Sums struct {
	Endpoints int
	Ejected   int
	// Requests and Load are the corrected reports.
	Requests int
	Load     int
	// Backlog is the reported prompt tokens that wait.
	Backlog int
	// Sent is the number of requests of this node in progress.
	Sent int
	// Fit is the number of endpoints that take new work.
	Fit int
}

// Mean returns the mean load of an endpoint.
func (s Sums) Mean() int { return s.Load / max(s.Endpoints, 1) }

func (s Sums) with(e picker.Endpoint, n int) Sums {
	s.Endpoints += n
	s.Requests += n * e.Requests()
	s.Load += n * e.Load()
	s.Backlog += n * e.Report.Backlog
	s.Sent += n * e.Sent
	if e.Ejected() {
		s.Ejected += n
	}
	return s
}

// All returns the endpoints, in no order.
func (o *Observer) All() []picker.Endpoint { return o.Table.Values() }

// Of returns the endpoints of a deployment, in the order of the platform's list.
func (o *Observer) Of(deployment string) []picker.Endpoint {
	g, _ := o.deployments.Get(deployment)
	endpoints := make([]picker.Endpoint, 0, len(g.ids))
	for _, id := range g.ids {
		if e, ok := o.Table.Get(id); ok {
			endpoints = append(endpoints, e)
		}
	}
	return endpoints
}

// View returns what a choice among the endpoints of a deployment is made from.
func (o *Observer) View(deployment string) picker.View {
	g, _ := o.deployments.Get(deployment)
	return picker.View{Set: g.set, Rows: &o.Table, Mean: g.sums.Mean()}
}

// Sums returns the sums over the endpoints of a deployment.
func (o *Observer) Sums(deployment string) Sums {
	g, _ := o.deployments.Get(deployment)
	g.sums.Fit = g.set.Fit()
	return g.sums
}

// Room returns what the fit endpoints of a deployment can take and have.
func (o *Observer) Room(d definer.Deployment) admitter.Room {
	g, _ := o.deployments.Get(d.Name)
	return RoomOf(d, g.set, g.sums.Requests, g.sums.Backlog)
}

// RoomOf returns the room of a deployment by its candidates, the requests in
// work and the prompt tokens that wait.
//
// A request spends most of its time in decoding, so the engines that decode
// give the slots.
func RoomOf(d definer.Deployment, set picker.Set, requests, backlog int) admitter.Room {
	r := admitter.Room{Slots: len(set.Candidates(picker.Decode)) * d.Slots, Requests: requests, Backlog: backlog}
	if d.Kind == definer.Model {
		r.PrefillRate = float64(len(set.Candidates(picker.Prefill)) * d.PrefillRate)
	}
	return r
}

// Sent notes that a request of the given work goes to an endpoint.
func (o *Observer) Sent(id string, work int) {
	o.change(id, func(e picker.Endpoint) picker.Endpoint { return e.WithSent(work) })
}

// Read notes that an endpoint has read the prompt of a request.
func (o *Observer) Read(id string, work int) {
	o.change(id, func(e picker.Endpoint) picker.Endpoint { return e.WithRead(work) })
}

// Done notes the end of a request and what that tells of the endpoint.
func (o *Observer) Done(id string, work int, sign picker.Sign, rule definer.Rule) {
	now := o.Clock.Now()
	switch sign {
	case picker.SignGood:
		o.change(id, func(e picker.Endpoint) picker.Endpoint { return e.WithDone(work).WithSuccess() })
		return
	case picker.SignNone:
		o.change(id, func(e picker.Endpoint) picker.Endpoint { return e.WithDone(work) })
		return
	case picker.SignFull:
		o.change(id, func(e picker.Endpoint) picker.Endpoint { return e.WithDone(work).WithRefusal(now) })
		return
	case picker.SignReplaced:
		o.change(id, func(e picker.Endpoint) picker.Endpoint { return e.WithDone(work).WithLeaving(true) })
		return
	}
	e, _ := o.Table.Get(id)
	reserved := e.Failures+1 >= rule.EjectAfter && !e.Ejected() && o.reserveEjection(e.Deployment)
	o.change(id, func(e picker.Endpoint) picker.Endpoint {
		var until time.Time
		if reserved || e.Ejected() {
			until = now.Add(rule.EjectFor)
		}
		return e.WithDone(work).WithFailure(until)
	})
	if reserved {
		o.releaseEjection(e.Deployment)
	}
}

// Report notes an endpoint's own account of its load, as an answer brought it.
func (o *Observer) Report(id string, l carrier.Load) {
	now := o.Clock.Now()
	o.change(id, func(e picker.Endpoint) picker.Endpoint {
		r := e.Report
		r.At, r.Lag, r.InFlight, r.Queued = now, 0, l.Running, l.Waiting
		return e.WithReport(r)
	})
}

// SetElsewhere notes what the other nodes have in progress at an endpoint, and
// whether they say that its role is being changed.
func (o *Observer) SetElsewhere(id string, w picker.Elsewhere, changing bool) {
	e, ok := o.Table.Get(id)
	if !ok {
		return
	}
	if e.Changing != changing {
		o.change(id, func(e picker.Endpoint) picker.Endpoint { return e.WithElsewhere(w).WithChanging(changing) })
		return
	}
	o.Table.Update(id, func(e picker.Endpoint, ok bool) (picker.Endpoint, bool) { return e.WithElsewhere(w), ok })
}

// ejectionDivisor is the divisor of the endpoints that may be ejected at once: a
// fault that hits all endpoints must not take a deployment out of service.
const ejectionDivisor = 3

// reserveEjection counts one more ejection before it is made, so that two at
// once cannot exceed the share.
func (o *Observer) reserveEjection(deployment string) (ok bool) {
	o.deployments.Update(deployment, func(g deploymentState, found bool) (deploymentState, bool) {
		ok = (g.sums.Ejected+1)*ejectionDivisor <= g.sums.Endpoints
		if ok {
			g.sums.Ejected++
		}
		return g, found
	})
	return ok
}

func (o *Observer) releaseEjection(deployment string) {
	o.deployments.Update(deployment, func(g deploymentState, found bool) (deploymentState, bool) {
		g.sums.Ejected--
		return g, found
	})
}

// probeTimeout is when a trial request without a result is given up.
const probeTimeout = 10 * time.Second

// BeginProbe reserves the one trial request of an ejected endpoint; false
// means that another request has it.
func (o *Observer) BeginProbe(id string) (ok bool) {
	now := o.Clock.Now()
	o.change(id, func(e picker.Endpoint) picker.Endpoint {
		if ok = e.MayProbe(now); ok {
			return e.WithProbe(now.Add(probeTimeout))
		}
		return e
	})
	return ok
}

// SetDraining marks an endpoint as draining or not.
func (o *Observer) SetDraining(id string, draining bool) {
	o.change(id, func(e picker.Endpoint) picker.Endpoint { return e.WithDraining(draining) })
}

// change changes an existing row and rebuilds the candidates if need be.
func (o *Observer) change(id string, f func(picker.Endpoint) picker.Endpoint) {
	deployment, candidatesChanged := o.update(id, func(e picker.Endpoint, ok bool) (picker.Endpoint, bool) {
		if !ok {
			return e, false
		}
		return f(e), true
	})
	if candidatesChanged {
		o.rebuild(deployment)
	}
}

// update changes a row and the sums of its deployment, and reports whether the
// candidates of the deployment have changed.
func (o *Observer) update(id string, f func(picker.Endpoint, bool) (picker.Endpoint, bool)) (deployment string, candidatesChanged bool) {
	var before, after picker.Endpoint
	var had, has bool
	o.Table.Update(id, func(e picker.Endpoint, ok bool) (picker.Endpoint, bool) {
		before, had = e, ok
		after, has = f(e, ok)
		return after, has
	})
	if !had && !has {
		return "", false
	}
	deployment = after.Deployment
	if !has {
		deployment = before.Deployment
	}
	candidatesChanged = had != has || picker.Status(before) != picker.Status(after) ||
		before.Report.Role != after.Report.Role || before.DataCentre != after.DataCentre
	o.deployments.Update(deployment, func(g deploymentState, _ bool) (deploymentState, bool) {
		if had {
			g.sums = g.sums.with(before, -1)
		}
		if has {
			g.sums = g.sums.with(after, 1)
		}
		g.stale = g.stale || candidatesChanged
		return g, true
	})
	return deployment, candidatesChanged
}

// rebuild prepares the candidates of a deployment anew.
func (o *Observer) rebuild(deployment string) {
	o.rebuildMu.Lock()
	defer o.rebuildMu.Unlock()
	// A change after this mark marks the group again and rebuilds it again.
	o.deployments.Update(deployment, func(g deploymentState, ok bool) (deploymentState, bool) {
		g.stale = false
		return g, ok
	})
	set := picker.NewSet(o.Of(deployment))
	o.deployments.Update(deployment, func(g deploymentState, ok bool) (deploymentState, bool) {
		g.set = set
		return g, ok
	})
}

// rebuildStale prepares the candidates of all deployments that have changed.
func (o *Observer) rebuildStale() {
	var names []string
	o.deployments.Each(func(name string, g deploymentState) bool {
		if g.stale {
			names = append(names, name)
		}
		return true
	})
	for _, name := range names {
		o.rebuild(name)
	}
}

// RefreshLoad asks endpoints for their load reports.
func (o *Observer) RefreshLoad(ctx context.Context) error {
	o.pollReports(ctx)
	o.rebuildStale()
	if o.OnRefresh != nil {
		o.OnRefresh()
	}
	return nil
}
