package linker

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Dialer opens TCP connections that notice a silent link.
type Dialer struct {
	// Timeout bounds the opening of a connection.
	Timeout time.Duration
	// Silence is how long sent bytes may stay without an acknowledgement, and
	// an idle connection without an answer to its probes; 0 means for ever.
	Silence time.Duration
	// Source is the local address of connections; nil means any.
	Source net.IP
}

// keepAliveProbes is the number of probes that fit into the time of silence.
const keepAliveProbes = 2

// Dial opens a connection.
func (d Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	nd := net.Dialer{Timeout: d.Timeout}
	if d.Source != nil {
		nd.LocalAddr = &net.TCPAddr{IP: d.Source}
	}
	if d.Silence > 0 {
		nd.KeepAliveConfig = net.KeepAliveConfig{
			Enable:   true,
			Idle:     d.Silence / keepAliveProbes,
			Interval: d.Silence / keepAliveProbes,
			Count:    keepAliveProbes,
		}
		nd.Control = d.control
	}
	return nd.DialContext(ctx, "tcp", address)
}

func (d Dialer) control(_, _ string, c syscall.RawConn) (err error) {
	cerr := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Silence.Milliseconds()))
	})
	if cerr != nil {
		return cerr
	}
	return err
}
