package composer

import (
	"context"
	"net/http"
	"time"
)

const (
	// stateWait is the time in which the last counts of a node reach the hubs.
	stateWait = 700 * time.Millisecond
	// leaveLimit bounds each of the two parts of the handing over; a successor needs
	// nothing of them to be correct, only to be quick.
	leaveLimit = 300 * time.Millisecond
)

// stop ends the callers' interface: it takes requests until the balancer has
// noticed, and then finishes what runs.
func (n *Node) stop(server *http.Server) {
	n.stopping.Store(true)
	n.callers.Leave()
	n.log.Info().Msg("node drains")
	left := max(n.settings.Stop-stateWait-2*leaveLimit, 0)
	if n.settings.Stop == 0 {
		left = n.settings.LeaveWait + n.Limits().DrainWait
	}
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	// Where there is little time, half of it is for the requests that run.
	_ = n.clock.Sleep(ctx, min(n.settings.LeaveWait, left/2))
	if err := n.callers.End(ctx); err != nil {
		n.log.Warn().Err(err).Msg("requests were still running when the time to stop ended")
	}
	_ = server.Close()
}

// leave hands over what the node holds, once it serves no more.
func (n *Node) leave() {
	n.duties.leaving.Store(true)
	n.handOver(func(ctx context.Context) {
		if err := n.members.registrar.Leave(ctx); err != nil {
			n.log.Warn().Err(err).Msg("the row of the node stays")
		}
	})
	// Without a row the node is no hub any more, and states its last counts to the
	// next one.
	_ = n.clock.Sleep(context.Background(), stateWait)
	n.handOver(func(ctx context.Context) {
		if n.parts.Leave != nil {
			n.parts.Leave(ctx)
		}
		if err := n.duties.closer.Leave(ctx); err != nil {
			n.log.Warn().Err(err).Msg("the last counts of usage are not written down")
		}
		n.duties.leaser.Release(ctx)
	})
}

// handOver runs a part of the handing over within its time.
func (n *Node) handOver(f func(context.Context)) {
	ctx, cancel := context.WithTimeout(context.Background(), leaveLimit)
	defer cancel()
	f(ctx)
}
