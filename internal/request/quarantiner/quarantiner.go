// Package quarantiner keeps prompts that crash endpoints away from them.
//
// A request that reaches an endpoint, crashes it and is sent to the next one ends
// endpoint after endpoint, and so do all requests whose prompts have the same harmful
// part. A node that sees an endpoint end under requests reports the parts of those to
// which the endpoint had not begun to respond. The reports of all nodes are the
// evidence from which each node finds the parts to blame, and from then on it refuses
// prompts with them. A finding is stored, so that it outlives the nodes, and is in
// force until its row is removed.
//
// Until there is a finding, a suspect goes to an endpoint one request at a time and is
// not sent again.
package quarantiner

import (
	"context"
	"errors"
	"expvar"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/keeper"
	"foxtailflow.example/foxtailflow/internal/base/runner"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/decision/attributor"
	"foxtailflow.example/foxtailflow/internal/decision/picker"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

// Quarantine refuses prompts that crash endpoints.
type Quarantine struct {
	Clock timekeeper.Clock
	Log   zerolog.Logger
	// Endpoint returns what this node knows of an endpoint.
	Endpoint func(id string) (picker.Endpoint, bool)
	// Connect opens a connection to an address.
	Connect func(ctx context.Context, address string) error
	Table   transactor.Table
	// StoresFindings reports whether this node is one of those that store findings.
	StoresFindings func() bool

	evidence keeper.Cell[attributor.Evidence]
	rows     keeper.Cell[map[string]storedPattern]
	view     keeper.Cell[view]
	// unconfirmed has the broken connections by endpoint, while it is being found out
	// whether the endpoint has crashed.
	unconfirmed keeper.Table[string, attributor.Crash]
	// refuted has the keys of the patterns whose rows are to be removed.
	refuted keeper.Table[string, bool]
	// refusals has the time of the last refusal by the key of the pattern.
	refusals keeper.Table[string, time.Time]
	answered recentParts
	turns    turns
	checks   runner.Queue[string]
	// assessMu allows one assessment at a time, so that the last one includes every
	// change.
	assessMu sync.Mutex
}

// view is what requests are checked against. It is an immutable value.
type view struct {
	// patterns are in force, by their keys.
	patterns map[string]attributor.Pattern
	suspects map[string]attributor.Suspicion
	findings []attributor.Finding
	// next is when the evidence has to be assessed again.
	next time.Time
}

// The limits of what a node keeps and does.
const (
	// evidenceLifetime is how long a crash counts. Requests with a harmful part may be
	// minutes apart.
	evidenceLifetime = 15 * time.Minute
	// aliveFrom and aliveUntil are the times after the end of an endpoint between which a
	// request must have been sent for its response to refute the end: the nodes see the
	// end at different times, and later the endpoint may have started again under the
	// same name, which a node does not know while its list is old.
	aliveFrom  = 100 * time.Millisecond
	aliveUntil = time.Second
	// announcedAge is the age of a report up to which an endpoint that is listed as
	// leaving counts as having announced it. Later, the entry of an endpoint that has
	// crashed may have expired.
	announcedAge = 1500 * time.Millisecond
	// maxChecks bounds the endpoints that wait to be checked.
	maxChecks = 1024
	// checkTimeout bounds one check; an endpoint that does not respond to it may be cut
	// off, which is no crash.
	checkTimeout = 500 * time.Millisecond
	// checkWorkers is the number of concurrent checks.
	checkWorkers = 8
	// maxLoggedParts bounds the parts in a log line.
	maxLoggedParts = 16
	// suspectedRetryAfter is what a caller is told at least if its prompt is held back.
	suspectedRetryAfter = 100 * time.Millisecond
)

var (
	crashCount   = expvar.NewInt("endpoints-crashed")
	refusalCount = expvar.NewInt("prompts-refused-as-harmful")
	holdCount    = expvar.NewInt("prompts-held-as-suspected")
	inForce      = expvar.NewMap("harmful-patterns")
)

// New returns a quarantine whose fields are to be set by the caller.
func New() *Quarantine { return &Quarantine{checks: runner.Queue[string]{Limit: maxChecks}} }

// Check refuses a request that must not be sent to an endpoint.
func (q *Quarantine) Check(r carrier.Request) error {
	v := q.currentView()
	if len(v.patterns) == 0 && len(v.suspects) == 0 {
		return nil
	}
	parts := r.CrashParts()
	for key, p := range v.patterns {
		if p.Matches(parts) {
			refusalCount.Add(1)
			q.refusals.Put(key, q.Clock.Now())
			return coder.Refuse(coder.PromptHarmful, "prompts with %s have crashed several endpoints (pattern %s)", strings.Join(p, ", "), key)
		}
	}
	now := q.Clock.Now()
	for _, part := range parts {
		if wait := v.suspects[part].HoldUntil.Sub(now); wait > 0 {
			holdCount.Add(1)
			return coder.Refuse(coder.PromptSuspected, "prompts with %s may crash endpoints", part).WithRetryAfter(max(wait, suspectedRetryAfter))
		}
	}
	return nil
}

// currentView returns the view, assessed again if that is due.
func (q *Quarantine) currentView() view {
	if next := q.view.Get().next; !next.IsZero() && !q.Clock.Now().Before(next) {
		q.assess()
	}
	return q.view.Get()
}

// Suspects reports whether a request may crash an endpoint.
func (q *Quarantine) Suspects(r carrier.Request) bool { return len(q.suspected(r)) > 0 }

// suspected returns the suspects among the parts of a request.
func (q *Quarantine) suspected(r carrier.Request) []string {
	v := q.view.Get()
	if len(v.suspects) == 0 {
		return nil
	}
	var out []string
	for _, part := range r.CrashParts() {
		if v.suspects[part].LikelyHarmful() {
			out = append(out, part)
		}
	}
	return out
}

// Enter waits for the turn of a request with suspects, of which one at a time is sent.
// The turn ends when done is called, at the latest after turnTimeout. Enter fails if
// the request must not be sent any more.
func (q *Quarantine) Enter(ctx context.Context, r carrier.Request) (done func(), err error) {
	parts := q.suspected(r)
	if len(parts) == 0 {
		return func() {}, nil
	}
	done = q.turns.take(ctx, q.Clock, parts)
	if err := q.Check(r); err != nil {
		done()
		return nil, err
	}
	return done, nil
}

// MayRepeat reports whether a request that was there when an endpoint ended may be sent
// to another one: a part that had been suspected before may end that one, too.
func (q *Quarantine) MayRepeat(r carrier.Request) bool {
	// Read before the view, as a crash goes from the one to the other.
	unconfirmed := q.unconfirmed.Values()
	v := q.view.Get()
	for _, part := range r.CrashParts() {
		s := v.suspects[part]
		if s.Known && !s.LikelyHarmful() {
			continue
		}
		ends := s.Crashes
		for _, c := range unconfirmed {
			if c.Has(part) {
				ends++
			}
		}
		if ends > 1 {
			return false
		}
	}
	return true
}

// RecordBroken records that the connection of a request broke before the endpoint had
// begun to respond. Whether the endpoint has crashed is then found out.
func (q *Quarantine) RecordBroken(endpoint string, r carrier.Request) {
	parts := r.CrashParts()
	if len(parts) == 0 || q.leaving(endpoint) {
		return
	}
	now := q.Clock.Now()
	if c, ok := q.evidence.Get().Get(endpoint); ok && !c.Refuted {
		q.add(attributor.Crash{Endpoint: endpoint, EndedAt: now}.WithSuspects(parts...))
		return
	}
	first := false
	q.unconfirmed.Update(endpoint, func(c attributor.Crash, ok bool) (attributor.Crash, bool) {
		if first = !ok; first {
			c = attributor.Crash{Endpoint: endpoint, EndedAt: now}
		}
		return c.WithSuspects(parts...), true
	})
	if first && !q.checks.Add(endpoint) {
		q.unconfirmed.Delete(endpoint)
	}
}

// leaving reports whether an endpoint is unknown or has announced that it is leaving.
func (q *Quarantine) leaving(endpoint string) bool {
	e, ok := q.Endpoint(endpoint)
	return !ok || e.IsLeaving()
}

// RecordResponse records that an endpoint has responded to a request sent at a time.
func (q *Quarantine) RecordResponse(endpoint string, sentAt time.Time) {
	c, ok := q.evidence.Get().Get(endpoint)
	if after := sentAt.Sub(c.EndedAt); !ok || c.Refuted || after < aliveFrom || after > aliveUntil {
		return
	}
	q.Log.Info().Str("endpoint", endpoint).Msg("endpoint reported as crashed has responded")
	q.add(c.WithRefuted())
}

// RecordAnswered records that a request was answered completely, so that no part of
// its prompt crashes endpoints.
func (q *Quarantine) RecordAnswered(r carrier.Request) {
	parts := r.CrashParts()
	if len(parts) == 0 {
		return
	}
	q.answered.add(parts)
	v := q.view.Get()
	if len(v.patterns) == 0 && q.evidence.Get().Empty() {
		return
	}
	for _, part := range parts {
		if s := v.suspects[part]; s.Crashes > 0 {
			q.Log.Info().Str("request", r.ID).Str("part", part).Int("crashes", s.Crashes).Msg("suspected prompt part was answered")
		}
	}
	q.change(func(e attributor.Evidence) attributor.Evidence { return e.WithAnswered(parts) })
	for key, p := range v.patterns {
		if p.Matches(parts) {
			q.Log.Error().Str("request", r.ID).Str("pattern", key).Msg("a prompt with a quarantined pattern was answered")
			q.refuted.Put(key, true)
		}
	}
}

// Run checks endpoints until ctx is done.
func (q *Quarantine) Run(ctx context.Context) {
	runner.Pool[string]{Workers: checkWorkers, Source: &q.checks, Handle: q.checkEndpoint}.Run(ctx)
}

// checkEndpoint finds out whether an endpoint under which connections broke has
// crashed: then its address refuses connections.
func (q *Quarantine) checkEndpoint(ctx context.Context, endpoint string) {
	crashed := q.refusesConnections(ctx, endpoint) && !q.leaving(endpoint)
	if c, ok := q.unconfirmed.Get(endpoint); ok && crashed {
		crashCount.Add(1)
		q.Log.Warn().Str("endpoint", endpoint).Strs("parts", head(c.Suspects)).Int("suspects", len(c.Suspects)).Msg("endpoint crashed under requests")
		q.add(c)
	}
	var last attributor.Crash
	q.unconfirmed.Update(endpoint, func(c attributor.Crash, _ bool) (attributor.Crash, bool) {
		last = c
		return c, false
	})
	if crashed && last.Endpoint != "" {
		q.add(last)
	}
}

func (q *Quarantine) refusesConnections(ctx context.Context, endpoint string) bool {
	e, ok := q.Endpoint(endpoint)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	err := q.Connect(ctx, e.Address)
	if err != nil && !errors.Is(err, syscall.ECONNREFUSED) {
		q.Log.Info().Str("endpoint", endpoint).Err(err).Msg("cannot tell whether the endpoint has crashed")
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// head returns the first parts, for a log line.
func head(parts []string) []string { return parts[:min(len(parts), maxLoggedParts)] }

// add adds an account of a crash to the evidence.
func (q *Quarantine) add(c attributor.Crash) {
	c = q.withKnown(c)
	q.change(func(e attributor.Evidence) attributor.Evidence { return e.WithCrash(c) })
}

// withKnown returns a crash with the suspects that this node knows to have been
// answered before.
func (q *Quarantine) withKnown(c attributor.Crash) attributor.Crash {
	return c.WithKnown(q.answered.among(c.Suspects)...)
}

// change changes the evidence and assesses it if that says something new.
func (q *Quarantine) change(f func(attributor.Evidence) attributor.Evidence) {
	changed := false
	q.evidence.Update(func(e attributor.Evidence) (attributor.Evidence, bool) {
		after := f(e)
		changed = after.Revision() != e.Revision()
		return after, changed
	})
	if changed {
		q.assess()
	}
}
