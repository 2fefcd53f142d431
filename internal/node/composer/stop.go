package composer

import (
	"context"
	"net/http"
	"time"
)

const (
	// stateWait is the time in which the last counts of a node reach the hubs.
	stateWait = 700 * time.Millisecond
	// leaveLimit bounds the handing over; a successor needs nothing of it to be
	// correct, only to be quick.
	leaveLimit = 500 * time.Millisecond
)

// stop ends the callers' interface: it takes requests until the balancer has
// noticed, and then finishes what runs.
func (n *Node) stop(server *http.Server) {
	n.stopping.Store(true)
	n.callers.Leave()
	n.log.Info().Msg("node drains")
	left := max(n.settings.Stop-stateWait-leaveLimit, 0)
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
	_ = n.clock.Sleep(context.Background(), stateWait)
	ctx, cancel := context.WithTimeout(context.Background(), leaveLimit)
	defer cancel()
	if n.parts.Leave != nil {
		n.parts.Leave(ctx)
	}
	n.leaveDuties(ctx)
	if err := n.members.registrar.Leave(ctx); err != nil {
		n.log.Warn().Err(err).Msg("the row of the node stays")
	}
}
