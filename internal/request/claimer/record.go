package claimer

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/coder"
)

// Phase is how far the request that holds a claim has come.
type Phase string

// The phases of a claim. A claim whose request did not run is deleted.
const (
	Running  Phase = "running"
	Answered Phase = "answered"
	// Lost means that the request may have run and has no whole answer.
	Lost Phase = "unknown"
)

// Answer is the answer of a request as it is kept for its repeats.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
	// Kept is false if the answer was larger than the replay limit; then only
	// the outcome is known.
	Kept bool
}

// Record is the content of a claim's row.
//
// It is an immutable value; the With methods return changed copies.
type Record struct {
	// Node and Request name the holder; the request identifier is unique, so a
	// row that names it was written by that request and no other.
	Node    string
	Request string
	// BodyHash is the hash of what was asked.
	BodyHash string
	Phase    Phase
	// Deadline is when the holder has ended in any case, by its own clock.
	Deadline time.Time
	Expires  time.Time
	Answer   Answer
}

// WithAnswer returns a copy with the whole answer.
func (r Record) WithAnswer(a Answer) Record {
	r.Phase, r.Answer = Answered, a
	return r
}

// WithoutAnswer returns a copy of which only the end is known.
func (r Record) WithoutAnswer() Record {
	r.Answer.Body, r.Answer.Kept = nil, false
	return r
}

// WithLost returns a copy that says that the outcome is unknown.
func (r Record) WithLost() Record {
	r.Phase = Lost
	return r
}

// verdict is what a claim that exists means for a request that asks for it.
type verdict int

const (
	// free means that the claim no longer counts.
	free verdict = iota
	replay
	otherBody
	inProgress
	outcomeLost
	notKept
)

// clockMargin covers the difference between the clocks of two nodes. It only
// decides between "in progress" and "unknown", which both forbid a run.
const clockMargin = 5 * time.Second

// judge says what the claim means for a request with the given body.
func (r Record) judge(bodyHash string, now time.Time) verdict {
	switch {
	case now.After(r.Expires):
		return free
	case r.BodyHash != bodyHash:
		return otherBody
	case r.Phase == Answered && r.Answer.Kept:
		return replay
	case r.Phase == Answered:
		return notKept
	case r.Phase == Running && now.Before(r.Deadline.Add(clockMargin)):
		return inProgress
	}
	return outcomeLost
}

// refusal returns the error of a verdict that is neither free nor replay.
func (v verdict) refusal() error {
	switch v {
	case otherBody:
		return coder.Refuse(coder.ClaimOtherBody, "the idempotency key was used for another request")
	case inProgress:
		return coder.New(coder.ClaimInProgress, "the request with this idempotency key is in progress").WithRetryAfter(retryAfter)
	case notKept:
		return coder.New(coder.ClaimAnswerNotKept, "the request with this idempotency key was answered; its answer was too large to be kept")
	}
	return coder.New(coder.ClaimOutcomeLost, "it is not known whether the request with this idempotency key ran")
}

// Key returns the key of the row for a client account and idempotency key.
func Key(account, idempotencyKey string) string {
	sum := sha256.Sum256([]byte(idempotencyKey))
	return rowPrefix + account + "/" + hex.EncodeToString(sum[:])
}

const rowPrefix = "claim/"

// BodyHash returns the hash by which repeats are told from other requests.
func BodyHash(method, target string, body []byte) string {
	h := sha256.New()
	_, _ = h.Write([]byte(method + "\n" + target + "\n"))
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}
