// Package leaser takes and renews the leases by which at most one node at a time
// holds a duty.
//
// A duty is a control task, such as the placement of one deployment. Its lease is
// a row in the platform's table that the holder renews. A holder trusts its lease
// only until a margin before its end, on its own monotonic clock and counted from
// before the renewal was sent. Each takeover raises the fencing token, and every
// commit of a duty checks the row that the takeover wrote, so later commits of a
// former holder have no effect.
package leaser

import (
	"context"
	"time"

	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

// Grant is a lease that this node holds, as of the time when it was read.
type Grant struct {
	Duty string
	// Token is the fencing token, which grows with each takeover.
	Token uint64
	// Epoch is the version of the row lease-epoch/DUTY that the takeover wrote, or that the
	// holder has written again because the store had lost it.
	Epoch transactor.Version
	// Age is the time since the takeover was sent. It is a duration, as the clock of the
	// leases has another start than that of other components.
	Age time.Duration
	// Until is when the lease can no longer be trusted, on the clock of the leases.
	Until time.Time
}

// Guard returns the transaction with the condition that no other node has taken
// the duty over.
func (g Grant) Guard(tx transactor.Tx) transactor.Tx {
	return tx.WithCheck(EpochKey(g.Duty), g.Epoch)
}

// EpochKey returns the key of the row that a takeover writes.
func EpochKey(duty string) string { return "lease-epoch/" + duty }

// CallGuard bounds the calls that are sent under a grant.
type CallGuard interface {
	// Check fails with LeaseNotHeld if no call may be sent any more.
	Check(g Grant) error
	// WithGrant returns a context that ends when a call in progress must end.
	WithGrant(ctx context.Context, g Grant) (context.Context, context.CancelFunc)
}

// Holder provides the leases that this node holds.
type Holder interface {
	// Grant returns the current lease of a duty; false if this node has none.
	Grant(duty string) (Grant, bool)
	// Check fails with LeaseNotHeld if the grant can no longer be trusted.
	Check(g Grant) error
}
