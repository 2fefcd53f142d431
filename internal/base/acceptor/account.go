package acceptor

import (
	"bytes"
	"expvar"
	"io"
	"net"
	"net/http"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/reserver"
)

// progressBytes is how many bytes of a body count as progress of its client. A client that
// sends a byte now and then makes none.
const progressBytes = 16 << 10

const (
	// maxHeaderExcess is how many times the largest header is read until its connection is
	// closed. Smaller ones above the limit are refused when they have been read.
	maxHeaderExcess = 4
	// requestBytes is what a request in work takes beside its head and body: buffers towards
	// the endpoint and the stacks of its goroutines. Measured with 776 streams whose events of
	// 1 KiB are not read: 122 KB of resident memory for each, its connection included.
	requestBytes = 96 << 10
	// writeCopies is how many times the bytes of a write to a client are held until it has
	// read them: as they were received, in parts, and as they are sent.
	writeCopies = 4
)

// head is what is held of the head of a request.
type head struct {
	// held is the memory that is accounted for.
	held int64
	// unread is the memory that the fields would take that were read last, while a request
	// was active. The server may have them of the next request.
	unread int64
	// size is the number of bytes that were read of a head that is not complete.
	size int
}

// endOfHead separates the head of a request from its body.
var endOfHead = []byte("\r\n\r\n")

// read counts bytes that the server has read, and returns by how much what is held grows.
// Bytes of a head are counted before they are decoded. While a request is active, they
// belong to its body or to the next request.
func (h *head) read(p []byte, active bool) int64 {
	if active {
		h.unread = headBytes(p)
		return 0
	}
	h.unread = headBytes(p)
	if end := bytes.Index(p, endOfHead); end >= 0 {
		p = p[:end]
	}
	h.size += len(p)
	growth := headBytes(p)
	h.held += growth
	return growth
}

func headBytes(p []byte) int64 { return reserver.HeadBytes(len(p), bytes.Count(p, []byte("\n"))) }

// decoded counts the head of a request that was read completely, and returns by how much
// what is held grows.
func (h *head) decoded(size, fields int) int64 {
	h.size = 0
	return h.set(reserver.HeadBytes(size, fields))
}

// exceedsHeader reports whether a head is so large that it is not read to its end.
func (a *Acceptor) exceedsHeader(size int) bool {
	if a.Limits == nil || size == 0 {
		return false
	}
	limit := a.Limits().MaxHeader
	return limit > 0 && size > maxHeaderExcess*limit
}

// longHeads counts request heads over the limit, at any port.
var longHeads = expvar.NewInt("client-heads-over-limit")

// countHeader counts a head that has grown from before to size bytes if that exceeds the
// limit now.
func (a *Acceptor) countHeader(before, size int) {
	if a.Limits == nil || size == before {
		return
	}
	if limit := a.Limits().MaxHeader; limit > 0 && before <= limit && size > limit {
		longHeads.Add(1)
	}
}

// end counts what is held after a response: nothing if the server has read no byte of the
// next request. It returns by how much what is held grows.
func (h *head) end(idle bool) int64 {
	if idle {
		return h.set(0)
	}
	return h.set(h.unread)
}

func (h *head) set(held int64) int64 {
	growth := held - h.held
	h.held = held
	return growth
}

// Write writes bytes of a response.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.readSinceWrite = false
	c.mu.Unlock()
	held := writeCopies * int64(len(p))
	if c.holding.Await() {
		defer c.holding.Serve()
	}
	if !c.holding.Hold(held) {
		return 0, net.ErrClosed
	}
	defer c.holding.Grow(-held)
	return c.Conn.Write(p)
}

// CloseNow closes the connection with a reset, so that the kernel holds nothing for it.
func (c *conn) CloseNow() { Reset(c) }

// account accounts for a request on the connection until the returned function is called at
// its end. The served copy of the request gets a body that tells whether the node waits for
// it.
func (c Caller) account(r, served *http.Request) (end func()) {
	if c.conn == nil {
		return func() {}
	}
	h := c.conn.holding
	c.conn.setDecoded(r.RequestURI, r.Header)
	// The client waits for the node until its body is read, which may wait for memory.
	h.Serve()
	if r.Body != nil && r.Body != http.NoBody {
		c.conn.bodyPending.Store(true)
		served.Body = &body{ReadCloser: r.Body, request: r, conn: c.conn}
	}
	return func() {
		c.conn.bodyPending.Store(false)
		h.Grow(-c.conn.setReserved(0))
		h.Await()
	}
}

// reserveRetryAfter is after how long a client should repeat a request for which there is
// no memory: about the time of a request.
const reserveRetryAfter = 600 * time.Millisecond

// Reserve accounts for the work on the request until it has ended; MemoryFull if the node
// holds too much for other clients.
func (c Caller) Reserve() error {
	if c.conn == nil {
		return nil
	}
	if !c.conn.holding.Reserve(requestBytes) {
		return coder.Refuse(coder.MemoryFull, "the node holds too much for other clients to take a request").WithRetryAfter(reserveRetryAfter)
	}
	c.conn.setReserved(requestBytes)
	return nil
}

// setReserved sets what is reserved for the work on a request, and returns what was.
func (c *conn) setReserved(n int64) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.reserved
	c.reserved = n
	return before
}

// SetAccount records the client account of the request, by which operators recognise the
// connection if it is closed because too much is held.
func (c Caller) SetAccount(name string) {
	if c.conn != nil {
		c.conn.holding.SetAccount(name)
	}
}

// setDecoded accounts for a decoded head, with any trailer.
func (c *conn) setDecoded(uri string, fields ...http.Header) {
	size, count := len(uri), 0
	for _, f := range fields {
		for name, values := range f {
			for _, value := range values {
				size += len(name) + len(value)
				count++
			}
		}
	}
	c.mu.Lock()
	growth := c.head.decoded(size, count)
	c.mu.Unlock()
	c.holding.Grow(growth)
}

// body is the body of a request. The node waits for the client from the first read of the
// connection for it until its end.
type body struct {
	io.ReadCloser
	// request is the one whose trailer the server sets.
	request *http.Request
	conn    *conn
	// read is how many bytes were read since the client made progress.
	read int
}

// Read reads bytes of the body.
func (b *body) Read(p []byte) (int, error) {
	h := b.conn.holding
	n, err := b.ReadCloser.Read(p)
	if b.read += n; b.read >= progressBytes {
		b.read = 0
		h.Progress()
	}
	if err != nil {
		b.conn.bodyPending.Store(false)
		h.Serve()
		if len(b.request.Trailer) > 0 {
			b.conn.setDecoded(b.request.RequestURI, b.request.Header, b.request.Trailer)
		}
	}
	return n, err
}
