package picker

import (
	"time"

	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/decision/calibrator"
)

// Role is the phase that an engine serves.
type Role string

// The roles of an engine; a plain service has the role Both.
const (
	Both    Role = "both"
	Prefill Role = "prefill"
	Decode  Role = "decode"
)

// Serves reports whether an endpoint of this role serves a phase. All roles
// serve the phase Both, and an endpoint that has not reported serves all phases.
func (r Role) Serves(phase Role) bool {
	return r == phase || r == Both || r == "" || phase == Both || phase == ""
}

// Report is the load that an endpoint reports.
type Report struct {
	// At is when this node received the report; the zero time means never.
	At time.Time
	// Lag is the age of the report when it was received.
	Lag time.Duration
	// InFlight is the number of requests being processed, Queued of those queued.
	InFlight int
	Queued   int
	// Backlog is the number of prompt tokens queued for prefill.
	Backlog int
	// FreeBlocks is the free engine memory, in cache blocks.
	FreeBlocks int
	Role       Role
	// Leaving is set if the endpoint signals that it will stop.
	Leaving bool
	// Changing is set if the endpoint is unavailable during a role change.
	Changing bool
}

// RemoteLoad is the remote load of an endpoint: what other nodes have in flight
// there.
type RemoteLoad struct {
	// At is when this node received it.
	At time.Time
	// PrefillTokens is the number of prompt tokens still to be prefilled.
	PrefillTokens int
	Requests      int
	// Measured is what other nodes have measured there.
	Measured calibrator.Sums
}

// Slowdown is what an endpoint has said of its speed: Factor is the time that work takes as a
// multiple of the usual time there, as of a time. The zero value says nothing.
type Slowdown struct {
	Factor float64
	At     time.Time
	// Hearsay means that another node has passed it on.
	Hearsay bool
}

// minSlowdown bounds the factor: an endpoint that reports next to nothing, by a fault, would
// otherwise look a hundred times as fast as the others and get all requests.
const minSlowdown = 0.5

// slowdownLifetime is how long a slowdown says anything: it changes several times a second.
const slowdownLifetime = 800 * time.Millisecond

// FactorAt returns the expected factor at a time. The older the statement, the closer that is
// to 1.
func (s Slowdown) FactorAt(now time.Time) float64 {
	age := now.Sub(s.At)
	if s.Factor <= 0 || age >= slowdownLifetime {
		return 1
	}
	return 1 + (max(s.Factor, minSlowdown)-1)*(1-float64(max(age, 0))/float64(slowdownLifetime))
}

// sample is what this node had in flight at an endpoint at one time.
type sample struct {
	at   time.Time
	sent int
	work int
}

// historySize is the number of past samples kept for an endpoint; together they
// reach back at least as far as the lag of a report.
const historySize = 5

// Endpoint is what a node knows of one endpoint.
//
// It is an immutable value; the With methods return changed copies.
type Endpoint struct {
	ID string
	// Instance is the identity that the endpoint uses for itself.
	Instance   string
	Address    string
	DataCentre string
	Deployment string
	Tier       definer.Tier
	// Leaving is set if the platform's list marks the VM as leaving, or no longer
	// contains it.
	Leaving bool
	// Announced is set if the endpoint itself has said in a response that it leaves. It
	// holds whatever the list or a report says later.
	Announced bool
	// Draining is set if the placement has ordered a drain.
	Draining bool
	// Unconfirmed is set if neither the list nor a report is recent.
	Unconfirmed bool
	Report      Report
	// Slots is the number of requests that it processes at once; 0 means the
	// value of its deployment.
	Slots int
	// Sent is the number of in-flight requests of this node.
	Sent int
	// SentPrefillTokens is the number of prompt tokens of those requests that
	// are still to be prefilled.
	SentPrefillTokens int
	RemoteLoad        RemoteLoad
	// Measured is what this node has measured of its speed, Slowdown what it has last said
	// of that.
	Measured calibrator.Sums
	Slowdown Slowdown
	// baseline is what this node had in flight when the report was made.
	baseline sample
	history  [historySize]sample
	// Changing is set if an order of a new role is in progress.
	Changing bool
	// Refusals counts consecutive refusals; after the last one the endpoint gets
	// no requests until RefusedUntil.
	Refusals     int
	RefusedUntil time.Time
	// Limited means that the endpoint has named a limit of requests, PausedUntil is when
	// it gets a request of this node again.
	Limited     bool
	PausedUntil time.Time
	// PauseRequestedUntil is until when the endpoint itself wants no requests of this
	// node; no success ends it.
	PauseRequestedUntil time.Time
	// Failures counts consecutive failures.
	Failures int
	// EjectedUntil is when an ejected endpoint may get a trial request; the zero
	// time means that it is not ejected.
	EjectedUntil time.Time
	// ProbeUntil is when the one trial request after an ejection times out.
	ProbeUntil time.Time
}

// WithReport returns a copy with a new report.
//
// A report that lags describes the past. What this node had in flight at that
// time is the baseline against which the report is corrected.
func (e Endpoint) WithReport(r Report) Endpoint {
	reportedAt := r.At.Add(-r.Lag)
	now := sample{at: r.At, sent: e.Sent, work: e.SentPrefillTokens}
	e.baseline = sample{}
	if r.Lag == 0 {
		e.baseline = now
	}
	for _, p := range e.history {
		if !p.at.IsZero() && !p.at.After(reportedAt) && !p.at.Before(e.baseline.at) {
			e.baseline = p
		}
	}
	newest := 0
	for i, p := range e.history {
		if p.at.After(e.history[newest].at) {
			newest = i
		}
	}
	if r.At.Sub(e.history[newest].at) >= r.Lag/(historySize-1) {
		e.history[(newest+1)%historySize] = now
	}
	e.Report = r
	return e
}

// WithSent returns a copy with one more request of the given work.
func (e Endpoint) WithSent(work int) Endpoint {
	e.Sent++
	e.SentPrefillTokens += work
	return e
}

// WithPrefilled returns a copy in which the given work is prefilled and its
// request is still in flight.
func (e Endpoint) WithPrefilled(work int) Endpoint {
	e.SentPrefillTokens -= work
	return e
}

// WithDone returns a copy with one request of the given work removed.
func (e Endpoint) WithDone(work int) Endpoint {
	e.Sent--
	e.SentPrefillTokens -= work
	return e
}

// WithSuccess returns a copy without failures, refusals or ejection.
func (e Endpoint) WithSuccess() Endpoint {
	e.Failures, e.Refusals = 0, 0
	e.RefusedUntil = time.Time{}
	e.EjectedUntil = time.Time{}
	e.ProbeUntil = time.Time{}
	return e
}

// WithFailure returns a copy with one more consecutive failure, ejected until the
// given time unless that is zero.
func (e Endpoint) WithFailure(until time.Time) Endpoint {
	e.Failures++
	e.ProbeUntil = time.Time{}
	if !until.IsZero() {
		e.EjectedUntil = until
	}
	return e
}

// WithRemoteLoad returns a copy with a new remote load.
func (e Endpoint) WithRemoteLoad(o RemoteLoad) Endpoint {
	e.RemoteLoad = o
	return e
}

// WithMeasured returns a copy with new measurements of its speed.
func (e Endpoint) WithMeasured(s calibrator.Sums) Endpoint {
	e.Measured = s
	return e
}

// WithSlowdown returns a copy with a statement of its speed, unless it has a newer one.
func (e Endpoint) WithSlowdown(s Slowdown) Endpoint {
	if s.At.After(e.Slowdown.At) {
		e.Slowdown = s
	}
	return e
}

// refusalBackoff is how long an endpoint gets no requests after its first
// refusal; each further one doubles it, up to maxRefusalBackoff.
const (
	refusalBackoff    = 100 * time.Millisecond
	maxRefusalBackoff = 1600 * time.Millisecond
)

// WithRefusal returns a copy that has refused one more request for lack of
// capacity.
func (e Endpoint) WithRefusal(now time.Time) Endpoint {
	backoff := refusalBackoff << min(e.Refusals, 10)
	e.Refusals++
	e.RefusedUntil = now.Add(min(backoff, maxRefusalBackoff))
	return e
}

// WithLimit returns a copy that has named a limit of requests or not, and gets none until
// a time.
func (e Endpoint) WithLimit(limited bool, pausedUntil time.Time) Endpoint {
	e.Limited, e.PausedUntil = limited, pausedUntil
	return e
}

// WithPauseRequested returns a copy that wants no requests until a time.
func (e Endpoint) WithPauseRequested(until time.Time) Endpoint {
	e.PauseRequestedUntil = until
	return e
}

// Pause returns how long the endpoint gets no requests, after a refusal, because its
// limit of requests is spent or because it has asked for that.
func (e Endpoint) Pause(now time.Time) time.Duration {
	return max(e.RefusedUntil.Sub(now), e.PausedUntil.Sub(now), e.PauseRequestedUntil.Sub(now), 0)
}

// WithChanging returns a copy for which an order of a new role is in progress, or
// not.
func (e Endpoint) WithChanging(changing bool) Endpoint {
	e.Changing = changing
	return e
}

// WithLeaving returns a copy that is leaving or not.
func (e Endpoint) WithLeaving(leaving bool) Endpoint {
	e.Leaving = leaving
	return e
}

// WithAnnounced returns a copy that has said itself whether it leaves.
func (e Endpoint) WithAnnounced(announced bool) Endpoint {
	e.Announced = announced
	return e
}

// IsLeaving reports whether the endpoint leaves by any source.
func (e Endpoint) IsLeaving() bool { return e.Leaving || e.Announced || e.Report.Leaving }

// WithDraining returns a copy that is draining or not.
func (e Endpoint) WithDraining(draining bool) Endpoint {
	e.Draining = draining
	return e
}

// WithUnconfirmed returns a copy that is unconfirmed or not.
func (e Endpoint) WithUnconfirmed(unconfirmed bool) Endpoint {
	e.Unconfirmed = unconfirmed
	return e
}

// WithProbe returns a copy whose trial request times out at the given time.
func (e Endpoint) WithProbe(until time.Time) Endpoint {
	e.ProbeUntil = until
	return e
}

// Ejected reports whether the endpoint was ejected after failures and has not
// responded since.
func (e Endpoint) Ejected() bool { return !e.EjectedUntil.IsZero() }

// Requests returns the number of requests at the endpoint: the report corrected
// by the requests that this node has sent and completed since it was made.
func (e Endpoint) Requests() int {
	return max(e.Report.InFlight+e.Report.Queued+e.Sent-e.baseline.sent, e.Sent, 0)
}

// RequestLoad is the load of one request in addition to the prompts queued for
// prefill, in prompt tokens: the share of an engine that its decoding takes.
const RequestLoad = 512

// Load returns the corrected load in prompt tokens.
//
// Consecutive failures increase the load, so that an endpoint that fails
// occasionally gets less work before it is ejected.
func (e Endpoint) Load() int {
	load := e.Requests()*RequestLoad + e.Report.Backlog + max(e.SentPrefillTokens-e.baseline.work, 0)
	return load * (1 + e.Failures)
}
