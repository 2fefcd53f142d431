package composer

import (
	"expvar"
	"net/http"

	"github.com/julienschmidt/httprouter"
)

// MetricsPath is where counters and histograms are served.
const MetricsPath = "/debug/vars"

// metricsRoutes returns the interface for counters and histograms.
func metricsRoutes() http.Handler {
	r := httprouter.New()
	r.Handler(http.MethodGet, MetricsPath, expvar.Handler())
	return r
}

// readyRoutes returns the interface for the balancer.
func (n *Node) readyRoutes() http.Handler {
	r := httprouter.New()
	r.GET(n.ports.ReadyPath, func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		if err := n.Ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return r
}
