package assembler

import (
	"context"
	"net/http"
	"time"

	"foxtailflow.example/foxtailflow/internal/authority/leaser"
	"foxtailflow.example/foxtailflow/internal/authority/sender"
	"foxtailflow.example/foxtailflow/internal/base/runner"
	"foxtailflow.example/foxtailflow/internal/config/applier"
	"foxtailflow.example/foxtailflow/internal/decision/balancer"
	"foxtailflow.example/foxtailflow/internal/decision/planner"
	"foxtailflow.example/foxtailflow/internal/engine/speaker"
	"foxtailflow.example/foxtailflow/internal/fleet/adviser"
	"foxtailflow.example/foxtailflow/internal/fleet/drainer"
	"foxtailflow.example/foxtailflow/internal/fleet/orderer"
	"foxtailflow.example/foxtailflow/internal/fleet/supplier"
	"foxtailflow.example/foxtailflow/internal/inner/courier"
	"foxtailflow.example/foxtailflow/internal/node/composer"
	"foxtailflow.example/foxtailflow/internal/operator/commander"
	"foxtailflow.example/foxtailflow/internal/request/claimer"
	"foxtailflow.example/foxtailflow/internal/request/dispatcher"
	"foxtailflow.example/foxtailflow/internal/request/queuer"
	"foxtailflow.example/foxtailflow/internal/usage/biller"
)

const (
	// balanceEvery is as often as nodes hear of each other's client accounts.
	balanceEvery = time.Second
	// reportLag is the age that load reports are taken to have. Engines do not
	// say how old a report is; what was sent within this time is added to it.
	reportLag   = 2 * time.Second
	settleEvery = 2 * time.Second
	purgeEvery  = time.Minute
	// jitter is the share by which the delay of a periodic task varies.
	jitter = 0.2
)

// extend returns the parts that a node has beside what the composer makes.
func (b *builder) extend(n *composer.Node) composer.Parts {
	n.Observer().Engines = speaker.Client{Transport: &http.Transport{}}
	n.Observer().ReportLag = reportLag
	q := &queuer.Queue[*dispatcher.Job]{Clock: b.clock, Log: b.log, Configs: n, Rooms: n.Observer(), Peers: otherNodes{n}}
	n.Observer().OnRefresh = q.Wake
	meter := &adviser.Meter{Clock: b.clock}
	claims := claimer.New(b.clock, b.log, b.platform, b.settings.ID)
	drains := &drainer.Drainer{Clock: b.clock, Log: b.log, Table: b.platform, Endpoints: n.Observer()}
	placement := b.orderer(n, drains, meter)
	return composer.Parts{
		Queue:     meteredQueue{Queue: q, meter: meter},
		Claims:    claims,
		Usage:     answers{n},
		Accounts:  func() []courier.AccountWork { return accountWork(q) },
		Duties:    func() []string { return placements(n) },
		Operators: b.commander(n).Routes(),
		Tasks: []runner.Periodic{
			{Name: "load-reports", Every: b.settings.LoadEvery, Jitter: jitter, Task: n.Observer().RefreshLoad},
			{Name: "balance", Every: balanceEvery, Jitter: jitter, Task: func(context.Context) error { q.Balance(); return nil }},
			{Name: "claims", Every: settleEvery, Task: func(ctx context.Context) error { claims.Run(ctx); return nil }},
			{Name: "claims-unsettled", Every: settleEvery, Jitter: jitter, Task: claims.Settle},
			{Name: "claims-expired", Every: purgeEvery, Jitter: jitter, Task: claims.Purge},
			{Name: "drains", Every: drainer.RefreshEvery, Jitter: jitter, Task: drains.Refresh},
			{Name: "placement", Every: orderer.Every, Jitter: jitter, Task: placement.Run},
		},
		Leave: claims.Flush,
	}
}

// commander returns the operators' interface.
func (b *builder) commander(n *composer.Node) commander.Commander {
	return commander.Commander{
		Log:            b.log,
		Applier:        applier.Applier{Clock: b.clock, Table: b.platform},
		CredentialHash: b.settings.OperatorHash,
		Node:           operated{n},
	}
}

// orderer returns what places endpoints.
func (b *builder) orderer(n *composer.Node, drains orderer.Drains, meter *adviser.Meter) *orderer.Orderer {
	return &orderer.Orderer{
		Clock:     b.clock,
		Log:       b.log,
		Table:     b.platform,
		Holder:    n.Leases(),
		Configs:   n,
		Endpoints: n.Observer(),
		Drains:    drains,
		Policy: &adviser.Adviser[balancer.Priced, planner.Surviving]{
			Clock:   b.clock,
			Log:     b.log,
			Demands: allDemand{meter: meter, node: n},
		},
		Engines:       func(g leaser.Grant) orderer.Engines { return speaker.Client{}.WithTransport(fenced(n.Leases(), g)) },
		Fleet:         func(g leaser.Grant) supplier.Fleet { return b.platform.WithTransport(fenced(n.Leases(), g)) },
		PlatformLimit: b.settings.PlatformLimit,
	}
}

// placements lists the placement duties of the configuration in force.
func placements(n *composer.Node) []string {
	cfg, err := n.Config()
	if err != nil {
		return nil
	}
	return orderer.Duties(cfg)
}

// fenced returns a transport that sends only while the grant is valid.
func fenced(c sender.Checker, g leaser.Grant) http.RoundTripper {
	return sender.Sender{Holder: c}.WithGrant(g)
}

// answers counts what answers have used.
type answers struct{ node *composer.Node }

// Count adds the figures of one answer.
func (a answers) Count(f biller.Figures) { a.node.Meter(f.Meters()) }
