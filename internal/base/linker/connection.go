package linker

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// readBuffer holds the head of an answer and small bodies in one read.
const readBuffer = 4 << 10

// link is one connection with what was read ahead on it.
type link struct {
	conn    net.Conn
	address string
	r       *bufio.Reader
	// used says that the connection has carried a request before.
	used    bool
	expires time.Time
}

func newLink(conn net.Conn, address string) *link {
	return &link{conn: conn, address: address, r: bufio.NewReaderSize(conn, readBuffer)}
}

// quiet reports whether an idle connection is still open and nothing has
// arrived on it.
func (c *link) quiet() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	sc, ok := c.conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		// Neither bytes nor the end of the connection are there to be read.
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}
