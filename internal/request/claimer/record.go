package claimer

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/coder"
)

// Phase is the progress of the request that holds a claim.
type Phase string

// The phases of a claim. A claim whose request did not run is deleted.
const (
	Running   Phase = "running"
	Responded Phase = "answered"
	// OutcomeUnknown means that the request may have run and has no complete
	// response.
	OutcomeUnknown Phase = "unknown"
)

// Response is a response as recorded for repeats of its request.
type Response struct {
	Status int
	Header map[string][]string
	Body   []byte
	// Recorded is false if the response exceeded the replay limit; then only the
	// outcome is known.
	Recorded bool
}

// Record is the content of a claim's row.
//
// It is an immutable value; the With methods return changed copies.
type Record struct {
	// Node and Request identify the request that holds the claim. Request
	// identifiers are unique, so a row that names a request was written by that
	// request and no other.
	Node    string
	Request string
	// BodyHash is the hash of the request, by which a repeat is recognised.
	BodyHash string
	Phase    Phase
	// Deadline is when the holder of the claim has ended in any case, by its
	// own clock.
	Deadline time.Time
	Expires  time.Time
	Response Response
}

// WithResponse returns a copy with the complete response.
func (r Record) WithResponse(resp Response) Record {
	r.Phase, r.Response = Responded, resp
	return r
}

// WithoutBody returns a copy that records the end of the request but not the
// body of its response.
func (r Record) WithoutBody() Record {
	r.Response.Body, r.Response.Recorded = nil, false
	return r
}

// WithOutcomeUnknown returns a copy that records an unknown outcome.
func (r Record) WithOutcomeUnknown() Record {
	r.Phase = OutcomeUnknown
	return r
}

// verdict is what an existing claim means for a request with the same key.
type verdict int

const (
	// expired means that the claim is no longer valid.
	expired verdict = iota
	replay
	bodyMismatch
	inProgress
	outcomeLost
	notStored
)

// clockMargin allows for the difference between the clocks of two nodes. It
// affects only the choice between "in progress" and "unknown", both of which
// forbid a run.
const clockMargin = 5 * time.Second

// verdict returns what the claim means for a request with the given body.
func (r Record) verdict(bodyHash string, now time.Time) verdict {
	switch {
	case now.After(r.Expires):
		return expired
	case r.BodyHash != bodyHash:
		return bodyMismatch
	case r.Phase == Responded && r.Response.Recorded:
		return replay
	case r.Phase == Responded:
		return notStored
	case r.Phase == Running && now.Before(r.Deadline.Add(clockMargin)):
		return inProgress
	}
	return outcomeLost
}

// refusal returns the error for a verdict other than expired and replay.
func (v verdict) refusal() error {
	switch v {
	case bodyMismatch:
		return coder.Refuse(coder.ClaimOtherBody, "the idempotency key was used for another request")
	case inProgress:
		return coder.New(coder.ClaimInProgress, "the request with this idempotency key is in progress").WithRetryAfter(retryAfter)
	case notStored:
		return coder.New(coder.ClaimAnswerNotKept, "the request with this idempotency key has ended; its response was too large to be recorded")
	}
	return coder.New(coder.ClaimOutcomeLost, "it is unknown whether the request with this idempotency key ran")
}

// Key returns the key of the row for a client account and idempotency key.
func Key(account, idempotencyKey string) string {
	sum := sha256.Sum256([]byte(idempotencyKey))
	return rowPrefix + account + "/" + hex.EncodeToString(sum[:])
}

const rowPrefix = "claim/"

// BodyHash returns the hash by which repeats are distinguished from other
// requests.
func BodyHash(method, target string, body []byte) string {
	h := sha256.New()
	_, _ = h.Write([]byte(method + "\n" + target + "\n"))
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}
