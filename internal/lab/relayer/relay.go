// Package relayer is a TCP proxy that simulates network faults.
//
// A relay has a listener for each of its links and forwards bytes to the link's
// target. Rules block, delay or reset connections by their source address and
// target, which simulates a node that is partitioned from some peers, or from the
// platform, while others reach it. A cut closes no connection: as with a network
// that drops packets, both ends must detect it themselves, and bytes sent
// meanwhile arrive after the link is restored.
package relayer

import (
	"context"
	"errors"
	"io"
	"net"
	"time"

	"github.com/sourcegraph/conc"

	"foxtailflow.example/foxtailflow/internal/base/keeper"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
)

// Link forwards connections from a listener to a target.
type Link struct {
	Listener net.Listener
	// Target is the IP:port that connections are forwarded to.
	Target string
}

// Relay forwards bytes between sources and targets under rules.
type Relay struct {
	Clock timekeeper.Clock

	rules keeper.Cell[Rules]
}

// SetRule adds or replaces a rule.
func (r *Relay) SetRule(rule Rule) {
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

// dialTimeout bounds a dial to a target; targets are on loopback.
const dialTimeout = 2 * time.Second

func (r *Relay) connect(ctx context.Context, source net.Conn, target string) {
	defer func() { _ = source.Close() }()
	from, _, err := net.SplitHostPort(source.RemoteAddr().String())
	if err != nil {
		return
	}
	p := path{relay: r, from: from, to: target}
	// A connection that is opened during a cut does not reach the target.
	if p.waitWhileCut(ctx) != nil {
		return
	}
	d := net.Dialer{Timeout: dialTimeout}
	destination, err := d.DialContext(ctx, "tcp", target)
	if err != nil {
		return
	}
	defer func() { _ = destination.Close() }()
	p.forward(ctx, source, destination)
}

// path is the source and target of one connection.
type path struct {
	relay *Relay
	from  string
	to    string
}

var errReset = errors.New("the link resets connections")

// waitWhileCut blocks while the path is cut; it fails once the path is reset.
func (p path) waitWhileCut(ctx context.Context) error {
	for {
		rules, changed := p.relay.rules.Watch()
		rule := rules.Effective(p.from, p.to)
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

// waitForReset returns once the path is reset or ctx is done.
func (p path) waitForReset(ctx context.Context) {
	for {
		rules, changed := p.relay.rules.Watch()
		if rules.Effective(p.from, p.to).Reset {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// forward forwards bytes both ways until both directions have ended.
func (p path) forward(ctx context.Context, source, destination net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	var resetWatch, directions conc.WaitGroup
	resetWatch.Go(func() {
		p.waitForReset(ctx)
		abort(source, destination)
	})
	directions.Go(func() { p.forwardOneWay(ctx, source, destination) })
	directions.Go(func() { p.forwardOneWay(ctx, destination, source) })
	directions.Wait()
	cancel()
	resetWatch.Wait()
}

const (
	chunkSize = 32 << 10
	// maxChunks bounds the chunks in transit in one direction of a connection.
	maxChunks = 64
)

// chunk is a section of a byte stream that is delivered when it is due.
type chunk struct {
	data []byte
	due  time.Time
}

// forwardOneWay reads chunks in one direction and writes each when it is due.
//
// Reading continues during a delay, so that a delay does not limit the rate.
func (p path) forwardOneWay(ctx context.Context, source, destination net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	queue := make(chan chunk, maxChunks)
	var wg conc.WaitGroup
	var readErr error
	wg.Go(func() {
		defer close(queue)
		readErr = p.read(ctx, source, queue)
	})
	err := p.write(ctx, destination, queue)
	if err == nil {
		// The queue is closed, so readErr is set.
		err = readErr
	}
	if err == nil {
		err = p.closeWrite(ctx, destination)
	}
	if err != nil {
		abort(source, destination)
	}
	cancel()
	wg.Wait()
}

// abort resets connections: a peer that reads up to the end of its connection must not
// take a failure for that end.
func abort(conns ...net.Conn) {
	for _, c := range conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// read reads chunks until the source has closed its side; it fails if the connection
// ends in another way.
func (p path) read(ctx context.Context, source net.Conn, queue chan<- chunk) error {
	for {
		buf := make([]byte, chunkSize)
		n, err := source.Read(buf)
		delay := p.relay.rules.Get().Effective(p.from, p.to).Delay
		if n > 0 {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case queue <- chunk{data: buf[:n], due: p.relay.Clock.Now().Add(delay)}:
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// write writes chunks until the queue is closed.
func (p path) write(ctx context.Context, destination net.Conn, queue <-chan chunk) error {
	for c := range queue {
		if wait := c.due.Sub(p.relay.Clock.Now()); wait > 0 {
			if err := p.relay.Clock.Sleep(ctx, wait); err != nil {
				return err
			}
		}
		if err := p.waitWhileCut(ctx); err != nil {
			return err
		}
		if _, err := destination.Write(c.data); err != nil {
			return err
		}
	}
	return nil
}

// closeWrite closes the destination for writing.
func (p path) closeWrite(ctx context.Context, destination net.Conn) error {
	if err := p.waitWhileCut(ctx); err != nil {
		return err
	}
	if tcp, ok := destination.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return destination.Close()
}
