// Package receiver is the callers' HTTP interface.
//
// It converts an HTTP request to a carrier.Request, passes it to a Handler, and sends
// the response or a numbered refusal. A request that is refused before the Handler
// gets it has not run.
package receiver

import (
	"context"
	"expvar"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/rs/zerolog"

	"foxtailflow.example/foxtailflow/internal/auth/authenticator"
	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/identifier"
	"foxtailflow.example/foxtailflow/internal/base/reserver"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/front/encoder"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
	"foxtailflow.example/foxtailflow/internal/request/enforcer"
)

// Handler processes requests.
type Handler interface {
	// Do processes r, writes the response to w and returns when that is done.
	Do(ctx context.Context, r carrier.Request, w carrier.ResponseWriter) carrier.Result
}

// ConfigSource provides the configuration in force.
type ConfigSource interface {
	// Config returns the newest configuration; ConfigNotLoaded before the first.
	Config() (definer.Config, error)
	// CheckCurrent returns ViewNotCurrent if the configuration may be outdated.
	CheckCurrent() error
}

// Receiver serves callers.
type Receiver struct {
	Clock   timekeeper.Clock
	Log     zerolog.Logger
	Configs ConfigSource
	Handler Handler
	// Memory bounds the bodies that are held; nil means no bound.
	Memory *reserver.Memory
	// Quotas charges requests to the quotas of client accounts; nil means that there are
	// none.
	Quotas *enforcer.Enforcer
	// CheckReady returns why the node accepts no requests, or nil if it accepts
	// them.
	CheckReady func() error
}

// Routes returns the callers' HTTP interface.
func (rc Receiver) Routes() http.Handler {
	r := httprouter.New()
	r.RedirectTrailingSlash = false
	r.RedirectFixedPath = false
	r.MethodNotAllowed = http.HandlerFunc(rc.methodNotServed)
	r.POST("/v1/chat/completions", rc.chat)
	r.POST("/v1/completions", rc.completion)
	r.GET("/v1/models", rc.models)
	r.GET("/healthz", rc.health)
	r.GET("/readyz", rc.ready)
	// Some load balancers check with HEAD.
	r.HEAD("/healthz", rc.health)
	r.HEAD("/readyz", rc.ready)
	r.Handler(http.MethodGet, "/debug/vars", expvar.Handler())
	r.NotFound = http.HandlerFunc(rc.plain)
	return r
}

func (rc Receiver) health(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	_, _ = w.Write([]byte("ok\n"))
}

func (rc Receiver) ready(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if err := rc.CheckReady(); err != nil {
		encoder.WriteRefusal(w, coder.FromError(err))
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

func (rc Receiver) models(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	w.Header().Set(encoder.HeaderRequestID, identifier.NewRequestID())
	cfg, err := rc.Configs.Config()
	if err != nil {
		encoder.WriteRefusal(w, coder.FromError(err))
		return
	}
	caller, err := authenticator.Identify(cfg, r.Header.Get("Authorization"))
	if err == nil {
		// A key that was withdrawn through another node must not work here either.
		err = rc.Configs.CheckCurrent()
	}
	var served []definer.Route
	for _, route := range cfg.Routes() {
		open := route.Access == definer.Open
		if route.Kind == definer.Model && (open || err == nil && route.Allows(caller.Account.Name)) {
			served = append(served, route)
		}
	}
	if err != nil && len(served) == 0 {
		encoder.WriteRefusal(w, coder.FromError(err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(encoder.EncodeModels(served))
}

// authorize checks that the node may serve the route to the caller.
func (rc Receiver) authorize(cfg definer.Config, route definer.Route, r *http.Request) (authenticator.Caller, error) {
	caller, err := authenticator.Authenticate(cfg, route, r.Header.Get("Authorization"))
	if err != nil {
		return authenticator.Caller{}, err
	}
	if route.Access == definer.Keyed {
		err = rc.Configs.CheckCurrent()
	}
	return caller, err
}

// deadline returns when the response must be complete: after the route's deadline, or
// after a shorter timeout that the caller sets.
func deadline(now time.Time, route definer.Route, h http.Header) (time.Time, error) {
	d := route.Deadline
	if text := h.Get(encoder.HeaderTimeout); text != "" {
		requested, err := time.ParseDuration(text)
		if err != nil || requested <= 0 {
			return time.Time{}, coder.Refuse(coder.MalformedHeader, "%s is not a duration such as 2s", encoder.HeaderTimeout)
		}
		d = min(d, requested)
	}
	return now.Add(d), nil
}
