// Package claimer lets a request that must not run twice run once.
//
// A request with an idempotency key first claims it: one row for each client
// account and key, inserted if it is absent. Only the request that is known to
// have written the row may run. A repeat finds the row and gets the recorded
// answer, or is told that the first is in progress or that its outcome is
// unknown. The rows are written in batches by one worker. A claim whose commit
// may or may not have taken effect never leads to a run: the request is
// refused as not run, and the row, should it turn up, is removed.
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

// Claimer takes and ends the claims of one node; make it with New.
type Claimer struct {
	Clock timekeeper.Clock
	Log   zerolog.Logger
	Table transactor.Table
	Node  string

	intake *intake
	// unsettled holds, by request, what is still to be written.
	unsettled keeper.Table[string, unsettled]
	// cursor is the key after which the next purge goes on.
	cursor keeper.Cell[string]
}

// New returns a claimer; Run must run for it to work.
func New(clock timekeeper.Clock, log zerolog.Logger, table transactor.Table, node string) *Claimer {
	return &Claimer{
		Clock:     clock,
		Log:       log,
		Table:     table,
		Node:      node,
		intake:    &intake{clock: clock},
		unsettled: keeper.Table[string, unsettled]{Rank: keeper.RankClaims},
		cursor:    keeper.Cell[string]{Rank: keeper.RankClaims},
	}
}

// Run commits batches until ctx is done.
func (c *Claimer) Run(ctx context.Context) {
	runner.Pool[[]op]{Workers: 1, Source: c.intake, Handle: c.commit}.Run(ctx)
}

// retryAfter is advised where a repeat soon after may succeed.
const retryAfter = time.Second

// Ask asks for a claim.
type Ask struct {
	Account        string
	IdempotencyKey string
	Request        string
	BodyHash       string
	// Deadline is when the request has ended in any case.
	Deadline time.Time
	// For is how long the claim counts.
	For time.Duration
}

// Held is a claim that is known to be held.
type Held struct {
	key     string
	version uint64
	record  Record
}

// Taken is a claim, or the recorded answer of the request that has it.
type Taken struct {
	Held Held
	// Replayed says that Answer is what a former request was answered.
	Replayed bool
	Answer   Answer
}

// waiting is the number of requests that wait for a claim.
var waiting = expvar.NewInt("claims-waiting")

// takeTries bounds the attempts to replace a row that no longer counts.
const takeTries = 3

// Take claims the key for a request; an error says whether another request
// with the key may have run.
func (c *Claimer) Take(ctx context.Context, a Ask) (Taken, error) {
	waiting.Add(1)
	defer waiting.Add(-1)
	now := c.Clock.Now()
	record := Record{
		Node:     c.Node,
		Request:  a.Request,
		BodyHash: a.BodyHash,
		Phase:    Running,
		Deadline: a.Deadline,
		Expires:  now.Add(a.For),
	}
	o := op{key: Key(a.Account, a.IdempotencyKey), value: encodeRecord(record)}
	for range takeTries {
		r := c.do(ctx, o)
		switch {
		case r.err == nil:
			return Taken{Held: Held{key: o.key, version: r.version, record: record}}, nil
		case !coder.Is(r.err, coder.PlatformConflict):
			if coder.Of(r.err).Outcome() != coder.NotRun {
				c.abandon(o.key, a.Request)
			}
			return Taken{}, unavailable(r.err)
		}
		if r.row.Version > 0 {
			present, err := decodeRecord(r.row.Value)
			if err != nil {
				return Taken{}, coder.Wrap(coder.ClaimOutcomeLost, err, "the claim cannot be read")
			}
			v := present.judge(a.BodyHash, now)
			if v == replay {
				return Taken{Replayed: true, Answer: present.Answer}, nil
			}
			if v != free && !c.abandoned(present.Request) {
				return Taken{}, v.refusal()
			}
		}
		o.version = r.row.Version
	}
	return Taken{}, unavailable(nil)
}

// unavailable refuses a request whose claim is not known to be held.
func unavailable(cause error) error {
	return coder.Refuse(coder.ClaimUnavailable, "the idempotency key cannot be claimed at present").
		WithCause(cause).WithRetryAfter(retryAfter)
}

// do has an operation committed and waits for its result, or for ctx.
func (c *Claimer) do(ctx context.Context, o op) opResult {
	results := make(chan opResult, 1)
	o.done = func(r opResult) { results <- r }
	if !c.intake.add(o) {
		return opResult{err: coder.Refuse(coder.ClaimUnavailable, "too many claims wait")}
	}
	select {
	case r := <-results:
		return r
	case <-ctx.Done():
		return opResult{err: coder.Wrap(coder.PlatformUnsure, ctx.Err(), "the deadline passed before the claim was committed")}
	}
}

// Finish records the whole answer of the request that holds the claim.
//
// It does not wait: until the record is written, a repeat is told that the
// request is in progress.
func (c *Claimer) Finish(h Held, a Answer) {
	c.record(h, h.record.WithAnswer(a))
}

// Lose records that the request may have run and has no whole answer. It waits
// for a while, so that a repeat is told that, and not to try again later.
func (c *Claimer) Lose(ctx context.Context, h Held) {
	select {
	case <-c.record(h, h.record.WithLost()):
	case <-ctx.Done():
	}
}

// record writes the end of a request and closes the channel once that was tried.
func (c *Claimer) record(h Held, r Record) <-chan struct{} {
	if c.unsettled.Len() > maxUnsettledBodies {
		r = r.WithoutAnswer()
	}
	value := encodeRecord(r)
	c.settle(h.key, h.record.Request, value)
	tried := make(chan struct{})
	done := func(res opResult) {
		c.recorded(h.record.Request, res)
		close(tried)
	}
	if !c.intake.add(op{key: h.key, version: h.version, value: value, done: done}) {
		done(opResult{err: coder.New(coder.PlatformUnsure, "too many claims wait")})
	}
	return tried
}

// Release gives the claim of a request back that truly did not run, so that a
// repeat may run. It waits, for the caller may repeat as soon as it is told.
func (c *Claimer) Release(ctx context.Context, h Held) {
	if r := c.do(ctx, op{key: h.key, version: h.version}); r.err != nil {
		c.abandon(h.key, h.record.Request)
	}
}
