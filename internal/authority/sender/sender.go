// Package sender sends orders only while the sender's lease is valid.
//
// A process can be paused at any point, so checking the lease before sending is
// not enough by itself. The sender therefore dials first, then checks the lease on
// its monotonic clock, then writes the request with one write on that connection,
// and never retries. The connection is at least as old as the lease check. The
// receiver closes a connection on which no complete request header arrives within
// its limit, so a request that a pause delays by more than this limit after the
// check finds a closed connection.
package sender

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"foxtailflow.example/foxtailflow/internal/authority/leaser"
	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/limiter"
)

// maxRequest bounds the size of a request in bytes. It fits into the send buffer
// of a new connection, so one write passes the complete request to the kernel, and
// a pause cannot separate the header from the body.
const maxRequest = 16 << 10

// Checker checks whether a lease can still be trusted.
type Checker interface {
	Check(g leaser.Grant) error
}

// Sender is an http.RoundTripper that sends under one grant.
//
// It is an immutable value; the With methods return changed copies.
type Sender struct {
	Checker Checker
	// Grant is the lease under which requests are sent.
	Grant leaser.Grant
	// Dial opens a connection; nil means net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

var _ http.RoundTripper = Sender{}

// WithGrant returns a copy that sends under g.
func (s Sender) WithGrant(g leaser.Grant) Sender {
	s.Grant = g
	return s
}

// RoundTrip sends a request once on a new connection.
//
// It fails with LeaseNotHeld, and sends nothing, if the lease has ended.
func (s Sender) RoundTrip(req *http.Request) (*http.Response, error) {
	data, err := encode(req)
	if err != nil {
		return nil, err
	}
	dial := s.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	conn, err := dial(req.Context(), "tcp", req.URL.Host)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(req.Context(), func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	resp, err := s.exchange(conn, req, data)
	if err != nil {
		stop()
		_ = conn.Close()
		return nil, err
	}
	resp.Body = body{ReadCloser: resp.Body, conn: conn, stop: stop}
	return resp, nil
}

// exchange checks the lease, writes the request and reads the response header.
func (s Sender) exchange(conn net.Conn, req *http.Request, data []byte) (*http.Response, error) {
	if err := s.Checker.Check(s.Grant); err != nil {
		return nil, err
	}
	if _, err := conn.Write(data); err != nil {
		return nil, err
	}
	head := &limiter.Reader{R: conn}
	head.SetLimit(limiter.MaxHead)
	defer head.Suspend()
	return http.ReadResponse(bufio.NewReader(head), req)
}

// encode returns the request in its wire format.
func encode(req *http.Request) ([]byte, error) {
	if req.URL.Scheme != "http" {
		return nil, coder.Refuse(coder.SettingsBad, "scheme %q is not supported for orders", req.URL.Scheme)
	}
	once := req.Clone(req.Context())
	once.Close = true
	var b bytes.Buffer
	err := once.Write(&b)
	if req.Body != nil {
		_ = req.Body.Close()
	}
	if err != nil {
		return nil, coder.Wrap(coder.Internal, err, "cannot encode the request").WithOutcome(coder.NotRun)
	}
	if b.Len() > maxRequest {
		return nil, coder.Refuse(coder.BodyTooLarge, "an order request is limited to %d bytes, got %d", maxRequest, b.Len())
	}
	return b.Bytes(), nil
}

// body closes the connection when the response body is closed.
type body struct {
	io.ReadCloser
	conn net.Conn
	stop func() bool
}

// Close closes the connection.
func (b body) Close() error {
	b.stop()
	_ = b.ReadCloser.Close()
	return b.conn.Close()
}
