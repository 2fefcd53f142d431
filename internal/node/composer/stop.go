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

// closing has callers open new connections, which the balancer takes to other
// nodes, once this node stops.
//
// An idle connection is not closed before: a request may be on its way on it.
func (n *Node) closing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// stop ends the callers' interface: it takes requests until the balancer has
// noticed, and then finishes what runs.
func (n *Node) stop(server *http.Server) {
	n.stopping.Store(true)
	n.log.Info().Msg("node drains")
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.Stop-stateWait-leaveLimit)
	defer cancel()
	_ = n.clock.Sleep(ctx, n.settings.LeaveWait)
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
	n.leaveDuties(ctx)
	if err := n.members.registrar.Leave(ctx); err != nil {
		n.log.Warn().Err(err).Msg("the row of the node stays")
	}
}
