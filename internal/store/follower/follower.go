// Package follower keeps the newest content of a table on a node.
//
// A node watches the table and takes each change into an immutable snapshot. A
// watch can stay silent although the table has changed, and the store can be
// away for this node only. So a watch is never open for long, the whole table
// is read again where the history has gaps, and a snapshot of a peer is taken
// where it is newer. The content never goes back to an older version.
package follower

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/keeper"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/inner/courier"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

// Snapshot is the content of a table at a version.
//
// It is an immutable value.
type Snapshot struct {
	// Version is the newest version of the store that the content reflects.
	Version uint64
	// Changed is the version of the newest row, deletions included.
	Changed uint64
	rows    map[string]transactor.Row
	// ConfirmedAt is when the store last confirmed the content.
	ConfirmedAt time.Time
	// KnownAt is when the store was last asked for the content that it confirmed;
	// content of other nodes leaves it as it is.
	KnownAt time.Time
	// AwaySince is when the store last stopped to answer this node, BackSince
	// when it answered again; both are zero where it never was away.
	AwaySince time.Time
	BackSince time.Time
	// ResumedAt is when the content was confirmed again after nobody had seen the
	// store for so long that rows may have lapsed; zero where that never was.
	ResumedAt time.Time
}

// NewSnapshot returns a snapshot of rows at a version.
func NewSnapshot(version uint64, rows []transactor.Row) Snapshot {
	return Snapshot{}.withAll(transactor.Changes{Rows: rows, Version: version})
}

// lapseAfter is how long the store must have been away for rows to lapse: they
// are written every 1.2 s and lapse after three times as long.
const lapseAfter = 2 * time.Second

// withConfirmed returns a snapshot whose content the store has confirmed at a
// time.
func (s Snapshot) withConfirmed(at, now time.Time) Snapshot {
	if s.Away() && s.Loaded() && at.Sub(s.ConfirmedAt) >= lapseAfter {
		s.ResumedAt = now
	}
	if at.After(s.ConfirmedAt) {
		s.ConfirmedAt = at
	}
	return s
}

// Loaded reports whether the table was ever read.
func (s Snapshot) Loaded() bool { return s.rows != nil }

// Away reports whether the store does not answer at present.
func (s Snapshot) Away() bool { return s.AwaySince.After(s.BackSince) }

// Get returns a row.
func (s Snapshot) Get(key string) (transactor.Row, bool) {
	r, ok := s.rows[key]
	return r, ok
}

// Rows returns the rows in the order of their keys.
func (s Snapshot) Rows() []transactor.Row {
	rows := slices.Collect(maps.Values(s.rows))
	slices.SortFunc(rows, func(a, b transactor.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows
}

// withAll returns a snapshot with other content.
func (s Snapshot) withAll(c transactor.Changes) Snapshot {
	before := s.rows
	s.rows = make(map[string]transactor.Row, len(c.Rows))
	same := len(before) == len(c.Rows)
	for _, r := range c.Rows {
		s.rows[r.Key] = r
		s.Changed = max(s.Changed, r.Version)
		same = same && before[r.Key].Version == r.Version
	}
	s.Version = max(s.Version, c.Version)
	if before != nil && !same {
		// A row that is gone has left no version.
		s.Changed = s.Version
	}
	return s
}

// withChanges returns a snapshot with changes applied.
func (s Snapshot) withChanges(c transactor.Changes) Snapshot {
	if len(c.Rows) == 0 {
		return s
	}
	s.rows = maps.Clone(s.rows)
	for _, r := range c.Rows {
		if old, ok := s.rows[r.Key]; ok && old.Version > r.Version {
			continue
		}
		if r.Deleted {
			delete(s.rows, r.Key)
		} else {
			s.rows[r.Key] = r
		}
		s.Changed = max(s.Changed, r.Version)
	}
	s.Version = max(s.Version, s.Changed)
	return s
}

// Relay is where the table can be taken from in place of the store.
type Relay interface {
	// Source returns the address of the node to take the table from; empty means
	// the store. With away set the store does not answer this node.
	Source(away bool) string
	// Failed notes that the node at an address has failed as a source.
	Failed(address string)
	// Follow takes content from the node at an address until ctx is done or the
	// stream breaks.
	Follow(ctx context.Context, address, prefix string, changed uint64, take func(courier.Content)) error
}

// Follower follows the rows with one prefix.
type Follower struct {
	Clock  timekeeper.Clock
	Log    zerolog.Logger
	Feed   transactor.Feed
	Prefix string
	// Wait is how long one watch is open.
	Wait time.Duration
	// Refresh is the time after which the whole table is read again.
	Refresh time.Duration
	// Retry is the delay after a call that failed.
	Retry time.Duration
	// Gap is the least time between two watches of the store once one has told of
	// a change, so that changes in quick succession cost one call; 0 means none.
	Gap time.Duration
	// Pulse is shared by the followers of a node.
	Pulse *Pulse
	// Relay may be nil.
	Relay Relay
	// OnClock is called with each reading of the store's clock; nil means nothing.
	OnClock func(time.Duration)
	// OnBack is called when the store answers again after it did not; nil means
	// nothing.
	OnBack func()
	// OnChange is called after each change, from one goroutine at a time.
	OnChange func(Snapshot)

	state keeper.Cell[Snapshot]
	// read is when the whole table was last read.
	read time.Time
	// failures counts the calls in a row that got no answer.
	failures int
	// pause says that the last watch has told of a change.
	pause bool
	// probe is when a store that does not answer is tried again.
	probe time.Time
	// shun has the nodes that have failed as sources, with the time until which
	// they are not asked.
	shun map[string]time.Time
}

// Snapshot returns the newest content.
func (f *Follower) Snapshot() Snapshot { return f.state.Get() }

// Run follows the table until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if address := f.source(); address != "" && !f.probes() {
			f.relay(ctx, address)
			continue
		}
		if err := f.step(ctx); err != nil && ctx.Err() == nil {
			f.failed(ctx, err)
		}
		if f.pause && f.Gap > 0 {
			f.pause = false
			_ = f.Clock.Sleep(ctx, f.Gap)
		}
	}
}

// step reads the table once, or waits once for a change.
func (f *Follower) step(ctx context.Context) error {
	ctx, end := f.Pulse.begin(ctx)
	defer end()
	s := f.state.Get()
	now := f.Clock.Now()
	if !s.Loaded() || f.read.IsZero() || now.Sub(f.read) >= f.Refresh {
		return f.readAll(ctx, now)
	}
	c, err := f.Feed.Watch(ctx, f.Prefix, s.Version, f.Wait)
	switch {
	case coder.Is(err, coder.HistoryGone):
		f.read = time.Time{}
		f.Log.Info().Str("table", f.Prefix).Uint64("version", s.Version).Msg("history gone; the table is read again")
		return nil
	case err != nil && errors.Is(context.Cause(ctx), errBroken):
		// A plain read tells sooner whether the store answers.
		f.read = time.Time{}
		return nil
	case err != nil:
		return err
	}
	f.clock(c)
	// Rows, and not the version of an answer without any, say how far the
	// content is complete: a watch may have missed changes.
	f.take(now, func(s Snapshot) Snapshot { return s.withChanges(c) })
	f.pause = len(c.Rows) > 0
	return nil
}

// readAll reads the whole table.
func (f *Follower) readAll(ctx context.Context, now time.Time) error {
	c, err := f.Feed.Read(ctx, f.Prefix)
	if err != nil {
		return err
	}
	f.read = now
	f.clock(c)
	f.take(now, func(s Snapshot) Snapshot {
		if c.Version < s.Version {
			return s
		}
		return s.withAll(c)
	})
	return nil
}

func (f *Follower) clock(c transactor.Changes) {
	if f.OnClock != nil && c.Clock > 0 {
		f.OnClock(c.Clock)
	}
}

// take stores what the store has told when it was asked at a time.
func (f *Follower) take(asked time.Time, change func(Snapshot) Snapshot) {
	now := f.Clock.Now()
	back := f.state.Get().Away()
	f.failures = 0
	f.Pulse.answered(now)
	f.store(func(s Snapshot) Snapshot {
		away := s.Away()
		s = s.withConfirmed(now, now)
		s.KnownAt = asked
		if away {
			f.Log.Info().Str("table", f.Prefix).Dur("away-ms", now.Sub(s.AwaySince)).Msg("store answers again")
			s.BackSince = now
		}
		return change(s)
	})
	if back && f.OnBack != nil {
		f.OnBack()
	}
}

func (f *Follower) store(change func(Snapshot) Snapshot) {
	var before, after Snapshot
	f.state.Update(func(s Snapshot) (Snapshot, bool) {
		before, after = s, change(s)
		return after, true
	})
	if f.OnChange != nil && (after.Changed != before.Changed || after.Loaded() != before.Loaded() || after.ResumedAt != before.ResumedAt) {
		f.OnChange(after)
	}
}

// failed notes that the store did not answer, and waits.
func (f *Follower) failed(ctx context.Context, err error) {
	now := f.Clock.Now()
	f.store(func(s Snapshot) Snapshot {
		if !s.Away() {
			s.ConfirmedAt = f.Pulse.confirmed(s.ConfirmedAt)
			f.Log.Warn().Str("table", f.Prefix).Uint64("version", s.Version).Err(err).Msg("store does not answer")
			s.AwaySince = now
			if s.BackSince.Equal(now) {
				s.AwaySince = now.Add(1)
			}
		}
		return s
	})
	if coder.Of(err).Code() == coder.PlatformUnavailable {
		f.Pulse.failed(now)
	}
	// A plain read fails sooner than a watch.
	f.read = time.Time{}
	f.probe = f.Clock.Now().Add(probeEvery)
	f.awaitStore(ctx)
}

const (
	// maxRetry bounds the delay between two tries of a store that does not answer;
	// all nodes try it, so a short one costs hundreds of calls a second.
	maxRetry = 500 * time.Millisecond
	// restRetry is the delay of the followers of a node that leave the trying to
	// another one and have no node to take the table from.
	restRetry = 2 * time.Second
)

// awaitStore waits until the store is to be tried again.
func (f *Follower) awaitStore(ctx context.Context) {
	wait := min(f.Retry<<f.failures, maxRetry)
	f.failures = min(f.failures+1, maxDoublings)
	prober, back := f.Pulse.probing(f)
	if !prober && f.source() == "" {
		wait = restRetry
	}
	select {
	case <-f.Clock.After(wait):
	case <-back:
	case <-ctx.Done():
	}
}

// maxDoublings keeps a delay from overflowing.
const maxDoublings = 8
