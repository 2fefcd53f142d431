package leaser

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc/pool"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/keeper"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

// Times are the times of leases; they are the same on all nodes.
type Times struct {
	// Duration is how long others leave a lease alone after a renewal.
	Duration time.Duration
	// Margin is taken off at the holder and added at a contender, so that clocks
	// that run at slightly different rates do no harm.
	Margin time.Duration
	// RenewEvery leaves a holder two more tries before the lease ends.
	RenewEvery time.Duration
	// LookEvery is how often a node looks at the lease of another; a duty is the
	// longer without a holder the longer that is.
	LookEvery time.Duration
}

// DefaultTimes returns the times of a Leaser that sets none.
func DefaultTimes() Times {
	return Times{Duration: 6 * time.Second, Margin: time.Second, RenewEvery: 2 * time.Second, LookEvery: 2 * time.Second}
}

const (
	// FollowEvery is the delay between two looks at what is due.
	FollowEvery = 250 * time.Millisecond
	// retryDelay is the mean delay after a call that failed.
	retryDelay = 500 * time.Millisecond
	// rankDelay keeps the nodes that watch a duty from taking it over at once.
	rankDelay = 500 * time.Millisecond
	// callTimeout bounds one call, so that one slow call does not delay the
	// renewal of other leases beyond their end.
	callTimeout = time.Second
	// maxConcurrentCalls bounds the calls for different duties at once.
	maxConcurrentCalls = 16
)

// Leaser takes, renews and releases leases for one process.
type Leaser struct {
	Clock timekeeper.Clock
	Log   zerolog.Logger
	Table transactor.Table
	// Name names this process in lease rows. It must differ after a restart: a
	// process must not take the lease of an earlier one for its own.
	Name string
	// Times are the times of the leases; the zero value means DefaultTimes.
	Times Times
	// Former reports whether a holder is an earlier start of this process, which
	// cannot run any more; nil means that this is not known.
	Former func(holder string) bool
	// Watches returns the duties that this node watches and its rank in each.
	Watches func() map[string]int
	// Random returns numbers from 0 to below 1 that spread calls; nil means rand.
	Random func() float64
	// Duties has what is known of each duty; Follow writes it.
	Duties keeper.Table[string, duty]
}

var _ Holder = (*Leaser)(nil)

// RowKey returns the key of the row that the holder of a duty renews.
func RowKey(name string) string { return "lease/" + name }

func (l *Leaser) times() Times {
	if l.Times == (Times{}) {
		return DefaultTimes()
	}
	return l.Times
}

// newCommit returns a commit of a lease that is sent now.
func (l *Leaser) newCommit(c lease) pendingCommit {
	sent := l.Clock.Now()
	t := l.times()
	return pendingCommit{lease: c, sent: sent, expiresAt: sent.Add(t.Duration - t.Margin)}
}

// Grant returns the present lease of a duty; false if this node has none.
func (l *Leaser) Grant(name string) (Grant, bool) {
	d, ok := l.Duties.Get(name)
	if !ok || !d.held || !l.Clock.Now().Before(d.expiresAt) {
		return Grant{}, false
	}
	return d.grant(name), true
}

// Check fails with LeaseNotHeld if the grant can no longer be trusted.
func (l *Leaser) Check(g Grant) error {
	have, ok := l.Grant(g.Duty)
	if !ok || have.Epoch != g.Epoch || have.Token != g.Token {
		return coder.Refuse(coder.LeaseNotHeld, "the lease of %s is not held with fencing token %d", g.Duty, g.Token)
	}
	return nil
}

// Held returns the leases that this node holds, in the order of their duties.
func (l *Leaser) Held() []Grant {
	var held []Grant
	now := l.Clock.Now()
	l.Duties.Each(func(name string, d duty) bool {
		if d.held && now.Before(d.expiresAt) {
			held = append(held, d.grant(name))
		}
		return true
	})
	slices.SortFunc(held, func(a, b Grant) int { return strings.Compare(a.Duty, b.Duty) })
	return held
}

// Follow does what is due for each duty; it is run again and again by one task.
func (l *Leaser) Follow(ctx context.Context) error {
	watches := l.Watches()
	p := pool.New().WithMaxGoroutines(maxConcurrentCalls)
	for name, rank := range watches {
		p.Go(func() { l.step(ctx, name, rank) })
	}
	// The pool may block, so it is not fed under the lock of the table.
	var unwatched []string
	l.Duties.Each(func(name string, d duty) bool {
		if _, ok := watches[name]; !ok && d.held {
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

// Release gives all leases back; the node takes none afterwards.
func (l *Leaser) Release(ctx context.Context) {
	var names []string
	l.Duties.Each(func(name string, _ duty) bool {
		names = append(names, name)
		return true
	})
	for name := range l.Watches() {
		names = append(names, name)
	}
	for _, name := range names {
		l.release(ctx, name, duty.withClosed)
	}
}

// release gives one lease back, if this node has it. The grant ends before the
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

// Hurry makes all duties due at once, as when the store answers again.
func (l *Leaser) Hurry() {
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

// step does what is due for one duty.
func (l *Leaser) step(ctx context.Context, name string, rank int) {
	now := l.Clock.Now()
	d, ok := l.Duties.Get(name)
	if !ok {
		// Nodes that start together do not read together.
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

// store keeps the new value unless the node has begun to leave.
func (l *Leaser) store(name string, d duty) {
	l.Duties.Update(name, func(old duty, ok bool) (duty, bool) {
		if ok && old.closed {
			return old, true
		}
		return d, true
	})
}

// jitter returns a delay from half of d to one and a half of it.
func (l *Leaser) jitter(d time.Duration) time.Duration {
	random := rand.Float64
	if l.Random != nil {
		random = l.Random
	}
	return time.Duration(float64(d) * (0.5 + random()))
}

// renew writes the next beat of a lease that this node has.
//
// The lease may have ended here meanwhile. If no contender took it, the
// renewal is the same tenure, because no other process had the duty between.
func (l *Leaser) renew(ctx context.Context, name string, d duty) duty {
	t := l.newCommit(lease{holder: l.Name, token: d.row.token, heartbeat: d.nextHeartbeat()})
	d = d.withSent(t)
	version, err := l.Table.Commit(ctx, transactor.Tx{}.
		WithCheck(RowKey(name), d.version).
		WithPut(RowKey(name), encodeLease(t.lease)))
	if err != nil {
		l.Log.Warn().Str("duty", name).Err(err).Msg("lease not renewed")
		return l.afterFailure(d, t, err)
	}
	return d.withRenewal(t, version).withDueAt(t.sent.Add(l.times().RenewEvery))
}

// afterFailure returns what is known after a commit that failed.
func (l *Leaser) afterFailure(d duty, t pendingCommit, err error) duty {
	now := l.Clock.Now()
	switch {
	case coder.Is(err, coder.PlatformConflict):
		// An earlier commit of this node may have taken effect late.
		return d.withPending(t).withDueAt(now)
	case noEffect(err):
		return d.withRowUnknown().withDueAt(now.Add(l.jitter(retryDelay)))
	}
	return d.withPending(t).withDueAt(now.Add(l.jitter(retryDelay) / 2))
}

// noEffect reports whether a failed commit cannot have taken effect.
func noEffect(err error) bool {
	f := coder.Of(err)
	return f.Outcome() == coder.NotRun && f.Code() != coder.PlatformUnsure
}

// read returns the lease row; an absent row has version 0.
func (l *Leaser) read(ctx context.Context, name string) (lease, uint64, error) {
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

// readBack finds out which of the tried commits took effect.
func (l *Leaser) readBack(ctx context.Context, name string, d duty) duty {
	row, version, err := l.read(ctx, name)
	now := l.Clock.Now()
	if err != nil {
		return d.withDueAt(now.Add(l.jitter(retryDelay)))
	}
	for _, t := range d.pending {
		switch {
		case t.lease != row:
		case d.held:
			return d.withRenewal(t, version).withDueAt(t.sent.Add(l.times().RenewEvery))
		default:
			l.Log.Info().Str("duty", name).Uint64("fencing-token", row.token).Msg("lease taken, as read back")
			return d.withTakeover(t, version).withDueAt(t.sent.Add(l.times().RenewEvery))
		}
	}
	if d.held && row.holder == l.Name && row.token == d.row.token {
		// No renewal took effect, or one whose time is no longer known.
		return d.withoutPending().withRow(row, version, now).withDueAt(now)
	}
	if d.held {
		l.Log.Warn().Str("duty", name).Str("holder", row.holder).Uint64("fencing-token", row.token).Msg("lease lost")
		d = d.withLoss()
	}
	return d.withoutPending().withRow(row, version, now).withDueAt(now.Add(l.jitter(l.times().RenewEvery)))
}

// checkHolder reads the lease of another process and takes it over once it has ended.
func (l *Leaser) checkHolder(ctx context.Context, name string, rank int, d duty) duty {
	row, version, err := l.read(ctx, name)
	// Time counts from after the answer: the row may have been written while
	// the read was under way.
	now := l.Clock.Now()
	if err != nil {
		// After an outage the holder gets the whole time to renew.
		return d.withRowUnknown().withDueAt(now.Add(l.jitter(l.times().RenewEvery)))
	}
	d = d.withRow(row, version, now)
	delay := time.Duration(rank) * rankDelay
	switch {
	case row.holder == "":
	case l.Former != nil && l.Former(row.holder):
		// Its lease would lapse unused.
		delay = 0
	default:
		delay += l.times().Duration + l.times().Margin
	}
	due := d.rowSince.Add(delay)
	if now.Before(due) {
		next := now.Add(l.times().LookEvery)
		if due.Before(next) {
			next = due
		}
		return d.withDueAt(next)
	}
	return l.takeOver(ctx, name, d)
}

func (l *Leaser) takeOver(ctx context.Context, name string, d duty) duty {
	t := l.newCommit(lease{holder: l.Name, token: d.row.token + 1, heartbeat: d.nextHeartbeat()})
	d = d.withSent(t)
	content := encodeLease(t.lease)
	version, err := l.Table.Commit(ctx, transactor.Tx{}.
		WithCheck(RowKey(name), d.version).
		WithPut(RowKey(name), content).
		WithPut(EpochKey(name), content))
	if err != nil {
		return l.afterFailure(d, t, err)
	}
	l.Log.Info().Str("duty", name).Uint64("fencing-token", t.lease.token).Msg("lease taken")
	return d.withTakeover(t, version).withDueAt(t.sent.Add(l.times().RenewEvery))
}
