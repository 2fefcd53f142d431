package lister

import (
	"time"

	"foxtailflow.example/foxtailflow/internal/fleet/supplier"
)

// knownVM is the newest entry of an endpoint that was ever read. A store that comes back from
// an older copy has older entries again, also of endpoints that have left.
type knownVM struct {
	vm supplier.VM
	// era is the era of the store in which the entry was read.
	era uint64
	// goneAt is since when the endpoint has not been listed, goneEra the era at that time;
	// the zero time means that it is listed.
	goneAt  time.Time
	goneEra uint64
}

// knownLifetime is how long an endpoint that has left is remembered. It is longer than the
// time by which a copy of the store may be older.
const knownLifetime = 5 * time.Minute

// newest returns which of an entry that was read in an era and the known one is newer, and
// whether the endpoint is still there.
func (k knownVM) newest(vm supplier.VM, era uint64) (newest supplier.VM, listed bool) {
	switch {
	case k.vm.ID == "" || era <= k.era || vm.Revision > k.vm.Revision:
		return vm, true
	case !k.goneAt.IsZero() && k.goneEra < era:
		return k.vm, false
	case !k.goneAt.IsZero():
		return vm, true
	case vm.Revision == k.vm.Revision && k.vm.State != supplier.Leaving:
		return vm, true
	}
	return k.vm, true
}

// withKnown returns the list with the newest entries known by a time in an era.
func (l list) withKnown(before map[string]knownVM, now time.Time, era uint64) list {
	for id, k := range before {
		if _, ok := l.known[id]; ok {
			continue
		}
		if k.goneAt.IsZero() {
			k.goneAt, k.goneEra = now, era
		}
		if now.Sub(k.goneAt) < knownLifetime {
			l.known[id] = k
		}
	}
	return l
}
