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

// recordTimeout bounds how long a caller whose request failed is kept until
// that is recorded in its claim.
const recordTimeout = 500 * time.Millisecond

// replayedHeader marks a replayed response.
const replayedHeader = "Foxtailflow-Replayed"

// runClaimed serves a request that must hold the claim of its idempotency key.
func (d *Dispatcher) runClaimed(job *Job, rule definer.Rule, limits definer.Limits) carrier.Result {
	r := job.request
	taken, err := d.Claims.Take(job.ctx, claimer.ClaimParams{
		Account:        r.Account,
		IdempotencyKey: r.IdempotencyKey,
		Request:        r.ID,
		BodyHash:       claimer.BodyHash(r.Method, r.Target, r.Body.Bytes),
		Deadline:       r.Deadline,
		ValidFor:       limits.ClaimTTL,
	})
	if err != nil {
		return carrier.Result{Err: err}
	}
	if taken.Replayed {
		return replay(job, taken.Response)
	}
	rec := &responseRecorder{writer: job.writer, limit: limits.ReplayLimit}
	// The API key may have been withdrawn while the claim was taken.
	var result carrier.Result
	if result.Err = d.recheck(job); result.Err == nil {
		result = d.run(job, rec, rule, attempter.Attempt{}.With(attempter.ClaimHeld{}))
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(job.ctx), recordTimeout)
	defer cancel()
	switch {
	case result.Err == nil:
		d.Claims.RecordResponse(taken.Held, rec.response)
		// The caller may have disconnected although the response is recorded
		// completely.
		result.Err = rec.callerErr
	case coder.FromError(result.Err).Outcome() == coder.NotRun:
		d.Claims.Release(ctx, taken.Held)
	default:
		d.Claims.RecordUnknown(ctx, taken.Held)
	}
	return result
}

// replay sends a recorded response.
func replay(job *Job, resp claimer.Response) carrier.Result {
	result := carrier.Result{ResponseBegun: true, Status: resp.Status, Replayed: true}
	header := make(carrier.Header, len(resp.Header)+1)
	for name, values := range resp.Header {
		header[name] = values
	}
	header[replayedHeader] = []string{"true"}
	if result.Err = job.writer.Begin(job.ctx, carrier.ResponseHead{Status: resp.Status, Header: header}); result.Err == nil && len(resp.Body) > 0 {
		result.Err = job.writer.Write(job.ctx, resp.Body)
	}
	return result
}

// responseRecorder passes a response on and records it up to a limit.
//
// It does not fail when the caller disconnects, so that the response is
// recorded for a repeat.
type responseRecorder struct {
	writer    carrier.ResponseWriter
	limit     int64
	response  claimer.Response
	callerErr error
}

// Begin sends and records the status and header.
func (rec *responseRecorder) Begin(ctx context.Context, h carrier.ResponseHead) error {
	rec.response = claimer.Response{Status: h.Status, Header: recordedHeader(h.Header), Recorded: true}
	rec.callerErr = rec.writer.Begin(ctx, h)
	return nil
}

// Write sends and records a chunk of the response.
func (rec *responseRecorder) Write(ctx context.Context, p []byte) error {
	if rec.response.Recorded {
		rec.response.Body = slices.Concat(rec.response.Body, p)
	}
	if int64(len(rec.response.Body)) > rec.limit {
		rec.response.Recorded, rec.response.Body = false, nil
	}
	if rec.callerErr == nil {
		rec.callerErr = rec.writer.Write(ctx, p)
	}
	return nil
}

// unrecordedHeaders belong to one connection or one response.
var unrecordedHeaders = []string{"Connection", "Keep-Alive", "Transfer-Encoding", "Date", "Foxtailflow-Request-Id"}

// recordedHeader returns the header of a response as it is recorded.
func recordedHeader(h carrier.Header) map[string][]string {
	m := make(map[string][]string, len(h))
	for name, values := range h {
		if !slices.Contains(unrecordedHeaders, name) {
			m[name] = slices.Clone(values)
		}
	}
	return m
}
