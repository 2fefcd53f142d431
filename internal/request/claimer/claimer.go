// Package claimer makes a request with an idempotency key run at most once.
//
// Such a request first claims its key: it inserts one row for the client
// account and the key, provided that the row is absent. Only the request that
// is known to have written the row may run. A repeat finds the row and gets the
// recorded response, or an error that the first request is in progress or that
// its outcome is unknown. One worker writes the rows in batches. A claim whose
// commit may or may not have taken effect never leads to a run: the request is
// refused as not run, and its row is removed if it appears later.
package claimer

import (
	"context"
	"expvar"
	"time"

	"github.com/rs/zerolog"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/keeper"
	"foxtailflow.example/foxtailflow/internal/base/runner"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

// Claimer takes and ends the claims of one node; create it with New.
type Claimer struct {
	Clock timekeeper.Clock
	Log   zerolog.Logger
	Table transactor.Table
	Node  string

	queue *opQueue
	// unsettled holds the rows still to be written, by request.
	unsettled keeper.Table[string, pendingWrite]
	// cursor is the key after which the next purge continues.
	cursor keeper.Cell[string]
}

// New returns a claimer; it works only while Run is running.
func New(clock timekeeper.Clock, log zerolog.Logger, table transactor.Table, node string) *Claimer {
	return &Claimer{
		Clock:     clock,
		Log:       log,
		Table:     table,
		Node:      node,
		queue:     &opQueue{clock: clock},
		unsettled: keeper.Table[string, pendingWrite]{Rank: keeper.RankClaims},
		cursor:    keeper.Cell[string]{Rank: keeper.RankClaims},
	}
}

// Run commits batches until ctx is done.
func (c *Claimer) Run(ctx context.Context) {
	runner.Pool[[]op]{Workers: 1, Source: c.queue, Handle: c.commit}.Run(ctx)
}

// retryAfter is advised if a repeat soon afterwards may succeed.
const retryAfter = time.Second

// ClaimParams holds the parameters of a claim.
type ClaimParams struct {
	Account        string
	IdempotencyKey string
	Request        string
	BodyHash       string
	// Deadline is when the request has ended in any case.
	Deadline time.Time
	// ValidFor is how long the claim is valid.
	ValidFor time.Duration
}

// HeldClaim is a claim that is known to be held.
type HeldClaim struct {
	key     string
	version transactor.Version
	record  Record
}

// TakeResult is a claim, or the recorded response of the request that holds it.
type TakeResult struct {
	Held HeldClaim
	// Replayed says that Response is the response to an earlier request.
	Replayed bool
	Response Response
}

// pendingClaims is the number of requests whose claims are not yet decided.
var pendingClaims = expvar.NewInt("claims-waiting")

// maxTakeTries bounds the attempts to replace an expired or abandoned row.
const maxTakeTries = 3

// Take claims the key for a request. The outcome of an error says whether
// another request with the key may have run.
func (c *Claimer) Take(ctx context.Context, a ClaimParams) (TakeResult, error) {
	pendingClaims.Add(1)
	defer pendingClaims.Add(-1)
	now := c.Clock.Now()
	record := Record{
		Node:     c.Node,
		Request:  a.Request,
		BodyHash: a.BodyHash,
		Phase:    Running,
		Deadline: a.Deadline,
		Expires:  now.Add(a.ValidFor),
	}
	o := op{key: Key(a.Account, a.IdempotencyKey), value: encodeRecord(record)}
	for range maxTakeTries {
		r := c.execute(ctx, o)
		switch {
		case r.err == nil:
			return TakeResult{Held: HeldClaim{key: o.key, version: r.version, record: record}}, nil
		case !coder.Is(r.err, coder.PlatformConflict):
			if coder.FromError(r.err).Outcome() != coder.NotRun {
				c.abandon(o.key, a.Request)
			}
			return TakeResult{}, unavailable(r.err)
		}
		if r.row.Version > 0 {
			existing, err := decodeRecord(r.row.Value)
			if err != nil {
				return TakeResult{}, coder.Wrap(coder.ClaimOutcomeLost, err, "the claim cannot be read")
			}
			v := existing.verdict(a.BodyHash, now)
			if v == replay {
				return TakeResult{Replayed: true, Response: existing.Response}, nil
			}
			if v != expired && !c.abandoned(existing.Request) {
				return TakeResult{}, v.refusal()
			}
		}
		o.version = r.row.Version
	}
	return TakeResult{}, unavailable(nil)
}

// unavailable returns the refusal of a request whose claim is not known to be
// held.
func unavailable(cause error) error {
	return coder.Refuse(coder.ClaimUnavailable, "the idempotency key cannot be claimed at present").
		WithCause(cause).WithRetryAfter(retryAfter)
}

// execute queues an operation and returns its result once it is committed or
// ctx is done.
func (c *Claimer) execute(ctx context.Context, o op) opResult {
	results := make(chan opResult, 1)
	o.done = func(r opResult) { results <- r }
	if !c.queue.add(o) {
		return opResult{err: coder.Refuse(coder.ClaimUnavailable, "too many claims are queued")}
	}
	select {
	case r := <-results:
		return r
	case <-ctx.Done():
		return opResult{err: coder.Wrap(coder.PlatformUnsure, ctx.Err(), "the deadline passed before the claim was committed")}
	}
}

// RecordResponse records the complete response of the request that holds the claim.
//
// It does not block. Until the record is written, repeats are refused as in
// progress.
func (c *Claimer) RecordResponse(h HeldClaim, resp Response) {
	c.record(h, h.record.WithResponse(resp))
}

// RecordUnknown records that the request may have run and has no complete
// response. It blocks until that was attempted or ctx is done, so that a repeat
// gets this outcome instead of an advice to retry.
func (c *Claimer) RecordUnknown(ctx context.Context, h HeldClaim) {
	select {
	case <-c.record(h, h.record.WithOutcomeUnknown()):
	case <-ctx.Done():
	}
}

// record writes the end of a request and closes the returned channel once that
// was attempted.
func (c *Claimer) record(h HeldClaim, r Record) <-chan struct{} {
	if c.unsettled.Len() > maxUnsettledBodies {
		r = r.WithoutBody()
	}
	value := encodeRecord(r)
	c.addUnsettled(h.key, h.record.Request, value)
	tried := make(chan struct{})
	done := func(res opResult) {
		c.recordAttempted(h.record.Request, res)
		close(tried)
	}
	if !c.queue.add(op{key: h.key, version: h.version, value: value, done: done}) {
		done(opResult{err: coder.New(coder.PlatformUnsure, "too many claims are queued")})
	}
	return tried
}

// Release gives up the claim of a request that is known not to have run, so
// that a repeat may run. It blocks until that is committed, because the caller
// may repeat the request as soon as it has the response.
func (c *Claimer) Release(ctx context.Context, h HeldClaim) {
	if r := c.execute(ctx, op{key: h.key, version: h.version}); r.err != nil {
		c.abandon(h.key, h.record.Request)
	}
}
