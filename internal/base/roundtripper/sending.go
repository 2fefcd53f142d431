package roundtripper

import (
	"io"
	"net"
	"net/http/httputil"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// sending is the sending of one request over a connection.
//
// It tells whether the whole request has reached the peer. A write that fails because the
// peer has reset the connection takes the error of the socket, and the next read then ends
// as after an orderly close. The end of a connection is therefore the end of a response
// only after a request that was sent in full.
type sending struct {
	conn net.Conn

	// mu is held during each write.
	mu sync.Mutex
	// left is the number of bytes that are still to be written, or unknownLength.
	left int64
	// failed means that a write has failed.
	failed bool
}

// unknownLength is the number of bytes left of a body in chunks until its last one.
const unknownLength = -1

// expect sets the number of bytes that are still to be written.
func (s *sending) expect(n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.left = n
}

// Write writes a part of the request.
func (s *sending) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, err := s.conn.Write(p)
	if s.left != unknownLength {
		s.left -= int64(n)
	}
	s.failed = s.failed || err != nil
	return n, err
}

// writeStream writes a body as it is read.
func (s *sending) writeStream(r io.Reader, length int64) error {
	if length >= 0 {
		n, err := io.Copy(s, io.LimitReader(r, length))
		if err == nil && n < length {
			err = io.ErrUnexpectedEOF
		}
		return err
	}
	w := httputil.NewChunkedWriter(s)
	if _, err := io.Copy(w, r); err != nil {
		return err
	}
	if err := w.Close(); err != nil {
		return err
	}
	s.expect(int64(len(trailerEnd)))
	_, err := io.WriteString(s, trailerEnd)
	return err
}

// trailerEnd ends a body in chunks after its last chunk.
const trailerEnd = "\r\n"

// hasFailed reports whether a write has failed.
func (s *sending) hasFailed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failed
}

// received reports, without waiting for a write in progress, whether the peer has received
// the whole request. If not, the connection must not carry another one, whatever the
// response says: a peer that responds early often closes it.
func (s *sending) received() bool {
	if !s.mu.TryLock() {
		return false
	}
	defer s.mu.Unlock()
	return s.left == 0 && acknowledged(s.conn)
}

// stop ends the sending and reports whether the peer has received the whole request. The
// connection cannot be written to afterwards.
//
// Stopping the write first separates one that is blocked from one that has just ended and
// whose goroutine has not run since.
func (s *sending) stop() bool {
	_ = s.conn.SetWriteDeadline(time.Unix(1, 0))
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.left == 0 && acknowledged(s.conn)
}

// acknowledged reports whether the peer has acknowledged all bytes that were written to a
// connection; it is true if that is not known. The close of a peer that has read
// everything acknowledges all of it.
func acknowledged(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	unacked := 0
	controlErr := raw.Control(func(fd uintptr) { unacked, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return controlErr == nil && err == nil && unacked == 0
}
