package picker

import (
	"time"

	"foxtailflow.example/foxtailflow/internal/config/definer"
)

// Role is the phase of work that an engine does.
type Role string

// The roles of an engine; a plain service has the role Both.
const (
	Both    Role = "both"
	Prefill Role = "prefill"
	Decode  Role = "decode"
)

// Serves reports whether an endpoint of this role does work of a phase; the
// phase Both is done by all, and an endpoint that has not reported does all.
func (r Role) Serves(phase Role) bool {
	return r == phase || r == Both || r == "" || phase == Both || phase == ""
}

// Report is an endpoint's own account of its load.
type Report struct {
	// At is when this node received the report; the zero time means never.
	At time.Time
	// Lag is the age that the report had when it was received.
	Lag time.Duration
	// InFlight is the number of requests in work, Queued of those waiting.
	InFlight int
	Queued   int
	// Backlog is the number of prompt tokens that wait to be read.
	Backlog int
	// FreePieces is the engine memory not in use, in cache pieces.
	FreePieces int
	Role       Role
	// Leaving is the endpoint's own signal that it will stop.
	Leaving bool
	// Changing says that the endpoint is away for a change.
	Changing bool
}

// Elsewhere is what the other nodes have in progress at an endpoint.
type Elsewhere struct {
	// At is when this node heard of it.
	At time.Time
	// Reading is the prompt tokens that are still to be read.
	Reading  int
	Requests int
}

// sample is what this node had in progress at an endpoint at one time.
type sample struct {
	at   time.Time
	sent int
	work int
}

// samples is how many past samples an endpoint keeps; together they reach back
// at least as far as the lag of a report.
const samples = 5

// Endpoint is what a node knows of one endpoint.
//
// It is an immutable value; the With methods return changed copies.
type Endpoint struct {
	ID string
	// Instance is the identity by which the endpoint knows itself.
	Instance   string
	Address    string
	DataCentre string
	Deployment string
	Tier       definer.Tier
	// Leaving says that the platform's list marks the VM as leaving, or that
	// the list no longer has it.
	Leaving bool
	// Draining says that the placement has ordered a drain.
	Draining bool
	// Unconfirmed says that neither the list nor a report is recent.
	Unconfirmed bool
	Report      Report
	// Slots is the number of requests that it works on at once; 0 means that of
	// its deployment.
	Slots int
	// Sent is the number of requests of this node in progress.
	Sent int
	// SentWork is the prompt tokens of those requests that are still to be read.
	SentWork  int
	Elsewhere Elsewhere
	// base is what was in progress when the report was made.
	base sample
	past [samples]sample
	// Changing says that an order of a new role is under way.
	Changing bool
	// Refusals counts refusals in a row; until RefusedUntil the endpoint is left
	// alone after the last of them.
	Refusals     int
	RefusedUntil time.Time
	// Failures counts failures in a row.
	Failures int
	// EjectedUntil is when an endpoint that failed may be tried again; the zero
	// time means that it is not ejected.
	EjectedUntil time.Time
	// ProbeUntil is when the one trial request after an ejection is given up.
	ProbeUntil time.Time
}

// WithReport returns a copy with a new report.
//
// A report that lags describes the past; what this node had in progress then
// is the base by which the report is corrected.
func (e Endpoint) WithReport(r Report) Endpoint {
	then := r.At.Add(-r.Lag)
	now := sample{at: r.At, sent: e.Sent, work: e.SentWork}
	e.base = sample{}
	if r.Lag == 0 {
		e.base = now
	}
	for _, p := range e.past {
		if !p.at.IsZero() && !p.at.After(then) && !p.at.Before(e.base.at) {
			e.base = p
		}
	}
	newest := 0
	for i, p := range e.past {
		if p.at.After(e.past[newest].at) {
			newest = i
		}
	}
	if r.At.Sub(e.past[newest].at) >= r.Lag/(samples-1) {
		e.past[(newest+1)%samples] = now
	}
	e.Report = r
	return e
}

// WithSent returns a copy with one more request of the given work.
func (e Endpoint) WithSent(work int) Endpoint {
	e.Sent++
	e.SentWork += work
	return e
}

// WithRead returns a copy with the given work done and its request in progress.
func (e Endpoint) WithRead(work int) Endpoint {
	e.SentWork -= work
	return e
}

// WithDone returns a copy with one request of the given work less.
func (e Endpoint) WithDone(work int) Endpoint {
	e.Sent--
	e.SentWork -= work
	return e
}

// WithSuccess returns a copy with no failures.
func (e Endpoint) WithSuccess() Endpoint {
	e.Failures, e.Refusals = 0, 0
	e.RefusedUntil = time.Time{}
	e.EjectedUntil = time.Time{}
	e.ProbeUntil = time.Time{}
	return e
}

// WithFailure returns a copy with one more failure in a row, set aside until
// the given time where that is not zero.
func (e Endpoint) WithFailure(until time.Time) Endpoint {
	e.Failures++
	e.ProbeUntil = time.Time{}
	if !until.IsZero() {
		e.EjectedUntil = until
	}
	return e
}

// WithElsewhere returns a copy with what the other nodes have in progress.
func (e Endpoint) WithElsewhere(o Elsewhere) Endpoint {
	e.Elsewhere = o
	return e
}

// refusalWait is how long an endpoint is left alone after a first refusal; each
// further one doubles it, up to maxRefusalWait.
const (
	refusalWait    = 100 * time.Millisecond
	maxRefusalWait = 1600 * time.Millisecond
)

// WithRefusal returns a copy that has refused one more request for lack of room.
func (e Endpoint) WithRefusal(now time.Time) Endpoint {
	wait := refusalWait << min(e.Refusals, 10)
	e.Refusals++
	e.RefusedUntil = now.Add(min(wait, maxRefusalWait))
	return e
}

// WithChanging returns a copy of which an order of a new role is under way, or
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

// WithProbe returns a copy whose trial request is given up at the given time.
func (e Endpoint) WithProbe(until time.Time) Endpoint {
	e.ProbeUntil = until
	return e
}

// Ejected reports whether the endpoint was set aside after failures and has
// not answered since.
func (e Endpoint) Ejected() bool { return !e.EjectedUntil.IsZero() }

// Requests returns the requests at the endpoint: the report corrected by what
// this node has sent and got back since the report was made.
func (e Endpoint) Requests() int {
	return max(e.Report.InFlight+e.Report.Queued+e.Sent-e.base.sent, e.Sent, 0)
}

// RequestLoad is what a request in work counts beside the prompts that wait,
// in prompt tokens: the share of an engine that its decoding takes.
const RequestLoad = 512

// Load returns the corrected load in prompt tokens.
//
// Failures in a row make an endpoint look busier, so that one which fails now
// and then gets less work before it is ejected.
func (e Endpoint) Load() int {
	load := e.Requests()*RequestLoad + e.Report.Backlog + max(e.SentWork-e.base.work, 0)
	return load * (1 + e.Failures)
}
