package composer

import (
	"context"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// finalUpdateDelay is the time for the last counts of a node to reach the hubs.
	finalUpdateDelay = 700 * time.Millisecond
	// finalResponseTime is the time in which the requests that are still running at the
	// end of a stop get their responses.
	finalResponseTime = 200 * time.Millisecond
	// handOverTimeout limits each of the two steps of the handover. A successor is
	// correct without them, but slower to take over.
	handOverTimeout = 300 * time.Millisecond
)

// stop shuts the callers' interface down: it accepts requests until the load balancer
// has noticed, and then finishes the requests in flight.
func (n *Node) stop(server *http.Server) {
	n.stopping.Store(true)
	n.callers.CloseAfterResponse()
	n.log.Info().Msg("node is draining")
	remaining := max(n.settings.StopTimeout-finalUpdateDelay-2*handOverTimeout, 0)
	if n.settings.StopTimeout == 0 {
		remaining = n.settings.BalancerDelay + n.Limits().DrainTimeout
	}
	n.dispatcher.EndBy(n.clock.Now().Add(remaining))
	ctx, cancel := context.WithTimeout(context.Background(), remaining+finalResponseTime)
	defer cancel()
	// The last responses are written while the row of the node is deleted.
	var wg conc.WaitGroup
	defer wg.Wait()
	running, endRunning := context.WithTimeout(ctx, remaining)
	defer endRunning()
	wg.Go(func() {
		<-running.Done()
		n.deregister()
	})
	// If there is little time, half of it is kept for the requests in flight.
	_ = n.clock.Sleep(ctx, min(n.settings.BalancerDelay, remaining/2))
	if err := n.callers.Shutdown(ctx); err != nil {
		n.log.Warn().Err(err).Msg("requests were still running when the time to stop ended")
	}
	_ = server.Close()
}

// deregister deletes the row of the node. Without it the node is no longer a hub, and
// sends its last counts to the next one.
func (n *Node) deregister() {
	n.duties.leaving.Store(true)
	n.handOver(func(ctx context.Context) {
		if err := n.members.registrar.Deregister(ctx); err != nil {
			n.log.Warn().Err(err).Msg("the row of the node stays")
		}
	})
}

// leave hands over what the node holds, once it serves no more requests.
func (n *Node) leave() {
	_ = n.clock.Sleep(context.Background(), finalUpdateDelay)
	n.handOver(func(ctx context.Context) {
		if n.components.HandOver != nil {
			n.components.HandOver(ctx)
		}
		if err := n.duties.reporter.Save(ctx); err != nil {
			n.log.Warn().Err(err).Msg("the last counts of usage are not written down")
		}
		n.duties.leaser.Release(ctx)
	})
}

// handOver runs a step of the handover with its timeout.
func (n *Node) handOver(f func(context.Context)) {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	f(ctx)
}
