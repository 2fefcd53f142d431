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
	// Priority takes the place of the route's priority; 0 means the route's.
	Priority int
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

// Repeat says how often a request may run.
type Repeat string

// The ways to repeat a request.
const (
	// RepeatByMethod allows repeats for the methods listed in Idempotent, and
	// for all model requests.
	RepeatByMethod Repeat = ""
	// RepeatNever allows one run.
	RepeatNever Repeat = "never"
	// RepeatAlways allows any number of runs.
	RepeatAlways Repeat = "always"
	// RepeatResume allows another run that continues the stream of the former.
	RepeatResume Repeat = "resume"
)

// Target is a deployment that gets a part of a route's requests.
type Target struct {
	Deployment string
	Weight     int
}

// Route maps requests to a deployment.
type Route struct {
	Name   string
	Access Access
	Kind   Kind
	// Host is the host that a request names; empty means any.
	Host string
	// Path is the path prefix of a plain route, such as "/orders".
	Path string
	// Model is the model name of a model route.
	Model      string
	Deployment string
	// Targets divide the requests among deployments in place of Deployment.
	Targets []Target
	// Stream says that answers are event streams.
	Stream bool
	Repeat Repeat
	// Attempts limits the endpoints that one request may be sent to; 0 means
	// that the rule of the deployment does.
	Attempts int
	// Target is the time to the first byte, or to the whole answer where it is
	// no stream, that the operator aims at; 0 means none.
	Target time.Duration
	// Gap is the pause between events that the operator aims at; 0 means none.
	Gap time.Duration
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
	if r.Repeat != RepeatByMethod {
		return r.Repeat != RepeatNever
	}
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

// WithDeployment returns a copy that sends to one deployment.
func (r Route) WithDeployment(name string) Route {
	r.Deployment, r.Targets = name, nil
	return r
}

// DeploymentAt returns the deployment of a request by a number that is spread
// evenly over requests.
func (r Route) DeploymentAt(n uint64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return r.Deployment
	}
	at := int(n % uint64(total))
	for _, t := range r.Targets {
		if at -= t.Weight; at < 0 {
			return t.Deployment
		}
	}
	return r.Deployment
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
	// RetryBurst is the number of retries that all nodes together may make beyond
	// that share in one burst; 0 means the reserve of a bucket for each node.
	RetryBurst float64
	// CountRefused says that an attempt which an endpoint refused counts against
	// the retry budget like one that ran.
	CountRefused bool
	Backoff      time.Duration
	// EjectAfter sets an endpoint aside after this many failures in a row.
	EjectAfter int
	EjectFor   time.Duration
	// IdleTimeout ends an answer that makes no progress.
	IdleTimeout time.Duration
	// FirstTimeout gives up an endpoint that does not begin to answer a request
	// which may be repeated; 0 means none.
	FirstTimeout time.Duration
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

// Engine describes the model engines of a deployment.
type Engine struct {
	// Tokens is the memory of an engine for prompts and answers, in tokens.
	Tokens int
	// TokenBytes is the size of one token in that memory.
	TokenBytes int
	// LinkMbps is the rate at which engines copy memory to one another.
	LinkMbps float64
	// HandleLife is how long an engine keeps a prompt that it has read for
	// another engine; 0 means that engines do not hand prompts over.
	HandleLife time.Duration
	// Fetches says that an engine can copy the beginning of a prompt from the
	// cache of another.
	Fetches bool
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
	// MaxConnections bounds the connections of all nodes to one endpoint; 0
	// means no bound.
	MaxConnections int
	// HealthPath answers whether an endpoint is well; empty means none does.
	HealthPath string
	Engine     Engine
	// Boot is how long an ordered endpoint takes until it serves.
	Boot time.Duration
}

// Limits bounds what one node accepts.
type Limits struct {
	// HeaderWait and IdleWait bound the time for the header of a request and
	// the time between two requests; 0 means the node's setting.
	HeaderWait  time.Duration
	IdleWait    time.Duration
	MaxBody     int64
	MaxHeader   int
	MaxQueue    int
	BodyWait    time.Duration
	WriteWait   time.Duration
	ClaimFor    time.Duration
	UsageWindow time.Duration
	DrainWait   time.Duration
	ReplayLimit int64
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
