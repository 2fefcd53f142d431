// Package definer has the types of the configuration that operators define:
// client accounts, keys, routes, service rules, deployments and limits.
//
// A Config is the merged result of all files at one version. It is immutable:
// a node replaces the whole value when a new version is applied, so a request
// sees one consistent set of definitions from start to end.
package definer

import (
	"time"
)

// Account is a client account.
type Account struct {
	Name string
	// Share is the account's weight when work is divided among accounts; at
	// least 1.
	Share int
	// MaxConcurrent limits in-flight requests on all nodes; 0 means no limit.
	MaxConcurrent int
	// RequestsPerSecond limits new requests on all nodes; 0 means no limit.
	RequestsPerSecond int
	// TokensPerSecond limits the token rate on all nodes; 0 means no limit.
	TokensPerSecond int
	// Priority overrides the priority of the route; 0 means the route's.
	Priority int
	// Quota limits what the account may use on all nodes together.
	Quota Quota
}

// QuotaUnit is what a quota counts.
type QuotaUnit string

// The units of quotas.
const (
	// QuotaRequests counts each request as 1.
	QuotaRequests QuotaUnit = "requests"
	// QuotaTokens counts the prompt tokens and the maximum output tokens of a request.
	QuotaTokens QuotaUnit = "tokens"
)

// Quota is a rate with a burst, over all nodes together. The zero value is no limit.
type Quota struct {
	// Rate is in units a second; 0 means no limit.
	Rate float64
	// Burst is the number of units that may be used beyond the rate after a pause; 0
	// means those of one second.
	Burst float64
	Unit  QuotaUnit
	// PlainTokens is the cost in tokens of a request that names none.
	PlainTokens int
}

// Limited reports whether there is a limit.
func (q Quota) Limited() bool { return q.Rate > 0 }

// Size returns the number of units that may be used beyond the rate after a pause.
func (q Quota) Size() float64 {
	if q.Burst > 0 {
		return q.Burst
	}
	return q.Rate
}

// Cost returns the units of a request with a number of tokens; counted means that the
// request names them.
func (q Quota) Cost(tokens int, counted bool) float64 {
	switch {
	case q.Unit != QuotaTokens:
		return 1
	case counted:
		return float64(tokens)
	}
	return float64(q.PlainTokens)
}

// Key is a caller's key; only the hash of its secret is stored.
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

// RetryPolicy is the policy for running a request more than once.
type RetryPolicy string

// The retry policies.
const (
	// RetryByMethod allows several runs for the methods listed in
	// IdempotentMethods, and for all model requests.
	RetryByMethod RetryPolicy = ""
	// RetryNever allows a single run.
	RetryNever RetryPolicy = "never"
	// RetryAlways allows any number of runs.
	RetryAlways RetryPolicy = "always"
	// RetryResume allows another run that continues the stream of the
	// previous one.
	RetryResume RetryPolicy = "resume"
)

// WeightedDeployment is a deployment that receives a weighted share of a
// route's requests.
type WeightedDeployment struct {
	Deployment string
	Weight     int
}

// Route maps requests to a deployment.
type Route struct {
	Name   string
	Access Access
	Kind   Kind
	// Host is the host name of the requests; empty means any.
	Host string
	// Path is the path prefix of a plain route, such as "/orders".
	Path string
	// Model is the model name of a model route.
	Model      string
	Deployment string
	// WeightedDeployments split the requests among deployments; if set, they
	// replace Deployment.
	WeightedDeployments []WeightedDeployment
	// Stream says that responses are event streams.
	Stream      bool
	RetryPolicy RetryPolicy
	// Attempts limits the endpoints that one request may be sent to; 0 means
	// the limit of the deployment's service rule.
	Attempts int
	// LatencyTarget is the operator's target for the time to the first byte of a
	// stream, or to the complete response otherwise; 0 means none.
	LatencyTarget time.Duration
	// EventGapTarget is the operator's target for the time between two events;
	// 0 means none.
	EventGapTarget time.Duration
	// GiveUpAfter is the time without an event after which callers leave a stream, also
	// before its first event; 0 means that this is not known.
	GiveUpAfter time.Duration
	// AllowedAccounts lists the client accounts that may use the route; empty
	// means all.
	AllowedAccounts []string
	// IdempotentMethods lists the methods that may be retried.
	IdempotentMethods []string
	Deadline          time.Duration
	// Priority orders requests within an account's share; higher goes first.
	Priority int
	// MaxBody limits the request body in bytes.
	MaxBody int64
}

// MayRetry reports whether a request with this method may run more than once.
//
// Model requests may by default, since they have no side effects.
func (r Route) MayRetry(method string) bool {
	if r.RetryPolicy != RetryByMethod {
		return r.RetryPolicy != RetryNever
	}
	if r.Kind == Model {
		return true
	}
	for _, m := range r.IdempotentMethods {
		if m == method {
			return true
		}
	}
	return false
}

// WithDeployment returns a copy that sends all requests to one deployment.
func (r Route) WithDeployment(name string) Route {
	r.Deployment, r.WeightedDeployments = name, nil
	return r
}

// DeploymentForHash returns the deployment for a request. n is a number that is
// evenly distributed over requests, such as a hash.
func (r Route) DeploymentForHash(n uint64) string {
	total := 0
	for _, t := range r.WeightedDeployments {
		total += t.Weight
	}
	if total <= 0 {
		return r.Deployment
	}
	offset := int(n % uint64(total))
	for _, t := range r.WeightedDeployments {
		if offset -= t.Weight; offset < 0 {
			return t.Deployment
		}
	}
	return r.Deployment
}

// Deployments returns the deployments that receive requests of the route.
func (r Route) Deployments() []string {
	var names []string
	for _, t := range r.WeightedDeployments {
		if t.Weight > 0 {
			names = append(names, t.Deployment)
		}
	}
	if len(names) == 0 {
		return []string{r.Deployment}
	}
	return names
}

// Allows reports whether a client account may use the route.
func (r Route) Allows(account string) bool {
	if len(r.AllowedAccounts) == 0 {
		return true
	}
	for _, a := range r.AllowedAccounts {
		if a == account {
			return true
		}
	}
	return false
}

// Rule is a service rule: the retry, ejection and timeout settings of a
// deployment.
type Rule struct {
	Name       string
	Deployment string
	// Attempts limits the attempts of one request.
	Attempts int
	// RetryShare limits retries to this share of requests.
	RetryShare float64
	// RetryBurst is the number of retries that all nodes together may make beyond
	// that share in one burst; 0 means that each node has the default reserve of
	// a bucket.
	RetryBurst float64
	// CountRefused charges the retry budget for an attempt that an endpoint
	// refused, as for one that ran.
	CountRefused bool
	Backoff      time.Duration
	// SecondAttemptShare limits second attempts for slow responses to this share of
	// requests; 0 means none.
	SecondAttemptShare float64
	// EjectAfter is the number of consecutive failures after which an endpoint
	// is ejected, for the time EjectDuration.
	EjectAfter    int
	EjectDuration time.Duration
	// IdleTimeout aborts a response that makes no progress for this long.
	IdleTimeout time.Duration
	// FirstByteTimeout ends an attempt whose endpoint has not begun to respond, if
	// the request may be repeated; 0 means none.
	FirstByteTimeout time.Duration
}

// Fencing says whether engines refuse orders with a stale fencing token.
type Fencing string

// The fencing behaviours of engines.
const (
	FencingChecked Fencing = "checked"
	FencingIgnored Fencing = "ignored"
)

// Tier is the price class of an endpoint.
type Tier string

// The price classes. The platform may withdraw endpoints of the tier Spot, all
// of a data centre at once.
const (
	OnDemand Tier = "on-demand"
	Spot     Tier = "spot"
)

// Placement bounds the number of endpoints in one data centre and tier.
type Placement struct {
	DataCentre string
	Tier       Tier
	Min        int
	Max        int
	// Cost is the price of one endpoint per hour, in thousandths of the
	// operator's currency unit.
	Cost int
}

// Engine describes the model engines of a deployment.
type Engine struct {
	// MemoryTokens is the memory of an engine for prompts and responses, in tokens.
	MemoryTokens int
	// TokenBytes is the size of one token in that memory.
	TokenBytes int
	// LinkMbps is the rate at which engines copy that memory to one another, in
	// Mbit/s.
	LinkMbps float64
	// HandleTTL is how long an engine keeps a prompt that it has prefilled for
	// another engine; 0 means that engines do not prefill for one another.
	HandleTTL time.Duration
	// FetchesPrefix says that an engine can copy the prefix of a prompt from
	// another engine's prefix cache.
	FetchesPrefix bool
}

// Deployment is a group of endpoints that serve the same thing.
type Deployment struct {
	Name       string
	Kind       Kind
	Model      string
	Placements []Placement
	// Slots is the number of requests that one endpoint runs concurrently.
	Slots int
	// Blocks is the engine memory of one endpoint, in cache blocks.
	Blocks int
	// PrefillRate and DecodeRate are the rates of one engine in tokens per
	// second.
	PrefillRate int
	DecodeRate  int
	Fencing     Fencing
	// OrderConnectionLimit is how long an engine keeps a connection open on
	// which no complete order arrives; 0 means that no limit is known.
	OrderConnectionLimit time.Duration
	// RoleChangeTime is how long an engine is unavailable while it changes its
	// role.
	RoleChangeTime time.Duration
	// MaxUnavailable limits the engines that are unavailable for a change at
	// the same time.
	MaxUnavailable int
	// Adapters and Version are loaded on every engine.
	Adapters []string
	Version  string
	// MaxConnections limits the connections of all nodes to one endpoint; 0
	// means no limit.
	MaxConnections int
	// HealthPath is the path of the endpoint's health check; empty means that
	// there is none.
	HealthPath string
	Engine     Engine
	// BootTime is the time from the order of an endpoint until it serves.
	BootTime time.Duration
}

// Limits are the limits that each node applies.
type Limits struct {
	// HeaderTimeout and IdleTimeout limit the time for the header of a request and
	// the time between two requests; 0 means the node's setting.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	MaxBody       int64
	MaxHeader     int
	MaxQueue      int
	BodyTimeout   time.Duration
	WriteTimeout  time.Duration
	// ClaimTTL is how long the claim of an idempotency key is valid.
	ClaimTTL     time.Duration
	UsageWindow  time.Duration
	DrainTimeout time.Duration
	// ReplayLimit is the size in bytes up to which the body of a response is
	// kept for replay under its idempotency key.
	ReplayLimit int64
	// PrefillTokenWork and DecodeTokenWork are the work of one prompt token and
	// of one output token.
	PrefillTokenWork float64
	DecodeTokenWork  float64
}

// DefaultLimits returns the limits that apply where no file sets them.
func DefaultLimits() Limits {
	return Limits{
		MaxBody:          4 << 20,
		MaxHeader:        64 << 10,
		MaxQueue:         10_000,
		BodyTimeout:      30 * time.Second,
		WriteTimeout:     10 * time.Second,
		ClaimTTL:         24 * time.Hour,
		UsageWindow:      time.Minute,
		DrainTimeout:     60 * time.Second,
		ReplayLimit:      64 << 10,
		PrefillTokenWork: 1,
		DecodeTokenWork:  4,
	}
}

// DefaultRule returns the service rule of a deployment for which no file sets
// one.
func DefaultRule(deployment string) Rule {
	return Rule{
		Deployment:    deployment,
		Attempts:      3,
		RetryShare:    0.1,
		Backoff:       25 * time.Millisecond,
		EjectAfter:    3,
		EjectDuration: 5 * time.Second,
		IdleTimeout:   10 * time.Second,
	}
}
