package assembler

import (
	"context"
	"net/http"
	"time"

	"foxtailflow.example/foxtailflow/internal/authority/leaser"
	"foxtailflow.example/foxtailflow/internal/authority/sender"
	"foxtailflow.example/foxtailflow/internal/base/reserver"
	"foxtailflow.example/foxtailflow/internal/base/runner"
	"foxtailflow.example/foxtailflow/internal/config/applier"
	"foxtailflow.example/foxtailflow/internal/config/checker"
	"foxtailflow.example/foxtailflow/internal/decision/balancer"
	"foxtailflow.example/foxtailflow/internal/decision/planner"
	"foxtailflow.example/foxtailflow/internal/engine/controller"
	"foxtailflow.example/foxtailflow/internal/fleet/adviser"
	"foxtailflow.example/foxtailflow/internal/fleet/drainer"
	"foxtailflow.example/foxtailflow/internal/fleet/orderer"
	"foxtailflow.example/foxtailflow/internal/fleet/supplier"
	"foxtailflow.example/foxtailflow/internal/inner/courier"
	"foxtailflow.example/foxtailflow/internal/node/composer"
	"foxtailflow.example/foxtailflow/internal/operator/server"
	"foxtailflow.example/foxtailflow/internal/request/claimer"
	"foxtailflow.example/foxtailflow/internal/request/dispatcher"
	"foxtailflow.example/foxtailflow/internal/request/queuer"
	"foxtailflow.example/foxtailflow/internal/usage/biller"
)

const (
	// balanceInterval is the interval at which nodes exchange the work of client
	// accounts.
	balanceInterval = time.Second
	// reportLag is the assumed age of load reports, which do not contain their age.
	// Work sent to an engine within this time is added to its report.
	reportLag      = 2 * time.Second
	settleInterval = 2 * time.Second
	purgeInterval  = time.Minute
	// jitter is the relative variation of the interval of a periodic task.
	jitter = 0.2
)

// buildComponents returns the components of a node that the composer does not
// create.
func (b *builder) buildComponents(n *composer.Node) composer.Components {
	n.Observer().Engines = controller.Client{Transport: newTransport("")}
	n.Observer().ReportLag = reportLag
	q := &queuer.Queue[*dispatcher.Job]{Clock: b.clock, Log: b.log, Configs: n, Capacity: n.Observer(), Peers: otherNodes{n}}
	n.Observer().OnRefresh = q.UpdateCapacity
	meter := &adviser.Meter{Clock: b.clock}
	claims := claimer.New(b.clock, b.log, b.platform, b.settings.ID)
	drains := &drainer.Drainer{Clock: b.clock, Log: b.log, Table: b.platform, Endpoints: n.Observer()}
	placement := b.orderer(n, drains, meter)
	return composer.Components{
		Queue:       meteredQueue{Queue: q, meter: meter},
		Claims:      claims,
		Usage:       usageCounter{n},
		AccountWork: func() []courier.AccountWork { return accountWork(q) },
		Duties:      func() []string { return placementDuties(n) },
		Operators:   b.operatorServer(n).Routes(),
		Tasks: []runner.Periodic{
			{Name: "load-reports", Interval: b.settings.LoadInterval, Jitter: jitter, Task: n.Observer().RefreshLoad},
			{Name: "balance", Interval: balanceInterval, Jitter: jitter, Task: func(context.Context) error { q.UpdateRemoteLoad(); return nil }},
			{Name: "claims", Interval: settleInterval, Task: func(ctx context.Context) error { claims.Run(ctx); return nil }},
			{Name: "claims-unsettled", Interval: settleInterval, Jitter: jitter, Task: claims.Settle},
			{Name: "claims-expired", Interval: purgeInterval, Jitter: jitter, Task: claims.Purge},
			{Name: "drains", Interval: drainer.RefreshInterval, Jitter: jitter, Task: drains.Refresh},
			{Name: "placement", Interval: orderer.Interval, Jitter: jitter, Task: placement.Run},
		},
		HandOver: claims.Flush,
	}
}

// operatorServer returns the operators' interface.
func (b *builder) operatorServer(n *composer.Node) server.Server {
	return server.Server{
		Log: b.log,
		Applier: applier.Applier{
			Clock: b.clock, Table: b.platform, Log: b.log,
			Bounds: checker.Bounds{LargestBody: reserver.LargestBody(b.settings.MemoryBytes)},
		},
		CredentialHash: b.settings.OperatorHash,
		Node:           operatorNode{n},
	}
}

// orderer returns the component that places endpoints.
func (b *builder) orderer(n *composer.Node, drains orderer.Drainer, meter *adviser.Meter) *orderer.Orderer {
	return &orderer.Orderer{
		Clock:     b.clock,
		Log:       b.log,
		Table:     b.platform,
		Holder:    n.Leaser(),
		Configs:   n,
		Endpoints: n.Observer(),
		Drainer:   drains,
		Policy: &adviser.Adviser[balancer.CostBenefit, planner.LossTolerant]{
			Clock:        b.clock,
			Log:          b.log,
			DemandSource: fleetDemand{meter: meter, node: n},
		},
		Engines: func(g leaser.Grant) orderer.Engines {
			return controller.Client{}.WithTransport(fencedTransport(n.Leaser(), g))
		},
		Fleet: func(g leaser.Grant) supplier.EndpointOrders {
			return b.platform.WithTransport(fencedTransport(n.Leaser(), g))
		},
		PlatformConnectionLimit: b.settings.PlatformConnectionLimit,
	}
}

// placementDuties lists the placement duties of the configuration in force.
func placementDuties(n *composer.Node) []string {
	cfg, err := n.Config()
	if err != nil {
		return nil
	}
	return orderer.Duties(cfg)
}

// fencedTransport returns a transport that sends only while the grant is valid.
func fencedTransport(c sender.Checker, g leaser.Grant) http.RoundTripper {
	return sender.Sender{Checker: c}.WithGrant(g)
}

// usageCounter counts the usage of responses.
type usageCounter struct{ node *composer.Node }

// Count adds the usage of one response.
func (u usageCounter) Count(f biller.Figures) { u.node.AddUsage(f.Meters()) }
