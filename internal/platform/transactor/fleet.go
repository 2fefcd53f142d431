package transactor

import (
	"context"
	"time"
)

// VMState is the state of a VM in the platform's list.
type VMState string

// The states of a listed VM.
const (
	Live    VMState = "live"
	Leaving VMState = "leaving"
)

// Tier is the price class of an endpoint.
type Tier string

// The price classes. The platform may withdraw a whole data centre of Spot.
const (
	OnDemand Tier = "on-demand"
	Spot     Tier = "spot"
)

// VM is one entry of the platform's list of VMs that carry endpoints.
type VM struct {
	ID         string
	Address    string
	DataCentre string
	Deployment string
	Tier       Tier
	State      VMState
}

// VMs is the platform's list of VMs, which lags behind.
type VMs interface {
	// List returns the VMs and the age of the list.
	List(ctx context.Context) ([]VM, time.Duration, error)
}

// EndpointOrder asks the platform for more endpoints, or gives some back.
type EndpointOrder struct {
	// ID is set by the caller; the platform runs an ID at most once.
	ID           string
	FencingToken uint64
	DataCentre   string
	Deployment   string
	Tier         Tier
	// Add is the number of endpoints wanted in addition.
	Add int
	// Withdraw names VMs to give back.
	Withdraw []string
}

// Fleet takes orders for endpoints.
type Fleet interface {
	// Order places an order. StaleFencing: the token is older than one seen.
	Order(ctx context.Context, o EndpointOrder) error
	// Ordered reports whether the platform has received the order.
	Ordered(ctx context.Context, id string) (bool, error)
}

// Figures are the billed quantities of one client account and model.
type Figures struct {
	Account      string
	Model        string
	Requests     int64
	PromptTokens int64
	OutputTokens int64
}

// UsageReport is the closed usage of one window.
type UsageReport struct {
	// ID names the window; repeats of an ID must carry the same figures.
	ID           string
	FencingToken uint64
	Figures      []Figures
}

// Reports takes usage reports.
type Reports interface {
	// Report sends a closed window.
	Report(ctx context.Context, r UsageReport) error
	// Reported reports whether the platform has received the window.
	Reported(ctx context.Context, id string) (bool, error)
}

// Weights is the store of model weights, which limits its rate.
type Weights interface {
	// Fetch returns the size in bytes of the named weights once they were read.
	Fetch(ctx context.Context, name string) (int64, error)
}

// Platform is everything that the platform offers.
type Platform interface {
	Table
	VMs
	Fleet
	Reports
	Weights
	// Store returns the object store.
	Store() Objects
}
