package composer

import (
	"cmp"
	"context"
	"net"
	"slices"
	"time"

	"github.com/sourcegraph/conc"
	"google.golang.org/grpc"

	"foxtailflow.example/foxtailflow/internal/base/acceptor"
	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/keeper"
	"foxtailflow.example/foxtailflow/internal/decision/calibrator"
	"foxtailflow.example/foxtailflow/internal/decision/indexer"
	"foxtailflow.example/foxtailflow/internal/decision/picker"
	"foxtailflow.example/foxtailflow/internal/decision/shedder"
	"foxtailflow.example/foxtailflow/internal/fleet/observer"
	"foxtailflow.example/foxtailflow/internal/fleet/pacer"
	"foxtailflow.example/foxtailflow/internal/inner/courier"
	"foxtailflow.example/foxtailflow/internal/inner/dialer"
	"foxtailflow.example/foxtailflow/internal/member/collector"
	"foxtailflow.example/foxtailflow/internal/member/locator"
	"foxtailflow.example/foxtailflow/internal/member/registrar"
	"foxtailflow.example/foxtailflow/internal/request/enforcer"
	"foxtailflow.example/foxtailflow/internal/store/follower"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

// members are the components of a node that communicate with the other nodes.
type members struct {
	registrar  *registrar.Registrar
	collector  *collector.Collector
	nodes      *follower.Follower
	peerClient *courier.Client
	listener   net.Listener
	server     *grpc.Server
	work       workTracker
	// listedAt is when this node first read its own row.
	listedAt keeper.Cell[time.Time]
	// configConfirmation is the newest confirmation received from other nodes.
	configConfirmation keeper.Cell[configConfirmation]
}

// configConfirmation records that a version of the configuration was the newest at
// a time.
type configConfirmation struct {
	version uint64
	at      time.Time
}

// registerInterval is how often a node checks that its row exists.
const registerInterval = time.Second

// listenPeers opens the listener for other nodes. The row of this node has its
// address.
func (n *Node) listenPeers() error {
	l, err := acceptor.Listen(n.settings.PeersListen)
	if err != nil {
		return err
	}
	if n.settings.PeersAdvertise == "" || n.settings.PeersAdvertise == n.settings.PeersListen {
		n.settings.PeersAdvertise = l.Addr().String()
	}
	n.members.listener = l
	n.members.registrar = &registrar.Registrar{
		Log: n.log, Table: n.ports.Table,
		Self: registrar.Node{
			ID:               n.settings.ID,
			Address:          n.settings.PeersAdvertise,
			OperatorsAddress: n.OperatorsAddress(),
			DataCentre:       n.settings.DataCentre,
			Incarnation:      uint64(n.clock.Now().UnixNano()),
		},
		ClockOffset: func() (time.Duration, bool) { return n.duties.synchronizer.Offset() },
	}
	return nil
}

func (n *Node) buildMembers() {
	m := &n.members
	m.peerClient = &courier.Client{Connections: dialer.Connections{Dial: n.ports.Dial}}
	m.work = workTracker{
		observer:        n.observer,
		quotas:          n.quotas,
		index:           n.index,
		pacer:           n.pacer,
		changingEngines: n.changingEngines,
		engineIDs:       &keeper.Cell[map[courier.EngineHash]string]{},
		localState:      n.localState,
		remote:          &keeper.Cell[remoteWork]{},
		configFreshness: n.configFreshness,
		confirmConfig:   n.confirmConfig,
	}
	m.collector = &collector.Collector{
		Clock:  n.clock,
		Log:    n.log,
		Self:   m.registrar.Self,
		Nodes:  m.registrar,
		Dialer: hubDialer{m.peerClient},
		Work:   m.work,
	}
	m.nodes = n.newFollower(registrar.KeyPrefix, nodesWatchTimeout, maxNodesAge, n.applyNodes)
	m.server, m.listener = courier.NewServer(peerService{n}, m.listener, n.memory.Clients())
}

// applyNodes updates the registered nodes from their rows.
func (n *Node) applyNodes(s follower.Snapshot) {
	m := &n.members
	m.registrar.Apply(s)
	self := m.registrar.Self
	for _, node := range m.registrar.Nodes() {
		if node.ID == self.ID && node.Incarnation == self.Incarnation {
			m.listedAt.Update(func(at time.Time) (time.Time, bool) { return n.clock.Now(), at.IsZero() })
		}
	}
}

// runMembers runs the communication with the other nodes until ctx is done.
func (n *Node) runMembers(ctx context.Context) {
	var wg conc.WaitGroup
	wg.Go(func() { n.members.nodes.Run(ctx) })
	wg.Go(func() { n.members.collector.Run(ctx) })
	wg.Go(func() {
		if err := n.members.server.Serve(n.members.listener); err != nil && ctx.Err() == nil {
			n.log.Error().Err(err).Msg("gRPC server for other nodes failed")
		}
	})
	<-ctx.Done()
	n.members.server.Stop()
	wg.Wait()
}

// hubDialer opens streams to hubs.
type hubDialer struct{ client *courier.Client }

// Join opens a stream to the hub at an address.
func (d hubDialer) Join(ctx context.Context, address string) (collector.Stream, error) {
	return d.client.Join(ctx, address)
}

// Disconnect closes the connection to a node.
func (d hubDialer) Disconnect(address string) { d.client.Disconnect(address) }

// workTracker provides the work of this node and records that of the others.
type workTracker struct {
	observer *observer.Observer
	index    *indexer.Index
	pacer    *pacer.Pacer
	quotas   *enforcer.Enforcer
	// changingEngines returns the engines whose role this node is changing.
	changingEngines func() map[string]bool
	// engineIDs maps the hashes of the endpoints' identifiers to the identifiers, as
	// of the last summary. It is kept because prefixes are reported many times a
	// second.
	engineIDs *keeper.Cell[map[courier.EngineHash]string]
	// localState returns what this node reports besides its work at engines.
	localState func() courier.Work
	// remote is the last work reported by the other nodes.
	remote *keeper.Cell[remoteWork]
	// configFreshness returns when the configuration was known to be the newest;
	// confirmConfig records the same from another node.
	configFreshness func() courier.ConfigFreshness
	confirmConfig   func(courier.ConfigFreshness, time.Time)
}

// remoteWork is the work of the other nodes and when it was recorded.
type remoteWork struct {
	work courier.Work
	at   time.Time
}

// LocalWork returns the work and state of this node.
func (w workTracker) LocalWork() courier.Work {
	own := w.localState()
	own.Engines, own.Deployments = w.engines(), w.deployments()
	return own
}

// flowUnit is the unit of the rates that nodes exchange: a tenth of a request a second.
const flowUnit = 10

// deployments returns the rates of requests of this node by deployment.
func (w workTracker) deployments() []courier.DeploymentWork {
	var out []courier.DeploymentWork
	for deployment, f := range w.observer.Flows() {
		d := courier.DeploymentWork{Deployment: deployment, Offered: int(f.Offered * flowUnit), Served: int(f.Served * flowUnit)}
		if d.Offered > 0 || d.Served > 0 {
			out = append(out, d)
		}
	}
	slices.SortFunc(out, func(a, b courier.DeploymentWork) int { return cmp.Compare(a.Deployment, b.Deployment) })
	return out
}

// engines returns the in-flight work of this node by engine.
func (w workTracker) engines() []courier.EngineWork {
	var out []courier.EngineWork
	changing := w.changingEngines()
	now := w.observer.Clock.Now()
	for _, e := range w.observer.All() {
		limit, speed, slowdown := w.limit(e.Address), speedReport(e, now), slowdownReport(e, now)
		if e.Sent > 0 || e.SentPrefillTokens > 0 || changing[e.ID] || limit.Told || speed.Tokens > 0 || slowdown.Factor > 0 {
			out = append(out, courier.EngineWork{
				Engine: courier.HashEngine(e.ID), PrefillTokens: e.SentPrefillTokens, Requests: e.Sent, RoleChanging: changing[e.ID],
				Limit: limit, Speed: speed, Slowdown: slowdown,
			})
		}
	}
	slices.SortFunc(out, func(a, b courier.EngineWork) int { return int(int64(a.Engine) - int64(b.Engine)) })
	return out
}

// minReportedTokens is the number of measured tokens from which on other nodes are told: less
// changes their estimates little.
const minReportedTokens = 2000

// speedReport returns what this node has measured of the speed of an endpoint.
func speedReport(e picker.Endpoint, now time.Time) courier.SpeedReport {
	s := e.Measured.AsOf(now)
	if s.Tokens < minReportedTokens {
		return courier.SpeedReport{}
	}
	return courier.SpeedReport{Tokens: int(s.Tokens), Time: time.Duration(s.Millis * float64(time.Millisecond))}
}

// maxReportedAge is the age up to which nodes are told what an endpoint has said of its speed.
const maxReportedAge = 400 * time.Millisecond

// slowdownReport returns what an endpoint has just told this node of its speed.
func slowdownReport(e picker.Endpoint, now time.Time) courier.SlowdownReport {
	age := now.Sub(e.Slowdown.At)
	if e.Slowdown.Factor == 0 || e.Slowdown.Hearsay || age > maxReportedAge {
		return courier.SlowdownReport{}
	}
	return courier.SlowdownReport{Factor: e.Slowdown.Factor, Age: age.Round(limitAgeStep)}
}

// limit returns what the endpoint with an address has told this node of its limit.
func (w workTracker) limit(address string) courier.LimitReport {
	s, age, ok := w.pacer.Told(address)
	return courier.LimitReport{Told: ok, Limited: s.Limited, PerSecond: s.PerSecond, Age: age.Round(limitAgeStep)}
}

// limitAgeStep is the precision of the ages of limits that nodes tell each other.
const limitAgeStep = 100 * time.Millisecond

// SetRemoteWork records the work of all other nodes.
func (w workTracker) SetRemoteWork(others courier.Work, at time.Time) {
	byEngine := make(map[courier.EngineHash]courier.EngineWork, len(others.Engines))
	for _, e := range others.Engines {
		byEngine[e.Engine] = e
	}
	flows := make(map[string]shedder.Flow, len(others.Deployments))
	for _, d := range others.Deployments {
		flows[d.Deployment] = shedder.Flow{Offered: float64(d.Offered) / flowUnit, Served: float64(d.Served) / flowUnit, At: at}
	}
	w.observer.SetRemoteFlows(flows, at)
	changing := w.changingEngines()
	ids := make(map[courier.EngineHash]string)
	for _, e := range w.observer.All() {
		engine := courier.HashEngine(e.ID)
		ids[engine] = e.ID
		other := byEngine[engine]
		load := picker.RemoteLoad{
			At: at, PrefillTokens: other.PrefillTokens, Requests: other.Requests,
			Measured: calibrator.Sums{Tokens: float64(other.Speed.Tokens), Millis: float64(other.Speed.Time) / float64(time.Millisecond), At: at},
		}
		w.observer.SetRemoteLoad(e.ID, load, other.RoleChanging || changing[e.ID])
		if s := other.Slowdown; s.Factor > 0 {
			w.observer.RecordSlowdown(e.ID, picker.Slowdown{Factor: s.Factor, At: at.Add(-s.Age), Hearsay: true})
		}
		if l := other.Limit; l.Told {
			w.pacer.RecordHearsay(e.Address, e.ID, pacer.Statement{Limited: l.Limited, PerSecond: l.PerSecond}, l.Age)
		}
	}
	w.quotas.SetRemoteWork(others.Accounts, at)
	w.engineIDs.Update(func(map[courier.EngineHash]string) (map[courier.EngineHash]string, bool) { return ids, true })
	w.remote.Update(func(remoteWork) (remoteWork, bool) { return remoteWork{work: others, at: at}, true })
}

// ConfigFreshness returns when the configuration in force was known to be the
// newest.
func (w workTracker) ConfigFreshness() courier.ConfigFreshness { return w.configFreshness() }

// ConfirmConfig records the confirmation of another node, requested at the time asked.
func (w workTracker) ConfirmConfig(e courier.ConfigFreshness, asked time.Time) {
	w.confirmConfig(e, asked)
}

// AddPrefix records a prefix that an engine has prefilled for another node.
func (w workTracker) AddPrefix(b courier.PrefixReport) {
	if id, ok := w.engineIDs.Get()[b.Engine]; ok {
		w.index.StoreAt(id, b.Keys, w.observer.Clock.Now().Add(-b.Age), b.Tokens)
	}
}

// peerService serves the requests of other nodes.
type peerService struct{ node *Node }

// HandleUpdate returns the summary for a node update.
func (p peerService) HandleUpdate(u courier.NodeUpdate) courier.Summary {
	return p.node.members.collector.HandleUpdate(u)
}

// HandleDisconnect records that the stream of a node has ended.
func (p peerService) HandleDisconnect(u courier.NodeUpdate) {
	p.node.members.collector.HandleDisconnect(u)
}

// Follow sends the content of a table and its changes.
func (p peerService) Follow(ctx context.Context, prefix string, changed transactor.Version, send func(courier.TableContent) error) error {
	for _, f := range []*follower.Follower{p.node.configs, p.node.endpoints, p.node.members.nodes, p.node.harmful} {
		if f.Prefix == prefix {
			return f.Serve(ctx, changed, send)
		}
	}
	return coder.New(coder.RowUnknown, "there is no table %s", prefix)
}

// relay reads a table from the hub of the data centre, or from another node while
// the store is unavailable to this one.
type relay struct {
	*locator.Locator
	node *Node
}

// relay returns the source from which a follower reads a table instead of the store.
func (n *Node) relay() relay {
	m := &n.members
	return relay{node: n, Locator: &locator.Locator{
		Self:          m.registrar.Self,
		Nodes:         m.registrar.Nodes,
		Hub:           func() string { return m.collector.Hub() },
		SeedAddresses: n.settings.SeedAddresses,
	}}
}

// Follow receives the content of a table from the node at an address.
func (r relay) Follow(ctx context.Context, address, prefix string, changed transactor.Version, take func(courier.TableContent)) error {
	return r.node.members.peerClient.Follow(ctx, address, prefix, changed, take)
}
