// Package throttler decides whether a request is within the quota of its client account
// over all nodes.
//
// The load that it handles: quotas of 370,000 to 577,000 units a second with an equal
// burst, shared by 70 to 530 nodes whose reports reach each other after 0.1 to 0.8 s; requests of
// 400 to 60,000 units; callers that use one node, all nodes, or move between them; an
// account that suddenly sends 7.5 times its usual load.
//
// Each node has its own view of one token bucket that represents the whole fleet. What
// the node admits is taken from the bucket at once, and what the others admit is taken as
// the rates that they report elapse. A second bound limits what a node has admitted and
// the others cannot know yet. The design and its alternatives are in
// docs/design/quotas.md. The package is pure: it takes times, reports and random numbers,
// and returns values.
package throttler

import (
	"math"
	"time"

	"foxtailflow.example/foxtailflow/internal/config/definer"
)

const (
	// meanTime is the time constant of the admission rate that nodes report.
	meanTime = 500 * time.Millisecond
	// shareTime is the time constant of the rates by which the load is divided. It covers
	// several requests of a node that gets one a second.
	shareTime = 2 * time.Second
	// activeTime is how long a node counts as active after a request of the account.
	activeTime = 5 * time.Second
	// reportDelay is within what time a report reaches the other nodes of an account that has
	// become active here: member to hub, hub to hub and hub to member take up to 0.8 s.
	reportDelay = time.Second
	// reportLifetime is the age up to which reports are used. Reports are less than 1 s
	// apart even while nothing changes.
	reportLifetime = 1500 * time.Millisecond
	// windowLength is the length of the windows for which a quota holds.
	windowLength = 8 * time.Second
	// longestGap is how long without reports the view of the fleet's bucket is carried
	// on.
	longestGap = windowLength
	// levelWeight is how often at most all nodes together may spend a full bucket before
	// reports reach them. With a burst of one second, that and the rate of one second are 6 s
	// of the rate; a window of 8 s and the burst have 9 s. The rest is for what nodes that are
	// cut off or killed have spent, and for requests that arrive later than they were admitted.
	levelWeight = 5
	// idleTime is the time without requests after which an account with a full bucket
	// may be dropped.
	idleTime = 30 * time.Second

	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Minute
	// retrySpread is the largest random part of the time until a retry, so that callers
	// that were refused together do not return together.
	retrySpread = 0.25
)

// Fleet is what a node knows of the other nodes.
type Fleet struct {
	// Reached is the number of nodes whose reports arrive, this one included; Nodes is
	// the number of nodes that may be running.
	Reached int
	Nodes   int
	// ReportedAt is when the last reports arrived.
	ReportedAt time.Time
}

// part returns the part of a quota that the reached nodes may use together. Partitions
// that cannot reach each other so stay within it.
func (f Fleet) part() float64 {
	return float64(max(f.Reached, 1)) / float64(max(f.Nodes, f.Reached, 1))
}

// ownPart returns the part of a quota that a node may use alone.
func (f Fleet) ownPart() float64 { return 1 / float64(max(f.Nodes, f.Reached, 1)) }

// Report is what nodes report of a client account.
type Report struct {
	// AdmittedRate is in units a second.
	AdmittedRate float64
	// ActiveNodes is the number of nodes that had requests recently.
	ActiveNodes int
}

// Reason says which rule has decided.
type Reason string

// The reasons of decisions.
const (
	WithinQuota Reason = "within quota"
	// AboveQuota means that the bucket does not cover the request.
	AboveQuota Reason = "above quota"
	// AboveShare means that the bucket covers it, but not what all nodes would admit by
	// the same rule before reports reach them.
	AboveShare Reason = "above share"
)

// Decision is the decision about one request.
type Decision struct {
	Admitted   bool
	Reason     Reason
	RetryAfter time.Duration
}

// Account is a node's view of a client account with a quota.
//
// It is an immutable value; the With methods return changed copies.
type Account struct {
	quota definer.Quota
	fleet Fleet
	// at is the time of the levels and rates.
	at time.Time
	// level is the number of units in the bucket of the fleet, negative for a debt.
	// ownLevel is that in the bucket of this node alone, which counts while no reports
	// arrive.
	level    float64
	ownLevel float64
	// rate is the rate of what this node has admitted, slowRate the same over a longer
	// time, in units a second.
	rate     float64
	slowRate float64
	// others is the last report of the other nodes, slowOthers their rate over a longer
	// time.
	others     Report
	slowOthers float64
	// requestedAt and admittedAt are when the last request arrived and was admitted,
	// activeSince when the first one was admitted after the account was idle.
	requestedAt time.Time
	admittedAt  time.Time
	activeSince time.Time
	// settledAt is when a lowered quota is binding: one window after the change.
	settledAt time.Time
}

// New returns the account at a time on a node that was started before. The bucket of the
// fleet has filled since then, from this node's part: a node that starts again does not
// know what it has spent.
func New(q definer.Quota, f Fleet, startedAt, now time.Time) Account {
	level := f.ownPart() * q.Size()
	return Account{quota: q, fleet: f, at: startedAt, level: level, ownLevel: level}.WithTime(now)
}

// WithTime returns the account at a later time.
func (a Account) WithTime(now time.Time) Account {
	if now.Sub(a.at) <= 0 {
		return a
	}
	if expiry := a.fleet.ReportedAt.Add(reportLifetime); a.at.Before(expiry) {
		until := now
		if expiry.Before(now) {
			until = expiry
		}
		a = a.refill(until)
		a.ownLevel = a.level * a.fleet.ownPart() / a.fleet.part()
	}
	if a.at.Before(now) {
		since := a.at
		a = a.refill(now)
		own := a.fleet.ownPart()
		a.ownLevel = min(a.ownLevel+own*a.quota.Rate*now.Sub(since).Seconds(), own*a.quota.Size())
	}
	if now.Sub(a.fleet.ReportedAt) > longestGap {
		a.level = min(a.level, a.ownLevel)
	}
	return a
}

// refill moves the bucket of the fleet and the rates to a later time.
func (a Account) refill(now time.Time) Account {
	d := now.Sub(a.at)
	part := a.fleet.part()
	a.level = min(a.level+(part*a.quota.Rate-a.others.AdmittedRate)*d.Seconds(), part*a.quota.Size())
	if now.Before(a.settledAt) {
		a.level = max(a.level, 0)
	}
	a.rate *= decay(d, meanTime)
	a.slowRate *= decay(d, shareTime)
	a.slowOthers = a.others.AdmittedRate + (a.slowOthers-a.others.AdmittedRate)*decay(d, shareTime)
	a.at = now
	return a
}

// decay returns the weight of what was counted a time ago in a mean.
func decay(d, constant time.Duration) float64 { return math.Exp(-d.Seconds() / constant.Seconds()) }

// WithQuota returns the account with a changed quota, as of now: the level is cut to a
// lower burst. Levels and rates in another unit do not count.
//
// The level is not negative in the window after a quota was lowered. What the nodes have
// admitted by the former quota would otherwise be a debt that a much lower rate pays off
// in minutes.
func (a Account) WithQuota(q definer.Quota, now time.Time) Account {
	if q == a.quota {
		return a
	}
	a = a.WithTime(now)
	if q.Unit != a.quota.Unit {
		fresh := New(q, a.fleet, now, now)
		fresh.requestedAt, fresh.activeSince = a.requestedAt, a.activeSince
		fresh.others.ActiveNodes = a.others.ActiveNodes
		fresh.settledAt = now.Add(windowLength)
		return fresh
	}
	if q.Rate < a.quota.Rate {
		a.settledAt = now.Add(windowLength)
	}
	a.quota = q
	a.level = min(a.level, a.fleet.part()*q.Size())
	a.ownLevel = min(a.ownLevel, a.fleet.ownPart()*q.Size())
	return a
}

// WithReport returns the account after a report of the other nodes.
//
// A rate that has risen by d means that the others have admitted d x meanTime more than
// what the integral of their rates contains by now, one that has fallen the reverse.
func (a Account) WithReport(r Report, f Fleet) Account {
	a = a.WithTime(f.ReportedAt)
	a.fleet = f
	a.level -= (r.AdmittedRate - a.others.AdmittedRate) * meanTime.Seconds()
	a.level = min(a.level, f.part()*a.quota.Size())
	if a.at.Before(a.settledAt) {
		a.level = max(a.level, 0)
	}
	a.others = r
	return a
}

// countsOnlyItself reports whether the last reports are too old to be used.
func (a Account) countsOnlyItself() bool { return a.at.Sub(a.fleet.ReportedAt) > reportLifetime }

// bucket returns the level of the bucket that counts, its rate and its size.
func (a Account) bucket() (level, rate, size float64) {
	part := a.fleet.part()
	level = a.level
	if a.countsOnlyItself() {
		level, part = a.ownLevel, a.fleet.ownPart()
	}
	return level, part * a.quota.Rate, part * a.quota.Size()
}

// Admit decides about a request, and returns the account after it. random is evenly
// distributed from 0 up to 1.
func (a Account) Admit(cost float64, now time.Time, random float64) (Account, Decision) {
	a = a.WithTime(now)
	since := max(now.Sub(a.requestedAt), 0)
	if since > activeTime {
		a.activeSince = now
	}
	a.requestedAt = now
	if !a.quota.Limited() {
		return a.withAdmitted(cost), Decision{Admitted: true, Reason: WithinQuota}
	}
	level, rate, size := a.bucket()
	if needed := min(cost, size); level < needed {
		return a, refuse(AboveQuota, (needed-level)/rate, random)
	}
	if share, bound := a.unreportedBound(level, rate, size); !a.mayPass(cost, bound, since, random) && !(level >= size/2 && a.isFirst()) {
		return a, refuse(AboveShare, (cost-bound)/share, random)
	}
	return a.withAdmitted(cost), Decision{Admitted: true, Reason: WithinQuota}
}

// unreportedBound returns how much this node may admit that the others have no report of: its
// share, and what is left of that.
//
// With a larger burst, a window has fewer times the burst. A node that has the whole share
// is bounded by the level alone.
func (a Account) unreportedBound(level, rate, size float64) (share, left float64) {
	unreported := a.rate * meanTime.Seconds()
	weighted := min(levelWeight, 1+(windowLength-reportDelay).Seconds()*rate/size) * max(level, 0)
	share = a.weight() * (rate*reportDelay.Seconds() + max(weighted, level+unreported))
	return share, share - unreported
}

// weight returns this node's share of the fleet.
func (a Account) weight() float64 {
	if a.countsOnlyItself() {
		return 1
	}
	active := float64(1 + a.others.ActiveNodes)
	weight := 1 / active
	if sum := a.slowRate + a.slowOthers; sum > 0 {
		weight = max(weight, a.slowRate/sum)
	}
	if since := a.at.Sub(a.activeSince); since < reportDelay {
		// The others may have become active at the same time. The reports of about as
		// many have arrived as the time says.
		unreported := max(float64(a.fleet.Reached)-active, 0) * (1 - since.Seconds()/reportDelay.Seconds())
		weight = min(weight, 1/(active+unreported))
	}
	return weight
}

// isFirst reports whether the others have reports of all that this node has admitted.
func (a Account) isFirst() bool { return a.at.Sub(a.admittedAt) >= reportDelay }

// mayPass reports whether a request that arrives some time after the previous one passes
// the bound on what the others have no report of.
//
// A request may be larger than the share of any node. It then passes with a probability
// such that the nodes together admit what the bounds allow on average, however often
// callers try.
func (a Account) mayPass(cost, bound float64, since time.Duration, random float64) bool {
	return cost <= bound || random*cost < bound*min(since.Seconds()/reportDelay.Seconds(), 1)
}

// refuse returns the refusal of a request for which there is room in a number of seconds.
func refuse(why Reason, seconds, random float64) Decision {
	seconds = min(max(seconds, minRetryAfter.Seconds())*(1+retrySpread*random), maxRetryAfter.Seconds())
	return Decision{Reason: why, RetryAfter: time.Duration(seconds * float64(time.Second))}
}

func (a Account) withAdmitted(cost float64) Account {
	a.level -= cost
	a.ownLevel -= cost
	a.rate += cost / meanTime.Seconds()
	a.slowRate += cost / shareTime.Seconds()
	a.admittedAt = a.at
	return a
}

// WithRefund returns the account after an admitted request has ended without having run.
func (a Account) WithRefund(cost float64, admittedAt, now time.Time) Account {
	a = a.WithTime(now)
	age := now.Sub(admittedAt)
	a.level = min(a.level+cost, a.fleet.part()*a.quota.Size())
	a.ownLevel = min(a.ownLevel+cost, a.fleet.ownPart()*a.quota.Size())
	a.rate = max(a.rate-cost/meanTime.Seconds()*decay(age, meanTime), 0)
	a.slowRate = max(a.slowRate-cost/shareTime.Seconds()*decay(age, shareTime), 0)
	return a
}

// Report returns what this node reports at a time; false means that the account is idle
// here.
func (a Account) Report(now time.Time) (Report, bool) {
	if now.Sub(a.requestedAt) > activeTime {
		return Report{}, false
	}
	// Only the rate is moved to the time: a hub makes its report for each update of a
	// member.
	return Report{AdmittedRate: a.rate * decay(max(now.Sub(a.at), 0), meanTime), ActiveNodes: 1}, true
}

// Idle reports whether the account may be dropped: a new one would be the same.
func (a Account) Idle(now time.Time) bool {
	a = a.WithTime(now)
	level, _, size := a.bucket()
	return level >= size && a.others.ActiveNodes == 0 && now.Sub(a.requestedAt) > idleTime
}

// Unit returns the unit of the quota.
func (a Account) Unit() definer.QuotaUnit { return a.quota.Unit }

// Level returns the units in the bucket and its size, and this node's weight in the fleet.
func (a Account) Level() (level, size, weight float64) {
	level, _, size = a.bucket()
	return level, size, a.weight()
}
