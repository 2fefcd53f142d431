package composer

import (
	"net"
	"net/http"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/acceptor"
	"foxtailflow.example/foxtailflow/internal/base/reserver"
)

const (
	// headerTimeout limits the time for the header of a request where the
	// configuration does not.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes is the largest header that any configuration allows.
	maxHeaderBytes = 1 << 20
	// maxOwnHeaderBytes is the largest header at the ports that are not for callers. Their
	// requests have a path and a credential.
	maxOwnHeaderBytes = 16 << 10
)

// boundServer is an HTTP server with its listener.
type boundServer struct {
	listener *acceptor.Acceptor
	server   *http.Server
}

// newAcceptor returns the acceptor of the connections of a listener.
func (n *Node) newAcceptor(l net.Listener) *acceptor.Acceptor {
	return &acceptor.Acceptor{Listener: l, Clock: n.clock, Limits: n.callerLimits, Clients: n.memory.Clients()}
}

// callerLimits returns the limits of the connections of clients.
func (n *Node) callerLimits() acceptor.Limits {
	l := n.Limits()
	return acceptor.Limits{HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout, MaxHeader: l.MaxHeader}
}

// newServer returns an HTTP server for the connections of an acceptor.
func newServer(a *acceptor.Acceptor, h http.Handler, maxHeader int) *http.Server {
	return &http.Server{
		Handler:           a.Handler(h),
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeader,
		ConnState:         a.TrackState,
		ConnContext:       a.ConnContext,
	}
}

// addServer adds an HTTP server on a listener, beside that for callers.
func (n *Node) addServer(h http.Handler, l net.Listener) {
	a := n.newAcceptor(l)
	n.extraServers = append(n.extraServers, boundServer{listener: a, server: newServer(a, h, maxOwnHeaderBytes)})
}

// logClosedClient logs that a connection was closed because a resource was exhausted.
func (n *Node) logClosedClient(c reserver.Closed) {
	n.log.Warn().Str("resource", string(c.Resource)).Stringer("client-address", c.Address).
		Str("client-account", c.Account).Int64("held-bytes", c.Bytes).Dur("without-progress-ms", c.Waited).Int("closed", c.Count).Msg("connections of clients closed, too much is held")
}
