package picker

import "time"

// Plan is where the work of a request goes.
type Plan struct {
	// Run is the endpoint that answers.
	Run Choice
	// Read is the endpoint that reads the prompt for it; where it is not OK, the
	// one that answers does so itself.
	Read Choice
	// Fetch is the address of an endpoint from whose cache the one that reads
	// the prompt can copy its beginning; empty means none.
	Fetch string
	// Wait is the time until an endpoint may take the request, where none can
	// now; 0 means that none is expected to.
	Wait time.Duration
}

// Sign is what an attempt tells of an endpoint.
type Sign int

// The signs of an attempt.
const (
	// SignNone tells nothing: the caller left, or a kept connection had ended.
	SignNone Sign = iota
	// SignGood is an answer.
	SignGood
	// SignFull is a refusal for lack of room.
	SignFull
	// SignFailed is a failure of the endpoint.
	SignFailed
	// SignReplaced says that another endpoint has the address.
	SignReplaced
)
