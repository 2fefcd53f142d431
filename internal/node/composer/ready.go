package composer

import (
	"expvar"
	"net/http"

	"github.com/julienschmidt/httprouter"
)

// MetricsPath is the path of the counters and histograms.
const MetricsPath = "/debug/vars"

// metricsRoutes returns the handler for counters and histograms.
func metricsRoutes() http.Handler {
	r := httprouter.New()
	r.Handler(http.MethodGet, MetricsPath, expvar.Handler())
	return r
}

// readyRoutes returns the handler for the load balancer's readiness check.
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
