// Package lister keeps the list of endpoints that the store names.
//
// Each endpoint writes an entry of itself, which disappears when the endpoint
// is silent for long. While the store is away entries lapse although their
// endpoints live, so an entry that is missing when the store is back counts as
// gone only after the time in which a living endpoint writes it again.
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

// Lister is the list of endpoints as the store's entries tell it.
type Lister struct {
	Clock timekeeper.Clock
	Log   zerolog.Logger
	// Snapshot returns the newest entries.
	Snapshot func() follower.Snapshot
	// Decode returns the endpoint of an entry; one that is malformed names none.
	Decode func(transactor.Row) (supplier.VM, error)
	// Lapse is how long a living endpoint takes to write its entry again after
	// the store was away.
	Lapse time.Duration

	list keeper.Cell[list]
}

var _ supplier.VMs = (*Lister)(nil)

// list is what was listed last; it is an immutable value.
type list struct {
	changed uint64
	loaded  bool
	vms     map[string]supplier.VM
	// rows has the entries by their keys, so that a change of one decodes one.
	rows map[string]entry
	// lapsed are endpoints whose entries were missing after an outage.
	lapsed map[string]supplier.VM
}

// entry is what a row names, by the version of the row.
type entry struct {
	version uint64
	vm      supplier.VM
	err     error
}

// List returns the endpoints and the age of the list.
func (l *Lister) List(context.Context) ([]supplier.VM, time.Duration, error) {
	s := l.Snapshot()
	now := l.Clock.Now()
	var out list
	l.list.Update(func(before list) (list, bool) {
		out = before
		if s.Changed != before.changed || s.Loaded() != before.loaded {
			out = l.decodeChanged(before, s, now)
		}
		if now.Sub(s.ResumedAt) >= l.Lapse {
			out.lapsed = nil
		}
		return out, true
	})
	vms := make([]supplier.VM, 0, len(out.vms)+len(out.lapsed))
	for _, group := range []map[string]supplier.VM{out.vms, out.lapsed} {
		for _, vm := range group {
			vms = append(vms, vm)
		}
	}
	return vms, now.Sub(s.ConfirmedAt), nil
}

// decodeChanged decodes the entries anew.
func (l *Lister) decodeChanged(before list, s follower.Snapshot, now time.Time) list {
	out := list{
		changed: s.Changed, loaded: s.Loaded(), vms: make(map[string]supplier.VM),
		rows: make(map[string]entry), lapsed: make(map[string]supplier.VM),
	}
	for _, row := range s.Rows() {
		e, ok := before.rows[row.Key]
		if !ok || e.version != row.Version {
			e = entry{version: row.Version}
			if e.vm, e.err = l.Decode(row); e.err != nil {
				l.Log.Warn().Str("key", row.Key).Err(e.err).Msg("entry names no endpoint")
			}
		}
		out.rows[row.Key] = e
		if e.err != nil {
			continue
		}
		vm := e.vm
		if old, ok := before.vms[vm.ID]; !ok || old != vm {
			l.Log.Info().Str("endpoint", vm.ID).Str("address", vm.Address).Str("deployment", vm.Deployment).
				Str("state", string(vm.State)).Str("role", vm.Role).Uint64("version", row.Version).Msg("endpoint listed")
		}
		out.vms[vm.ID] = vm
	}
	for _, group := range []map[string]supplier.VM{before.vms, before.lapsed} {
		for id, vm := range group {
			if _, ok := out.vms[id]; ok {
				continue
			}
			lapsed := now.Sub(s.ResumedAt) < l.Lapse
			if lapsed {
				out.lapsed[id] = vm
			}
			l.Log.Info().Str("endpoint", id).Bool("may-have-lapsed", lapsed).Uint64("version", s.Changed).Msg("endpoint not listed")
		}
	}
	return out
}
