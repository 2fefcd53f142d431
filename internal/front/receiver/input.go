package receiver

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/identifier"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/front/encoder"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
)

// singleHeaders are headers of which a request may have only one value, as it would
// be ambiguous which of several applies.
var singleHeaders = []string{"Authorization", encoder.HeaderTimeout}

// checkHeader refuses a header that is too large or ambiguous.
func checkHeader(r *http.Request, limits definer.Limits) error {
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len(r.Host) + carrier.Header(r.Header).Size()
	if size > limits.MaxHeader {
		return coder.Refuse(coder.HeaderTooLarge, "the header is larger than %d bytes", limits.MaxHeader)
	}
	for _, name := range singleHeaders {
		if len(r.Header.Values(name)) > 1 {
			return coder.Refuse(coder.MalformedHeader, "the header %s is set more than once", name)
		}
	}
	return nil
}

// methodNotServed refuses a method on one of the node's own paths; the router has
// set the header Allow.
func (rc Receiver) methodNotServed(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(encoder.HeaderRequestID, identifier.NewRequestID())
	encoder.WriteRefusal(w, coder.Refuse(coder.MethodNotServed, "the method %s is not served at %s", r.Method, r.URL.Path))
}

// bodyError returns the refusal for a failed read of a body. Its outcome is not-run;
// code that has already forwarded a part of the body sets another.
func bodyError(err error, limit int64, timeout time.Duration) error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return coder.Refuse(coder.BodyTooLarge, "the body is larger than %d bytes", limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return coder.Refuse(coder.SlowCaller, "no data of the body arrived for %v", timeout).WithCause(err)
	}
	return coder.Refuse(coder.MalformedBody, "the request body is incomplete").WithCause(err)
}

// streamedBody is a body that is forwarded to an endpoint as it arrives. Failed reads
// are faults of the caller and have codes of their own, so that they do not count
// against the endpoint.
type streamedBody struct {
	body    io.Reader
	control *http.ResponseController
	clock   timekeeper.Clock
	limit   int64
	timeout time.Duration

	// mu is held during each read, so only one runs at a time.
	mu  sync.Mutex
	err error
}

// Read reads a chunk; each read may take as long as the limit body-wait.
func (b *streamedBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.readLocked(p)
}

func (b *streamedBody) readLocked(p []byte) (int, error) {
	_ = b.control.SetReadDeadline(b.clock.Now().Add(b.timeout))
	n, err := b.body.Read(p)
	if err == nil {
		return n, nil
	}
	_ = b.control.SetReadDeadline(time.Time{})
	if errors.Is(err, io.EOF) {
		return n, io.EOF
	}
	b.err = bodyError(err, b.limit, b.timeout)
	return n, b.err
}

// readerFunc is a function that reads.
type readerFunc func([]byte) (int, error)

// Read calls the function.
func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// requestError returns the error of a request, which is that of the body if reading it
// failed.
//
// The context of a request ends when a read from its connection fails or the caller closes
// it, so a failed body looks like a caller that has disconnected. A read in progress has then
// returned or is about to, so Lock does not block for long, and what has arrived of a body
// that was not read shows whether it is complete.
func (b *streamedBody) requestError(err error) error {
	if !coder.Is(err, coder.CallerGone) {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == nil {
		_, _ = io.CopyN(io.Discard, readerFunc(b.readLocked), maxBufferedBody)
	}
	if b.err == nil {
		return err
	}
	return coder.FromError(b.err).WithOutcome(coder.FromError(err).Outcome())
}
