package composer

import (
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"foxtailflow.example/foxtailflow/internal/authority/leaser"
	"foxtailflow.example/foxtailflow/internal/authority/ranker"
	"foxtailflow.example/foxtailflow/internal/base/keeper"
	"foxtailflow.example/foxtailflow/internal/base/runner"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/fleet/director"
	"foxtailflow.example/foxtailflow/internal/inner/courier"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
	"foxtailflow.example/foxtailflow/internal/usage/ledger"
	"foxtailflow.example/foxtailflow/internal/usage/reporter"
	"foxtailflow.example/foxtailflow/internal/usage/synchronizer"
)

// Receivers receive what only the holder of a duty may send.
type Receivers struct {
	Reporter reporter.Receiver
	// Supplier receives orders of endpoint counts and EngineOrders orders of
	// roles; both are nil if the platform has its own component that places
	// endpoints.
	Supplier     director.Supplier
	EngineOrders director.Engines
	// Delivery is how long bytes of an ended call may still be delivered, for receivers
	// that do not check fencing tokens; 0 means that they bound this themselves.
	Delivery time.Duration
}

// duties are the components of a node that perform the duties, each of which one node
// holds at a time.
type duties struct {
	leaser       *leaser.Leaser
	ledger       *ledger.Ledger
	synchronizer *synchronizer.Synchronizer
	reporter     *reporter.Reporter
	director     *director.Director[director.SpotFirst]
	// leaving is set while the node hands over its own duties; lastWatched has the
	// duties that it watched last.
	leaving     atomic.Bool
	lastWatched keeper.Cell[map[string]int]
}

const (
	// settleDelay is the time for the counts of a window to reach the holder: two
	// rounds of updates of nodes and of hubs.
	settleDelay = 1500 * time.Millisecond
	// reportMargin is the safety margin before the end of the time in which a window
	// can be reported.
	reportMargin = 500 * time.Millisecond
	// saveInterval is how often the counts of open windows are written to the store.
	saveInterval = time.Second
	// closeInterval and directInterval are how often the holders of the usage and
	// fleet duties check for work.
	closeInterval  = 500 * time.Millisecond
	directInterval = 500 * time.Millisecond
)

// The parameters of the fleet policy. In trials on both deployments, 8 instead of 6
// spot endpoints in each data centre gained 0.07 of a day's value, and 80 instead of
// 60 prefill engines among 100 engines gained 0.05.
const (
	maxSpotCost     = 0.4
	prefillShare    = 0.8
	decodeOccupancy = 0.85
)

// leaseTimes returns the times of leases with the given duration.
func leaseTimes(d time.Duration) leaser.Times {
	// Each poll costs a call to the store; two within the duration of a lease are
	// enough.
	return leaser.Times{Duration: d, Margin: d / 6, RenewInterval: d / 3, PollInterval: d / 2}
}

func (n *Node) buildDuties() {
	d := &n.duties
	boot := timekeeper.BootTime{}
	d.synchronizer = &synchronizer.Synchronizer{Steady: boot, Wall: n.clock, Offsets: n.members.registrar.ClockOffsets}
	d.ledger = &ledger.Ledger{Self: n.startID()}
	d.leaser = &leaser.Leaser{
		Clock:         boot,
		Log:           n.log,
		Table:         n.ports.Table,
		Name:          n.startID(),
		Times:         leaseTimes(n.settings.LeaseDuration),
		WatchedDuties: n.watchedDuties,
		Era:           n.ports.StoreEra,
		IsEarlierStart: func(holder string) bool {
			return holder != n.startID() && strings.HasPrefix(holder, n.settings.ID+".")
		},
	}
	d.leaser.Duties.Rank = keeper.RankLeases
	receivers := n.ports.Receivers(d.leaser)
	if receivers.Delivery > 0 {
		d.leaser.Delivery = func(duty string) time.Duration { return n.callDelivery(duty, receivers.Delivery) }
	}
	d.reporter = &reporter.Reporter{
		Settings: reporter.Settings{
			WindowLength:   n.windowLength,
			SettleDelay:    settleDelay,
			MaxReportDelay: n.settings.MaxReportDelay - reportMargin,
			SaveInterval:   saveInterval,
			MaxRowBytes:    n.settings.MaxRowBytes,
		},
		Clock:    n.clock,
		Log:      n.log,
		Table:    n.ports.Table,
		Leases:   d.leaser,
		Receiver: receivers.Reporter,
		Ledger:   d.ledger,
		Now:      d.synchronizer.Now,
	}
	if receivers.Supplier == nil {
		return
	}
	d.director = &director.Director[director.SpotFirst]{
		Clock:         n.clock,
		Log:           n.log,
		Leases:        d.leaser,
		Config:        n.Config,
		Endpoints:     n.observer.InDeployment,
		Supplier:      receivers.Supplier,
		Engines:       receivers.EngineOrders,
		Policy:        director.SpotFirst{MaxSpotCost: maxSpotCost, DecodeOccupancy: decodeOccupancy, PrefillShare: prefillShare},
		TakeoverDelay: n.settings.LeaseDuration,
	}
}

// callDelivery returns the value of Delivery for a duty whose receivers do not check fencing
// tokens, 0 for another duty. While no configuration is known, none is known to be checked.
func (n *Node) callDelivery(duty string, delivery time.Duration) time.Duration {
	cfg, err := n.Config()
	if err == nil && !slices.ContainsFunc(cfg.Deployments(), func(d definer.Deployment) bool {
		return d.Fencing != definer.FencingChecked && (duty == reporter.Duty || duty == director.Duty(d.Name))
	}) {
		return 0
	}
	return delivery
}

// startID returns the identifier of this start of the node.
func (n *Node) startID() string {
	return n.settings.ID + "." + strconv.FormatUint(n.members.registrar.Self.Incarnation, 36)
}

// watchedDuties returns the duties that this node watches, with its rank for each.
// The hubs watch all duties; the rank of a hub is that of its data centre.
func (n *Node) watchedDuties() map[string]int {
	if n.duties.leaving.Load() {
		return n.duties.lastWatched.Get()
	}
	watched := n.hubDuties()
	n.duties.lastWatched.Update(func(map[string]int) (map[string]int, bool) { return watched, true })
	return watched
}

func (n *Node) hubDuties() map[string]int {
	if !n.members.collector.IsHub() {
		return nil
	}
	cfg, err := n.Config()
	if err != nil {
		return nil
	}
	dataCentres := n.members.registrar.DataCentres()
	watched := make(map[string]int)
	duties := []string{reporter.Duty}
	if n.duties.director != nil {
		duties = append(duties, director.Duties(cfg)...)
	}
	if n.components.Duties != nil {
		duties = append(duties, n.components.Duties()...)
	}
	for _, duty := range duties {
		for rank, dc := range ranker.Rank(duty, dataCentres) {
			if dc == n.settings.DataCentre {
				watched[duty] = rank
			}
		}
	}
	return watched
}

// windowLength returns the length of a usage window: that of the settings, or else
// that of the configuration.
func (n *Node) windowLength() time.Duration {
	if n.settings.UsageWindow > 0 {
		return n.settings.UsageWindow
	}
	return n.Limits().UsageWindow
}

// currentWindow returns the number of the current usage window.
func (n *Node) currentWindow() int64 {
	return n.duties.reporter.Settings.WindowAt(n.duties.synchronizer.Now())
}

// countRequest counts a request that begins to run.
func (n *Node) countRequest(r carrier.Request) {
	if r.Account != "" {
		n.duties.ledger.Count(n.currentWindow(), courier.Meter{Account: r.Account, Unit: courier.Requests}, 1)
	}
}

func (n *Node) dutyTasks() []runner.Periodic {
	tasks := []runner.Periodic{
		{Name: "leases", Interval: leaser.StepInterval, Task: n.duties.leaser.RunDue},
		{Name: "usage", Interval: closeInterval, Task: n.duties.reporter.Run},
	}
	if n.duties.director != nil {
		tasks = append(tasks, runner.Periodic{Name: "fleet", Interval: directInterval, Task: n.duties.director.Run})
	}
	return tasks
}

// changingEngines returns the engines whose role this node is changing.
func (n *Node) changingEngines() map[string]bool {
	if n.duties.director == nil {
		return nil
	}
	return n.duties.director.Changing()
}
