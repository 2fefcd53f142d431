// Package follower keeps an up-to-date copy of a table on a node.
//
// A node watches the table and applies each change to an immutable snapshot. A
// watch can miss changes, and the store can be unavailable to this node only.
// Each watch is therefore short, the whole table is read again where the history
// has gaps, and the content of another node is taken where it is newer. The copy
// never goes back to an older version. A store that comes back from an older copy begins an
// era, and versions of a later era are newer, whatever their numbers.
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
	Version transactor.Version
	// ChangedVersion is the version of the newest row, deletions included.
	ChangedVersion transactor.Version
	rows           map[string]transactor.Row
	// ConfirmedAt is a time at which the content was that of the store: no change
	// before it is missing.
	ConfirmedAt time.Time
	// ReachableAt is the last time before an outage at which the store is known to
	// have responded to this node, for whatever table.
	ReachableAt time.Time
	// Source is the address of the node through which the content was last confirmed,
	// or "" for the store itself.
	Source string
	// RequestedAt is when the last request was sent to which the store responded;
	// content of other nodes does not change it.
	RequestedAt time.Time
	// UnavailableSince is when the store last became unavailable to this node,
	// AvailableSince when it became available again; both are zero while that
	// has not happened.
	UnavailableSince time.Time
	AvailableSince   time.Time
	// OutageEndedAt is when the content was confirmed again after no node had
	// reached the store for so long that rows may have expired, or when the store had come
	// back from a copy that may be without them; zero while that has not happened.
	OutageEndedAt time.Time
	// SharedOutageAt is when other nodes last showed that the store does not answer them
	// either.
	SharedOutageAt time.Time
}

// NewSnapshot returns a snapshot of rows at a version.
func NewSnapshot(version transactor.Version, rows []transactor.Row) Snapshot {
	return Snapshot{}.withContent(transactor.Changes{Rows: rows, Version: version})
}

// minExpiryOutage is the shortest outage of the store in which rows may expire:
// they are written every 1.2 s and expire after three times as long.
const minExpiryOutage = 2 * time.Second

// InOutage reports whether the store is unavailable to this node and, by what it has heard
// from them, to others. A node that is cut off, suspended or late by itself hears nothing of
// an outage: changes go on without it.
func (s Snapshot) InOutage() bool {
	return s.Unavailable() && !s.SharedOutageAt.IsZero() && !s.SharedOutageAt.Before(s.ConfirmedAt)
}

// withConfirmed returns a snapshot whose content the store confirmed at a time. Rows that are
// missing after an outage may have expired, as their writers did not reach the store either.
func (s Snapshot) withConfirmed(at, now time.Time) Snapshot {
	outage := min(at.Sub(s.ConfirmedAt), at.Sub(s.ReachableAt))
	if s.InOutage() && s.Loaded() && outage >= minExpiryOutage {
		s.OutageEndedAt = now
	}
	if at.After(s.ConfirmedAt) {
		s.ConfirmedAt = at
	}
	return s
}

// Loaded reports whether the table was ever read.
func (s Snapshot) Loaded() bool { return s.rows != nil }

// Unavailable reports whether the store is unavailable to this node.
func (s Snapshot) Unavailable() bool { return s.UnavailableSince.After(s.AvailableSince) }

// Age returns how old the content is at a time, counted from the store.
func (s Snapshot) Age(now time.Time) time.Duration { return now.Sub(s.ConfirmedAt) }

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

// withContent returns a snapshot with other content.
func (s Snapshot) withContent(c transactor.Changes) Snapshot {
	old := s.rows
	s.rows = make(map[string]transactor.Row, len(c.Rows))
	same := len(old) == len(c.Rows)
	for _, r := range c.Rows {
		s.rows[r.Key] = r
		s.ChangedVersion = max(s.ChangedVersion, r.Version)
		same = same && old[r.Key].Version == r.Version
	}
	before := s.Version
	s.Version = max(s.Version, c.Version)
	if old != nil && (!same || s.Version.Era() != before.Era()) {
		// The version of a deletion is not known here.
		s.ChangedVersion = s.Version
	}
	return s
}

// withEra returns a snapshot whose content has changed since another one, at a time. Rows
// that are missing from a copy of the store may be written again, as after an outage.
func (s Snapshot) withEra(before Snapshot, now time.Time) Snapshot {
	if before.Loaded() && s.Version.Era() != before.Version.Era() {
		s.OutageEndedAt = now
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
		s.ChangedVersion = max(s.ChangedVersion, r.Version)
	}
	s.Version = max(s.Version, s.ChangedVersion)
	return s
}

// Relay follows the table through another node instead of the store.
type Relay interface {
	// Source returns the address of the node from which to follow the table; empty
	// means the store. If unavailable is set, this node cannot reach the store.
	Source(unavailable bool) string
	// MarkFailed records that the node at an address has failed as a source.
	MarkFailed(address string)
	// Follow receives content from the node at an address until ctx is done or the
	// stream breaks.
	Follow(ctx context.Context, address, prefix string, changed transactor.Version, take func(courier.TableContent)) error
}

// Follower keeps a copy of the rows whose keys have one prefix.
type Follower struct {
	Clock  timekeeper.Clock
	Log    zerolog.Logger
	Feed   transactor.Feed
	Prefix string
	// WatchTimeout is how long the content may go without a confirmation by the store:
	// a watch is open until then.
	WatchTimeout time.Duration
	// MaxAge is how old the content may be before a node that follows the table
	// through another one turns to the store.
	MaxAge time.Duration
	// RefreshInterval is the interval at which the whole table is read again.
	RefreshInterval time.Duration
	// RetryDelay is the delay after the first failed call; it doubles with each
	// further failure.
	RetryDelay time.Duration
	// ChangeDelay is the pause after a watch that has returned changes, so that
	// changes in quick succession cost one call; 0 means none.
	ChangeDelay time.Duration
	// Reachability is shared by the followers of a node.
	Reachability *Reachability
	// Relay may be nil.
	Relay Relay
	// UnavailableToMost reports whether the store is unavailable to most nodes, this one
	// included; nil means that there are no others.
	UnavailableToMost func() bool
	// Lag returns how late this process has run since a time; nil means never late.
	Lag func(since time.Time) time.Duration
	// OnClock is called with each reading of the store's clock; it may be nil.
	OnClock func(time.Duration)
	// OnAvailable is called when the store becomes available again; it may be nil.
	OnAvailable func()
	// OnChange is called after each change, from one goroutine at a time.
	OnChange func(Snapshot)

	snapshot keeper.Cell[Snapshot]
	// lastRead is when the whole table was last read.
	lastRead time.Time
	// failures is the number of consecutive calls without a response.
	failures int
	// changed means that the last watch has returned changes.
	changed bool
	// probeAt is when an unavailable store is tried again.
	probeAt time.Time
	// avoidUntil has the addresses of the sources that have failed, with the times
	// until which they are not used.
	avoidUntil map[string]time.Time
}

// Snapshot returns the newest content.
func (f *Follower) Snapshot() Snapshot { return f.snapshot.Get() }

// Next returns a channel that is closed when the content is confirmed or changes.
func (f *Follower) Next() <-chan struct{} {
	_, next := f.snapshot.Watch()
	return next
}

// Run follows the table until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if address := f.source(); address != "" && !f.probeDue() && !f.outdated() {
			f.followNode(ctx, address)
			continue
		}
		began := f.Clock.Now()
		if err := f.step(ctx); err != nil && ctx.Err() == nil {
			f.handleFailure(ctx, err, began)
		}
		if f.changed && f.ChangeDelay > 0 {
			f.changed = false
			_ = f.Clock.Sleep(ctx, f.ChangeDelay)
		}
	}
}

// step reads the whole table once, or watches it once.
func (f *Follower) step(ctx context.Context) error {
	ctx, endCall := f.Reachability.beginCall(ctx)
	defer endCall()
	s := f.snapshot.Get()
	now := f.Clock.Now()
	if !s.Loaded() || f.lastRead.IsZero() || now.Sub(f.lastRead) >= f.RefreshInterval {
		return f.readAll(ctx, now)
	}
	wait := max(f.WatchTimeout-s.Age(now), 0)
	c, err := f.Feed.Watch(ctx, f.Prefix, s.Version, wait)
	switch {
	case coder.Is(err, coder.HistoryGone):
		f.lastRead = time.Time{}
		f.Log.Info().Str("table", f.Prefix).Stringer("version", s.Version).Msg("change history gone; reading the whole table again")
		return nil
	case err != nil && errors.Is(context.Cause(ctx), errOtherCallFailed):
		// A read shows sooner than a watch whether the store is available.
		f.lastRead = time.Time{}
		return nil
	case err != nil:
		return err
	}
	f.reportClock(c)
	f.changed = len(c.Rows) > 0
	confirmed := now
	if !f.changed {
		// There was no change for as long as the store has waited for one.
		confirmed = now.Add(wait)
	}
	// Only the rows advance the snapshot's version, not the version of an empty
	// response: the watch may have missed changes.
	f.applyResponse(now, confirmed, func(s Snapshot) Snapshot { return s.withChanges(c) })
	return nil
}

// readAll reads the whole table.
func (f *Follower) readAll(ctx context.Context, now time.Time) error {
	c, err := f.Feed.Read(ctx, f.Prefix)
	if err != nil {
		return err
	}
	f.lastRead = now
	f.reportClock(c)
	f.applyResponse(now, now, func(s Snapshot) Snapshot {
		if c.Version < s.Version {
			return s
		}
		return s.withContent(c)
	})
	return nil
}

func (f *Follower) reportClock(c transactor.Changes) {
	if f.OnClock != nil && c.StoreClock > 0 {
		f.OnClock(c.StoreClock)
	}
}

// applyResponse changes the snapshot by a response of the store. asked is when the
// request was sent, confirmed the time up to which the response is known to include
// every change: it may have lain unread while this process was slow.
func (f *Follower) applyResponse(asked, confirmed time.Time, change func(Snapshot) Snapshot) {
	now := f.Clock.Now()
	recovered := f.snapshot.Get().Unavailable()
	f.failures = 0
	f.Reachability.recordResponse(now)
	shared := recovered && f.othersAway()
	f.update(func(s Snapshot) Snapshot {
		unavailable := s.Unavailable()
		s = s.withShared(shared, now)
		s = s.withConfirmed(earlier(confirmed, now), now)
		s.Source = ""
		s.RequestedAt = asked
		if unavailable {
			f.Log.Info().Str("table", f.Prefix).Dur("away-ms", now.Sub(s.UnavailableSince)).Msg("store available again")
			s.AvailableSince = now
		}
		return change(s).withEra(s, now)
	})
	if recovered && f.OnAvailable != nil {
		f.OnAvailable()
	}
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (f *Follower) update(change func(Snapshot) Snapshot) {
	var before, after Snapshot
	f.snapshot.Update(func(s Snapshot) (Snapshot, bool) {
		before, after = s, change(s)
		return after, true
	})
	if f.OnChange != nil && (after.ChangedVersion != before.ChangedVersion || after.Loaded() != before.Loaded() || after.OutageEndedAt != before.OutageEndedAt) {
		f.OnChange(after)
	}
}

// maxCallLag is how late this process may run during a call to the store that fails for the
// failure to count as one of the store. It is less than the shortest timeout of a call, that
// for opening its connection.
const maxCallLag = 300 * time.Millisecond

// handleFailure records that the store is unavailable, and waits until the retry. A call
// that began at a time and failed while this process was late shows nothing of the store,
// whose response may have come in time.
func (f *Follower) handleFailure(ctx context.Context, err error, began time.Time) {
	now := f.Clock.Now()
	if lag := f.lag(began); lag >= maxCallLag {
		f.Log.Warn().Str("table", f.Prefix).Dur("lag-ms", lag).Err(err).Msg("call to the store failed while this node was late")
		f.lastRead = time.Time{}
		_ = f.Clock.Sleep(ctx, f.RetryDelay)
		return
	}
	shared := f.othersAway()
	f.update(func(s Snapshot) Snapshot {
		if !s.Unavailable() {
			s.ReachableAt = f.Reachability.reachableAt(s.ConfirmedAt)
			f.Log.Warn().Str("table", f.Prefix).Stringer("version", s.Version).Err(err).Msg("store unavailable")
			s.UnavailableSince = now
			if s.AvailableSince.Equal(now) {
				s.UnavailableSince = now.Add(1)
			}
		}
		return s.withShared(shared, now)
	})
	if coder.FromError(err).Code() == coder.PlatformUnavailable {
		f.Reachability.recordFailure(now)
	}
	// A read fails sooner than a watch.
	f.lastRead = time.Time{}
	f.probeAt = f.Clock.Now().Add(probeInterval)
	f.waitToRetry(ctx)
}

// othersAway reports whether the store is unavailable to the other nodes, too. It is not
// called while the snapshot is being updated, as it reads those of other followers.
func (f *Follower) othersAway() bool {
	return f.UnavailableToMost == nil || f.UnavailableToMost()
}

// withShared returns a snapshot that records that the store is unavailable to the other
// nodes, too, if it is to this one.
func (s Snapshot) withShared(shared bool, now time.Time) Snapshot {
	if shared && s.Unavailable() {
		s.SharedOutageAt = now
	}
	return s
}

// lag returns how late this process has run since a time.
func (f *Follower) lag(since time.Time) time.Duration {
	if f.Lag == nil {
		return 0
	}
	return f.Lag(since)
}

const (
	// maxRetryDelay bounds the delay between two attempts to reach an unavailable
	// store; as all nodes retry, a short delay costs hundreds of calls a second.
	maxRetryDelay = 500 * time.Millisecond
	// nonProberDelay is the retry delay of followers that leave the probing to
	// another follower of the node and have no node to follow the table from.
	nonProberDelay = 2 * time.Second
)

// waitToRetry waits until the retry delay has passed or the store is available
// again.
func (f *Follower) waitToRetry(ctx context.Context) {
	delay := min(f.RetryDelay<<f.failures, maxRetryDelay)
	f.failures = min(f.failures+1, maxDoublings)
	prober, recovered := f.Reachability.electProber(f)
	if !prober && f.source() == "" {
		delay = nonProberDelay
	}
	select {
	case <-f.Clock.After(delay):
	case <-recovered:
	case <-ctx.Done():
	}
}

// maxDoublings keeps the retry delay from overflowing.
const maxDoublings = 8
