package composer

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"foxtailflow.example/foxtailflow/internal/authority/leaser"
	"foxtailflow.example/foxtailflow/internal/base/roundtripper"
	"foxtailflow.example/foxtailflow/internal/base/runner"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/fleet/excluder"
	"foxtailflow.example/foxtailflow/internal/fleet/pacer"
	"foxtailflow.example/foxtailflow/internal/fleet/supplier"
	"foxtailflow.example/foxtailflow/internal/inner/courier"
	"foxtailflow.example/foxtailflow/internal/request/dispatcher"
	"foxtailflow.example/foxtailflow/internal/request/forwarder"
	"foxtailflow.example/foxtailflow/internal/store/follower"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

// Settings are the settings of a node at its start.
type Settings struct {
	ID         string
	DataCentre string
	// CallersListen, PeersListen, ReadyListen, MetricsListen and OperatorsListen
	// are IP:port. An interface of the last three is not served if its address is
	// empty.
	CallersListen   string
	PeersListen     string
	ReadyListen     string
	MetricsListen   string
	OperatorsListen string
	// PeersAdvertise is the address at which other nodes reach this one; empty
	// means PeersListen.
	PeersAdvertise string
	// SeedAddresses are addresses of nodes to connect to while the store is
	// unreachable.
	SeedAddresses []string
	// StopTimeout is the time from the stop signal until the process is killed;
	// 0 means that the configuration limits how long requests may continue.
	StopTimeout time.Duration
	// BalancerDelay is how long the load balancer may take to notice that the
	// node is no longer ready.
	BalancerDelay time.Duration
	// EntryRewriteTimeout is how long a live endpoint takes to write its entry
	// again after an outage of the store.
	EntryRewriteTimeout time.Duration
	// EndpointNotice is how long an endpoint takes requests after the store has accepted
	// that it leaves; 0 means that it has no bound.
	EndpointNotice time.Duration
	// ConfigNotice is within what time after its acceptance a configuration is in force;
	// 0 means without a bound.
	ConfigNotice time.Duration
	// Workers is the number of requests that are processed at once.
	Workers int
	// MemoryBytes is the memory that the process may use; 0 means that there is no bound.
	MemoryBytes int64
	// LeaseDuration is the duration of leases, after which other nodes may take
	// over duties.
	LeaseDuration time.Duration
	// UsageWindow is the length of a usage window, 0 means that of the
	// configuration; MaxReportDelay is how long after its end a window can be
	// reported.
	UsageWindow    time.Duration
	MaxReportDelay time.Duration
	// MaxRowBytes is the maximum size of a row of the store.
	MaxRowBytes int
	// StaleAfter is how long requests with API keys are served after the
	// configuration was last known to be the newest; 0 means without limit.
	StaleAfter time.Duration
}

// Configuration defines where the configuration is stored and how it is decoded.
type Configuration struct {
	// KeyPrefix is the key prefix of the rows of the configuration.
	KeyPrefix string
	// Decode decodes the configuration from its rows; ConfigNotLoaded if there are
	// none.
	Decode func(rows follower.Snapshot) (definer.Config, error)
}

// Components are the components that a platform adds to a node.
type Components struct {
	// Queue holds queued requests; nil means that the deployments share the workers, and
	// requests of each go to them in order of arrival.
	Queue dispatcher.Queue
	// Claims holds the claims of idempotency keys; nil if callers send none.
	Claims dispatcher.Claims
	// Usage counts the usage of responses; nil means that requests are counted when
	// they begin to run.
	Usage dispatcher.Usage
	// AccountWork returns the work of client accounts on this node.
	AccountWork func() []courier.AccountWork
	// Duties returns further duties, each of which one node holds at a time.
	Duties func() []string
	// Operators handles requests of operators.
	Operators http.Handler
	Tasks     []runner.Periodic
	// HandOver hands over what the components hold when the node stops.
	HandOver func(ctx context.Context)
}

// Ports are the external interfaces of a node.
type Ports struct {
	Table transactor.Table
	Feed  transactor.Feed
	// StoreEra returns the newest era of the store that this node knows, and when it first
	// heard of it, by the boot-time clock; nil means that the store has none.
	StoreEra func() (era uint64, since time.Time)
	Config   Configuration
	// EndpointKeyPrefix is the key prefix of the rows with the endpoints' entries.
	EndpointKeyPrefix string
	DecodeEndpoint    func(transactor.Row) (supplier.VM, error)
	Dialect           forwarder.Dialect
	// DecodeRateLimit returns what the head of a response says of the requests that the
	// endpoint takes; nil means that endpoints name no limits.
	DecodeRateLimit func(status int, h http.Header) (pacer.Statement, bool)
	// DecodeAnnouncement returns what the head of a response says of further requests;
	// nil means that responses say nothing of them.
	DecodeAnnouncement func(status int, h http.Header) excluder.Statement
	Engines            dispatcher.Engines
	// Callers returns the handler for requests of callers.
	Callers func(n *Node) http.Handler
	// Components returns the additional components of the node; nil means none.
	Components func(n *Node) Components
	// ReadyPath is the path of the load balancer's readiness check.
	ReadyPath string
	// EndpointTransport holds the connections to endpoints.
	EndpointTransport *roundtripper.Transport
	// Dial opens connections to other nodes.
	Dial roundtripper.DialFunc
	// Receivers returns the receivers of reports and orders, whose calls the guard bounds.
	Receivers func(guard leaser.CallGuard) Receivers
	// RequestLog is the logger for lines about single requests, which are far more
	// numerous than the others.
	RequestLog zerolog.Logger
}
