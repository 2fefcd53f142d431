package roundtripper

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

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
