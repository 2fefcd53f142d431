package composer

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"foxtailflow.example/foxtailflow/internal/authority/leaser"
	"foxtailflow.example/foxtailflow/internal/base/linker"
	"foxtailflow.example/foxtailflow/internal/base/runner"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/fleet/supplier"
	"foxtailflow.example/foxtailflow/internal/inner/courier"
	"foxtailflow.example/foxtailflow/internal/request/dispatcher"
	"foxtailflow.example/foxtailflow/internal/request/forwarder"
	"foxtailflow.example/foxtailflow/internal/store/follower"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

// Settings are what a node is told at its start.
type Settings struct {
	ID         string
	DataCentre string
	// CallersListen, PeersListen, ReadyListen, MetricsListen and OperatorsListen
	// are IP:port; the last three may be empty, and are not served then.
	CallersListen   string
	PeersListen     string
	ReadyListen     string
	MetricsListen   string
	OperatorsListen string
	// PeersAdvertise is the address at which other nodes reach this one; empty
	// means PeersListen.
	PeersAdvertise string
	// Seeds are addresses of nodes to ask while the store cannot be reached.
	Seeds []string
	// Stop is the time from the signal to stop until the process is killed; 0 means
	// that the configuration says how long requests may go on.
	Stop time.Duration
	// LeaveWait is how long the balancer may take to notice that the node is not
	// ready any more.
	LeaveWait time.Duration
	// Lapse is how long a living endpoint takes to write its entry again.
	Lapse time.Duration
	// Workers is the number of requests in work at once.
	Workers int
	// Lease is the time after which others may take over what a node holds.
	Lease time.Duration
	// UsageWindow is the length of a window of usage, 0 that of the configuration;
	// UsageLate is how long after its end it can be reported.
	UsageWindow time.Duration
	UsageLate   time.Duration
	// RowBytes is the greatest size of a row of the store.
	RowBytes int
	// StaleAfter is how long requests with keys are served after the configuration
	// was last known to be the newest; 0 means for ever.
	StaleAfter time.Duration
}

// Configuration is where the configuration is kept and how it is read.
type Configuration struct {
	// Prefix begins the rows of the configuration.
	Prefix string
	// Decode returns the configuration that the rows make up; ConfigNotLoaded if
	// there are none.
	Decode func(rows follower.Snapshot) (definer.Config, error)
}

// Parts are what a platform adds to a node.
type Parts struct {
	// Queue holds the requests that wait; nil means that they go on at once.
	Queue dispatcher.Queue
	// Claims holds the claims of idempotency keys; nil where callers name none.
	Claims dispatcher.Claims
	// Usage counts answers; nil means that requests are counted as they begin.
	Usage dispatcher.Usage
	// Accounts returns the work of client accounts on this node.
	Accounts func() []courier.AccountWork
	// Duties returns further duties of one node at a time.
	Duties func() []string
	// Operators is the interface for operators.
	Operators http.Handler
	Tasks     []runner.Periodic
	// Leave hands over what the parts hold when the node stops.
	Leave func(ctx context.Context)
}

// Ports are what a node has around it.
type Ports struct {
	Table  transactor.Table
	Feed   transactor.Feed
	Config Configuration
	// EndpointPrefix begins the rows of the endpoints' entries.
	EndpointPrefix string
	DecodeEndpoint func(transactor.Row) (supplier.VM, error)
	Dialect        forwarder.Dialect
	Engines        dispatcher.Engines
	// Callers returns the interface for callers.
	Callers func(n *Node) http.Handler
	// Extend returns what else the node has; nil means nothing.
	Extend func(n *Node) Parts
	// ReadyPath is where the balancer asks whether the node takes requests.
	ReadyPath string
	// Links are the connections to endpoints.
	Links *linker.Linker
	// Dial opens connections to other nodes.
	Dial linker.Dial
	// Receivers returns what takes reports and orders; check fails if a lease can
	// no longer be trusted.
	Receivers func(check func(leaser.Grant) error) Receivers
	// Requests is the log of the lines about single requests, which are more than
	// the others by far.
	Requests zerolog.Logger
}
