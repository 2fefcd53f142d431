// Package supplier defines the interfaces of a supplier of endpoints, which lists
// the VMs that run them and takes orders for more.
//
// The list lags behind the actual state. An order whose call got no response may
// have taken effect.
package supplier

import (
	"context"
	"time"

	"foxtailflow.example/foxtailflow/internal/config/definer"
)

// VMState is the state of a VM in the supplier's list.
type VMState string

// The states of a listed VM.
const (
	Live    VMState = "live"
	Leaving VMState = "leaving"
)

// VM is an entry of the list of VMs that run endpoints.
type VM struct {
	// ID identifies one start of the endpoint on the VM.
	ID string
	// Instance is the identity that the endpoint itself uses. It may be that of an
	// earlier start.
	Instance   string
	Address    string
	DataCentre string
	Deployment string
	Tier       definer.Tier
	State      VMState
	// Role is the phase of work that an engine does; empty means any phase.
	Role string
	// Slots is the number of requests that the endpoint processes concurrently; 0
	// means the number of its deployment.
	Slots int
	// WarmupRemaining is the remaining time for which the endpoint is slow
	// after its start.
	WarmupRemaining time.Duration
	// LeavesIn is the time until a leaving endpoint stops; 0 means unknown.
	LeavesIn time.Duration
	// Revision grows with the entries that one start of the endpoint writes; 0 means
	// unknown.
	Revision uint64
}

// VMs is the list of VMs.
type VMs interface {
	// List returns the VMs and the age of the list.
	List(ctx context.Context) ([]VM, time.Duration, error)
}

// EndpointOrder orders additional endpoints or withdraws existing ones.
type EndpointOrder struct {
	// ID is set by the caller. The supplier executes an ID at most once.
	ID           string
	FencingToken uint64
	DataCentre   string
	Deployment   string
	Tier         definer.Tier
	// Add is the number of additional endpoints.
	Add int
	// Withdraw lists the IDs of the VMs to release.
	Withdraw []string
}

// EndpointOrders takes orders for endpoints.
type EndpointOrders interface {
	// Order places an order. It fails with StaleFencing if the supplier has seen a
	// newer fencing token.
	Order(ctx context.Context, o EndpointOrder) error
	// Received reports whether the supplier has received the order.
	Received(ctx context.Context, id string) (bool, error)
}
