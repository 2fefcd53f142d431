package assembler

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/keeper"
	"foxtailflow.example/foxtailflow/internal/base/runner"
	"foxtailflow.example/foxtailflow/internal/engine/speaker"
	"foxtailflow.example/foxtailflow/internal/request/claimer"
	"foxtailflow.example/foxtailflow/internal/request/dispatcher"
	"foxtailflow.example/foxtailflow/internal/request/forwarder"
	"foxtailflow.example/foxtailflow/internal/request/retrier"
)

const (
	settleEvery = 2 * time.Second
	purgeEvery  = time.Minute
)

// buildRequests builds what answers requests and counts their usage.
func (n *Node) buildRequests() error {
	n.claims = claimer.New(n.clock, n.log, n.platform, n.settings.ID)
	n.dispatcher = &dispatcher.Dispatcher{
		Clock:     n.clock,
		Configs:   n.applier,
		Chooser:   n.chooser,
		Endpoints: n.observer,
		Forwarder: forwarder.New(n.clock, n.settings.ConnectWait),
		Queue:     n.queue,
		Claims:    n.claims,
		Engines:   speaker.Client{Transport: &http.Transport{}},
		Random:    rand.Float64,
		Budgets:   keeper.Table[dispatcher.Payer, retrier.Bucket]{Rank: keeper.RankAttempts},
	}
	return nil
}

func (n *Node) requestTasks() []runner.Periodic {
	return []runner.Periodic{
		{Name: "claims", Every: settleEvery, Task: func(ctx context.Context) error {
			n.claims.Run(ctx)
			return nil
		}},
		{Name: "claims-unsettled", Every: settleEvery, Jitter: jitter, Task: n.claims.Settle},
		{Name: "claims-expired", Every: purgeEvery, Jitter: jitter, Task: n.claims.Purge},
	}
}

// stopRequests leaves the claims and the usage of this node with the store.
func (n *Node) stopRequests(ctx context.Context) {
	n.claims.Flush(ctx)
}
