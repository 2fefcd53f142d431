package assembler

import (
	"context"
	"net/http"

	"foxtailflow.example/foxtailflow/internal/authority/assigner"
	"foxtailflow.example/foxtailflow/internal/authority/leaser"
	"foxtailflow.example/foxtailflow/internal/authority/sender"
	"foxtailflow.example/foxtailflow/internal/base/identifier"
	"foxtailflow.example/foxtailflow/internal/base/keeper"
	"foxtailflow.example/foxtailflow/internal/base/runner"
	"foxtailflow.example/foxtailflow/internal/engine/speaker"
	"foxtailflow.example/foxtailflow/internal/fleet/drainer"
	"foxtailflow.example/foxtailflow/internal/fleet/orderer"
	"foxtailflow.example/foxtailflow/internal/fleet/supplier"
	"foxtailflow.example/foxtailflow/internal/platform/connector"
)

// authority is what a node needs for its duties.
type authority struct {
	// live lists the nodes that share the duties.
	live assigner.Live
	// duties list the duties that there are, one function for each kind.
	duties  []func() []string
	leaser  *leaser.Leaser
	drainer *drainer.Drainer
	orderer *orderer.Orderer
}

// buildAuthority builds the duties of this node and what it orders. It is
// built first; other groups may set live and the orderer's policy and add
// their duties.
func (n *Node) buildAuthority() error {
	n.live = assigner.Self(n.settings.ID)
	n.duties = []func() []string{n.placements}
	n.leaser = &leaser.Leaser{
		Clock: n.clock,
		Log:   n.log,
		Table: n.platform,
		// A process that was started again is another holder.
		Name:    n.settings.ID + "/" + identifier.Node(),
		Watches: func() map[string]int { return n.assigner().Watches() },
	}
	n.leaser.Duties.Rank = keeper.RankLeases
	n.drainer = &drainer.Drainer{
		Clock:     n.clock,
		Log:       n.log,
		Table:     n.platform,
		Endpoints: n.observer,
	}
	n.orderer = &orderer.Orderer{
		Clock:         n.clock,
		Log:           n.log,
		Table:         n.platform,
		Holder:        n.leaser,
		Configs:       n.applier,
		Endpoints:     n.observer,
		Drains:        n.drainer,
		Policy:        orderer.Keep{},
		Engines:       func(g leaser.Grant) orderer.Engines { return speaker.Client{}.WithTransport(n.fenced(g)) },
		Fleet:         func(g leaser.Grant) supplier.Fleet { return n.fencedPlatform(g) },
		PlatformLimit: n.settings.PlatformLimit,
	}
	return nil
}

// fenced returns a transport that sends only while the grant is valid.
func (n *Node) fenced(g leaser.Grant) http.RoundTripper {
	return sender.Sender{Holder: n.leaser}.WithGrant(g)
}

// fencedPlatform returns the platform for orders and reports under a grant.
func (n *Node) fencedPlatform(g leaser.Grant) connector.Client {
	return n.platform.WithTransport(n.fenced(g))
}

// assigner ranks this node for the duties that there are now.
func (n *Node) assigner() assigner.Assigner {
	return assigner.Assigner{Node: n.settings.ID, Live: n.live, Duties: func() []string {
		var all []string
		for _, duties := range n.duties {
			all = append(all, duties()...)
		}
		return all
	}}
}

// placements lists the placement duties of the configuration in force.
func (n *Node) placements() []string {
	cfg, err := n.applier.Config()
	if err != nil {
		return nil
	}
	return orderer.Duties(cfg)
}

func (n *Node) authorityTasks() []runner.Periodic {
	return []runner.Periodic{
		{Name: "leases", Every: leaser.FollowEvery, Jitter: jitter, Task: n.leaser.Follow},
		{Name: "drains", Every: drainer.RefreshEvery, Jitter: jitter, Task: n.drainer.Refresh},
		{Name: "placement", Every: orderer.Every, Jitter: jitter, Task: n.orderer.Run},
	}
}

// stopAuthority releases the leases of this node.
func (n *Node) stopAuthority(ctx context.Context) { n.leaser.Release(ctx) }
