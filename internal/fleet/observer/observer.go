// Package observer keeps the table of endpoints of a node.
//
// The state of an endpoint comes from several sources that can all lag or fail:
// the platform's list of VMs, the endpoint's own load report, and the attempts
// that this node made. Each source updates its own fields of the row. Each
// deployment has a prepared set of candidates, which is rebuilt when an endpoint
// is added or removed, or changes its role or whether it takes new requests. Sums
// over the endpoints of a deployment are updated with every change of a row.
package observer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"foxtailflow.example/foxtailflow/internal/base/keeper"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/decision/admitter"
	"foxtailflow.example/foxtailflow/internal/decision/calibrator"
	"foxtailflow.example/foxtailflow/internal/decision/picker"
	"foxtailflow.example/foxtailflow/internal/decision/shedder"
	"foxtailflow.example/foxtailflow/internal/engine/controller"
	"foxtailflow.example/foxtailflow/internal/fleet/supplier"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
)

// Observer keeps the table of endpoints of a node.
type Observer struct {
	Clock timekeeper.Clock
	Log   zerolog.Logger
	VMs   supplier.VMs
	// Engines requests load reports from endpoints.
	Engines controller.Client
	// ReportLag is the assumed age of a load report when it is received.
	ReportLag time.Duration
	// OnRemove is called for each endpoint that is removed; may be nil.
	OnRemove func(id string)
	// OnRefresh is called after each round of load reports; may be nil.
	OnRefresh   func()
	Table       keeper.Table[string, picker.Endpoint]
	deployments keeper.Table[string, deploymentState]
	// rebuildMu allows one rebuild at a time, so that the last includes every change.
	rebuildMu sync.Mutex
	// requests numbers the requests for the list. applyMu allows one list at a time to
	// be applied, before rebuildMu; applied is the number of the last one.
	requests atomic.Uint64
	applyMu  sync.Mutex
	applied  uint64
	list     keeper.Cell[list]
	// speeds has the measured speed of the engines of each deployment.
	speeds keeper.Table[string, calibrator.Speed]
	// serviceTimes has the mean service time of each deployment.
	serviceTimes keeper.Table[string, time.Duration]
	// flows has what arrives at this node for each deployment and what it has completed,
	// remoteFlows the same of all other nodes when it was last received.
	flows       keeper.Table[string, shedder.Flow]
	remoteFlows keeper.Cell[remoteFlows]
}

// remoteFlows are the flows of all other nodes by deployment, as of a time. A deployment that
// is not in it has no requests there.
type remoteFlows struct {
	byDeployment map[string]shedder.Flow
	at           time.Time
}

// deploymentState is the state of one deployment. It is an immutable value.
type deploymentState struct {
	// ids are in the order of the platform's list.
	ids  []string
	set  picker.Set
	sums Sums
	// stale says that set must be rebuilt.
	stale bool
}

// Sums are sums over the endpoints of a deployment.
type Sums struct {
	Endpoints int
	Ejected   int
	// Requests and Load are the reported values, corrected by the requests that
	// this node has sent and completed since the reports.
	Requests int
	Load     int
	// Backlog is the reported number of queued prompt tokens.
	Backlog int
	// Sent is the number of in-flight requests of this node.
	Sent int
	// Available is the number of endpoints that take new requests.
	Available int
}

// Mean returns the mean load of an endpoint.
func (s Sums) Mean() int { return s.Load / max(s.Endpoints, 1) }

// with returns the sums with endpoint e added n times; -1 subtracts it.
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

// All returns the endpoints in no particular order.
func (o *Observer) All() []picker.Endpoint { return o.Table.Values() }

// InDeployment returns the endpoints of a deployment, in the order of the
// platform's list.
func (o *Observer) InDeployment(deployment string) []picker.Endpoint {
	st, _ := o.deployments.Get(deployment)
	endpoints := make([]picker.Endpoint, 0, len(st.ids))
	for _, id := range st.ids {
		if e, ok := o.Table.Get(id); ok {
			endpoints = append(endpoints, e)
		}
	}
	return endpoints
}

// View returns the input of a choice among the endpoints of a deployment.
func (o *Observer) View(deployment string) picker.View {
	st, _ := o.deployments.Get(deployment)
	return picker.View{Set: st.set, Endpoints: &o.Table, Mean: st.sums.Mean()}
}

// Sums returns the sums over the endpoints of a deployment.
func (o *Observer) Sums(deployment string) Sums {
	st, _ := o.deployments.Get(deployment)
	st.sums.Available = st.set.Available()
	return st.sums
}

// Capacity returns the capacity of the endpoints of a deployment that take new
// requests, and the load of the deployment.
func (o *Observer) Capacity(d definer.Deployment) admitter.Capacity {
	st, _ := o.deployments.Get(d.Name)
	return CapacityOf(d, st.set, st.sums.Requests, st.sums.Backlog)
}

// CapacityOf returns the capacity and load of a deployment from its candidates, the
// number of in-flight requests and the number of queued prompt tokens.
//
// A request spends most of its time in decoding, so the slots are those of the
// decode engines.
func CapacityOf(d definer.Deployment, set picker.Set, requests, backlog int) admitter.Capacity {
	r := admitter.Capacity{Slots: len(set.Candidates(picker.Decode)) * d.Slots, Requests: requests, Backlog: backlog}
	if d.Kind == definer.Model {
		r.PrefillRate = float64(len(set.Candidates(picker.Prefill)) * d.PrefillRate)
	}
	return r
}

// RecordSent records that a request of the given work is sent to an endpoint.
func (o *Observer) RecordSent(id string, work int) {
	o.change(id, func(e picker.Endpoint) picker.Endpoint { return e.WithSent(work) })
}

// RecordPrefilled records that an endpoint has prefilled the prompt of a request.
func (o *Observer) RecordPrefilled(id string, work int) {
	o.change(id, func(e picker.Endpoint) picker.Endpoint { return e.WithPrefilled(work) })
}

// RecordPrefillTime records that an engine prefilled the given number of prompt tokens,
// those queued there before included, in the given time.
func (o *Observer) RecordPrefillTime(id string, tokens int, elapsed time.Duration) {
	e, ok := o.Table.Get(id)
	if !ok {
		return
	}
	o.speeds.Update(e.Deployment, func(s calibrator.Speed, _ bool) (calibrator.Speed, bool) {
		return s.WithPrefill(tokens, elapsed), true
	})
	now := o.Clock.Now()
	o.Table.Update(id, func(e picker.Endpoint, ok bool) (picker.Endpoint, bool) {
		return e.WithMeasured(e.Measured.WithPrefill(tokens, elapsed, now)), ok
	})
}

// serviceTimeDivisor is the weight of a new service time in the mean, as a divisor.
const serviceTimeDivisor = 32

// RecordServiceTime records how long a complete request was at an endpoint.
func (o *Observer) RecordServiceTime(id string, elapsed time.Duration) {
	e, ok := o.Table.Get(id)
	if !ok {
		return
	}
	o.serviceTimes.Update(e.Deployment, func(mean time.Duration, known bool) (time.Duration, bool) {
		if !known {
			return elapsed, true
		}
		return mean + (elapsed-mean)/serviceTimeDivisor, true
	})
	now := o.Clock.Now()
	o.flows.Update(e.Deployment, func(f shedder.Flow, _ bool) (shedder.Flow, bool) { return f.WithServed(now), true })
}

// RecordOffered records that a request for a deployment has arrived.
func (o *Observer) RecordOffered(deployment string) {
	now := o.Clock.Now()
	o.flows.Update(deployment, func(f shedder.Flow, _ bool) (shedder.Flow, bool) { return f.WithOffered(now), true })
}

// minFlow is the rate, in requests a second, below which a flow is dropped.
const minFlow = 0.01

// Flows returns what arrives at this node for each deployment and what it has completed. It
// drops the flows of deployments that have had no requests for some seconds.
func (o *Observer) Flows() map[string]shedder.Flow {
	now, flows := o.Clock.Now(), make(map[string]shedder.Flow)
	flowing := func(f shedder.Flow) bool { return max(f.Offered, f.Served) >= minFlow }
	var ended []string
	o.flows.Each(func(deployment string, f shedder.Flow) bool {
		if f = f.AsOf(now); flowing(f) {
			flows[deployment] = f
		} else {
			ended = append(ended, deployment)
		}
		return true
	})
	for _, deployment := range ended {
		o.flows.Update(deployment, func(f shedder.Flow, _ bool) (shedder.Flow, bool) { return f, flowing(f.AsOf(now)) })
	}
	return flows
}

// SetRemoteFlows records the flows of all other nodes by deployment, as of a time.
func (o *Observer) SetRemoteFlows(flows map[string]shedder.Flow, at time.Time) {
	o.remoteFlows.Update(func(remoteFlows) (remoteFlows, bool) { return remoteFlows{byDeployment: flows, at: at}, true })
}

// maxFlowAge is the age up to which the flow of other nodes is used.
const maxFlowAge = time.Second

// Flow returns the flow of a deployment at all nodes; false if that of the other nodes is not
// known, as on a node that is partitioned from its hub. A node that is lost counts until its
// hub drops it, for up to 4 s in another data centre.
func (o *Observer) Flow(deployment string) (shedder.Flow, bool) {
	now := o.Clock.Now()
	own, _ := o.flows.Get(deployment)
	remote := o.remoteFlows.Get()
	known := !remote.at.IsZero() && now.Sub(remote.at) <= maxFlowAge
	if !known {
		return own.AsOf(now), false
	}
	return own.AsOf(now).Plus(remote.byDeployment[deployment]), true
}

// ServiceTime returns the mean time for which a request is at an endpoint of a deployment; 0
// if that is not known.
func (o *Observer) ServiceTime(deployment string) time.Duration {
	mean, _ := o.serviceTimes.Get(deployment)
	return mean
}

// RecordSlowdown records what an endpoint has said of its speed.
func (o *Observer) RecordSlowdown(id string, s picker.Slowdown) {
	o.Table.Update(id, func(e picker.Endpoint, ok bool) (picker.Endpoint, bool) { return e.WithSlowdown(s), ok })
}

// PrefillSpeed returns the measured speed of the engines of a deployment.
func (o *Observer) PrefillSpeed(deployment string) calibrator.Speed {
	s, _ := o.speeds.Get(deployment)
	return s
}

// RecordDone records the end of a request and its result for the endpoint.
func (o *Observer) RecordDone(id string, work int, result picker.AttemptResult, rule definer.Rule) {
	now := o.Clock.Now()
	switch result {
	case picker.ResultResponse:
		o.change(id, func(e picker.Endpoint) picker.Endpoint { return e.WithDone(work).WithSuccess() })
		return
	case picker.ResultNone:
		o.change(id, func(e picker.Endpoint) picker.Endpoint { return e.WithDone(work) })
		return
	case picker.ResultRefused:
		o.change(id, func(e picker.Endpoint) picker.Endpoint { return e.WithDone(work).WithRefusal(now) })
		return
	case picker.ResultReplaced:
		o.change(id, func(e picker.Endpoint) picker.Endpoint { return e.WithDone(work).WithLeaving(true) })
		return
	}
	e, _ := o.Table.Get(id)
	reserved := e.Failures+1 >= rule.EjectAfter && !e.Ejected() && o.reserveEjection(e.Deployment)
	o.change(id, func(e picker.Endpoint) picker.Endpoint {
		var until time.Time
		if reserved || e.Ejected() {
			until = now.Add(rule.EjectDuration)
		}
		return e.WithDone(work).WithFailure(until)
	})
	if reserved {
		o.releaseEjection(e.Deployment)
	}
}

// RecordLoad records the load that an endpoint has reported with a response.
func (o *Observer) RecordLoad(id string, l carrier.Load) {
	now := o.Clock.Now()
	o.change(id, func(e picker.Endpoint) picker.Endpoint {
		r := e.Report
		r.At, r.Lag, r.InFlight, r.Queued = now, 0, l.Running, l.Queued
		return e.WithReport(r)
	})
}

// SetRemoteLoad records the load of the other nodes at an endpoint, and whether
// its role is being changed.
func (o *Observer) SetRemoteLoad(id string, load picker.RemoteLoad, changing bool) {
	e, ok := o.Table.Get(id)
	if !ok {
		return
	}
	if e.Changing != changing {
		o.change(id, func(e picker.Endpoint) picker.Endpoint { return e.WithRemoteLoad(load).WithChanging(changing) })
		return
	}
	o.Table.Update(id, func(e picker.Endpoint, ok bool) (picker.Endpoint, bool) { return e.WithRemoteLoad(load), ok })
}

// ejectionDivisor limits the ejected endpoints of a deployment to one in so many.
// A fault that affects all endpoints must not take the deployment out of service.
const ejectionDivisor = 3

// reserveEjection counts an ejection before it is made, so that concurrent ones
// cannot exceed the limit. It reports whether the ejection is allowed.
func (o *Observer) reserveEjection(deployment string) (ok bool) {
	o.deployments.Update(deployment, func(st deploymentState, found bool) (deploymentState, bool) {
		ok = (st.sums.Ejected+1)*ejectionDivisor <= st.sums.Endpoints
		if ok {
			st.sums.Ejected++
		}
		return st, found
	})
	return ok
}

func (o *Observer) releaseEjection(deployment string) {
	o.deployments.Update(deployment, func(st deploymentState, found bool) (deploymentState, bool) {
		st.sums.Ejected--
		return st, found
	})
}

// probeTimeout is the time after which another trial request is allowed if the
// last one has no result.
const probeTimeout = 10 * time.Second

// ReserveProbe reserves the one trial request of an ejected endpoint. It returns
// false if no trial request is due or another request has reserved it.
func (o *Observer) ReserveProbe(id string) (ok bool) {
	now := o.Clock.Now()
	o.change(id, func(e picker.Endpoint) picker.Endpoint {
		if ok = e.MayProbe(now); ok {
			return e.WithProbe(now.Add(probeTimeout))
		}
		return e
	})
	return ok
}

// SetLimit records whether an endpoint has named a limit of requests, and until when it
// gets none from this node.
func (o *Observer) SetLimit(id string, limited bool, pausedUntil time.Time) {
	o.Table.Update(id, func(e picker.Endpoint, ok bool) (picker.Endpoint, bool) { return e.WithLimit(limited, pausedUntil), ok })
}

// SetAnnounced records that an endpoint has said itself that it leaves.
func (o *Observer) SetAnnounced(id string) {
	o.change(id, func(e picker.Endpoint) picker.Endpoint { return e.WithAnnounced(true) })
}

// SetPauseRequested records until when an endpoint wants no requests.
func (o *Observer) SetPauseRequested(id string, until time.Time) {
	o.Table.Update(id, func(e picker.Endpoint, ok bool) (picker.Endpoint, bool) { return e.WithPauseRequested(until), ok })
}

// IDAt returns the identifier of the endpoint with an address.
func (o *Observer) IDAt(address string) (id string, ok bool) {
	o.Table.Each(func(_ string, e picker.Endpoint) bool {
		// After a restart, the earlier start may still be listed as leaving.
		if e.Address == address && (!ok || !e.Leaving) {
			id, ok = e.ID, true
		}
		return true
	})
	return id, ok
}

// SetDraining marks an endpoint as draining or not.
func (o *Observer) SetDraining(id string, draining bool) {
	o.change(id, func(e picker.Endpoint) picker.Endpoint { return e.WithDraining(draining) })
}

// change changes an existing row and rebuilds the candidates if needed.
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

// update changes a row and the sums of its deployment. It returns the deployment
// and whether its candidates have changed.
func (o *Observer) update(id string, f func(picker.Endpoint, bool) (picker.Endpoint, bool)) (deployment string, candidatesChanged bool) {
	var before, after picker.Endpoint
	var existed, exists bool
	o.Table.Update(id, func(e picker.Endpoint, ok bool) (picker.Endpoint, bool) {
		before, existed = e, ok
		after, exists = f(e, ok)
		return after, exists
	})
	if !existed && !exists {
		return "", false
	}
	deployment = after.Deployment
	if !exists {
		deployment = before.Deployment
	}
	candidatesChanged = existed != exists || picker.UnavailableReason(before) != picker.UnavailableReason(after) ||
		before.Report.Role != after.Report.Role || before.DataCentre != after.DataCentre
	o.deployments.Update(deployment, func(st deploymentState, _ bool) (deploymentState, bool) {
		if existed {
			st.sums = st.sums.with(before, -1)
		}
		if exists {
			st.sums = st.sums.with(after, 1)
		}
		st.stale = st.stale || candidatesChanged
		return st, true
	})
	return deployment, candidatesChanged
}

// rebuild rebuilds the candidates of a deployment.
func (o *Observer) rebuild(deployment string) {
	o.rebuildMu.Lock()
	defer o.rebuildMu.Unlock()
	// The mark is cleared before the rows are read: a later change sets it again
	// and causes another rebuild.
	o.deployments.Update(deployment, func(st deploymentState, ok bool) (deploymentState, bool) {
		st.stale = false
		return st, ok
	})
	set := picker.NewSet(o.InDeployment(deployment))
	o.deployments.Update(deployment, func(st deploymentState, ok bool) (deploymentState, bool) {
		st.set = set
		return st, ok
	})
}

// rebuildStale rebuilds the candidates of all deployments that have changed.
func (o *Observer) rebuildStale() {
	var names []string
	o.deployments.Each(func(name string, st deploymentState) bool {
		if st.stale {
			names = append(names, name)
		}
		return true
	})
	for _, name := range names {
		o.rebuild(name)
	}
}

// RefreshLoad polls the load reports of the endpoints of one round.
func (o *Observer) RefreshLoad(ctx context.Context) error {
	o.pollReports(ctx)
	o.rebuildStale()
	if o.OnRefresh != nil {
		o.OnRefresh()
	}
	return nil
}
