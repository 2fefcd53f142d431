// Package leaser holds the leases by which one node at a time has a duty.
//
// A duty is a piece of control work, such as the placement of one deployment.
// Its lease is a row in the platform's table that the holder renews. A holder
// trusts its lease only up to a margin before the end, measured on its own
// monotonic clock from before the renewing call was sent. Each takeover raises
// the fencing token, and every commit of a duty checks the row that the
// takeover wrote, so what a former holder writes later has no effect.
package leaser

import (
	"time"

	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

// Grant is a lease that this node holds, as it was when it was looked at.
type Grant struct {
	Duty string
	// Token is the fencing token: larger after each takeover.
	Token uint64
	// Epoch is the version of the row lease-epoch/DUTY that the takeover wrote.
	Epoch uint64
	// Taken is when the takeover was sent, Until when the lease can no longer
	// be trusted; both on this node's clock.
	Taken time.Time
	Until time.Time
}

// Guard returns the transaction with the condition that no other node has
// taken the duty over since.
func (g Grant) Guard(tx transactor.Tx) transactor.Tx {
	return tx.WithCheck(EpochKey(g.Duty), g.Epoch)
}

// EpochKey returns the key of the row that a takeover writes.
func EpochKey(duty string) string { return "lease-epoch/" + duty }

// Holder tells which duties this node has.
type Holder interface {
	// Grant returns the present lease of a duty; false if this node has none.
	Grant(duty string) (Grant, bool)
	// Check fails with LeaseNotHeld if the grant can no longer be trusted.
	Check(g Grant) error
}
