package sender_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailflow.example/foxtailflow/internal/authority/leaser"
	"foxtailflow.example/foxtailflow/internal/authority/sender"
	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/engine/controller"
	"foxtailflow.example/foxtailflow/internal/lab/generator"
)

// leaseCheck is a Checker that checks the lease with a function.
type leaseCheck func() error

func (h leaseCheck) Grant(string) (leaser.Grant, bool) { return leaser.Grant{}, true }

func (h leaseCheck) Check(leaser.Grant) error { return h() }

// receiver is an engine that ignores fencing tokens, with a connection limit.
func receiver(t *testing.T, limit time.Duration, closed chan<- struct{}) (*generator.Engine, string) {
	e := generator.New(timekeeper.System{}, generator.Settings{OrderConnectionLimit: limit})
	s := httptest.NewUnstartedServer(e.Handler())
	s.Config.ReadHeaderTimeout = limit
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateClosed {
			closed <- struct{}{}
		}
	}
	s.Start()
	t.Cleanup(s.Close)
	return e, s.Listener.Addr().String()
}

func order(s sender.Sender, address string) error {
	c := controller.Client{}.WithTransport(s)
	return c.Order(context.Background(), address, controller.Order{ID: "ord-1", FencingToken: 1, Action: controller.SetRole, Value: "decode"})
}

// TestPausedSender guards against an order that takes effect after a pause
// between the lease check and the write.
func TestPausedSender(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{}, 8)
	e, address := receiver(t, 50*time.Millisecond, closed)
	dials := 0
	s := sender.Sender{
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			dials++
			return (&net.Dialer{}).DialContext(ctx, network, address)
		},
		// The check succeeds, and the process is paused right after it.
		Checker: leaseCheck(func() error {
			select {
			case <-closed:
			case <-time.After(5 * time.Second):
				t.Error("the receiver did not close the connection")
			}
			return nil
		}),
	}
	is.True(order(s, address) != nil)    // the order did not arrive
	is.Equal(dials, 1)                   // nothing was sent on another connection
	is.Equal(len(e.Record()), 0)         // the engine received nothing
	is.Equal(e.State().Role, "both")     // the engine is unchanged
	is.Equal(e.State().Phase, "serving") // no change has begun
}

// TestExpiredLease guards against an order that is sent although the lease has
// ended during the dial.
func TestExpiredLease(t *testing.T) {
	is := is.New(t)
	e, address := receiver(t, time.Second, make(chan struct{}, 8))
	valid := true
	s := sender.Sender{
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			defer func() { valid = false }()
			return (&net.Dialer{}).DialContext(ctx, network, address)
		},
		Checker: leaseCheck(func() error {
			if !valid {
				return coder.Refuse(coder.LeaseNotHeld, "the lease has ended")
			}
			return nil
		}),
	}
	is.True(order(s, address) != nil) // the order was not sent
	is.Equal(len(e.Record()), 0)      // the engine received nothing
}

// TestHeldLease guards against an order that is not sent under a valid lease.
func TestHeldLease(t *testing.T) {
	is := is.New(t)
	e, address := receiver(t, time.Second, make(chan struct{}, 8))
	is.NoErr(order(sender.Sender{Checker: leaseCheck(func() error { return nil })}, address))
	is.Equal(e.State().Role, "decode")
}
