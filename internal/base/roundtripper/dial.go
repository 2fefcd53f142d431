package roundtripper

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Dialer opens TCP connections that detect an unresponsive peer.
type Dialer struct {
	// Timeout bounds the time to open a connection.
	Timeout time.Duration
	// PeerTimeout is how long sent bytes may stay unacknowledged, and how long the
	// keep-alive probes of an idle connection may stay without a response, before
	// the connection is closed; 0 means no bound.
	PeerTimeout time.Duration
	// DropUnsent means that the kernel drops the bytes which the peer has not received when
	// the connection is closed, also at the end of the process (SO_LINGER 0). Otherwise it
	// goes on delivering them, for about PeerTimeout if that is set.
	DropUnsent bool
	// Source is the local address of the connections; nil means any.
	Source net.IP
}

// keepAliveProbes is the number of keep-alive probes that are sent within PeerTimeout.
const keepAliveProbes = 2

// Dial opens a connection to an address.
func (d Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	nd := net.Dialer{Timeout: d.Timeout}
	if d.Source != nil {
		nd.LocalAddr = &net.TCPAddr{IP: d.Source}
	}
	if d.PeerTimeout > 0 {
		nd.KeepAliveConfig = net.KeepAliveConfig{
			Enable:   true,
			Idle:     d.PeerTimeout / keepAliveProbes,
			Interval: d.PeerTimeout / keepAliveProbes,
			Count:    keepAliveProbes,
		}
	}
	nd.Control = d.setOptions
	return nd.DialContext(ctx, "tcp", address)
}

func (d Dialer) setOptions(_, _ string, c syscall.RawConn) (err error) {
	controlErr := c.Control(func(fd uintptr) {
		if d.PeerTimeout > 0 {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.PeerTimeout.Milliseconds()))
		}
		if d.DropUnsent {
			err = errors.Join(err, unix.SetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1}))
		}
	})
	return errors.Join(controlErr, err)
}
