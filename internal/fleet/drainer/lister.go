package drainer

import (
	"context"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/keeper"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/platform/transactor"
)

// Lister passes the platform's list of VMs on and remembers how old it is.
type Lister struct {
	Clock timekeeper.Clock
	VMs   transactor.VMs
	// stands is the newest moment for which a list stood.
	stands keeper.Cell[time.Time]
}

var _ transactor.VMs = (*Lister)(nil)

// List returns the VMs and the age of the list.
func (l *Lister) List(ctx context.Context) ([]transactor.VM, time.Duration, error) {
	sent := l.Clock.Now()
	vms, age, err := l.VMs.List(ctx)
	if err == nil {
		l.stands.Update(func(old time.Time) (time.Time, bool) {
			at := sent.Add(-age)
			return at, at.After(old)
		})
	}
	return vms, age, err
}

// Old reports whether no list stands for a moment within the limit.
func (l *Lister) Old(limit time.Duration) bool {
	return l.Clock.Now().Sub(l.stands.Get()) > limit
}
