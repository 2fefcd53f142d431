// Package relayer is a TCP link that can be cut, delayed and restored.
//
// A relay listens at an address for each of its links and passes bytes on to
// the link's target. Rules hold back, delay or reset the connections by their
// source address and target, which shows a node that is cut off from some
// peers, or from the platform, while others reach it. A cut closes nothing:
// like a network that drops packets, it leaves both ends to find out by
// themselves, and bytes sent meanwhile arrive after the link is restored.
package relayer

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/sourcegraph/conc"

	"foxtailflow.example/foxtailflow/internal/base/keeper"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
)

// Link passes connections from a listener on to a target.
type Link struct {
	Listener net.Listener
	// Target is the IP:port that connections are passed on to.
	Target string
}

// Relay passes bytes between sources and targets under rules.
type Relay struct {
	Clock timekeeper.Clock

	rules keeper.Cell[Rules]
}

// Set puts a rule into force.
func (r *Relay) Set(rule Rule) {
	r.rules.Update(func(rs Rules) (Rules, bool) { return rs.WithRule(rule), true })
}

// Run serves the links until ctx is done.
func (r *Relay) Run(ctx context.Context, links []Link) {
	var wg conc.WaitGroup
	for _, l := range links {
		wg.Go(func() {
			<-ctx.Done()
			_ = l.Listener.Close()
		})
		wg.Go(func() { r.accept(ctx, l) })
	}
	wg.Wait()
}

func (r *Relay) accept(ctx context.Context, l Link) {
	var wg conc.WaitGroup
	defer wg.Wait()
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return
		}
		wg.Go(func() { r.connect(ctx, c, l.Target) })
	}
}

// dialWait bounds a dial to a target; targets are on loopback.
const dialWait = 2 * time.Second

func (r *Relay) connect(ctx context.Context, source net.Conn, target string) {
	defer func() { _ = source.Close() }()
	from, _, err := net.SplitHostPort(source.RemoteAddr().String())
	if err != nil {
		return
	}
	p := path{relay: r, from: from, to: target}
	// The target sees nothing of a connection that is opened during a cut.
	if p.awaitOpen(ctx) != nil {
		return
	}
	d := net.Dialer{Timeout: dialWait}
	sink, err := d.DialContext(ctx, "tcp", target)
	if err != nil {
		return
	}
	defer func() { _ = sink.Close() }()
	p.carry(ctx, source, sink)
}

// path is what one connection goes along.
type path struct {
	relay *Relay
	from  string
	to    string
}

var errReset = errors.New("the link resets connections")

// awaitOpen waits while the path is cut; it fails once the path is reset.
func (p path) awaitOpen(ctx context.Context) error {
	for {
		rules, changed := p.relay.rules.Changed()
		rule := rules.Of(p.from, p.to)
		switch {
		case rule.Reset:
			return errReset
		case !rule.Cut:
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// awaitReset returns once the path is reset or ctx is done.
func (p path) awaitReset(ctx context.Context) {
	for {
		rules, changed := p.relay.rules.Changed()
		if rules.Of(p.from, p.to).Reset {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// carry passes bytes both ways until both directions have ended.
func (p path) carry(ctx context.Context, source, sink net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	var guard, both conc.WaitGroup
	guard.Go(func() {
		p.awaitReset(ctx)
		_ = source.Close()
		_ = sink.Close()
	})
	both.Go(func() { p.pass(ctx, source, sink) })
	both.Go(func() { p.pass(ctx, sink, source) })
	both.Wait()
	cancel()
	guard.Wait()
}

const (
	pieceSize = 32 << 10
	// pieces bounds what is on its way in one direction of a connection.
	pieces = 64
)

// piece is a part of a byte stream that is due at a time.
type piece struct {
	data []byte
	due  time.Time
}

// pass reads pieces in one direction, and writes each when it is due.
//
// Reading goes on during a delay, so that a delay does not limit the rate.
func (p path) pass(ctx context.Context, source, sink net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	queue := make(chan piece, pieces)
	var wg conc.WaitGroup
	wg.Go(func() {
		defer close(queue)
		p.read(ctx, source, queue)
	})
	if p.write(ctx, sink, queue) != nil {
		_ = source.Close()
		_ = sink.Close()
	}
	cancel()
	wg.Wait()
}

func (p path) read(ctx context.Context, source net.Conn, queue chan<- piece) {
	for {
		buf := make([]byte, pieceSize)
		n, err := source.Read(buf)
		delay := p.relay.rules.Get().Of(p.from, p.to).Delay
		if n > 0 {
			select {
			case <-ctx.Done():
				return
			case queue <- piece{data: buf[:n], due: p.relay.Clock.Now().Add(delay)}:
			}
		}
		if err != nil {
			return
		}
	}
}

// write ends with the end of the stream, which is passed on as such.
func (p path) write(ctx context.Context, sink net.Conn, queue <-chan piece) error {
	for next := range queue {
		if wait := next.due.Sub(p.relay.Clock.Now()); wait > 0 {
			if err := p.relay.Clock.Sleep(ctx, wait); err != nil {
				return err
			}
		}
		if err := p.awaitOpen(ctx); err != nil {
			return err
		}
		if _, err := sink.Write(next.data); err != nil {
			return err
		}
	}
	if err := p.awaitOpen(ctx); err != nil {
		return err
	}
	if half, ok := sink.(*net.TCPConn); ok {
		return half.CloseWrite()
	}
	return sink.Close()
}
