// Package definer holds what operators define: client accounts, keys, routes,
// rules, deployments and limits.
//
// A Config is the merged result of all files at one version. It is immutable:
// a node swaps the whole value when a new version is applied, so a request
// that has taken a Config sees one consistent set of definitions to its end.
package definer

import (
	"time"
)

// Account is a client account.
type Account struct {
	Name string
	// Share is the account's weight in the division of work; at least 1.
	Share int
	// MaxConcurrent limits requests in progress on all nodes; 0 means no limit.
	MaxConcurrent int
	// RequestsPerSecond limits new requests on all nodes; 0 means no limit.
	RequestsPerSecond int
	// TokensPerSecond limits work on all nodes; 0 means no limit.
	TokensPerSecond int
}

// Key is a caller's key; only the hash of its secret is kept.
type Key struct {
	ID      string
	Account string
	// Hash is the SHA-256 of the secret.
	Hash [32]byte
}

// Access says who may use a route.
type Access string

// The kinds of access.
const (
	Open  Access = "open"
	Keyed Access = "keyed"
)

// Kind says what a route or deployment serves.
type Kind string

// The kinds of endpoint.
const (
	Model Kind = "model"
	Plain Kind = "plain"
)

// Route maps requests to a deployment.
type Route struct {
	Name   string
	Access Access
	Kind   Kind
	// Path is the path prefix of a plain route, such as "/orders".
	Path string
	// Model is the model name of a model route.
	Model      string
	Deployment string
	// Accounts lists the client accounts that may use the route; empty means all.
	Accounts []string
	// Idempotent lists the methods that may be repeated.
	Idempotent []string
	Deadline   time.Duration
	// Priority orders requests within an account's share; higher goes first.
	Priority int
	// MaxBody limits the request body in bytes.
	MaxBody int64
}

// MayRepeat reports whether a request with this method may run more than once.
//
// Model requests may: they change nothing.
func (r Route) MayRepeat(method string) bool {
	if r.Kind == Model {
		return true
	}
	for _, m := range r.Idempotent {
		if m == method {
			return true
		}
	}
	return false
}

// Allows reports whether a client account may use the route.
func (r Route) Allows(account string) bool {
	if len(r.Accounts) == 0 {
		return true
	}
	for _, a := range r.Accounts {
		if a == account {
			return true
		}
	}
	return false
}

// Rule is a service rule: how the requests of a deployment are tried.
type Rule struct {
	Name       string
	Deployment string
	// Attempts limits the attempts of one request.
	Attempts int
	// RetryShare limits retries to this share of requests.
	RetryShare float64
	Backoff    time.Duration
	// EjectAfter sets an endpoint aside after this many failures in a row.
	EjectAfter int
	EjectFor   time.Duration
	// IdleTimeout ends an answer that makes no progress.
	IdleTimeout time.Duration
}

// Fencing says whether engines refuse orders with an old fencing token.
type Fencing string

// The two kinds of engine.
const (
	FencingChecked Fencing = "checked"
	FencingIgnored Fencing = "ignored"
)

// Tier is the price class of an endpoint.
type Tier string

// The price classes. Endpoints of the tier Spot may be withdrawn, all of a data
// centre at once.
const (
	OnDemand Tier = "on-demand"
	Spot     Tier = "spot"
)

// Placement is the number of endpoints wanted in one data centre and tier.
type Placement struct {
	DataCentre string
	Tier       Tier
	Min        int
	Max        int
	// Cost is the price of one endpoint for an hour, in thousandths of the
	// operator's currency unit.
	Cost int
}

// Deployment is a group of endpoints that serve the same thing.
type Deployment struct {
	Name       string
	Kind       Kind
	Model      string
	Placements []Placement
	// Slots is the number of requests that one endpoint works on at once.
	Slots int
	// Pieces is the engine memory of one endpoint, in cache pieces.
	Pieces int
	// PrefillRate and DecodeRate are tokens a second of one engine.
	PrefillRate int
	DecodeRate  int
	Fencing     Fencing
	// OrderConnectionLimit is how long an engine keeps a connection open on
	// which no whole order arrives; 0 means that no limit is known.
	OrderConnectionLimit time.Duration
	// RoleChange is how long an engine is away for a change of role.
	RoleChange time.Duration
	// MaxAway limits the engines that are away for a change at once.
	MaxAway int
	// Adapters and Version are loaded on every engine.
	Adapters []string
	Version  string
}

// Limits bounds what one node accepts.
type Limits struct {
	MaxBody     int64
	MaxHeader   int
	MaxQueue    int
	BodyWait    time.Duration
	WriteWait   time.Duration
	ClaimFor    time.Duration
	UsageWindow time.Duration
	DrainWait   time.Duration
	ReplayLimit int64
	UsageGroups int
	WorkPrefill float64
	WorkDecode  float64
}

// DefaultLimits returns the limits that hold where no file sets them.
func DefaultLimits() Limits {
	return Limits{
		MaxBody:     4 << 20,
		MaxHeader:   64 << 10,
		MaxQueue:    10_000,
		BodyWait:    30 * time.Second,
		WriteWait:   10 * time.Second,
		ClaimFor:    24 * time.Hour,
		UsageWindow: time.Minute,
		DrainWait:   60 * time.Second,
		ReplayLimit: 64 << 10,
		UsageGroups: 8,
		WorkPrefill: 1,
		WorkDecode:  4,
	}
}

// DefaultRule returns the rule that holds where no file sets one.
func DefaultRule(deployment string) Rule {
	return Rule{
		Deployment:  deployment,
		Attempts:    3,
		RetryShare:  0.1,
		Backoff:     25 * time.Millisecond,
		EjectAfter:  3,
		EjectFor:    5 * time.Second,
		IdleTimeout: 10 * time.Second,
	}
}
