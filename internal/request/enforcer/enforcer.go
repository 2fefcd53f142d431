// Package enforcer keeps the requests of client accounts within their quotas over all
// nodes.
//
// It has the state of the active accounts, takes the reports of the other nodes, and
// provides those of this node; the decision itself is made by decision/throttler. A
// request is charged once, when it is accepted, and gets its cost back if it ends without
// having run.
package enforcer

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/keeper"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/decision/throttler"
	"foxtailflow.example/foxtailflow/internal/inner/courier"
)

// Enforcer enforces quotas on this node. A nil Enforcer enforces none.
type Enforcer struct {
	Clock timekeeper.Clock
	Log   zerolog.Logger
	// Config returns the configuration in force.
	Config func() (definer.Config, error)
	// Nodes returns the number of nodes whose reports arrive, this one included, and the
	// number of nodes that have rows.
	Nodes func() (reached, rows int)
	// StartedAt is when this node was started.
	StartedAt time.Time
	// Random returns a number from 0 up to 1.
	Random func() float64

	// fleet is as of the last reports. Neither table is locked while the other one is.
	fleet    keeper.Cell[throttler.Fleet]
	accounts keeper.Table[string, entry]
}

// entry is the state of one client account.
type entry struct {
	throttler.Account
	refusals refusals
}

// Tokens is the number of tokens that a request names; the zero value names none.
type Tokens struct {
	Count int
	Named bool
}

// Charge is what a request was charged. The zero value is nothing.
type Charge struct {
	account string
	cost    float64
	unit    definer.QuotaUnit
	at      time.Time
}

// Charge charges a request to a client account. It fails with RateLimited if the request
// is above the quota of the account.
func (e *Enforcer) Charge(account string, tokens Tokens) (Charge, error) {
	quota, ok := e.quota(account)
	if !ok {
		return Charge{}, nil
	}
	c := Charge{account: account, cost: quota.Cost(tokens.Count, tokens.Named), unit: quota.Unit}
	fleet := e.knownFleet()
	var d throttler.Decision
	var report func()
	e.accounts.Update(account, func(a entry, known bool) (entry, bool) {
		// The time is read under the lock, so that a goroutine that was suspended before
		// it does not decide with an earlier one than the state has.
		c.at = e.Clock.Now()
		if !known {
			a.Account = throttler.New(quota, fleet, e.StartedAt, c.at)
		}
		a.Account, d = a.WithQuota(quota, c.at).Admit(c.cost, c.at, e.Random())
		if !d.Admitted {
			a.refusals, report = e.refused(a, account, c.cost, d)
		}
		return a, true
	})
	if d.Admitted {
		admittedUnits.Add(c.cost)
		return c, nil
	}
	refusedRequests.Add(account, 1)
	report()
	return Charge{}, coder.Refuse(coder.RateLimited, "client account %s is %s: %s %s a second", account, d.Reason, strconv.FormatFloat(quota.Rate, 'f', -1, 64), quota.Unit).
		WithRetryAfter(d.RetryAfter)
}

// knownFleet returns what this node knows of the others. Before the first reports it
// counts only itself among the nodes that have rows, not the whole quota.
func (e *Enforcer) knownFleet() throttler.Fleet {
	fleet := e.fleet.Get()
	if fleet.ReportedAt.IsZero() {
		_, rows := e.Nodes()
		fleet = throttler.Fleet{Reached: 1, Nodes: rows}
	}
	return fleet
}

// Settle ends a request that was charged. Its cost is returned if it has not run, unless
// the unit of the quota has changed since.
func (e *Enforcer) Settle(c Charge, err error) {
	if c.account == "" || err == nil || coder.FromError(err).Outcome() != coder.NotRun {
		return
	}
	e.accounts.Update(c.account, func(a entry, known bool) (entry, bool) {
		if known && a.Unit() == c.unit {
			a.Account = a.WithRefund(c.cost, c.at, e.Clock.Now())
		}
		return a, known
	})
	admittedUnits.Add(-c.cost)
}

// quota returns the quota of a client account; false if it has none.
func (e *Enforcer) quota(account string) (definer.Quota, bool) {
	if e == nil || account == "" {
		return definer.Quota{}, false
	}
	cfg, err := e.Config()
	if err != nil {
		return definer.Quota{}, false
	}
	a, _ := cfg.Account(account)
	return a.Quota, a.Quota.Limited()
}

// Work returns what this node reports of its active accounts.
func (e *Enforcer) Work() (work []courier.AccountWork) {
	now := e.Clock.Now()
	work = make([]courier.AccountWork, 0, e.accounts.Len())
	e.accounts.Each(func(name string, a entry) bool {
		if r, active := a.Report(now); active {
			work = append(work, courier.AccountWork{Account: name, AdmittedRate: r.AdmittedRate, ActiveNodes: r.ActiveNodes})
		}
		return true
	})
	slices.SortFunc(work, func(a, b courier.AccountWork) int { return strings.Compare(a.Account, b.Account) })
	return work
}

// SetRemoteWork takes the reports of the other nodes, as of a time.
func (e *Enforcer) SetRemoteWork(work []courier.AccountWork, at time.Time) {
	reached, rows := e.Nodes()
	fleet := throttler.Fleet{Reached: reached, Nodes: rows, ReportedAt: at}
	e.fleet.Update(func(throttler.Fleet) (throttler.Fleet, bool) { return fleet, true })
	reports := make(map[string]throttler.Report)
	for _, a := range work {
		if a.ActiveNodes > 0 {
			reports[a.Account] = throttler.Report{AdmittedRate: a.AdmittedRate, ActiveNodes: a.ActiveNodes}
		}
	}
	// The accounts that this node knows, too: one that is not reported is idle elsewhere.
	e.accounts.Each(func(name string, _ entry) bool {
		if _, reported := reports[name]; !reported {
			reports[name] = throttler.Report{}
		}
		return true
	})
	for name, r := range reports {
		e.applyReport(name, r, fleet)
	}
}

// applyReport takes the report of the other nodes of one client account.
func (e *Enforcer) applyReport(name string, r throttler.Report, fleet throttler.Fleet) {
	quota, limited := e.quota(name)
	var report func()
	e.accounts.Update(name, func(a entry, known bool) (entry, bool) {
		if !limited {
			report = e.forget(a, name)
			return a, false
		}
		if !known {
			a.Account = throttler.New(quota, fleet, e.StartedAt, fleet.ReportedAt)
		}
		a.Account = a.WithQuota(quota, fleet.ReportedAt).WithReport(r, fleet)
		if a.Idle(fleet.ReportedAt) {
			report = e.forget(a, name)
			return a, false
		}
		a.refusals, report = e.checkEnd(a, name, fleet.ReportedAt)
		return a, true
	})
	report()
}
