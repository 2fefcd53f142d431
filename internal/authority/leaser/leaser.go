package leaser

import (
	"context"
	"expvar"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/keeper"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

// Times are the times of leases. They must be the same on all nodes.
type Times struct {
	// Duration is how long a lease is valid after a renewal.
	Duration time.Duration
	// Margin is subtracted from Duration at the holder and added to it at other
	// nodes, so that slightly different clock rates do not matter.
	Margin time.Duration
	// RenewInterval is the delay between renewals. It leaves a holder time for two
	// more attempts before the lease ends.
	RenewInterval time.Duration
	// PollInterval is the delay between reads of the lease of another node. It
	// adds to the time for which a duty has no holder.
	PollInterval time.Duration
}

// DefaultTimes returns the times of a Leaser without Times.
func DefaultTimes() Times {
	return Times{Duration: 6 * time.Second, Margin: time.Second, RenewInterval: 2 * time.Second, PollInterval: 2 * time.Second}
}

const (
	// StepInterval is the delay between two calls of RunDue.
	StepInterval = 250 * time.Millisecond
	// retryDelay is the mean delay after a failed call.
	retryDelay = 500 * time.Millisecond
	// rankDelay is the delay per rank before a takeover. It keeps the nodes that
	// watch a duty from taking it over at the same time.
	rankDelay = 500 * time.Millisecond
	// callTimeout bounds one call, so that a slow call does not delay the renewal
	// of other leases beyond their end.
	callTimeout = time.Second
	// renewGrace is the time that a holder gets to renew after the store has failed: a
	// call in progress and the delay before the next one.
	renewGrace = callTimeout + 3*retryDelay/2
	// callCheckInterval is how often the lease of a call in progress is checked. Timers do
	// not include suspensions of the VM, and calls count from 300 ms after one.
	callCheckInterval = 100 * time.Millisecond
	// maxConcurrentCalls bounds the concurrent calls for different duties.
	maxConcurrentCalls = 16
)

// callsEnded counts the calls that WithGrant has ended.
var callsEnded = expvar.NewInt("duty-calls-ended")

// Leaser takes, renews and releases leases for one process.
type Leaser struct {
	Clock timekeeper.Clock
	Log   zerolog.Logger
	Table transactor.Table
	// Name identifies this process in lease rows. It must change with a restart: a
	// process must not take the lease of an earlier one for its own.
	Name string
	// Times are the times of the leases; the zero value means DefaultTimes.
	Times Times
	// Era returns the newest era of the table that is known, and when this process first
	// heard of it, by Clock; nil means that the table has no eras.
	Era func() (era uint64, since time.Time)
	// IsEarlierStart reports whether a holder is an earlier start of this
	// process, which no longer runs; nil means that this is not known.
	IsEarlierStart func(holder string) bool
	// Delivery returns how long bytes of a duty's call may still be delivered after the
	// call has ended, if the receivers do not check fencing tokens; nil or 0 means that
	// they do. The calls of such a duty end by this time before the lease does, and after
	// an early takeover they wait as if the row had been waited for in full.
	Delivery func(duty string) time.Duration
	// WatchedDuties returns the duties that this node watches and its rank in each.
	WatchedDuties func() map[string]int
	// Random returns numbers in [0, 1) for the jitter of calls; nil means
	// rand.Float64.
	Random func() float64
	// Duties has the state of each duty. RunDue writes it.
	Duties keeper.Table[string, duty]
}

var (
	_ Holder    = (*Leaser)(nil)
	_ CallGuard = (*Leaser)(nil)
)

// RowKey returns the key of the row that the holder of a duty renews.
func RowKey(name string) string { return "lease/" + name }

func (l *Leaser) times() Times {
	if l.Times == (Times{}) {
		return DefaultTimes()
	}
	return l.Times
}

// newCommit returns the commit of a lease that is sent now.
func (l *Leaser) newCommit(c lease) pendingCommit {
	sent := l.Clock.Now()
	times := l.times()
	return pendingCommit{lease: c, sent: sent, expiresAt: sent.Add(times.Duration - times.Margin)}
}

// transaction returns the commit as a transaction that requires the lease row to have a
// version.
func (pc pendingCommit) transaction(name string, version transactor.Version) transactor.Tx {
	content := encodeLease(pc.lease)
	tx := transactor.Tx{}.WithCheck(RowKey(name), version).WithPut(RowKey(name), content)
	if pc.writesEpoch {
		tx = tx.WithPut(EpochKey(name), content)
	}
	return tx
}

// Grant returns the current lease of a duty; false if this node has none.
func (l *Leaser) Grant(name string) (Grant, bool) {
	d, ok := l.Duties.Get(name)
	now := l.Clock.Now()
	if !ok || !d.held || !now.Before(d.expiresAt) {
		return Grant{}, false
	}
	return d.grant(name, now), true
}

// Check fails with LeaseNotHeld if the grant can no longer be trusted.
func (l *Leaser) Check(g Grant) error {
	if l.callTime(g) <= 0 {
		return coder.Refuse(coder.LeaseNotHeld, "lease of duty %s with fencing token %d is not held", g.Duty, g.Token)
	}
	return nil
}

// callTime returns the time that is left for a call under a grant; 0 or less means that
// none may be sent.
func (l *Leaser) callTime(g Grant) time.Duration {
	d, ok := l.Duties.Get(g.Duty)
	now := l.Clock.Now()
	if !ok || !d.held || d.epoch != g.Epoch || d.row.token != g.Token || now.Before(d.callsFrom) {
		return 0
	}
	return d.expiresAt.Sub(now) - l.delivery(g.Duty)
}

// delivery returns the value of Delivery for a duty.
func (l *Leaser) delivery(name string) time.Duration {
	if l.Delivery == nil {
		return 0
	}
	return l.Delivery(name)
}

// WithGrant returns a context for a call under a grant. If the receivers do not check
// fencing tokens, it ends when the call must, unless the lease has been renewed by then.
func (l *Leaser) WithGrant(ctx context.Context, g Grant) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	left := l.callTime(g)
	if l.delivery(g.Duty) <= 0 || left <= 0 {
		// Check refuses a call for which no time is left.
		return ctx, cancel
	}
	var wg conc.WaitGroup
	wg.Go(func() {
		for ; left > 0; left = l.callTime(g) {
			if l.Clock.Sleep(ctx, min(left, callCheckInterval)) != nil {
				return
			}
		}
		callsEnded.Add(1)
		l.Log.Warn().Str("duty", g.Duty).Uint64("fencing-token", g.Token).Msg("call ended before its lease")
		cancel()
	})
	return ctx, func() {
		cancel()
		wg.Wait()
	}
}

// Held returns the leases that this node holds, sorted by duty.
func (l *Leaser) Held() []Grant {
	var held []Grant
	now := l.Clock.Now()
	l.Duties.Each(func(name string, d duty) bool {
		if d.held && now.Before(d.expiresAt) {
			held = append(held, d.grant(name, now))
		}
		return true
	})
	slices.SortFunc(held, func(a, b Grant) int { return strings.Compare(a.Duty, b.Duty) })
	return held
}

// RunDue takes the steps that are due for each duty. One task runs it every
// StepInterval.
func (l *Leaser) RunDue(ctx context.Context) error {
	watched := l.WatchedDuties()
	p := pool.New().WithMaxGoroutines(maxConcurrentCalls)
	for name, rank := range watched {
		p.Go(func() { l.step(ctx, name, rank) })
	}
	// p.Go may block, so it is not called under the lock of the table.
	var unwatched []string
	l.Duties.Each(func(name string, d duty) bool {
		if _, ok := watched[name]; !ok && d.held {
			unwatched = append(unwatched, name)
		}
		return true
	})
	for _, name := range unwatched {
		p.Go(func() { l.release(ctx, name, duty.withLoss) })
	}
	p.Wait()
	return nil
}

// Release releases all leases. The node takes no lease afterwards.
func (l *Leaser) Release(ctx context.Context) {
	var names []string
	l.Duties.Each(func(name string, _ duty) bool {
		names = append(names, name)
		return true
	})
	for name := range l.WatchedDuties() {
		names = append(names, name)
	}
	for _, name := range names {
		l.release(ctx, name, duty.withClosed)
	}
}

// release releases one lease if this node holds it. The grant ends before the
// commit is sent, so a successor may take the duty as soon as it sees the row.
func (l *Leaser) release(ctx context.Context, name string, end func(duty) duty) {
	var before duty
	l.Duties.Update(name, func(d duty, _ bool) (duty, bool) {
		before = d
		return end(d), true
	})
	if !before.held {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	released := lease{token: before.row.token, heartbeat: before.nextHeartbeat()}
	_, err := l.Table.Commit(ctx, transactor.Tx{}.
		WithCheck(RowKey(name), before.version).
		WithPut(RowKey(name), encodeLease(released)))
	l.Log.Info().Str("duty", name).Uint64("fencing-token", before.row.token).AnErr("failure", err).Msg("lease released")
}

// MakeDue makes all duties due at once, for example when the store is available
// again.
func (l *Leaser) MakeDue() {
	now := l.Clock.Now()
	var names []string
	l.Duties.Each(func(name string, _ duty) bool {
		names = append(names, name)
		return true
	})
	for _, name := range names {
		l.Duties.Update(name, func(d duty, ok bool) (duty, bool) { return d.withDueAt(now), ok })
	}
}

// step takes the next step for one duty if it is due.
func (l *Leaser) step(ctx context.Context, name string, rank int) {
	now := l.Clock.Now()
	d, ok := l.Duties.Get(name)
	if !ok {
		// The jitter keeps nodes that start together from reading together.
		l.store(name, duty{dueAt: now.Add(l.jitter(retryDelay))})
		return
	}
	if d.closed || now.Before(d.dueAt) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	switch {
	case len(d.pending) > 0:
		d = l.readBack(ctx, name, d)
	case d.held:
		d = l.renew(ctx, name, d)
	default:
		d = l.checkHolder(ctx, name, rank, d)
	}
	l.store(name, d)
}

// store stores the new value unless the node is leaving.
func (l *Leaser) store(name string, d duty) {
	l.Duties.Update(name, func(old duty, ok bool) (duty, bool) {
		if ok && old.closed {
			return old, true
		}
		return d, true
	})
}

// jitter returns a random delay from 0.5·d to 1.5·d.
func (l *Leaser) jitter(d time.Duration) time.Duration {
	random := rand.Float64
	if l.Random != nil {
		random = l.Random
	}
	return time.Duration(float64(d) * (0.5 + random()))
}

// renew writes the next heartbeat of a lease that this node holds.
//
// The lease may have expired at this node in the meantime. If no other node has
// taken it, the renewal continues it with the same token, since no other process
// held the duty in between.
func (l *Leaser) renew(ctx context.Context, name string, d duty) duty {
	pc := l.newCommit(lease{holder: l.Name, token: d.row.token, heartbeat: d.nextHeartbeat()})
	pc.writesEpoch = d.epochLost()
	d = d.withSent(pc)
	version, err := l.Table.Commit(ctx, pc.transaction(name, d.version))
	if err != nil {
		l.Log.Warn().Str("duty", name).Err(err).Msg("cannot renew lease")
		return l.afterFailure(d, pc, err)
	}
	return d.withRenewal(pc, version).withDueAt(pc.sent.Add(l.times().RenewInterval))
}

// afterFailure returns the state of a duty after a failed commit.
func (l *Leaser) afterFailure(d duty, pc pendingCommit, err error) duty {
	now := l.Clock.Now()
	switch {
	case coder.Is(err, coder.PlatformConflict):
		// An earlier commit of this node may have taken effect late.
		return d.withPending(pc).withDueAt(now)
	case noEffect(err):
		return d.withInterruption().withDueAt(now.Add(l.jitter(retryDelay)))
	}
	return d.withPending(pc).withDueAt(now.Add(l.jitter(retryDelay) / 2))
}

// noEffect reports whether a failed commit has certainly not taken effect.
func noEffect(err error) bool {
	f := coder.FromError(err)
	return f.Outcome() == coder.NotRun && f.Code() != coder.PlatformUnsure
}

// read returns the lease row; an absent row has version 0.
func (l *Leaser) read(ctx context.Context, name string) (lease, transactor.Version, error) {
	r, err := l.Table.Get(ctx, RowKey(name))
	if coder.Is(err, coder.RowUnknown) {
		return lease{}, 0, nil
	}
	if err != nil {
		return lease{}, 0, err
	}
	row, err := decodeLease(r.Value)
	return row, r.Version, err
}

// readBack reads the row to find out which of the pending commits took effect.
func (l *Leaser) readBack(ctx context.Context, name string, d duty) duty {
	row, version, err := l.read(ctx, name)
	now := l.Clock.Now()
	if err != nil {
		return d.withDueAt(now.Add(l.jitter(retryDelay)))
	}
	before := d
	d = d.withEra(l.era())
	if d.era != before.era && d.held {
		return l.keepOverEra(name, d, row, version, now)
	}
	for _, pc := range d.pending {
		switch {
		case pc.lease != row:
		case !d.held && tokenEra(row.token) != d.era:
			// The takeover has taken effect after the store had come back. Another node may
			// have used its token before.
		case d.held:
			return d.withRenewal(pc, version).withDueAt(pc.sent.Add(l.times().RenewInterval))
		default:
			l.Log.Info().Str("duty", name).Uint64("fencing-token", row.token).Msg("lease taken, confirmed by reading it back")
			return d.withTakeover(pc, version).withDueAt(pc.sent.Add(l.times().RenewInterval))
		}
	}
	if d.held && row.holder == l.Name && row.token == d.row.token {
		// No pending renewal took effect, or an earlier one whose time is no longer
		// known.
		return d.withoutPending().withRow(row, version, now).withDueAt(now)
	}
	if d.held {
		l.Log.Warn().Str("duty", name).Str("holder", row.holder).Uint64("fencing-token", row.token).Msg("lease lost")
		d = d.withLoss()
	}
	return d.withoutPending().withRow(row, version, now).withDueAt(now.Add(l.jitter(l.times().RenewInterval)))
}

// checkHolder reads the lease of another process and takes it over once it has
// ended.
func (l *Leaser) checkHolder(ctx context.Context, name string, rank int, d duty) duty {
	row, version, err := l.read(ctx, name)
	// The time is taken after the response: the row may have been written during
	// the read.
	now := l.Clock.Now()
	if err != nil {
		return d.withInterruption().withDueAt(now.Add(l.jitter(l.times().RenewInterval)))
	}
	d = d.withEra(l.era()).withRow(row, version, now)
	due := l.takeoverDue(rank, d)
	if now.Before(due) {
		next := now.Add(l.times().PollInterval)
		if due.Before(next) {
			next = due
		}
		return d.withDueAt(next)
	}
	return l.takeOver(ctx, name, d)
}

// takeoverDue returns when this node may take a duty over whose row stays as it is.
func (l *Leaser) takeoverDue(rank int, d duty) time.Time {
	delay, times := time.Duration(rank)*rankDelay, l.times()
	if since := d.rowLostSince(); !since.IsZero() {
		// The row is that of a copy: its holder may have had a successor, whose lease the
		// store has lost.
		return since.Add(times.Duration + times.Margin + delay)
	}
	switch {
	case d.row.holder == "":
		return d.rowSince.Add(delay)
	case l.IsEarlierStart != nil && l.IsEarlierStart(d.row.holder):
		// An earlier start no longer renews its lease, so there is no need to wait
		// until it ends.
		return d.rowSince
	}
	due := d.rowSince.Add(times.Duration + times.Margin)
	// The store may have failed the holder as well. Its lease has ended all the same if
	// the row has not changed.
	if resumed := d.resumedAt.Add(renewGrace); due.Before(resumed) {
		due = resumed
	}
	return due.Add(delay)
}

// callsFrom returns when a node that takes a duty over may send calls, if the receivers do not
// check fencing tokens. A call of the last holder may be in flight although it has released
// the lease or was killed. In an era, a row that is missing may be one that the store has
// lost.
func (l *Leaser) callsFrom(name string, d duty) time.Time {
	if l.delivery(name) <= 0 || d.row.token == 0 && d.era == 0 {
		return time.Time{}
	}
	return d.rowSince.Add(l.times().Duration + l.times().Margin)
}

func (l *Leaser) takeOver(ctx context.Context, name string, d duty) duty {
	pc := l.newCommit(lease{holder: l.Name, token: nextToken(d.maxToken, d.era), heartbeat: d.nextHeartbeat()})
	pc.writesEpoch, pc.callsFrom = true, l.callsFrom(name, d)
	d = d.withSent(pc)
	version, err := l.Table.Commit(ctx, pc.transaction(name, d.version))
	if err != nil {
		return l.afterFailure(d, pc, err)
	}
	if version.Era() != tokenEra(pc.lease.token) {
		// The store has come back meanwhile.
		return d.withPending(pc).withDueAt(l.Clock.Now())
	}
	l.Log.Info().Str("duty", name).Uint64("fencing-token", pc.lease.token).Dur("calls-after-ms", max(pc.callsFrom.Sub(pc.sent), 0)).Msg("lease taken")
	return d.withTakeover(pc, version).withDueAt(pc.sent.Add(l.times().RenewInterval))
}
