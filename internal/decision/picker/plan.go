package picker

import "time"

// Plan assigns the work of a request to endpoints.
type Plan struct {
	// Run is the endpoint that makes the response.
	Run Choice
	// Prefill is the endpoint that prefills the prompt; if it is not OK, Run
	// prefills the prompt itself.
	Prefill Choice
	// FetchFrom is the address of an endpoint from whose cache the prefilling
	// one can copy a prefix of the prompt; empty means none.
	FetchFrom string
	// RetryIn is the time until an endpoint may take the request, if none can take
	// it now; 0 means that none is expected to.
	RetryIn time.Duration
	// Overloaded means that the request is refused, as the endpoints have more than they can
	// serve in time. Its caller may return after RetryIn.
	Overloaded bool
	// PromptTokens is the size of the prompt, PrefillRate the number of tokens per
	// millisecond that an engine is assumed to prefill.
	PromptTokens int
	PrefillRate  float64
}

// AttemptResult is what an attempt shows about its endpoint.
type AttemptResult int

// The results of an attempt.
const (
	// ResultNone shows nothing: the caller left, or a kept-alive connection had
	// been closed.
	ResultNone AttemptResult = iota
	// ResultResponse is a response.
	ResultResponse
	// ResultRefused is a refusal for lack of capacity.
	ResultRefused
	// ResultFailed is a failure of the endpoint.
	ResultFailed
	// ResultReplaced means that another endpoint has the address.
	ResultReplaced
)
