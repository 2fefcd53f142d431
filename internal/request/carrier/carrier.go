// Package carrier holds a request on its way to an endpoint and the way back.
//
// A Request is what a front end has understood of a caller's message. It names
// no protocol: any front end that can fill one and offer a Reply can use the
// code behind it. A Reply takes the answer piece by piece.
package carrier

import (
	"context"
	"io"
	"time"

	"foxtailflow.example/foxtailflow/internal/config/definer"
)

// Header is a set of named values; names are in canonical form.
type Header map[string][]string

// Get returns the first value of a canonical name, or "".
func (h Header) Get(name string) string {
	if vs := h[name]; len(vs) > 0 {
		return vs[0]
	}
	return ""
}

// Body is the content of a request.
//
// Bytes holds it whole; or else Stream yields it once, and then the request
// cannot be sent a second time.
type Body struct {
	Bytes  []byte
	Stream io.Reader
	// Length is the number of bytes, or -1 where a stream's is not known.
	Length int64
}

// Whole returns a body of bytes.
func Whole(b []byte) Body {
	return Body{Bytes: b, Length: int64(len(b))}
}

// Repeatable reports whether the body can be sent again.
func (b Body) Repeatable() bool { return b.Stream == nil }

// Request is one request of a caller.
//
// It is an immutable value; the With methods return changed copies.
type Request struct {
	ID      string
	Account string
	KeyID   string
	Route   definer.Route
	// ConfigVersion is the configuration by which the request was accepted.
	ConfigVersion uint64
	Method        string
	// Target is the path with its query.
	Target string
	Header Header
	Body   Body
	// Arrived is when the request came, Deadline when its answer must be done.
	Arrived  time.Time
	Deadline time.Time
	// IdempotencyKey names the operation of a request that must run once.
	IdempotencyKey string
	// Stream asks for the answer in events.
	Stream bool
	// HideUsage drops the usage event that the caller has not asked for.
	HideUsage bool
	// Prompt is the raw text by which prompts with equal beginnings are found.
	Prompt []byte
	// PromptTokens is an estimate; MaxTokens is the caller's bound, 0 if none.
	PromptTokens int
	MaxTokens    int
}

// WithBody returns a copy with another body.
func (r Request) WithBody(b Body) Request {
	r.Body = b
	return r
}

// Work estimates the tokens that the request costs an engine.
func (r Request) Work() int { return r.PromptTokens + r.MaxTokens }

// MayRepeat reports whether the request may be sent a second time.
func (r Request) MayRepeat() bool {
	return r.Route.MayRepeat(r.Method) && r.Body.Repeatable()
}

// Head is the beginning of an answer.
type Head struct {
	Status int
	Header Header
}

// Reply takes the answer to one request.
//
// Begin is called at most once and before Write. A Reply whose answer was
// begun and ends with an error must make the caller see that it is not whole.
type Reply interface {
	// Begin sends the status and header.
	Begin(ctx context.Context, h Head) error
	// Write sends a piece of the answer at once.
	Write(ctx context.Context, p []byte) error
}

// NeedsClaim reports whether the request must hold the claim of its
// idempotency key before it is sent.
func (r Request) NeedsClaim() bool {
	return r.IdempotencyKey != "" && !r.Route.MayRepeat(r.Method)
}

// Usage is what an endpoint says an answer has used.
type Usage struct {
	// Reported says that the endpoint has given the figures.
	Reported     bool
	PromptTokens int64
	OutputTokens int64
	CachedTokens int64
}

// Result is the end of a request.
type Result struct {
	// Begun says whether any part of the answer went to the caller.
	Begun bool
	// Status is the status of the answer, 0 if none was begun.
	Status int
	// Whole says that the endpoint gave its whole answer, also when the caller
	// did not stay for it.
	Whole bool
	// Replayed says that the answer is the recorded one of a former request.
	Replayed bool
	// Endpoint is where the answer came from.
	Endpoint string
	Usage    Usage
	// Err is nil if the caller was sent the whole answer.
	Err error
}
