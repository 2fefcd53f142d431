package dispatcher

import (
	"context"
	"slices"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/request/attempter"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
	"foxtailflow.example/foxtailflow/internal/request/claimer"
)

// recordWait bounds how long a caller whose request failed waits until that is
// recorded with its claim.
const recordWait = 500 * time.Millisecond

// replayedHeader marks a recorded answer.
const replayedHeader = "Foxtailflow-Replayed"

// claimed answers a request that must hold the claim of its idempotency key.
func (d *Dispatcher) claimed(job *Job, rule definer.Rule, limits definer.Limits) carrier.Result {
	r := job.request
	taken, err := d.Claims.Take(job.ctx, claimer.Ask{
		Account:        r.Account,
		IdempotencyKey: r.IdempotencyKey,
		Request:        r.ID,
		BodyHash:       claimer.BodyHash(r.Method, r.Target, r.Body.Bytes),
		Deadline:       r.Deadline,
		For:            limits.ClaimFor,
	})
	if err != nil {
		return carrier.Result{Err: err}
	}
	if taken.Replayed {
		return replay(job, taken.Answer)
	}
	rec := &recorder{reply: job.reply, limit: limits.ReplayLimit}
	// The claim took time, in which the key may have been withdrawn.
	var result carrier.Result
	if result.Err = d.recheck(job); result.Err == nil {
		result = d.run(job, rec, rule, attempter.Attempt{}.With(attempter.ClaimHeld{}))
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(job.ctx), recordWait)
	defer cancel()
	switch {
	case result.Err == nil:
		d.Claims.Finish(taken.Held, rec.answer)
		// The caller may have left an answer that the record now has whole.
		result.Err = rec.gone
	case coder.Of(result.Err).Outcome() == coder.NotRun:
		d.Claims.Release(ctx, taken.Held)
	default:
		d.Claims.Lose(ctx, taken.Held)
	}
	return result
}

// replay sends a recorded answer.
func replay(job *Job, a claimer.Answer) carrier.Result {
	result := carrier.Result{Begun: true, Status: a.Status, Replayed: true}
	header := make(carrier.Header, len(a.Header)+1)
	for name, values := range a.Header {
		header[name] = values
	}
	header[replayedHeader] = []string{"true"}
	if result.Err = job.reply.Begin(job.ctx, carrier.Head{Status: a.Status, Header: header}); result.Err == nil && len(a.Body) > 0 {
		result.Err = job.reply.Write(job.ctx, a.Body)
	}
	return result
}

// recorder passes an answer on and keeps it up to a limit.
//
// A caller that has left does not end the answer: its repeat gets it.
type recorder struct {
	reply  carrier.Reply
	limit  int64
	answer claimer.Answer
	gone   error
}

// Begin sends and keeps the status and header.
func (rec *recorder) Begin(ctx context.Context, h carrier.Head) error {
	rec.answer = claimer.Answer{Status: h.Status, Header: kept(h.Header), Kept: true}
	rec.gone = rec.reply.Begin(ctx, h)
	return nil
}

// Write sends and keeps a piece of the answer.
func (rec *recorder) Write(ctx context.Context, p []byte) error {
	if rec.answer.Kept {
		rec.answer.Body = slices.Concat(rec.answer.Body, p)
	}
	if int64(len(rec.answer.Body)) > rec.limit {
		rec.answer.Kept, rec.answer.Body = false, nil
	}
	if rec.gone == nil {
		rec.gone = rec.reply.Write(ctx, p)
	}
	return nil
}

// headersNotKept belong to one connection or one answer.
var headersNotKept = []string{"Connection", "Keep-Alive", "Transfer-Encoding", "Date", "Foxtailflow-Request-Id"}

// kept returns the header of an answer as it is recorded.
func kept(h carrier.Header) map[string][]string {
	m := make(map[string][]string, len(h))
	for name, values := range h {
		if !slices.Contains(headersNotKept, name) {
			m[name] = slices.Clone(values)
		}
	}
	return m
}
