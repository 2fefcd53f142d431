// Package supplier describes who supplies endpoints: it lists those that run
// and takes orders for more.
//
// The list lags behind. An order whose call got no answer may have taken
// effect.
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

// VM is one entry of the list of VMs that carry endpoints.
type VM struct {
	// ID names one start of the endpoint on the VM.
	ID string
	// Instance is the identity by which the endpoint knows itself; it may be
	// that of an earlier start.
	Instance   string
	Address    string
	DataCentre string
	Deployment string
	Tier       definer.Tier
	State      VMState
	// Role is the phase of work that an engine does; empty means any.
	Role string
	// Slots is the number of requests that the endpoint works on at once; 0
	// means that of its deployment.
	Slots int
	// Cold is how much longer the endpoint is slow after its start.
	Cold time.Duration
	// LeavesIn is the time until a leaving endpoint is gone; 0 means unknown.
	LeavesIn time.Duration
}

// VMs is the list of VMs.
type VMs interface {
	// List returns the VMs and the age of the list.
	List(ctx context.Context) ([]VM, time.Duration, error)
}

// EndpointOrder asks for more endpoints, or gives some back.
type EndpointOrder struct {
	// ID is set by the caller; the supplier runs an ID at most once.
	ID           string
	FencingToken uint64
	DataCentre   string
	Deployment   string
	Tier         definer.Tier
	// Add is the number of endpoints wanted in addition.
	Add int
	// Withdraw names VMs to give back.
	Withdraw []string
}

// Fleet takes orders for endpoints.
type Fleet interface {
	// Order places an order. StaleFencing: the token is older than one seen.
	Order(ctx context.Context, o EndpointOrder) error
	// Ordered reports whether the supplier has received the order.
	Ordered(ctx context.Context, id string) (bool, error)
}
