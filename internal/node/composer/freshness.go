package composer

import (
	"context"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/inner/courier"
	"foxtailflow.example/foxtailflow/internal/member/registrar"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

// remoteWorkTTL is how long the last work reported by other nodes is used.
const remoteWorkTTL = 2 * time.Second

// localState returns what this node reports besides its work at engines.
func (n *Node) localState() courier.Work {
	var w courier.Work
	if n.components.AccountWork != nil {
		w.Accounts = n.components.AccountWork()
	}
	w.Accounts = courier.Sum(w, courier.Work{Accounts: n.quotas.Work()}).Accounts
	if n.settings.StaleAfter > 0 {
		// A change waits for the nodes that have rows, so only these may count as having
		// it.
		if n.isListed() && !n.duties.leaving.Load() {
			w.Configs = []courier.ConfigNodes{{Version: n.config.Get().config.Version(), Nodes: 1}}
		}
	}
	if n.StoreUnavailable() {
		w.StoreUnavailable = 1
	}
	return w
}

// isListed reports whether this node has read its own row.
func (n *Node) isListed() bool { return !n.members.listedAt.Get().IsZero() }

// RemoteWork returns the work and state that the other nodes have reported
// recently.
func (n *Node) RemoteWork() courier.Work {
	remote := n.members.work.remote.Get()
	if n.clock.Now().Sub(remote.at) > remoteWorkTTL {
		return courier.Work{}
	}
	return remote.work
}

// StoreUnavailable reports whether the store is unavailable to this node.
func (n *Node) StoreUnavailable() bool { return n.configs.Snapshot().Unavailable() }

// configConfirmedAt returns the last time at which the configuration in force was
// known to be the newest: a request sent at that time to the store, or to a node
// that knew, returned no newer one. The zero time means never.
//
// The time is that of the request, as the response may have been buffered in a
// connection while this process was paused.
func (n *Node) configConfirmedAt() time.Time {
	at := n.configs.Snapshot().RequestedAt
	c := n.members.configConfirmation.Get()
	if c.version <= n.config.Get().config.Version() && c.at.After(at) {
		at = c.at
	}
	return at
}

// configFreshness returns when the configuration in force was known to be the
// newest; a negative age means that this is not known.
func (n *Node) configFreshness() courier.ConfigFreshness {
	at := n.configConfirmedAt()
	if n.settings.StaleAfter == 0 || at.IsZero() {
		return courier.ConfigFreshness{Age: -1}
	}
	return courier.ConfigFreshness{Version: n.config.Get().config.Version(), Age: n.clock.Now().Sub(at)}
}

// confirmConfig records the confirmation of another node, requested at the time asked.
func (n *Node) confirmConfig(e courier.ConfigFreshness, asked time.Time) {
	n.members.configConfirmation.Update(func(c configConfirmation) (configConfirmation, bool) {
		at := asked.Add(-e.Age)
		return configConfirmation{version: e.Version, at: at}, at.After(c.at)
	})
}

// CheckCurrent returns ViewNotCurrent if the configuration may be outdated: an
// API key that was withdrawn through another node must not be served here.
//
// A node that cannot confirm its configuration, with the store or through another
// node, continues to serve only if the store is unavailable to most nodes and none
// of them has a newer version. A node that is partitioned from all others finds no
// such majority.
func (n *Node) CheckCurrent() error {
	if n.settings.StaleAfter == 0 || n.StoreUnavailable() && n.unavailableForMost() {
		return nil
	}
	confirmedAt := n.configConfirmedAt()
	// A change waits for this node only once its row is written, so the configuration
	// must have been confirmed after that.
	listed := n.members.listedAt.Get()
	switch {
	case listed.IsZero() || confirmedAt.Before(listed):
		return coder.Refuse(coder.ViewNotCurrent, "the registration of the node is not complete yet").WithRetryAfter(time.Second)
	case n.clock.Now().Sub(confirmedAt) > n.settings.StaleAfter:
		return coder.Refuse(coder.ViewNotCurrent, "the node cannot confirm that its configuration is current").WithRetryAfter(time.Second)
	}
	return nil
}

// unavailableForMost reports whether the store is unavailable to most nodes and no
// other node has reported a newer configuration than that in force here. A change
// that is in force has reached most nodes, so at least one of them would have
// reported it.
func (n *Node) unavailableForMost() bool {
	others := n.RemoteWork()
	for _, c := range others.Configs {
		if c.Version > n.config.Get().config.Version() {
			return false
		}
	}
	return n.unavailableToMost()
}

// unavailableToMost reports whether the store is unavailable to most nodes, if it is to this
// one.
func (n *Node) unavailableToMost() bool {
	c := n.members.collector
	nodes := max(c.NodeCount(), len(n.Nodes())+c.Unlisted(n.members.nodes.Snapshot().ConfirmedAt))
	return 2*(n.RemoteWork().StoreUnavailable+1) > nodes
}

// ConfigVersions returns the configuration versions in force on this node and
// on those that have reported recently.
func (n *Node) ConfigVersions() []courier.ConfigNodes {
	return courier.Sum(n.localState(), n.RemoteWork()).Configs
}

// nodesWithVersion returns the number of nodes on which the given version of the
// configuration, or a newer one, is in force.
func (n *Node) nodesWithVersion(version uint64) (count int) {
	for _, c := range n.ConfigVersions() {
		if c.Version >= version {
			count += c.Nodes
		}
	}
	return count
}

const (
	// inForcePollInterval is how often the versions of the nodes are checked while a
	// change comes into force.
	inForcePollInterval = 50 * time.Millisecond
	// inForceMargin is added to the time after which an unreached node serves no
	// requests with API keys, since the rates of clocks differ; majorityTimeout is
	// the further time for most nodes to report the version, which they do through
	// their hub: it is longer than a change of the hub takes.
	inForceMargin   = 500 * time.Millisecond
	majorityTimeout = 4 * time.Second
)

// AwaitInForce waits until no node serves requests with API keys under an older
// version of the configuration, and reports whether that is so: all registered
// nodes have the version, or most have it and the others have been without
// confirmation for too long.
func (n *Node) AwaitInForce(ctx context.Context, version uint64) bool {
	start := n.clock.Now()
	// These are all nodes that were registered before the change. Later ones read
	// the newest version before they serve.
	rows, err := transactor.ScanAll(ctx, n.ports.Table, registrar.KeyPrefix)
	if err != nil {
		n.log.Warn().Uint64("config-version", version).Err(err).Msg("failed to read the registered nodes")
	}
	var majoritySince time.Time
	staleLimit := n.settings.StaleAfter + inForceMargin
	for {
		now := n.clock.Now()
		have, nodes := n.nodesWithVersion(version), max(len(rows), len(n.Nodes()))
		switch {
		case 2*have <= nodes:
			majoritySince = time.Time{}
		case majoritySince.IsZero():
			majoritySince = now
		}
		switch {
		case err == nil && have >= nodes:
			return true
		case n.settings.StaleAfter > 0 && !majoritySince.IsZero() && now.Sub(majoritySince) >= staleLimit:
			return true
		case now.Sub(start) >= staleLimit+majorityTimeout:
			return false
		}
		if n.clock.Sleep(ctx, inForcePollInterval) != nil {
			return false
		}
	}
}
