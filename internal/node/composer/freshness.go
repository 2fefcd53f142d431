package composer

import (
	"context"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/inner/courier"
	"foxtailflow.example/foxtailflow/internal/member/registrar"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

// othersLife is how long what the other nodes have stated counts.
const othersLife = 2 * time.Second

// state returns what this node states beside its work at engines.
func (n *Node) state() courier.Work {
	var w courier.Work
	if n.parts.Accounts != nil {
		w.Accounts = n.parts.Accounts()
	}
	if n.settings.StaleAfter > 0 {
		w.Configs = []courier.ConfigNodes{{Version: n.config.Get().config.Version(), Nodes: 1}}
		if n.configs.Snapshot().Away() {
			w.Away = 1
		}
	}
	return w
}

// Others returns what the other nodes have stated lately.
func (n *Node) Others() courier.Work {
	h := n.members.work.others.Get()
	if n.clock.Now().Sub(h.at) > othersLife {
		return courier.Work{}
	}
	return h.work
}

// Away reports whether the store does not answer this node.
func (n *Node) Away() bool { return n.configs.Snapshot().Away() }

// knownAt returns the last moment at which the configuration in force was known to
// be the newest: the store, or a node that knew it, was asked then and has told no
// newer one since. The zero time means never.
//
// The moment of the asking counts: an answer may have waited on a connection while
// this process was paused.
func (n *Node) knownAt() time.Time {
	at := n.configs.Snapshot().KnownAt
	c := n.members.confirmed.Get()
	if c.version <= n.config.Get().config.Version() && c.at.After(at) {
		at = c.at
	}
	return at
}

// evidence returns what this node knows of the newest configuration.
func (n *Node) evidence() courier.Evidence {
	at := n.knownAt()
	if n.settings.StaleAfter == 0 || at.IsZero() {
		return courier.Evidence{Age: -1}
	}
	return courier.Evidence{Version: n.config.Get().config.Version(), Age: n.clock.Now().Sub(at)}
}

// confirm takes the evidence of another node that was asked for it at a time.
func (n *Node) confirm(e courier.Evidence, asked time.Time) {
	n.members.confirmed.Update(func(c confirmed) (confirmed, bool) {
		at := asked.Add(-e.Age)
		return confirmed{version: e.Version, at: at}, at.After(c.at)
	})
}

// Current fails with ViewNotCurrent if the configuration may be outdated: a key
// that was withdrawn elsewhere must not be served here.
//
// A node that cannot tell, from the store or through another node, serves on only
// if the store is away for most nodes and none of them has a newer version. One
// that is cut off from all others finds no such majority.
func (n *Node) Current() error {
	if n.settings.StaleAfter == 0 || n.Away() && n.mostAway() {
		return nil
	}
	known := n.knownAt()
	// Until its row stands, and the configuration was read after that, a change is
	// accepted without waiting for this node.
	listed := n.members.listed.Get()
	switch {
	case listed.IsZero() || known.Before(listed):
		return coder.Refuse(coder.ViewNotCurrent, "the other nodes do not know yet that this one runs").WithRetryAfter(time.Second)
	case n.clock.Now().Sub(known) > n.settings.StaleAfter:
		return coder.Refuse(coder.ViewNotCurrent, "the node cannot tell whether its configuration is current").WithRetryAfter(time.Second)
	}
	return nil
}

// mostAway reports whether the store is away for most nodes, of which none has
// stated a newer configuration than that in force here. A change that is in force
// has reached most nodes, so at least one of them would have.
func (n *Node) mostAway() bool {
	others := n.Others()
	for _, c := range others.Configs {
		if c.Version > n.config.Get().config.Version() {
			return false
		}
	}
	return 2*(others.Away+1) > len(n.Nodes())
}

// Versions returns the versions in force on the nodes that were heard of lately.
func (n *Node) Versions() []courier.ConfigNodes {
	return courier.Sum(n.state(), n.Others()).Configs
}

// having returns the number of nodes on which a version of the configuration, or a
// newer one, is in force.
func (n *Node) having(version uint64) (have int) {
	for _, c := range n.Versions() {
		if c.Version >= version {
			have += c.Nodes
		}
	}
	return have
}

const (
	// inForceEvery is how often the versions of the nodes are looked at while a
	// change is to come into force.
	inForceEvery = 50 * time.Millisecond
	// inForceMargin is kept beyond the time after which a node that was not
	// reached serves no keys, for clocks of different rates; inForceWait is how
	// long most nodes are waited for beyond that.
	inForceMargin = 500 * time.Millisecond
	inForceWait   = 2 * time.Second
)

// AwaitInForce waits until no node serves requests with keys by an older version
// of the configuration, and reports whether that is so: all registered nodes have
// the version, or most have it and the others have had no news for too long.
func (n *Node) AwaitInForce(ctx context.Context, version uint64) bool {
	began := n.clock.Now()
	// All that were registered before the change; others read the newest version
	// before they serve.
	rows, err := transactor.ScanAll(ctx, n.ports.Table, registrar.Prefix)
	if err != nil {
		n.log.Warn().Uint64("config-version", version).Err(err).Msg("registered nodes not read")
	}
	var most time.Time
	stale := n.settings.StaleAfter + inForceMargin
	for {
		now := n.clock.Now()
		have, nodes := n.having(version), max(len(rows), len(n.Nodes()))
		switch {
		case 2*have <= nodes:
			most = time.Time{}
		case most.IsZero():
			most = now
		}
		switch {
		case err == nil && have >= nodes:
			return true
		case n.settings.StaleAfter > 0 && !most.IsZero() && now.Sub(most) >= stale:
			return true
		case now.Sub(began) >= stale+inForceWait:
			return false
		}
		if n.clock.Sleep(ctx, inForceEvery) != nil {
			return false
		}
	}
}
