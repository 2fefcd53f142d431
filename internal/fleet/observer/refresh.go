package observer

import (
	"context"
	"slices"
	"time"

	"github.com/sourcegraph/conc/pool"

	"foxtailflow.example/foxtailflow/internal/decision/picker"
	"foxtailflow.example/foxtailflow/internal/fleet/supplier"
)

const (
	// listMaxAge is the age of the list up to which requests are sent to a listed
	// endpoint that does not report.
	listMaxAge = 10 * time.Second
	// reportMaxAge is the age of a report up to which requests are sent to an
	// endpoint although the list is older than listMaxAge, as in an outage of the
	// platform.
	reportMaxAge = 3 * time.Second
)

// RefreshList updates the table with the platform's list of VMs. A list that was
// requested earlier than one already applied is dropped, as it may be older.
func (o *Observer) RefreshList(ctx context.Context) error {
	request := o.requests.Add(1)
	vms, age, err := o.VMs.List(ctx)
	if err != nil {
		return err
	}
	o.applyMu.Lock()
	defer o.applyMu.Unlock()
	if request > o.applied {
		o.applied = request
		o.applyList(vms, age)
	}
	return nil
}

// applyList updates the table with a list of a given age.
func (o *Observer) applyList(vms []supplier.VM, age time.Duration) {
	ids := make(map[string][]string)
	listed := make(map[string]bool, len(vms))
	createdAt := o.Clock.Now().Add(-age)
	for _, v := range vms {
		listed[v.ID] = true
		ids[v.Deployment] = append(ids[v.Deployment], v.ID)
		if e, ok := o.Table.Get(v.ID); !ok || e != withVM(e, v) {
			o.update(v.ID, func(e picker.Endpoint, _ bool) (picker.Endpoint, bool) { return withVM(e, v), true })
		}
	}
	var unlisted []picker.Endpoint
	o.Table.Each(func(id string, e picker.Endpoint) bool {
		if !listed[id] {
			unlisted = append(unlisted, e)
		}
		return true
	})
	for _, e := range unlisted {
		o.removeUnlisted(e)
	}
	o.setOrder(ids)
	o.rebuildStale()
	// Last, since ListRead makes the node ready.
	o.list.Update(func(l list) (list, bool) { return l.with(createdAt, vms), true })
}

// ListRead reports whether the platform's list has been read since the start.
func (o *Observer) ListRead() bool { return !o.list.Get().createdAt.IsZero() }

// withVM returns an endpoint updated with its entry in the list.
func withVM(e picker.Endpoint, v supplier.VM) picker.Endpoint {
	e.ID, e.Instance, e.Address, e.DataCentre = v.ID, v.Instance, v.Address, v.DataCentre
	e.Deployment, e.Tier, e.Slots = v.Deployment, v.Tier, v.Slots
	if v.Role != "" {
		e.Report.Role = picker.Role(v.Role)
	}
	return e.WithLeaving(v.State == supplier.Leaving)
}

// list has the IDs and the age of the platform's list; the other fields are in
// the rows. It is an immutable value.
type list struct {
	// createdAt is the time at which the newest list was created.
	createdAt time.Time
	ids       []string
	// round counts the rounds of load reports. It selects the endpoints that are
	// polled next.
	round int
}

// with returns the list with new entries. The creation time never goes back.
func (l list) with(createdAt time.Time, vms []supplier.VM) list {
	if createdAt.After(l.createdAt) {
		l.createdAt = createdAt
	}
	l.ids = make([]string, 0, len(vms))
	for _, v := range vms {
		l.ids = append(l.ids, v.ID)
	}
	return l
}

// nextIDs returns the endpoints of the next round and the number of rounds that
// it takes to poll all endpoints.
func (l list) nextIDs() (ids []string, rounds int) {
	rounds = max((len(l.ids)+reportsPerRound-1)/reportsPerRound, 1)
	first := l.round % rounds * reportsPerRound
	return l.ids[first:min(first+reportsPerRound, len(l.ids))], rounds
}

// setOrder sets the endpoint IDs of each deployment in the order of the list.
func (o *Observer) setOrder(ids map[string][]string) {
	var names []string
	o.deployments.Each(func(name string, _ deploymentState) bool {
		names = append(names, name)
		return true
	})
	for _, name := range names {
		o.deployments.Update(name, func(st deploymentState, ok bool) (deploymentState, bool) {
			if slices.Equal(st.ids, ids[name]) {
				return st, ok
			}
			st.ids, st.stale = ids[name], true
			return st, ok
		})
	}
}

// removeUnlisted marks an endpoint that is no longer listed as leaving, and
// removes it once its requests are complete.
func (o *Observer) removeUnlisted(e picker.Endpoint) {
	removed := false
	o.update(e.ID, func(e picker.Endpoint, ok bool) (picker.Endpoint, bool) {
		removed = ok && e.Sent <= 0
		return e.WithLeaving(true), ok && !removed
	})
	if removed && o.OnRemove != nil {
		o.OnRemove(e.ID)
	}
}

const (
	// maxConcurrentReports bounds the load reports that are requested concurrently.
	maxConcurrentReports = 32
	// reportsPerRound bounds the load reports of one round. With more endpoints,
	// each is polled once in several rounds, and older reports are corrected by the
	// requests sent since.
	reportsPerRound = 256
)

// pollReports polls the endpoints of the next round and marks those of them that
// are unconfirmed.
func (o *Observer) pollReports(ctx context.Context) {
	var l list
	o.list.Update(func(current list) (list, bool) {
		l = current
		current.round++
		return current, true
	})
	ids, rounds := l.nextIDs()
	p := pool.New().WithMaxGoroutines(maxConcurrentReports)
	for _, id := range ids {
		if e, ok := o.Table.Get(id); ok {
			p.Go(func() { o.pollReport(ctx, e) })
		}
	}
	p.Wait()
	o.markUnconfirmed(ids, l.createdAt, rounds)
}

func (o *Observer) pollReport(ctx context.Context, e picker.Endpoint) {
	l, err := o.Engines.Load(ctx, e.Address)
	if err != nil {
		o.Log.Debug().Str("endpoint", e.ID).Err(err).Msg("cannot read load report")
		return
	}
	report := picker.Report{
		At:         o.Clock.Now(),
		Lag:        o.ReportLag,
		InFlight:   l.InFlight,
		Queued:     l.Queued,
		Backlog:    l.Backlog,
		FreeBlocks: l.FreeBlocks,
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

// markUnconfirmed marks endpoints for which neither the list nor a report is
// recent: they may have stopped without this node's knowledge.
func (o *Observer) markUnconfirmed(ids []string, listCreatedAt time.Time, rounds int) {
	now := o.Clock.Now()
	for _, id := range ids {
		e, _ := o.Table.Get(id)
		old := now.Sub(listCreatedAt) > listMaxAge && now.Sub(e.Report.At) > reportMaxAge*time.Duration(rounds)
		if old == e.Unconfirmed {
			continue
		}
		o.update(id, func(e picker.Endpoint, ok bool) (picker.Endpoint, bool) {
			return e.WithUnconfirmed(old), ok
		})
	}
}
