package roundtripper

import (
	"cmp"
	"context"
	"errors"
	"expvar"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/limiter"
)

// Request is an HTTP request.
type Request struct {
	Method string
	// Target is the path with its query.
	Target string
	// Host is the value of the Host header field; empty means the address.
	Host   string
	Header http.Header
	Body   []byte
	// Stream is read for the body in place of Body; Length is its number of bytes,
	// or -1 if that is unknown.
	Stream io.Reader
	Length int64
}

// Options bound one exchange.
type Options struct {
	// Endpoint and Control describe the destination for the gate.
	Endpoint string
	Control  bool
	// MaxConnections is the maximum number of connections to the address; 0 means no
	// bound.
	MaxConnections int
	// Fresh means that the request is sent on a new connection, for example because it
	// was sent to the address before: a second response to that may still arrive on the
	// connection which it used.
	Fresh bool
	// NewConnection means that the idle connections to the address are closed and the
	// request is sent on a new one: what breaks one connection often breaks all.
	NewConnection bool
	// Guard is called after the connection is opened and before the request is
	// sent; if it fails, nothing is sent. Nil allows all.
	Guard func() error
	// OnSend is called before the first byte of the request is sent; it may be nil.
	OnSend func()
	// Accept reports whether the head of a response belongs to the request. A
	// response that does not is read to its end and discarded: a faulty server may
	// respond to an earlier request twice. first means that nothing was received on the
	// connection before, so that there is no earlier request. Nil accepts all.
	Accept func(status int, h http.Header, first bool) bool
	// Keep reports whether the connection may be used again after a response with this
	// head. Nil keeps all that the protocol allows.
	Keep func(status int, h http.Header) bool
}

// Response is the response to one request. Body must be closed. If the complete body
// has been read, the connection is kept for the next request.
type Response struct {
	Status int
	Header http.Header
	// Length is the number of bytes of the body, or -1 if the head does not include
	// it.
	Length int64
	// Delimited means that a complete body can be distinguished from a truncated
	// one.
	Delimited bool
	// Reused means that the connection had carried a request before.
	Reused bool
	Body   io.ReadCloser
}

// Send sends a request once and returns when the head of the response has been
// read.
//
// The error has the outcome NotRun if no byte of the request can have been sent.
// If ctx ends before Body is closed, the connection is reset at once.
func (t *Transport) Send(ctx context.Context, address string, req Request, o Options) (*Response, error) {
	head, err := req.encodeHead(address)
	if err != nil {
		return nil, err
	}
	if o.NewConnection {
		t.CloseIdle(address)
	}
	c, err := t.connect(ctx, address, o)
	if err != nil {
		return nil, err
	}
	if ctx.Err() != nil {
		t.closeConnection(c)
		return nil, coder.Wrap(coder.EndpointUnreachable, ctx.Err(), "request to %s was not sent", address).WithOutcome(coder.NotRun)
	}
	d := Destination{Address: address, Endpoint: o.Endpoint, Control: o.Control}
	if err := t.admit(d, o); err != nil {
		t.putUnused(c)
		return nil, err
	}
	if o.OnSend != nil {
		o.OnSend()
	}
	sentAt := t.Clock.Now()
	x := &exchange{transport: t, conn: c, stop: context.AfterFunc(ctx, c.reset), sending: &sending{conn: c.netConn}}
	resp, err := x.run(req, head, o)
	if err != nil {
		x.finish(false)
		if bodyErr := x.bodyErr.Load(); bodyErr != nil {
			err = *bodyErr
		}
		return nil, sendError(ctx, address, c.reused, err)
	}
	if t.Gate != nil {
		t.Gate.RecordResponse(d, sentAt, resp.Status, resp.Header)
	}
	return resp, nil
}

// admit fails if the request must not be sent. The gate comes last, as it counts what it
// admits.
func (t *Transport) admit(d Destination, o Options) error {
	if o.Guard != nil {
		if err := o.Guard(); err != nil {
			return err
		}
	}
	if t.Gate != nil {
		return t.Gate.Admit(d)
	}
	return nil
}

// sendError returns the error of an exchange that failed after a byte may have been
// sent.
//
// The peer may close a reused connection just when a request is sent on it, which
// is no fault of the server.
func sendError(ctx context.Context, address string, reused bool, err error) error {
	if ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	var known coder.Error
	if errors.As(err, &known) {
		return known
	}
	code := coder.EndpointFailed
	if reused {
		code = coder.ConnectionLost
	}
	return coder.Wrap(code, err, "connection to %s failed before a response", address)
}

// exchange is one request and its response on a connection.
type exchange struct {
	transport *Transport
	conn      *connection
	stop      func() bool
	sending   *sending
	// bodyWriter sends a long body while the response is being read.
	bodyWriter *conc.WaitGroup
	// bodyErr is the error that interrupted the body.
	bodyErr     atomic.Pointer[error]
	idleTimeout time.Duration
	reusable    bool
	ended       bool
}

// maxInlineBody is the greatest size in bytes of a body that is written before the
// response is read. A longer one is written concurrently, as a server may respond
// before it has read the body to its end.
const maxInlineBody = 8 << 10

func (x *exchange) run(req Request, head []byte, o Options) (*Response, error) {
	if err := x.write(req, head); err != nil {
		// The server may have responded and closed before it has read everything.
		if resp, readErr := x.read(req.Method, o); readErr == nil {
			x.reusable = false
			return resp, nil
		}
		return nil, err
	}
	return x.read(req.Method, o)
}

// write sends the request; a long body is sent from where it is held, without a copy.
func (x *exchange) write(req Request, head []byte) error {
	length := req.length()
	if length == unknownLength {
		x.sending.expect(unknownLength)
	} else {
		x.sending.expect(int64(len(head)) + length)
	}
	if len(req.Body) <= maxInlineBody && req.Stream == nil {
		_, err := x.sending.Write(append(head, req.Body...))
		return err
	}
	// The head goes out before another goroutine starts, as that may be late.
	if _, err := x.sending.Write(head); err != nil {
		return err
	}
	x.bodyWriter = &conc.WaitGroup{}
	x.bodyWriter.Go(func() {
		if req.Stream == nil {
			// A failure shows in what is left.
			_, _ = x.sending.Write(req.Body)
			return
		}
		x.closeOnError(x.sending.writeStream(req.Stream, length))
	})
	return nil
}

// closeOnError closes the connection if the body could not be read to its end, as the
// server must not take the body for complete. What the server has sent before it broke
// the connection can still be read.
func (x *exchange) closeOnError(err error) {
	if err != nil && !x.sending.hasFailed() {
		x.bodyErr.Store(&err)
		_ = x.conn.netConn.Close()
	}
}

const (
	// maxMismatched is the number of responses to other requests that are discarded
	// before the exchange fails, maxMismatchedBody bounds the body of each in bytes.
	maxMismatched     = 2
	maxMismatchedBody = 256 << 10
)

func (x *exchange) read(method string, o Options) (*Response, error) {
	head := x.conn.head
	head.SetLimit(int64(cmp.Or(x.transport.MaxHeadBytes, limiter.MaxHead)))
	defer head.Suspend()
	for n := range maxMismatched + 1 {
		resp, err := x.readHead(method) //nolint:bodyclose // The caller closes the body of the response.
		if err != nil {
			return nil, err
		}
		if o.Accept == nil || o.Accept(resp.StatusCode, resp.Header, n == 0 && !x.conn.reused) {
			response := x.newResponse(resp)
			x.reusable = x.reusable && (o.Keep == nil || o.Keep(resp.StatusCode, resp.Header))
			return response, nil
		}
		if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			break
		}
		head.Suspend()
		if err := limiter.Discard(resp.Body, maxMismatchedBody); err != nil {
			return nil, err
		}
		head.Resume()
	}
	return nil, coder.New(coder.AnswerCrossed, "the responses belong to other requests")
}

// readHead reads the head of the final response; interim responses are skipped.
func (x *exchange) readHead(method string) (*http.Response, error) {
	for {
		resp, err := x.conn.readResponse(method)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("the server switched protocols without being asked to")
		}
	}
}

func (x *exchange) newResponse(resp *http.Response) *Response {
	chunked := len(resp.TransferEncoding) > 0
	response := &Response{
		Status:    resp.StatusCode,
		Header:    resp.Header,
		Length:    resp.ContentLength,
		Delimited: chunked || resp.ContentLength >= 0,
		Reused:    x.conn.reused,
	}
	x.idleTimeout = x.transport.idleTimeout(resp.Header)
	x.reusable = response.Delimited && !resp.Close
	b := &body{
		exchange: x, r: resp.Body, complete: resp.ContentLength == 0,
		endsWithConnection: !response.Delimited && resp.Body != http.NoBody,
	}
	response.Body = b
	return response
}

// idleTimeoutShare is the fraction of the peer's idle timeout for which a
// connection is kept, so that the peer does not close it while a request is being
// sent.
const idleTimeoutShare = 0.8

// idleTimeout returns how long a connection is kept, given the header of a response.
func (t *Transport) idleTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil {
			return min(time.Duration(idleTimeoutShare*float64(n)*float64(time.Second)), t.IdleTimeout)
		}
	}
	return t.IdleTimeout
}

// finish returns the connection to the pool, or closes it.
func (x *exchange) finish(complete bool) {
	if x.ended {
		return
	}
	x.ended = true
	// If the context has ended, the connection has been closed.
	alive := x.stop()
	if alive && complete && x.reusable && x.sending.received() && x.conn.r.Buffered() == 0 {
		x.conn.reused = true
		x.transport.putIdle(x.conn, x.idleTimeout)
		return
	}
	x.transport.closeConnection(x.conn)
	if x.bodyWriter != nil {
		x.bodyWriter.Wait()
	}
}

// body is the body of a response; after its end, Close returns the connection to
// the pool.
type body struct {
	exchange *exchange
	r        io.ReadCloser
	complete bool
	// endsWithConnection means that nothing but the end of the connection marks the end.
	endsWithConnection bool
}

// The metrics of responses that are none: those that ended before the peer had the request,
// and those with a status that HTTP does not have.
var (
	cutInUpload   = expvar.NewInt("responses-cut-in-upload")
	invalidStatus = expvar.NewInt("responses-invalid-status")
)

// errRequestCut is the error of a connection that ended before the peer had the request.
var errRequestCut = errors.New("the connection ended while the request was being sent")

// Read reads bytes of the body.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if errors.Is(err, io.EOF) {
		if b.endsWithConnection && !b.exchange.sending.stop() {
			cutInUpload.Add(1)
			return n, errRequestCut
		}
		b.complete = true
	}
	return n, err
}

// Close ends the exchange. If the body has not been read to its end, the connection
// is closed.
func (b *body) Close() error {
	b.exchange.finish(b.complete)
	return nil
}

// SetReadDeadline sets the deadline of the next reads of the body.
func (r *Response) SetReadDeadline(t time.Time) error {
	b, ok := r.Body.(*body)
	if !ok {
		return nil
	}
	return b.exchange.conn.netConn.SetReadDeadline(t)
}

// RequestReceived ends the sending of the request and reports whether the server has
// received all of it. Before that, a response that is not delimited is never complete.
func (r *Response) RequestReceived() bool {
	b, ok := r.Body.(*body)
	if ok && !b.exchange.sending.stop() {
		cutInUpload.Add(1)
		return false
	}
	return true
}

// length returns the number of bytes of the body, or unknownLength.
func (req Request) length() int64 {
	switch {
	case req.Stream == nil:
		return int64(len(req.Body))
	case req.Length < 0:
		return unknownLength
	}
	return req.Length
}

// encodeHead returns the request line and the header in wire format.
func (req Request) encodeHead(address string) ([]byte, error) {
	host := req.Host
	if host == "" {
		host = address
	}
	b := make([]byte, 0, headCapacity+min(len(req.Body), maxInlineBody))
	b = append(b, req.Method+" "+req.Target+" HTTP/1.1\r\nHost: "+host+"\r\n"...)
	for name, values := range req.Header {
		for _, v := range values {
			if !validFieldText(name) || !validFieldText(v) {
				return nil, coder.Refuse(coder.MalformedHeader, "header field %q contains invalid characters", name)
			}
			b = append(b, name+": "+v+"\r\n"...)
		}
	}
	length := req.length()
	switch {
	case length == unknownLength:
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	case length > 0 || req.Method == http.MethodPost || req.Method == http.MethodPut:
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, length, 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...), nil
}

// headCapacity is a number of bytes that is enough for the head of nearly all
// requests.
const headCapacity = 768

// validFieldText reports whether a name or value of a header field has no line
// break and no NUL.
func validFieldText(s string) bool { return !strings.ContainsAny(s, "\r\n\x00") }
