// Package carrier holds a request on its way to an endpoint and the response on
// its way back.
//
// A Request is what a front end has decoded from a caller's message. It depends
// on no protocol: any front end that can fill one and offer a ResponseWriter
// can use the packages behind it. A ResponseWriter takes the response chunk by
// chunk.
package carrier

import (
	"context"
	"io"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/decision/indexer"
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

// fieldOverhead is the length of ": " and the line end of a header field, in
// bytes.
const fieldOverhead = 4

// Size returns the length of the header as HTTP/1.1 sends it, in bytes.
func (h Header) Size() int {
	size := 0
	for name, values := range h {
		for _, v := range values {
			size += len(name) + len(v) + fieldOverhead
		}
	}
	return size
}

// Body is the content of a request.
//
// Bytes holds the complete content. If Stream is set instead, it yields the
// content once, and the request cannot be sent again.
type Body struct {
	Bytes  []byte
	Stream io.Reader
	// Length is the number of bytes, or -1 for a stream of unknown length.
	Length int64
}

// BytesBody returns a body that consists of b.
func BytesBody(b []byte) Body {
	return Body{Bytes: b, Length: int64(len(b))}
}

// Repeatable reports whether the body can be sent again.
func (b Body) Repeatable() bool { return b.Stream == nil }

// Caller tells whether a caller still waits for its response.
type Caller interface {
	// ClosedAt returns when the caller closed its connection, or false if the connection is
	// open or that is not known.
	ClosedAt() (time.Time, bool)
}

// Request is one request of a caller.
//
// It is an immutable value; the With methods return changed copies.
type Request struct {
	ID      string
	Account string
	KeyID   string
	Route   definer.Route
	// ConfigVersion is the version of the configuration under which the request
	// was accepted.
	ConfigVersion uint64
	Method        string
	// Host is the host named by the caller.
	Host string
	// Target is the path with its query.
	Target string
	Header Header
	Body   Body
	// Caller may be nil: then only the context tells that the caller has disconnected.
	Caller Caller
	// Arrived is when the request arrived, Deadline when its response must be
	// complete.
	Arrived  time.Time
	Deadline time.Time
	// IdempotencyKey identifies the operation of a request that must run only
	// once.
	IdempotencyKey string
	// Stream asks for the response as an event stream.
	Stream bool
	// HideUsage drops the usage event, which the caller has not asked for.
	HideUsage bool
	// Priority orders requests; a higher one goes first.
	Priority int
	// LastEvent is the number of the last stream event that the caller already has, 0 for
	// none.
	LastEvent uint64
	// Prompt is the raw text by which prompts with equal prefixes are found.
	Prompt []byte
	// PromptParts are the parts of the prompt in order, if the caller names them
	// instead of sending the text.
	PromptParts []indexer.Segment
	// PromptTokens is an estimate; MaxTokens is the bound set by the caller, 0
	// if none.
	PromptTokens int
	MaxTokens    int
}

// WithBody returns a copy with another body.
func (r Request) WithBody(b Body) Request {
	r.Body = b
	return r
}

// CallerClosedAt returns when the caller closed its connection; false if it has not, as far
// as that is known.
func (r Request) CallerClosedAt() (time.Time, bool) {
	if r.Caller == nil {
		return time.Time{}, false
	}
	return r.Caller.ClosedAt()
}

// WithDeadline returns a copy with another deadline.
func (r Request) WithDeadline(at time.Time) Request {
	r.Deadline = at
	return r
}

// WithRoute returns a copy with another route.
func (r Request) WithRoute(route definer.Route) Request {
	r.Route = route
	return r
}

// SharedParts returns the names of the prompt parts that other requests may share.
//
// Of the parts that the caller names, these are all but the last. Of a prompt that is
// text, they are its prefixes, and the whole of it, by their hashes.
func (r Request) SharedParts() []string {
	if len(r.PromptParts) == 0 && len(r.Prompt) > 0 {
		return textParts(r.Prompt)
	}
	if len(r.PromptParts) < 2 {
		return nil
	}
	shared := make([]string, len(r.PromptParts)-1)
	for i := range shared {
		shared[i] = r.PromptParts[i].Name
	}
	return shared
}

// OwnPart returns the name of the last prompt part, which belongs to the request itself
// or to its session; "" if the caller names no parts.
func (r Request) OwnPart() string {
	if len(r.PromptParts) == 0 {
		return ""
	}
	return r.PromptParts[len(r.PromptParts)-1].Name
}

// CrashParts returns the names of what a request has in common with others under which
// an endpoint may crash, too: the parts of its prompt, and the request as such, whatever
// its identifier, by a hash.
func (r Request) CrashParts() []string {
	parts := r.SharedParts()
	if own := r.OwnPart(); own != "" {
		parts = append(parts, own)
	}
	if r.Body.Repeatable() {
		parts = append(parts, r.contentHash())
	}
	return parts
}

// contentHash returns the hash by which a request is found again when its caller repeats
// it.
func (r Request) contentHash() string {
	h := xxhash.New()
	for _, text := range []string{r.Host, r.Method, r.Target} {
		_, _ = h.WriteString(text + "\n")
	}
	for _, part := range r.PromptParts {
		_, _ = h.WriteString(part.Name + ",")
	}
	_, _ = h.Write(r.Body.Bytes)
	return "request-" + strconv.FormatUint(h.Sum64(), 16)
}

// textParts returns the hashes of the prefixes of a prompt and of the whole prompt.
func textParts(prompt []byte) []string {
	parts := make([]string, 0, indexer.MaxBlocks+1)
	for _, h := range indexer.Chain(nil, prompt) {
		parts = append(parts, "prefix-"+strconv.FormatUint(h, 16))
	}
	return append(parts, "prompt-"+strconv.FormatUint(xxhash.Sum64(prompt), 16))
}

// Work returns the estimated cost of the request to an engine, in tokens.
func (r Request) Work() int { return r.PromptTokens + r.MaxTokens }

// MayRetry reports whether the request may be sent again.
func (r Request) MayRetry() bool {
	return r.Route.MayRetry(r.Method) && r.Body.Repeatable()
}

// ResponseHead is the status and header of a response.
type ResponseHead struct {
	Status int
	Header Header
	// Undelimited says that the response ends with its connection.
	Undelimited bool
}

// ResponseWriter takes the response to one request.
//
// Begin is called at most once and before Write. If a response that was begun
// ends with an error, the ResponseWriter must make the caller see that it is
// incomplete.
type ResponseWriter interface {
	// Begin sends the status and header.
	Begin(ctx context.Context, h ResponseHead) error
	// Write sends a chunk of the response at once.
	Write(ctx context.Context, p []byte) error
}

// NeedsClaim reports whether the request must hold the claim of its
// idempotency key before it is sent.
func (r Request) NeedsClaim() bool {
	return r.IdempotencyKey != "" && !r.Route.MayRetry(r.Method)
}

// Response is a complete response held by the node.
type Response struct {
	Head ResponseHead
	Body []byte
}

// Present reports whether there is a response.
func (r Response) Present() bool { return r.Head.Status != 0 }

// PromptHandle identifies a prompt that an engine has prefilled and keeps for
// another engine.
type PromptHandle struct {
	ID string
	// Address is the address of the engine, Endpoint identifies its start.
	Address  string
	Endpoint string
}

// Progress is the state of a request when an endpoint is to be chosen.
type Progress struct {
	// Tried holds the identifiers of the endpoints that have failed or refused
	// the request.
	Tried []string
	// Source is the handle of the prefilled prompt; its zero value means that
	// no engine has prefilled it.
	Source PromptHandle
	// NoHandover says that the prompt must be prefilled by the engine that
	// generates the response.
	NoHandover bool
	// Isolate asks for the engine with the fewest requests, as this request may crash
	// it.
	Isolate bool
	// Placed means that an endpoint was chosen for the request before, or that it was
	// admitted to wait for one.
	Placed bool
}

// Load is the load that an endpoint reports for itself.
type Load struct {
	Running int
	Queued  int
	Slots   int
	// Slowdown is how long work takes now, as a multiple of the usual time on that
	// endpoint; 0 means that the endpoint does not say.
	Slowdown float64
}

// Usage is the usage that an endpoint reports for a response.
type Usage struct {
	// Reported says that the endpoint has reported the figures.
	Reported     bool
	PromptTokens int64
	OutputTokens int64
	CachedTokens int64
}

// Result is the result of a request.
type Result struct {
	// ResponseBegun says that a part of the response was sent to the caller.
	ResponseBegun bool
	// Status is the status of the response, 0 if none was begun.
	Status int
	// Complete says that the endpoint gave its complete response, even if the
	// caller disconnected before its end.
	Complete bool
	// Replayed says that the response is the recorded one of an earlier request
	// with the same idempotency key.
	Replayed bool
	// Endpoint identifies the endpoint of the last attempt.
	Endpoint string
	Usage    Usage
	// PrefilledAt is when another engine had prefilled the prompt, FirstDataAt
	// when the first data of a valid response arrived; each is zero if that did
	// not happen.
	PrefilledAt time.Time
	FirstDataAt time.Time
	// Attempts is the number of attempts at endpoints.
	Attempts int
	// Err is nil if the caller was sent the complete response.
	Err error
}
