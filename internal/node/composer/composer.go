// Package composer builds a node from its components, runs it and stops it.
//
// Ports hold what differs between platforms: the store, the callers' interface, the
// protocol of the endpoints, and the receivers of reports and orders. The decisions
// of a node, its state and its recovery are the same code for all of them.
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
	"foxtailflow.example/foxtailflow/internal/base/lagmeter"
	"foxtailflow.example/foxtailflow/internal/base/reserver"
	"foxtailflow.example/foxtailflow/internal/base/runner"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/decision/explainer"
	"foxtailflow.example/foxtailflow/internal/decision/indexer"
	"foxtailflow.example/foxtailflow/internal/decision/picker"
	"foxtailflow.example/foxtailflow/internal/fleet/excluder"
	"foxtailflow.example/foxtailflow/internal/fleet/lister"
	"foxtailflow.example/foxtailflow/internal/fleet/observer"
	"foxtailflow.example/foxtailflow/internal/fleet/pacer"
	"foxtailflow.example/foxtailflow/internal/fleet/verifier"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
	"foxtailflow.example/foxtailflow/internal/request/chooser"
	"foxtailflow.example/foxtailflow/internal/request/dispatcher"
	"foxtailflow.example/foxtailflow/internal/request/enforcer"
	"foxtailflow.example/foxtailflow/internal/request/forwarder"
	"foxtailflow.example/foxtailflow/internal/request/quarantiner"
	"foxtailflow.example/foxtailflow/internal/request/sharer"
	"foxtailflow.example/foxtailflow/internal/store/follower"
)

// Node is one process of the system.
type Node struct {
	settings Settings
	ports    Ports
	clock    timekeeper.Clock
	log      zerolog.Logger
	memory   *reserver.Memory

	configs      *follower.Follower
	endpoints    *follower.Follower
	config       keeper.Cell[loadedConfig]
	reachability follower.Reachability
	lag          lagmeter.Meter
	// appliedConfig and appliedList are what the configuration in force and the endpoint
	// table reflect of their tables.
	appliedConfig appliedTable
	appliedList   appliedTable
	lister        *lister.Lister
	observer      *observer.Observer
	index         *indexer.Index
	pacer         *pacer.Pacer
	excluder      *excluder.Excluder
	verifier      *verifier.Verifier
	quarantine    *quarantiner.Quarantine
	quotas        *enforcer.Enforcer
	harmful       *follower.Follower
	dispatcher    *dispatcher.Dispatcher
	members       members
	duties        duties
	components    Components
	startedAt     time.Time
	stopping      atomic.Bool

	callers   *acceptor.Acceptor
	operators net.Listener
	// extraServers are the servers besides that for callers.
	extraServers []boundServer
}

// loadedConfig is the configuration in force, if there is one.
type loadedConfig struct {
	config definer.Config
	ok     bool
}

// The intervals and timeouts for following the store.
const (
	// watchTimeout and maxContentAge bound the age of the configuration and of the
	// endpoints at every node: an undisturbed node knows a change within maxContentAge,
	// and a read of the store. With the time to open a connection to an endpoint, that
	// is less than the 2 s for which an endpoint serves after it has announced that
	// it is leaving.
	watchTimeout  = 800 * time.Millisecond
	maxContentAge = 1200 * time.Millisecond
	// nodesWatchTimeout and maxNodesAge are the same for the registered nodes, which
	// may be known later.
	nodesWatchTimeout = 8 * time.Second
	maxNodesAge       = 10 * time.Second
	// harmfulWatchTimeout and maxHarmfulAge are the same for the prompts that crash
	// endpoints; the nodes also tell each other of the crashes.
	harmfulWatchTimeout = 8 * time.Second
	maxHarmfulAge       = 10 * time.Second
	// endpointChangeDelay batches the changes of a fleet that starts or drains, each
	// of which would otherwise cost a call to the store. Work is kept from a draining
	// endpoint that much later.
	endpointChangeDelay = 250 * time.Millisecond
	// refreshInterval is how often a table is read completely although its watch
	// works.
	refreshInterval = 20 * time.Second
	// watchRetryDelay is the delay after a failed call to the store.
	watchRetryDelay = 250 * time.Millisecond
	// listInterval is how often lapsed entries are checked.
	listInterval = 500 * time.Millisecond
	// sweepInterval is how often idle connections are checked.
	sweepInterval = 2 * time.Second
)

// New builds a node and opens its listeners. After an error, none is open.
func New(s Settings, p Ports, clock timekeeper.Clock, log zerolog.Logger) (*Node, error) {
	n := &Node{settings: s, ports: p, clock: clock, log: log, memory: reserver.New(s.MemoryBytes, clock), startedAt: clock.Now()}
	n.memory.Clients().Report(n.logClosedClient)
	if err := n.build(); err != nil {
		n.closeListeners()
		return nil, err
	}
	return n, nil
}

// closeListeners closes the listeners that are open.
func (n *Node) closeListeners() {
	var open []net.Listener
	if n.callers != nil {
		open = append(open, n.callers)
	}
	if n.members.listener != nil {
		open = append(open, n.members.listener)
	}
	if n.operators != nil {
		open = append(open, n.operators)
	}
	for _, x := range n.extraServers {
		open = append(open, x.listener)
	}
	for _, l := range open {
		_ = l.Close()
	}
}

// build opens the listeners and builds the components of a node.
func (n *Node) build() error {
	s, p, clock, log := n.settings, n.ports, n.clock, n.log
	n.config.Rank = keeper.RankConfig
	n.lag.Clock = clock
	callers, err := acceptor.Listen(s.CallersListen)
	if err != nil {
		return err
	}
	n.callers = n.newAcceptor(callers)
	if s.OperatorsListen != "" {
		if n.operators, err = acceptor.Listen(s.OperatorsListen); err != nil {
			return err
		}
	}
	if err := n.listenPeers(); err != nil {
		return err
	}
	n.configs = n.newFollower(p.Config.KeyPrefix, watchTimeout, maxContentAge, n.applyConfig)
	n.endpoints = n.newFollower(p.EndpointKeyPrefix, watchTimeout, maxContentAge, n.applyEndpoints)
	n.endpoints.ChangeDelay = endpointChangeDelay
	n.appliedConfig.follower, n.appliedList.follower = n.configs, n.endpoints
	n.lister = &lister.Lister{Clock: clock, Log: log, Snapshot: n.endpoints.Snapshot, Decode: p.DecodeEndpoint, RewriteTimeout: s.EntryRewriteTimeout}
	n.observer = &observer.Observer{
		Clock: clock,
		Log:   log,
		VMs:   n.lister,
		Table: keeper.Table[string, picker.Endpoint]{Rank: keeper.RankEndpoints},
	}
	n.index = &indexer.Index{}
	n.buildGates()
	n.observer.OnRemove = func(id string) { n.index.Forget(id); n.pacer.Forget(id) }
	n.buildQuarantine()
	n.buildQuotas()
	n.buildMembers()
	n.buildDuties()
	n.members.collector.Usage = n.duties.ledger
	n.members.collector.Crashes = n.quarantine
	if p.Components != nil {
		n.components = p.Components(n)
	}
	n.buildDispatcher()
	if n.operators != nil {
		n.addServer(n.components.Operators, n.operators)
	}
	for address, routes := range map[string]func() http.Handler{s.ReadyListen: n.readyRoutes, s.MetricsListen: metricsRoutes} {
		if address == "" {
			continue
		}
		l, err := acceptor.Listen(address)
		if err != nil {
			return err
		}
		n.addServer(routes(), l)
	}
	return nil
}

// newFollower returns a follower of the table with a key prefix.
func (n *Node) newFollower(prefix string, watchTimeout, maxAge time.Duration, apply func(follower.Snapshot)) *follower.Follower {
	return &follower.Follower{
		OnClock:     n.setStoreClock,
		OnAvailable: n.storeAvailable,
		Clock:       n.clock, Log: n.log, Feed: n.ports.Feed, Prefix: prefix, Reachability: &n.reachability, Relay: n.relay(),
		WatchTimeout: watchTimeout, MaxAge: maxAge, RefreshInterval: refreshInterval, RetryDelay: watchRetryDelay, OnChange: apply,
		Lag: n.lag.Lag, UnavailableToMost: n.unavailableToMost,
	}
}

// storeAvailable resumes what was postponed during an outage of the store.
func (n *Node) storeAvailable() { n.duties.leaser.MakeDue() }

// setStoreClock records a reading of the store's clock.
func (n *Node) setStoreClock(store time.Duration) { n.duties.synchronizer.SetStoreClock(store) }

// ReloadConfig decodes the current configuration again after a change of what the
// decoder depends on.
func (n *Node) ReloadConfig() { n.updateConfig(n.configs.Snapshot(), true) }

// AwaitConfig waits until the configuration in force is young enough to serve a request by.
// It fails with ViewNotCurrent if that takes too long.
func (n *Node) AwaitConfig(ctx context.Context) error {
	return n.freshness(&n.appliedConfig, n.settings.ConfigNotice, coder.ViewNotCurrent).Await(ctx)
}

// applyConfig brings a new configuration into force.
func (n *Node) applyConfig(s follower.Snapshot) {
	n.updateConfig(s, false)
	n.appliedConfig.set(s)
}

// updateConfig brings the configuration of a snapshot into force if it is newer, or
// with force also if it has the same version.
func (n *Node) updateConfig(s follower.Snapshot, force bool) {
	start := n.clock.Now()
	cfg, err := n.ports.Config.Decode(s)
	switch {
	case coder.Is(err, coder.ConfigNotLoaded):
		return
	case err != nil:
		n.log.Error().Stringer("row-version", s.ChangedVersion).Err(err).Msg("failed to decode the configuration")
		return
	}
	n.config.Update(func(l loadedConfig) (loadedConfig, bool) {
		if l.ok && (cfg.Version() < l.config.Version() || cfg.Version() == l.config.Version() && !force) {
			return l, false
		}
		n.log.Info().Uint64("config-version", cfg.Version()).Uint64("before", l.config.Version()).
			Dur("decode-ms", n.clock.Now().Sub(start)).Msg("configuration in force")
		return loadedConfig{config: cfg, ok: true}, true
	})
}

// Config returns the configuration in force; ConfigNotLoaded before the first.
func (n *Node) Config() (definer.Config, error) {
	l := n.config.Get()
	if !l.ok {
		return definer.Config{}, coder.Refuse(coder.ConfigNotLoaded, "the node has no configuration yet").WithRetryAfter(notLoadedRetryAfter)
	}
	return l.config, nil
}

// notLoadedRetryAfter is after how long a caller should retry while the node starts.
const notLoadedRetryAfter = 200 * time.Millisecond

func (n *Node) applyEndpoints(s follower.Snapshot) {
	if !n.refreshEndpoints() {
		return
	}
	n.appliedList.set(s)
	if left := n.settings.EntryRewriteTimeout - n.clock.Now().Sub(s.OutageEndedAt); left > 0 {
		// Entries that are missing until then are dropped at once.
		n.clock.AfterFunc(left, func() { n.refreshEndpoints() })
	}
}

// refreshEndpoints applies the list of endpoints to their table, and reports whether that
// has succeeded.
func (n *Node) refreshEndpoints() bool {
	err := n.observer.RefreshList(context.Background())
	if err != nil {
		n.log.Error().Err(err).Msg("failed to refresh the endpoints")
	}
	return err == nil
}

// Ready returns why the node accepts no requests, or nil if it accepts them.
func (n *Node) Ready() error {
	if n.stopping.Load() {
		return coder.Refuse(coder.ShuttingDown, "the node is shutting down")
	}
	if _, err := n.Config(); err != nil {
		return err
	}
	if !n.endpoints.Snapshot().Loaded() {
		return coder.Refuse(coder.NoEndpoint, "the node has not read the endpoints yet")
	}
	if !n.knowsHarmfulPrompts() {
		return coder.Refuse(coder.NoEndpoint, "the node does not know yet which prompts crash endpoints")
	}
	return n.CheckCurrent()
}

// joinTimeout is how long after its start a node waits for a hub until it serves
// without one.
const joinTimeout = 2 * time.Second

// knowsHarmfulPrompts reports whether the node knows which prompts crash endpoints: it
// has read the stored ones, and its hub has sent what is not stored yet.
func (n *Node) knowsHarmfulPrompts() bool {
	joined := n.members.collector.Hub() != "" || n.clock.Now().Sub(n.startedAt) > joinTimeout
	return joined && n.harmful.Snapshot().Loaded()
}

// buildQuarantine builds what keeps prompts that crash endpoints away from them.
func (n *Node) buildQuarantine() {
	q := quarantiner.New()
	q.Clock, q.Log, q.Table = n.clock, n.log, n.ports.Table
	q.Endpoint = n.observer.Table.Get
	q.Connect = n.ports.EndpointTransport.Connect
	q.StoresFindings = func() bool { return n.members.collector.IsHub() }
	n.quarantine = q
	n.harmful = n.newFollower(quarantiner.KeyPrefix, harmfulWatchTimeout, maxHarmfulAge, q.Apply)
}

// Quarantined lists the prompt patterns that are refused because they crash endpoints.
func (n *Node) Quarantined() []quarantiner.Entry { return n.quarantine.List() }

// ReleaseQuarantined takes a prompt pattern out of force on all nodes.
func (n *Node) ReleaseQuarantined(ctx context.Context, key string) error {
	return n.quarantine.Release(ctx, key)
}

// buildDispatcher builds the dispatcher of requests.
func (n *Node) buildDispatcher() {
	q := n.components.Queue
	if q == nil {
		q = &sharer.Queue[*dispatcher.Job]{Workers: n.settings.Workers, Limit: queueLimit, Deployments: n.deploymentCount}
	}
	n.dispatcher = &dispatcher.Dispatcher{
		Clock:   n.clock,
		Log:     n.ports.RequestLog,
		Configs: n,
		Chooser: chooser.Chooser{
			Clock: n.clock, Log: n.ports.RequestLog, DataCentre: n.settings.DataCentre,
			Observer: n.observer, Index: n.index, NotifyPrefixes: n.recordPrefixes, Limits: n.Limits, Config: n.Config,
			ListState: n.listState,
		},
		Endpoints: n.observer,
		List:      n.verifier,
		Forwarder: forwarder.Forwarder{
			Clock: n.clock, Log: n.ports.RequestLog, Transport: n.ports.EndpointTransport, Dialect: n.ports.Dialect, Memory: n.memory,
			ListAge: func() time.Duration { return n.appliedList.age(n.clock.Now()) },
		},
		Queue:      q,
		Claims:     n.components.Claims,
		Usage:      n.components.Usage,
		Engines:    n.ports.Engines,
		Quarantine: n.quarantine,
		Random:     rand.Float64,
		Nodes:      func() int { return n.members.collector.NodeCount() },
	}
	if n.components.Usage == nil {
		n.dispatcher.OnBegun = n.countRequest
	}
}

// deploymentCount returns the number of deployments that requests are sent to.
func (n *Node) deploymentCount() int { return n.config.Get().config.DeploymentCount() }

// Do processes a request and writes the response to w.
func (n *Node) Do(ctx context.Context, r carrier.Request, w carrier.ResponseWriter) carrier.Result {
	return n.dispatcher.Do(ctx, r, w)
}

// listState returns the version, age and source of the endpoints' entries.
func (n *Node) listState() explainer.ListState {
	s := n.endpoints.Snapshot()
	return explainer.ListState{Version: s.ChangedVersion.Number(), Age: s.Age(n.clock.Now()), Source: s.Source}
}

// recordPrefixes reports to the other nodes that an engine prefills the prefixes
// with the given keys.
func (n *Node) recordPrefixes(engine string, keys []uint64, tokens int) {
	n.members.collector.RecordPrefixes(engine, keys, tokens)
}

// Memory returns the memory for the data of callers and endpoints.
func (n *Node) Memory() *reserver.Memory { return n.memory }

// Limits returns the limits in force, or the defaults before the first
// configuration.
func (n *Node) Limits() definer.Limits {
	if l := n.config.Get(); l.ok {
		return l.config.Limits()
	}
	return definer.DefaultLimits()
}

// Run serves until ctx is done, then finishes the requests in flight and returns.
func (n *Node) Run(ctx context.Context) error {
	tasks, stopTasks := context.WithCancel(context.WithoutCancel(ctx))
	defer stopTasks()
	var wg conc.WaitGroup
	wg.Go(func() { n.lag.Run(tasks) })
	wg.Go(func() { n.configs.Run(tasks) })
	wg.Go(func() { n.endpoints.Run(tasks) })
	wg.Go(func() { n.runMembers(tasks) })
	wg.Go(func() { n.harmful.Run(tasks) })
	wg.Go(func() { n.quarantine.Run(tasks) })
	for _, p := range n.periodicTasks() {
		wg.Go(func() { p.Run(tasks, n.clock, n.log) })
	}
	wg.Go(func() {
		runner.Pool[*dispatcher.Job]{Workers: n.settings.Workers, Source: n.dispatcher.Queue, Handle: n.dispatcher.Handle}.Run(tasks)
	})
	callers := newServer(n.callers, n.ports.Callers(n), maxHeaderBytes)
	wg.Go(func() { acceptor.Serve(n.log, callers, n.callers) })
	for _, o := range n.extraServers {
		wg.Go(func() { acceptor.Serve(n.log, o.server, o.listener) })
	}
	n.log.Info().Str("node", n.settings.ID).Str("data-centre", n.settings.DataCentre).
		Str("callers", n.settings.CallersListen).Msg("node started")
	<-ctx.Done()
	n.stop(callers)
	n.leave()
	for _, o := range n.extraServers {
		_ = o.server.Close()
	}
	stopTasks()
	wg.Wait()
	n.log.Info().Msg("node stopped")
	return nil
}

// queueLimit is the maximum number of requests of one deployment that are queued for a
// worker.
const queueLimit = 4096

func (n *Node) periodicTasks() []runner.Periodic {
	return slices.Concat(n.dutyTasks(), n.components.Tasks, []runner.Periodic{
		{Name: "endpoint-list", Interval: listInterval, Task: n.observer.RefreshList},
		{Name: "quarantine", Interval: quarantiner.AssessInterval, RetryInterval: time.Second, Task: n.quarantine.Assess},
		{Name: "registration", Interval: registerInterval, Task: n.members.registrar.Register},
		{Name: "endpoint-marks", Interval: sweepInterval, Task: n.excluder.Sweep},
		{Name: "connections", Interval: sweepInterval, Task: n.ports.EndpointTransport.CloseExpired},
	})
}
