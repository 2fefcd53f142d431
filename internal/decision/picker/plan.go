package picker

import "time"

// Plan assigns the work of a request to endpoints.
type Plan struct {
	// Run is the endpoint that makes the response.
	Run Choice
	// Read is the endpoint that prefills the prompt; if it is not OK, Run
	// prefills the prompt itself.
	Read Choice
	// Fetch is the address of an endpoint from whose cache the prefilling one can
	// copy a prefix of the prompt; empty means none.
	Fetch string
	// Wait is the time until an endpoint may take the request, if none can take
	// it now; 0 means that none is expected to.
	Wait time.Duration
}

// Sign is what the result of an attempt shows about its endpoint.
type Sign int

// The signs of an attempt.
const (
	// SignNone shows nothing: the caller left, or a kept-alive connection had
	// been closed.
	SignNone Sign = iota
	// SignGood is a response.
	SignGood
	// SignFull is a refusal for lack of capacity.
	SignFull
	// SignFailed is a failure of the endpoint.
	SignFailed
	// SignReplaced means that another endpoint has the address.
	SignReplaced
)
