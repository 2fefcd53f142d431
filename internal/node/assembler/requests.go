package assembler

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"foxtailflow.example/foxtailflow/internal/authority/leaser"
	"foxtailflow.example/foxtailflow/internal/base/identifier"
	"foxtailflow.example/foxtailflow/internal/base/keeper"
	"foxtailflow.example/foxtailflow/internal/base/linker"
	"foxtailflow.example/foxtailflow/internal/base/runner"
	"foxtailflow.example/foxtailflow/internal/engine/speaker"
	"foxtailflow.example/foxtailflow/internal/engine/translator"
	"foxtailflow.example/foxtailflow/internal/inner/messenger"
	"foxtailflow.example/foxtailflow/internal/request/claimer"
	"foxtailflow.example/foxtailflow/internal/request/dispatcher"
	"foxtailflow.example/foxtailflow/internal/request/forwarder"
	"foxtailflow.example/foxtailflow/internal/request/retrier"
	"foxtailflow.example/foxtailflow/internal/usage/counter"
	"foxtailflow.example/foxtailflow/internal/usage/reporter"
	"foxtailflow.example/foxtailflow/internal/usage/sealer"
)

const (
	settleEvery = 2 * time.Second
	purgeEvery  = time.Minute
	// copyEvery with its jitter keeps the age of usage without a copy under 1 s.
	copyEvery    = 600 * time.Millisecond
	sealEvery    = 10 * time.Second
	orphansEvery = 5 * time.Second
	reportEvery  = time.Second
	marksEvery   = time.Hour
)

// requestParts are the parts of a node that answer requests and count usage.
type requestParts struct {
	claims   *claimer.Claimer
	usage    *counter.Counter
	copies   *sealer.Copies
	reporter *reporter.Reporter
	// marksAfter is the key after which the purge of seals goes on.
	marksAfter keeper.Cell[string]
}

// buildRequests builds what answers requests and counts their usage.
func (n *Node) buildRequests() error {
	n.claims = claimer.New(n.clock, n.log, n.platform, n.settings.ID)
	n.dispatcher = &dispatcher.Dispatcher{
		Clock:     n.clock,
		Log:       n.log,
		Configs:   n.applier,
		Chooser:   n.chooser,
		Endpoints: n.observer,
		Forwarder: forwarder.Forwarder{Clock: n.clock, Linker: n.endpointLinks(), Dialect: translator.Translator{}},
		Queue:     n.queue,
		Claims:    n.claims,
		Engines:   speaker.Client{Transport: &http.Transport{}},
		Random:    rand.Float64,
		Budgets:   keeper.Table[string, retrier.Bucket]{Rank: keeper.RankAttempts},
	}
	n.buildUsage()
	n.dispatcher.Usage = n.usage
	n.membership.keepUsage = n.keepUsage
	n.duties = append(n.duties, n.usageDuties)
	return nil
}

const (
	// keptFor is how long a connection to an endpoint is kept idle.
	keptFor = 30 * time.Second
	// keptConnections bounds the idle connections to one endpoint.
	keptConnections = 256
)

// endpointLinks returns the connections to endpoints.
func (n *Node) endpointLinks() *linker.Linker {
	return &linker.Linker{
		Clock:    n.clock,
		Dial:     linker.Dialer{Timeout: n.settings.ConnectWait}.Dial,
		KeepFor:  keptFor,
		KeepMost: keptConnections,
	}
}

// buildUsage builds what seals and reports usage.
func (n *Node) buildUsage() {
	n.usage = &counter.Counter{}
	n.copies = &sealer.Copies{
		Sealer: &sealer.Sealer{Clock: n.clock, Table: n.platform, Groups: n.usageGroups},
		// The pieces of each start are counted from 1.
		Node:    n.settings.ID + "." + identifier.Node(),
		Counter: n.usage,
		Sender:  n.membership.peers,
		Live:    n.usagePeers,
	}
	n.reporter = &reporter.Reporter{
		Clock:         n.clock,
		Log:           n.log,
		Table:         n.platform,
		Leases:        n.leaser,
		PlatformLimit: n.settings.PlatformLimit,
		Reports:       func(g leaser.Grant) counter.Reports { return n.fencedPlatform(g) },
		Groups:        n.usageGroups,
		Window:        func() time.Duration { return n.limits().UsageWindow },
	}
}

// usagePeers returns the running nodes at which copies of usage can be left.
func (n *Node) usagePeers() []sealer.Peer {
	var peers []sealer.Peer
	for _, m := range n.membership.gossiper.Live() {
		if !m.Self && !m.Draining {
			peers = append(peers, sealer.Peer{ID: m.ID, Address: m.PeersAddress})
		}
	}
	return peers
}

// usageDuties lists the duties of reporting.
func (n *Node) usageDuties() []string {
	var duties []string
	for group := range n.usageGroups() {
		duties = append(duties, reporter.Duty(group))
	}
	return duties
}

func (n *Node) usageGroups() int { return n.limits().UsageGroups }

// keepUsage keeps a copy of a peer's usage; the peers' interface calls it.
func (n *Node) keepUsage(_ context.Context, u messenger.UsageCopy) error { return n.copies.Keep(u) }

func (n *Node) purgeMarks(ctx context.Context) error {
	next, err := n.copies.Sealer.Purge(ctx, n.marksAfter.Get())
	n.marksAfter.Update(func(string) (string, bool) { return next, err == nil })
	return err
}

func (n *Node) requestTasks() []runner.Periodic {
	return []runner.Periodic{
		{Name: "claims", Every: settleEvery, Task: func(ctx context.Context) error {
			n.claims.Run(ctx)
			return nil
		}},
		{Name: "claims-unsettled", Every: settleEvery, Jitter: jitter, Task: n.claims.Settle},
		{Name: "claims-expired", Every: purgeEvery, Jitter: jitter, Task: n.claims.Purge},
		{Name: "usage-copies", Every: copyEvery, Jitter: jitter, Task: n.copies.Send},
		{Name: "usage-seal", Every: sealEvery, Jitter: jitter, Task: n.copies.SealOwn},
		{Name: "usage-orphans", Every: orphansEvery, Jitter: jitter, Task: n.copies.SealOrphans},
		{Name: "usage-report", Every: reportEvery, Jitter: jitter, Task: n.reporter.Run},
		{Name: "usage-marks", Every: marksEvery, Jitter: jitter, Task: n.purgeMarks},
	}
}

// stopRequests leaves the claims and the usage of this node with the store.
func (n *Node) stopRequests(ctx context.Context) {
	n.claims.Flush(ctx)
	if err := n.copies.SealOwn(ctx); err != nil {
		// The store is down: a peer that has the pieces seals them later.
		n.log.Warn().Err(err).Msg("usage was not sealed at the stop")
		if err := n.copies.Send(ctx); err != nil {
			n.log.Error().Err(err).Msg("usage was left with no peer")
		}
	}
}
