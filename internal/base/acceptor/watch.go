package acceptor

import (
	"errors"
	"os"
	"sync"
	"syscall"

	"github.com/sourcegraph/conc"
	"golang.org/x/sys/unix"
)

// closeWatcher learns from the kernel which connections their peers have closed. Unlike a
// read, that takes no bytes from a connection, and works while some are unread.
//
// The poller of the Go runtime waits for the watcher's own epoll instance, so that no thread
// is blocked.
type closeWatcher struct {
	// epoll is the descriptor of the epoll instance, file its handle in the poller of the
	// runtime.
	epoll int
	file  *os.File
	// onClose is called once for each connection that its peer has closed.
	onClose func(*conn)
	running conc.WaitGroup

	mu    sync.Mutex
	last  uint64
	conns map[uint64]*conn
}

// newCloseWatcher returns a watcher that runs until it is closed.
func newCloseWatcher(onClose func(*conn)) (*closeWatcher, error) {
	fd, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, err
	}
	if err := unix.SetNonblock(fd, true); err != nil {
		_ = unix.Close(fd)
		return nil, err
	}
	w := &closeWatcher{epoll: fd, file: os.NewFile(uintptr(fd), "close-watcher"), onClose: onClose, conns: make(map[uint64]*conn)}
	w.running.Go(w.run)
	return w, nil
}

// add watches a connection until it is closed on this side and removed.
func (w *closeWatcher) add(c *conn) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	w.mu.Lock()
	w.last++
	c.watchID = w.last
	w.conns[c.watchID] = c
	w.mu.Unlock()
	// An event has the number of the connection and not of its descriptor, which may be
	// used again by then. One that is not watched is noticed by the server's reads.
	_ = raw.Control(func(fd uintptr) {
		event := unix.EpollEvent{Events: unix.EPOLLRDHUP | unix.EPOLLET, Fd: int32(c.watchID), Pad: int32(c.watchID >> 32)}
		_ = unix.EpollCtl(w.epoll, unix.EPOLL_CTL_ADD, int(fd), &event)
	})
}

// remove forgets a connection; its descriptor leaves the epoll instance when it is closed.
func (w *closeWatcher) remove(c *conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.conns, c.watchID)
}

// maxCloses is how many closes are taken from the kernel at a time.
const maxCloses = 64

// run reports closes until the watcher is closed.
func (w *closeWatcher) run() {
	raw, err := w.file.SyscallConn()
	for err == nil {
		var events [maxCloses]unix.EpollEvent
		n := 0
		err = raw.Read(func(uintptr) bool {
			n = w.wait(events[:])
			return n > 0
		})
		for _, e := range events[:n] {
			if c := w.watched(uint64(uint32(e.Fd)) | uint64(uint32(e.Pad))<<32); c != nil {
				w.onClose(c)
			}
		}
	}
}

// wait returns the number of closes that the kernel has, without waiting for one.
func (w *closeWatcher) wait(events []unix.EpollEvent) int {
	for {
		n, err := unix.EpollWait(w.epoll, events, 0)
		if !errors.Is(err, unix.EINTR) {
			return max(n, 0)
		}
	}
}

func (w *closeWatcher) watched(id uint64) *conn {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.conns[id]
}

// close ends the watcher and returns when onClose is not called any more.
func (w *closeWatcher) close() {
	_ = w.file.Close()
	w.running.Wait()
}
