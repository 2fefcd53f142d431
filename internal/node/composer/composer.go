// Package composer builds a node of its parts, runs it and stops it.
//
// What is around a node is behind Ports: a store, a front for callers, a dialect
// for endpoints, and the receivers of reports and orders. What the node decides,
// keeps and recovers is the same code whatever the ports speak.
package composer

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"foxtailflow.example/foxtailflow/internal/base/acceptor"
	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/keeper"
	"foxtailflow.example/foxtailflow/internal/base/runner"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/decision/indexer"
	"foxtailflow.example/foxtailflow/internal/decision/picker"
	"foxtailflow.example/foxtailflow/internal/fleet/lister"
	"foxtailflow.example/foxtailflow/internal/fleet/observer"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
	"foxtailflow.example/foxtailflow/internal/request/chooser"
	"foxtailflow.example/foxtailflow/internal/request/dispatcher"
	"foxtailflow.example/foxtailflow/internal/request/forwarder"
	"foxtailflow.example/foxtailflow/internal/store/follower"
)

// Node is one process of the system.
type Node struct {
	settings Settings
	ports    Ports
	clock    timekeeper.Clock
	log      zerolog.Logger

	configs   *follower.Follower
	endpoints *follower.Follower
	config    keeper.Cell[loaded]
	pulse     follower.Pulse
	lister    *lister.Lister
	observer  *observer.Observer
	index     *indexer.Index
	handler   *dispatcher.Dispatcher
	members   members
	duties    duties
	parts     Parts
	stopping  atomic.Bool

	callers   *acceptor.Acceptor
	operators net.Listener
	// others are the further interfaces by their listeners.
	others []listening
}

// listening is an interface with its listener.
type listening struct {
	listener net.Listener
	server   *http.Server
}

// loaded is the configuration in force.
type loaded struct {
	config definer.Config
	ok     bool
}

// The times of following the store.
const (
	// configWait bounds the watch of the configuration, so that a silent store is
	// noticed long before the bounds for changes and leaving endpoints.
	configWait = 800 * time.Millisecond
	// listWait bounds the watches of the other tables: that of the configuration
	// shows whether the store answers.
	listWait = 8 * time.Second
	// listGap keeps the changes of a fleet that starts or drains from costing a
	// call of the store each; work is kept from a leaving endpoint that much later.
	listGap = 250 * time.Millisecond
	// refreshEvery is how often a table is read whole although its watch works.
	refreshEvery = 20 * time.Second
	// watchRetry is the delay after a call of the store that failed.
	watchRetry = 250 * time.Millisecond
	// listEvery is how often lapsed entries are looked at.
	listEvery = 500 * time.Millisecond
	// sweepEvery is how often idle connections are looked at.
	sweepEvery = 2 * time.Second
)

// New builds a node and opens its listeners.
func New(s Settings, p Ports, clock timekeeper.Clock, log zerolog.Logger) (*Node, error) {
	n := &Node{settings: s, ports: p, clock: clock, log: log}
	n.config.Rank = keeper.RankConfig
	callers, err := acceptor.Listen(s.CallersListen)
	if err != nil {
		return nil, err
	}
	n.callers = &acceptor.Acceptor{Listener: callers, Clock: clock, Limits: n.callerLimits}
	if s.OperatorsListen != "" {
		if n.operators, err = acceptor.Listen(s.OperatorsListen); err != nil {
			return nil, err
		}
	}
	if err := n.listenPeers(); err != nil {
		return nil, err
	}
	n.configs = n.follow(p.Config.Prefix, configWait, n.applyConfig)
	n.endpoints = n.follow(p.EndpointPrefix, listWait, n.applyEndpoints)
	n.endpoints.Gap = listGap
	n.lister = &lister.Lister{Clock: clock, Log: log, Snapshot: n.endpoints.Snapshot, Decode: p.DecodeEndpoint, Lapse: s.Lapse}
	n.observer = &observer.Observer{
		Clock: clock,
		Log:   log,
		VMs:   n.lister,
		Table: keeper.Table[string, picker.Endpoint]{Rank: keeper.RankEndpoints},
	}
	n.index = &indexer.Index{}
	n.observer.OnGone = n.index.Forget
	n.buildMembers()
	n.buildDuties()
	n.members.collector.Usage = n.duties.ledger
	if p.Extend != nil {
		n.parts = p.Extend(n)
	}
	n.buildRequests()
	if n.operators != nil {
		n.serve(n.parts.Operators, n.operators)
	}
	for address, routes := range map[string]func() http.Handler{s.ReadyListen: n.readyRoutes, s.MetricsListen: metricsRoutes} {
		if address == "" {
			continue
		}
		l, err := acceptor.Listen(address)
		if err != nil {
			return nil, err
		}
		n.serve(routes(), l)
	}
	return n, nil
}

// serve adds a further interface.
func (n *Node) serve(h http.Handler, l net.Listener) {
	n.others = append(n.others, listening{listener: l, server: &http.Server{Handler: h, ReadHeaderTimeout: headerWait}})
}

// follow returns what follows a table.
func (n *Node) follow(prefix string, wait time.Duration, apply func(follower.Snapshot)) *follower.Follower {
	return &follower.Follower{
		OnClock: n.readClock,
		OnBack:  n.hurry,
		Clock:   n.clock, Log: n.log, Feed: n.ports.Feed, Prefix: prefix, Pulse: &n.pulse, Relay: n.relay(),
		Wait: wait, Refresh: refreshEvery, Retry: watchRetry, OnChange: apply,
	}
}

// hurry does what has waited for the store.
func (n *Node) hurry() { n.duties.leaser.Hurry() }

// readClock takes a reading of the store's clock.
func (n *Node) readClock(store time.Duration) { n.duties.dater.Read(store) }

// Reread decodes the present configuration again, as what it is decoded with
// has changed.
func (n *Node) Reread() { n.takeConfig(n.configs.Snapshot(), true) }

// applyConfig takes a new configuration into force.
func (n *Node) applyConfig(s follower.Snapshot) { n.takeConfig(s, false) }

// takeConfig takes the configuration of a snapshot into force if it is newer,
// or the same and to be decoded again.
func (n *Node) takeConfig(s follower.Snapshot, again bool) {
	start := n.clock.Now()
	cfg, err := n.ports.Config.Decode(s)
	switch {
	case coder.Is(err, coder.ConfigNotLoaded):
		return
	case err != nil:
		n.log.Error().Uint64("row-version", s.Changed).Err(err).Msg("configuration cannot be read")
		return
	}
	n.config.Update(func(l loaded) (loaded, bool) {
		if l.ok && (cfg.Version() < l.config.Version() || cfg.Version() == l.config.Version() && !again) {
			return l, false
		}
		n.log.Info().Uint64("config-version", cfg.Version()).Uint64("before", l.config.Version()).
			Dur("decode-ms", n.clock.Now().Sub(start)).Msg("configuration in force")
		return loaded{config: cfg, ok: true}, true
	})
}

// Config returns the configuration in force; ConfigNotLoaded before the first.
func (n *Node) Config() (definer.Config, error) {
	l := n.config.Get()
	if !l.ok {
		return definer.Config{}, coder.Refuse(coder.ConfigNotLoaded, "the node has no configuration yet").WithRetryAfter(notLoadedRetry)
	}
	return l.config, nil
}

// notLoadedRetry is when a caller should come back to a node that starts.
const notLoadedRetry = 200 * time.Millisecond

func (n *Node) applyEndpoints(follower.Snapshot) {
	if err := n.observer.RefreshList(context.Background()); err != nil {
		n.log.Error().Err(err).Msg("endpoints not refreshed")
	}
}

// Ready reports why the node takes no requests, or nil.
func (n *Node) Ready() error {
	if n.stopping.Load() {
		return coder.Refuse(coder.ShuttingDown, "the node is shutting down")
	}
	if _, err := n.Config(); err != nil {
		return err
	}
	if !n.endpoints.Snapshot().Loaded() {
		return coder.Refuse(coder.NoEndpoint, "the node has not read the endpoints")
	}
	return n.Current()
}

// buildRequests builds what answers requests.
func (n *Node) buildRequests() {
	q := n.parts.Queue
	if q == nil {
		q = make(queue, queueLimit)
	}
	n.handler = &dispatcher.Dispatcher{
		Clock:   n.clock,
		Log:     n.ports.Requests,
		Configs: n,
		Chooser: chooser.Chooser{
			Clock: n.clock, Log: n.ports.Requests, DataCentre: n.settings.DataCentre,
			Observer: n.observer, Index: n.index, Note: n.note, Limits: n.Limits, Config: n.Config,
		},
		Endpoints: n.observer,
		Forwarder: forwarder.Forwarder{Clock: n.clock, Linker: n.ports.Links, Dialect: n.ports.Dialect},
		Queue:     q,
		Claims:    n.parts.Claims,
		Usage:     n.parts.Usage,
		Engines:   n.ports.Engines,
		Random:    rand.Float64,
		Nodes:     func() int { return n.members.collector.Count() },
	}
	if n.parts.Usage == nil {
		n.handler.Begun = n.begun
	}
}

// Do answers a request through reply.
func (n *Node) Do(ctx context.Context, r carrier.Request, reply carrier.Reply) carrier.Result {
	return n.handler.Do(ctx, r, reply)
}

// note tells the other nodes that an engine works on beginnings.
func (n *Node) note(engine string, keys []uint64) { n.members.collector.Note(engine, keys) }

// Limits returns the limits in force, or the default before the first.
func (n *Node) Limits() definer.Limits {
	if l := n.config.Get(); l.ok {
		return l.config.Limits()
	}
	return definer.DefaultLimits()
}

// callerLimits returns what callers may take.
func (n *Node) callerLimits() acceptor.Limits {
	l := n.Limits()
	return acceptor.Limits{Header: l.HeaderWait, Idle: l.IdleWait}
}

// Run serves until ctx is done, then finishes what runs and returns.
func (n *Node) Run(ctx context.Context) error {
	tasks, stopTasks := context.WithCancel(context.WithoutCancel(ctx))
	defer stopTasks()
	var wg conc.WaitGroup
	wg.Go(func() { n.configs.Run(tasks) })
	wg.Go(func() { n.endpoints.Run(tasks) })
	wg.Go(func() { n.runMembers(tasks) })
	for _, p := range n.periodic() {
		wg.Go(func() { p.Run(tasks, n.clock, n.log) })
	}
	wg.Go(func() {
		runner.Pool[*dispatcher.Job]{Workers: n.settings.Workers, Source: n.handler.Queue, Handle: n.handler.Handle}.Run(tasks)
	})
	callers := &http.Server{
		Handler:           n.callers.Handler(n.ports.Callers(n)),
		ReadHeaderTimeout: headerWait,
		MaxHeaderBytes:    maxHeader,
		ConnState:         n.callers.Note,
	}
	wg.Go(func() { acceptor.Serve(n.log, callers, n.callers) })
	for _, o := range n.others {
		wg.Go(func() { acceptor.Serve(n.log, o.server, o.listener) })
	}
	n.log.Info().Str("node", n.settings.ID).Str("data-centre", n.settings.DataCentre).
		Str("callers", n.settings.CallersListen).Msg("node started")
	<-ctx.Done()
	n.stop(callers)
	n.leave()
	for _, o := range n.others {
		_ = o.server.Close()
	}
	stopTasks()
	wg.Wait()
	n.log.Info().Msg("node stopped")
	return nil
}

const (
	// headerWait bounds the header of a request where the configuration does not.
	headerWait = 10 * time.Second
	// maxHeader is the greatest header that any configuration allows.
	maxHeader = 1 << 20
	// queueLimit bounds the requests that wait for a worker of the node.
	queueLimit = 4096
)

func (n *Node) periodic() []runner.Periodic {
	return slices.Concat(n.dutyTasks(), n.parts.Tasks, []runner.Periodic{
		{Name: "endpoint-list", Every: listEvery, Task: n.observer.RefreshList},
		{Name: "registration", Every: registerEvery, Task: n.members.registrar.Register},
		{Name: "connections", Every: sweepEvery, Task: n.ports.Links.Sweep},
	})
}
