package enforcer

import (
	"expvar"
	"time"

	"foxtailflow.example/foxtailflow/internal/decision/throttler"
)

// The metrics of quotas: the refused requests by client account, the units admitted, and
// this node's share of each quota as of the last reports.
var (
	refusedRequests = expvar.NewMap("quota-refused")
	admittedUnits   = expvar.NewFloat("quota-admitted-units")
	shares          = expvar.NewMap("quota-share")
)

const (
	// refusalPause is the time without refusals after which an account is no longer
	// logged as refused.
	refusalPause = 2 * time.Second
	// logInterval is the shortest time between two log lines of an account.
	logInterval = time.Second
)

// refusals are the refusals of an account since it was first refused; the zero value is
// none.
type refusals struct {
	count    int
	since    time.Time
	last     time.Time
	loggedAt time.Time
}

// refused counts a refusal, and returns what logs it if it is the first.
func (e *Enforcer) refused(a entry, name string, cost float64, d throttler.Decision) (refusals, func()) {
	r, now := a.refusals, e.Clock.Now()
	first := r.count == 0
	if first {
		r.since = now
	}
	r.count, r.last = r.count+1, now
	if !first || now.Sub(r.loggedAt) < logInterval {
		return r, func() {}
	}
	r.loggedAt = now
	level, size, share := a.Level()
	return r, func() {
		e.Log.Info().Str("client-account", name).Str("reason", string(d.Reason)).Float64("cost", cost).Float64("level", level).
			Float64("burst", size).Float64("share", share).Dur("retry-after-ms", d.RetryAfter).Msg("client account is refused by its quota")
	}
}

// checkEnd ends the refusals of an account that had none for a time, and returns what logs
// that.
func (e *Enforcer) checkEnd(a entry, name string, now time.Time) (refusals, func()) {
	_, _, share := a.Level()
	setShare(name, share)
	r := a.refusals
	if r.count == 0 || now.Sub(r.last) < refusalPause {
		return r, func() {}
	}
	return refusals{loggedAt: now}, func() {
		e.Log.Info().Str("client-account", name).Int("refused", r.count).Dur("took-ms", r.last.Sub(r.since)).
			Msg("client account is within its quota again")
	}
}

// forget returns what removes the metrics of an account that is dropped.
func (e *Enforcer) forget(a entry, name string) func() {
	return func() {
		shares.Delete(name)
		if a.refusals.count > 0 {
			e.Log.Info().Str("client-account", name).Int("refused", a.refusals.count).Msg("client account has no quota any more")
		}
	}
}

// setShare sets the metric of this node's share of a quota.
func setShare(name string, share float64) {
	value, ok := shares.Get(name).(*expvar.Float)
	if !ok {
		value = new(expvar.Float)
		shares.Set(name, value)
	}
	value.Set(share)
}
