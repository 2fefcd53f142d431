package composer

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/sourcegraph/conc"
	"google.golang.org/grpc"

	"foxtailflow.example/foxtailflow/internal/base/acceptor"
	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/keeper"
	"foxtailflow.example/foxtailflow/internal/decision/indexer"
	"foxtailflow.example/foxtailflow/internal/decision/picker"
	"foxtailflow.example/foxtailflow/internal/fleet/observer"
	"foxtailflow.example/foxtailflow/internal/inner/courier"
	"foxtailflow.example/foxtailflow/internal/inner/dialer"
	"foxtailflow.example/foxtailflow/internal/member/collector"
	"foxtailflow.example/foxtailflow/internal/member/locator"
	"foxtailflow.example/foxtailflow/internal/member/registrar"
	"foxtailflow.example/foxtailflow/internal/store/follower"
)

// members are the parts of a node that deal with the other nodes.
type members struct {
	registrar *registrar.Registrar
	collector *collector.Collector
	nodes     *follower.Follower
	links     *courier.Links
	listener  net.Listener
	server    *grpc.Server
	work      work
	// listed is when this node first saw its own row.
	listed keeper.Cell[time.Time]
	// confirmed is the newest evidence of other nodes.
	confirmed keeper.Cell[confirmed]
}

// confirmed says that a version of the configuration was the newest at a time.
type confirmed struct {
	version uint64
	at      time.Time
}

// registerEvery is how often a node looks whether its row stands.
const registerEvery = time.Second

// listenPeers opens the listener for other nodes, whose address is in the row of
// this one.
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
			ID:          n.settings.ID,
			Address:     n.settings.PeersAdvertise,
			Operators:   n.OperatorsAddress(),
			DataCentre:  n.settings.DataCentre,
			Incarnation: uint64(n.clock.Now().UnixNano()),
		},
		Offset: func() (time.Duration, bool) { return n.duties.dater.Own() },
	}
	return nil
}

func (n *Node) buildMembers() {
	m := &n.members
	m.links = &courier.Links{Connections: dialer.Connections{Dial: n.ports.Dial}}
	m.work = work{
		observer: n.observer,
		index:    n.index,
		changing: n.changing,
		names:    &keeper.Cell[map[courier.Engine]string]{},
		state:    n.state,
		others:   &keeper.Cell[heard]{},
		evidence: n.evidence,
		confirm:  n.confirm,
	}
	m.collector = &collector.Collector{
		Clock: n.clock,
		Log:   n.log,
		Self:  m.registrar.Self,
		Nodes: m.registrar,
		Links: streams{m.links},
		Work:  m.work,
	}
	m.nodes = n.follow(registrar.Prefix, listWait, n.applyNodes)
	m.server = courier.NewServer(peers{n})
}

// applyNodes takes the rows of the nodes.
func (n *Node) applyNodes(s follower.Snapshot) {
	m := &n.members
	m.registrar.Apply(s)
	self := m.registrar.Self
	for _, node := range m.registrar.Nodes() {
		if node.ID == self.ID && node.Incarnation == self.Incarnation {
			m.listed.Update(func(at time.Time) (time.Time, bool) { return n.clock.Now(), at.IsZero() })
		}
	}
}

// runMembers runs the parts that deal with the other nodes until ctx is done.
func (n *Node) runMembers(ctx context.Context) {
	var wg conc.WaitGroup
	wg.Go(func() { n.members.nodes.Run(ctx) })
	wg.Go(func() { n.members.collector.Run(ctx) })
	wg.Go(func() {
		if err := n.members.server.Serve(n.members.listener); err != nil && ctx.Err() == nil {
			n.log.Error().Err(err).Msg("the interface for nodes failed")
		}
	})
	<-ctx.Done()
	n.members.server.Stop()
	wg.Wait()
}

// streams opens streams to hubs.
type streams struct{ links *courier.Links }

// Join opens a stream.
func (s streams) Join(ctx context.Context, address string) (collector.Stream, error) {
	return s.links.Join(ctx, address)
}

// Forget closes the connection to a node.
func (s streams) Forget(address string) { s.links.Forget(address) }

// work is what this node has in progress and learns of the others.
type work struct {
	observer *observer.Observer
	index    *indexer.Index
	// changing returns the engines whose role this node is changing.
	changing func() map[string]bool
	// names has the endpoints by their short names, as of the last summary; a
	// beginning is told of many times a second.
	names *keeper.Cell[map[courier.Engine]string]
	// state returns what this node states beside its engines.
	state func() courier.Work
	// others is what the other nodes have stated last.
	others *keeper.Cell[heard]
	// evidence and confirm give and take what is known of the configuration.
	evidence func() courier.Evidence
	confirm  func(courier.Evidence, time.Time)
}

// heard is what other nodes have in progress, and when that was heard.
type heard struct {
	work courier.Work
	at   time.Time
}

// Own returns what this node has in progress.
func (w work) Own() courier.Work {
	own := w.state()
	own.Engines = w.engines()
	return own
}

// engines returns what this node has in progress at engines.
func (w work) engines() []courier.EngineWork {
	var out []courier.EngineWork
	changing := w.changing()
	for _, e := range w.observer.All() {
		if e.Sent > 0 || e.SentWork > 0 || changing[e.ID] {
			out = append(out, courier.EngineWork{
				Engine: courier.EngineOf(e.ID), Reading: e.SentWork, Requests: e.Sent, Changing: changing[e.ID],
			})
		}
	}
	slices.SortFunc(out, func(a, b courier.EngineWork) int { return int(int64(a.Engine) - int64(b.Engine)) })
	return out
}

// SetOthers takes what all other nodes have in progress.
func (w work) SetOthers(others courier.Work, at time.Time) {
	by := make(map[courier.Engine]courier.EngineWork, len(others.Engines))
	for _, e := range others.Engines {
		by[e.Engine] = e
	}
	changing := w.changing()
	names := make(map[courier.Engine]string)
	for _, e := range w.observer.All() {
		short := courier.EngineOf(e.ID)
		names[short] = e.ID
		o := by[short]
		elsewhere := picker.Elsewhere{At: at, Reading: o.Reading, Requests: o.Requests}
		w.observer.SetElsewhere(e.ID, elsewhere, o.Changing || changing[e.ID])
	}
	w.names.Update(func(map[courier.Engine]string) (map[courier.Engine]string, bool) { return names, true })
	w.others.Update(func(heard) (heard, bool) { return heard{work: others, at: at}, true })
}

// Evidence returns what this node knows of the newest configuration.
func (w work) Evidence() courier.Evidence { return w.evidence() }

// Confirm takes the evidence of another node that was asked for it at a time.
func (w work) Confirm(e courier.Evidence, asked time.Time) { w.confirm(e, asked) }

// Learn takes a beginning that an engine has read for another node.
func (w work) Learn(b courier.Beginning) {
	if id, ok := w.names.Get()[b.Engine]; ok {
		w.index.StoreAt(id, b.Keys, w.observer.Clock.Now().Add(-b.Age))
	}
}

// peers answers other nodes.
type peers struct{ node *Node }

// Answer returns the summary for a statement.
func (p peers) Answer(s courier.Statement) courier.Summary { return p.node.members.collector.Answer(s) }

// Left notes that the stream of a node has ended.
func (p peers) Left(s courier.Statement) { p.node.members.collector.Left(s) }

// Follow sends the content of a table.
func (p peers) Follow(ctx context.Context, prefix string, changed uint64, send func(courier.Content) error) error {
	for _, f := range []*follower.Follower{p.node.configs, p.node.endpoints, p.node.members.nodes} {
		if f.Prefix == prefix {
			return f.Serve(ctx, changed, send)
		}
	}
	return coder.New(coder.RowUnknown, "there is no table %s", prefix)
}

// relay takes a table from the hub of the data centre, or from another node while
// the store does not answer this one.
type relay struct {
	*locator.Locator
	node *Node
}

// relay returns what a follower takes its table from in place of the store.
func (n *Node) relay() relay {
	m := &n.members
	return relay{node: n, Locator: &locator.Locator{
		Self:  m.registrar.Self,
		Nodes: m.registrar.Nodes,
		Hub:   func() string { return m.collector.Hub() },
		Seeds: n.settings.Seeds,
	}}
}

// Follow takes content from a node.
func (r relay) Follow(ctx context.Context, address, prefix string, changed uint64, take func(courier.Content)) error {
	return r.node.members.links.Follow(ctx, address, prefix, changed, take)
}
