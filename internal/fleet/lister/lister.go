// Package lister keeps the list of endpoints that are registered in the store.
//
// Each endpoint writes its own entry, which expires unless the endpoint renews
// it. While the store is unavailable, entries expire although their endpoints are
// alive. So an entry that is missing after an outage counts as removed only after
// the time in which a live endpoint writes it again.
package lister

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"foxtailflow.example/foxtailflow/internal/base/keeper"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/fleet/supplier"
	"foxtailflow.example/foxtailflow/internal/store/follower"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

// Lister is the list of endpoints by the entries of the store.
type Lister struct {
	Clock timekeeper.Clock
	Log   zerolog.Logger
	// Snapshot returns the newest entries.
	Snapshot func() follower.Snapshot
	// Decode returns the endpoint of an entry. A malformed entry is not listed.
	Decode func(transactor.Row) (supplier.VM, error)
	// RewriteTimeout is how long a live endpoint takes to write its entry again
	// after an outage of the store.
	RewriteTimeout time.Duration

	list keeper.Cell[list]
}

var _ supplier.VMs = (*Lister)(nil)

// list is the list of the last call. It is an immutable value.
type list struct {
	changed transactor.Version
	loaded  bool
	vms     map[string]supplier.VM
	// rows has the decoded entries by their keys, so that only changed rows are
	// decoded.
	rows map[string]entry
	// missing has the endpoints whose entries are missing after an outage.
	missing map[string]missingVM
	// known has the newest entry of each endpoint, also of those that have left lately.
	known map[string]knownVM
}

// missingVM is an endpoint whose entry is missing, and until when it counts as listed. A
// later outage does not change that time: it shows nothing of an entry that was missing
// before.
type missingVM struct {
	vm    supplier.VM
	until time.Time
}

// withoutOverdue returns the list without the endpoints whose time to write their entries
// again is over.
func (l list) withoutOverdue(now time.Time) list {
	missing := make(map[string]missingVM, len(l.missing))
	for id, m := range l.missing {
		if now.Before(m.until) {
			missing[id] = m
		}
	}
	l.missing = missing
	return l
}

// entry is the result of decoding a row at a version.
type entry struct {
	version transactor.Version
	vm      supplier.VM
	err     error
}

// List returns the endpoints and the age of the list.
func (l *Lister) List(context.Context) ([]supplier.VM, time.Duration, error) {
	var s follower.Snapshot
	var now time.Time
	var out list
	l.list.Update(func(before list) (list, bool) {
		// Taken under the lock, so that of two calls the later one has the newer entries.
		s = l.Snapshot()
		now = l.Clock.Now()
		out = before
		if s.ChangedVersion != before.changed || s.Loaded() != before.loaded {
			out = l.decodeChanged(before, s, now)
		}
		out = out.withoutOverdue(now)
		return out, true
	})
	vms := make([]supplier.VM, 0, len(out.vms)+len(out.missing))
	for _, vm := range out.vms {
		vms = append(vms, vm)
	}
	for _, m := range out.missing {
		vms = append(vms, m.vm)
	}
	return vms, s.Age(now), nil
}

// decodeChanged returns the list of a new snapshot and decodes the rows that have
// changed.
func (l *Lister) decodeChanged(before list, s follower.Snapshot, now time.Time) list {
	out := list{
		changed: s.ChangedVersion, loaded: s.Loaded(), vms: make(map[string]supplier.VM),
		rows: make(map[string]entry), missing: make(map[string]missingVM), known: make(map[string]knownVM),
	}
	for _, row := range s.Rows() {
		e, ok := before.rows[row.Key]
		if !ok || e.version != row.Version {
			e = entry{version: row.Version}
			if e.vm, e.err = l.Decode(row); e.err != nil {
				l.Log.Warn().Str("key", row.Key).Err(e.err).Msg("cannot decode endpoint entry")
			}
		}
		out.rows[row.Key] = e
		if e.err != nil {
			continue
		}
		era := row.Version.Era()
		known := before.known[e.vm.ID]
		vm, listed := known.newest(e.vm, era)
		if !listed {
			continue
		}
		if vm == e.vm {
			known = knownVM{vm: vm, era: era}
		}
		out.known[vm.ID] = known
		if old, ok := before.vms[vm.ID]; !ok || old != vm {
			l.Log.Info().Str("endpoint", vm.ID).Str("address", vm.Address).Str("deployment", vm.Deployment).
				Str("state", string(vm.State)).Str("role", vm.Role).Stringer("version", row.Version).Msg("endpoint listed")
		}
		out.vms[vm.ID] = vm
	}
	for id, m := range before.missing {
		if _, ok := out.vms[id]; !ok {
			out.missing[id], out.known[id] = m, before.known[id]
		}
	}
	until := s.OutageEndedAt.Add(l.RewriteTimeout)
	for id, vm := range before.vms {
		if _, ok := out.vms[id]; ok {
			continue
		}
		mayHaveExpired := now.Before(until)
		if mayHaveExpired {
			out.missing[id] = missingVM{vm: vm, until: until}
			out.known[id] = before.known[id]
		}
		l.Log.Info().Str("endpoint", id).Bool("may-have-lapsed", mayHaveExpired).Stringer("version", s.ChangedVersion).Msg("endpoint no longer listed")
	}
	return out.withKnown(before.known, now, s.Version.Era())
}
