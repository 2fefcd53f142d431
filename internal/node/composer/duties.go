package composer

import (
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"foxtailflow.example/foxtailflow/internal/authority/assigner"
	"foxtailflow.example/foxtailflow/internal/authority/leaser"
	"foxtailflow.example/foxtailflow/internal/base/keeper"
	"foxtailflow.example/foxtailflow/internal/base/runner"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/fleet/director"
	"foxtailflow.example/foxtailflow/internal/inner/courier"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
	"foxtailflow.example/foxtailflow/internal/usage/closer"
	"foxtailflow.example/foxtailflow/internal/usage/dater"
	"foxtailflow.example/foxtailflow/internal/usage/ledger"
)

// Receivers take what one node at a time may send.
type Receivers struct {
	Reports closer.Reports
	// Supplier and Engines take orders of numbers and roles; they are nil where a
	// part of the platform's own places endpoints.
	Supplier director.Supplier
	Engines  director.Engines
}

// duties are the parts of a node that do the work of one node at a time.
type duties struct {
	leaser   *leaser.Leaser
	ledger   *ledger.Ledger
	dater    *dater.Dater
	closer   *closer.Closer
	director *director.Director[director.Filled]
	// leaving says that the node hands its duties over itself, and watched has
	// those that it watched last.
	leaving atomic.Bool
	watched keeper.Cell[map[string]int]
}

const (
	// settle is the time in which the counts of a window reach the holder: two
	// rounds of statements of a node, and of a hub.
	settle = 1500 * time.Millisecond
	// lateMargin is kept before the end of the time in which a window can be
	// reported.
	lateMargin = 500 * time.Millisecond
	// saveEvery is how often the counts of open windows are written down.
	saveEvery = time.Second
	// closeEvery and directEvery are how often the holder of a duty looks.
	closeEvery  = 500 * time.Millisecond
	directEvery = 500 * time.Millisecond
)

// The policy of fleets. Trials on both deployments: 8 instead of 6 cheap
// endpoints in each data centre gained 0.07 of the worth of a day, and 80
// instead of 60 in 100 engines that read 0.05.
const (
	cheapShare = 0.4
	readers    = 0.8
	occupancy  = 0.85
)

// leaseTimes returns the times of leases that end within the given time.
func leaseTimes(d time.Duration) leaser.Times {
	// A look costs a call of the store; two in the life of a lease are enough.
	return leaser.Times{Duration: d, Margin: d / 6, RenewEvery: d / 3, LookEvery: d / 2}
}

func (n *Node) buildDuties() {
	d := &n.duties
	boot := timekeeper.Boot{}
	d.dater = &dater.Dater{Steady: boot, Wall: n.clock, Offsets: n.members.registrar.Offsets}
	d.ledger = &ledger.Ledger{Self: n.startName()}
	d.leaser = &leaser.Leaser{
		Clock:   boot,
		Log:     n.log,
		Table:   n.ports.Table,
		Name:    n.startName(),
		Times:   leaseTimes(n.settings.Lease),
		Watches: n.watches,
		Former: func(holder string) bool {
			return holder != n.startName() && strings.HasPrefix(holder, n.settings.ID+".")
		},
	}
	d.leaser.Duties.Rank = keeper.RankLeases
	receivers := n.ports.Receivers(d.leaser.Check)
	d.closer = &closer.Closer{
		Settings: closer.Settings{
			Window:    n.usageWindow,
			Settle:    settle,
			Late:      n.settings.UsageLate - lateMargin,
			SaveEvery: saveEvery,
			RowBytes:  n.settings.RowBytes,
		},
		Clock:   n.clock,
		Log:     n.log,
		Table:   n.ports.Table,
		Leases:  d.leaser,
		Reports: receivers.Reports,
		Ledger:  d.ledger,
		Now:     d.dater.Now,
	}
	if receivers.Supplier == nil {
		return
	}
	d.director = &director.Director[director.Filled]{
		Clock:        n.clock,
		Log:          n.log,
		Leases:       d.leaser,
		Config:       n.Config,
		Of:           n.observer.Of,
		Supplier:     receivers.Supplier,
		Engines:      receivers.Engines,
		Policy:       director.Filled{Cheap: cheapShare, Occupancy: occupancy, Readers: readers},
		TakeoverWait: n.settings.Lease,
	}
}

// startName names this start of the node.
func (n *Node) startName() string {
	return n.settings.ID + "." + strconv.FormatUint(n.members.registrar.Self.Incarnation, 36)
}

// watches returns the duties that this node watches, with its rank in each: the
// hubs watch all duties, and the data centres rank the hubs.
func (n *Node) watches() map[string]int {
	if n.duties.leaving.Load() {
		return n.duties.watched.Get()
	}
	watched := n.hubWatches()
	n.duties.watched.Update(func(map[string]int) (map[string]int, bool) { return watched, true })
	return watched
}

func (n *Node) hubWatches() map[string]int {
	if !n.members.collector.IsHub() {
		return nil
	}
	cfg, err := n.Config()
	if err != nil {
		return nil
	}
	names := n.members.registrar.DataCentres()
	watched := make(map[string]int)
	duties := []string{closer.Duty}
	if n.duties.director != nil {
		duties = append(duties, director.Duties(cfg)...)
	}
	if n.parts.Duties != nil {
		duties = append(duties, n.parts.Duties()...)
	}
	for _, duty := range duties {
		for rank, dc := range assigner.Rank(duty, names) {
			if dc == n.settings.DataCentre {
				watched[duty] = rank
			}
		}
	}
	return watched
}

// usageWindow returns the length of a window of usage: that of the settings, else
// the configuration's.
func (n *Node) usageWindow() time.Duration {
	if n.settings.UsageWindow > 0 {
		return n.settings.UsageWindow
	}
	return n.Limits().UsageWindow
}

// window returns the present window of usage.
func (n *Node) window() int64 { return n.duties.closer.Settings.WindowAt(n.duties.dater.Now()) }

// begun counts a request that has begun to run.
func (n *Node) begun(r carrier.Request) {
	if r.Account != "" {
		n.duties.ledger.Count(n.window(), courier.Meter{Account: r.Account, Unit: courier.Requests}, 1)
	}
}

func (n *Node) dutyTasks() []runner.Periodic {
	tasks := []runner.Periodic{
		{Name: "leases", Every: leaser.FollowEvery, Task: n.duties.leaser.Follow},
		{Name: "usage", Every: closeEvery, Task: n.duties.closer.Run},
	}
	if n.duties.director != nil {
		tasks = append(tasks, runner.Periodic{Name: "fleet", Every: directEvery, Task: n.duties.director.Run})
	}
	return tasks
}

// changing returns the engines whose role this node is changing.
func (n *Node) changing() map[string]bool {
	if n.duties.director == nil {
		return nil
	}
	return n.duties.director.Changing()
}
