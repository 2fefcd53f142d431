package relayer

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
)

// TestResetIsNoEndOfStream guards against a reset, of the target or of the link, that
// reaches the caller as the regular end of its connection.
func TestResetIsNoEndOfStream(t *testing.T) {
	for name, reset := range map[string]func(*Relay, net.Conn){
		"target": func(_ *Relay, c net.Conn) {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		},
		"link": func(r *Relay, _ net.Conn) { r.SetRule(Rule{Reset: true}) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			target, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = target.Close() }()
			front, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			r := &Relay{Clock: timekeeper.System{}}
			go r.Run(ctx, []Link{{Listener: front, Target: target.Addr().String()}})

			conn, err := net.Dial("tcp", front.Addr().String())
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			is.NoErr(conn.SetDeadline(time.Now().Add(10 * time.Second)))
			served, err := target.Accept()
			is.NoErr(err)
			defer func() { _ = served.Close() }()
			_, err = io.WriteString(served, "part")
			is.NoErr(err)
			_, err = io.ReadFull(conn, make([]byte, len("part")))
			is.NoErr(err)
			reset(r, served)
			_, err = conn.Read(make([]byte, 1))
			is.True(err != nil && !errors.Is(err, io.EOF)) // the connection is reset
		})
	}
}
