package roundtripper

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/limiter"
)

// readBufferSize is enough to read the head of a response with a small body at
// once.
const readBufferSize = 4 << 10

// connection is a connection with its read buffer.
type connection struct {
	netConn net.Conn
	address string
	r       *bufio.Reader
	// head bounds what r reads from netConn while a head is expected.
	head *limiter.Reader
	// reused means that the connection has already carried a request.
	reused  bool
	expires time.Time
}

func newConnection(conn net.Conn, address string) *connection {
	head := &limiter.Reader{R: conn}
	return &connection{netConn: conn, address: address, r: bufio.NewReaderSize(head, readBufferSize), head: head}
}

// usable reports whether an idle connection is still open and has no bytes to
// read.
func (c *connection) usable() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	sc, ok := c.netConn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	usable := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		// EAGAIN: there are no bytes to read, and the peer has not closed.
		usable = err == unix.EAGAIN
		return true
	})
	return err == nil && usable
}

// reset closes a connection and drops the bytes that the peer has not received. Otherwise
// the peer would read those first, and work on.
func (c *connection) reset() {
	if tcp, ok := c.netConn.(interface{ SetLinger(sec int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.netConn.Close()
}

// readResponse reads the head of a response. A status that HTTP does not have is an error
// of the server: what follows it cannot be interpreted, neither as the response nor as an
// interim one before it.
func (c *connection) readResponse(method string) (*http.Response, error) {
	// If the bytes cannot be read, ReadResponse returns the error.
	if begin, err := c.r.Peek(minHead); err == nil && bytes.HasPrefix(begin, []byte("HTTP/")) && !validStatus.Match(begin) {
		invalidStatus.Add(1)
		return nil, coder.New(coder.EndpointFailed, "the status line that begins with %q has no valid status", begin)
	}
	resp, err := c.readVersion(method)
	if err != nil {
		return nil, err
	}
	// The standard library accepts both, and each shows that the bytes are no response.
	if resp.ProtoMajor != 1 || strings.ContainsFunc(resp.Status, isControl) {
		return nil, fmt.Errorf("malformed status line %q %q", resp.Proto, resp.Status)
	}
	for name, values := range resp.Header {
		if slices.ContainsFunc(values, statusLine.MatchString) {
			return nil, fmt.Errorf("the head breaks off in the field %s and another one follows", name)
		}
	}
	return resp, nil
}

// minHead is the number of bytes of the shortest head, a status line without a text.
const minHead = len("HTTP/1.1 200\n\n")

// validStatus matches the first minHead bytes of a head with a status of three digits from
// 100 to 599 (RFC 9110, 15).
var validStatus = regexp.MustCompile(`^HTTP/[0-9]\.[0-9] {1,2}[1-5][0-9]{2}[ \r\n]`)

// statusLine matches the beginning of a head, with any status. No header field has one in
// its value.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [0-9]{3}`)

// isControl reports whether a status line must not have a character (RFC 9112, 4).
func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

// version10 begins a response of HTTP/1.0.
const version10 = "HTTP/1.0"

// readVersion reads the head of a response by the rules of its version.
//
// The standard library ignores chunked encoding in HTTP/1.0 and takes the sizes of the
// chunks for a part of the body. No rule says where such a body ends (RFC 9112, 6.1), so
// the response fails.
func (c *connection) readVersion(method string) (*http.Response, error) {
	req := &http.Request{Method: method}
	// If the bytes cannot be read, ReadResponse returns the error.
	if begin, _ := c.r.Peek(len(version10)); string(begin) != version10 {
		return http.ReadResponse(c.r, req)
	}
	_, _ = c.r.Discard(len(version10))
	c.r = bufio.NewReader(io.MultiReader(strings.NewReader("HTTP/1.1"), c.r))
	resp, err := http.ReadResponse(c.r, req)
	if err != nil {
		return nil, err
	}
	if len(resp.TransferEncoding) > 0 {
		return nil, errors.New("a response of HTTP/1.0 is in chunks")
	}
	// The connection is not used again, as usable does not see all of what was read.
	resp.Close = true
	return resp, nil
}
