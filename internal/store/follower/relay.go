package follower

import (
	"context"
	"maps"
	"time"

	"github.com/sourcegraph/conc"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/inner/courier"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

// The intervals and timeouts of following a table through another node.
const (
	// idleInterval is how often a node that serves a table sends the age of its
	// content while the store neither changes nor confirms it.
	idleInterval = 900 * time.Millisecond
	// sourceTimeout is how long a source may send nothing before the node turns to the
	// store.
	sourceTimeout = 2 * idleInterval
	// probeInterval is how often a node probes a store that is unavailable to it
	// while it follows the table from another node.
	probeInterval = 1500 * time.Millisecond
	// avoidPeriod is how long a source that has failed is not used again.
	avoidPeriod = 3 * time.Second
)

// source returns the address of the node from which to follow the table, or "" for
// the store.
func (f *Follower) source() string {
	if f.Relay == nil {
		return ""
	}
	address := f.Relay.Source(f.snapshot.Get().Unavailable())
	if f.Clock.Now().Before(f.avoidUntil[address]) {
		return ""
	}
	return address
}

// outdated reports whether the content is too old to wait for another node while the store
// may answer. A node that has no content yet waits, as many nodes start at once.
func (f *Follower) outdated() bool {
	s := f.snapshot.Get()
	return s.Loaded() && !s.Unavailable() && s.Age(f.Clock.Now()) >= f.MaxAge
}

// probeDue reports whether the store is unavailable and due to be tried again.
func (f *Follower) probeDue() bool {
	return f.snapshot.Get().Unavailable() && !f.Clock.Now().Before(f.probeAt)
}

// probeTimer returns a channel that receives when a store that is unavailable is due to be
// tried again; nil if it is available.
func (f *Follower) probeTimer() <-chan time.Time {
	if !f.snapshot.Get().Unavailable() {
		return nil
	}
	return f.Clock.After(f.probeAt.Sub(f.Clock.Now()))
}

// followNode follows the table from a node until that fails, the source changes or
// the store is due to be probed.
func (f *Follower) followNode(ctx context.Context, address string) {
	ctx, cancel := context.WithCancel(ctx)
	requested := f.Clock.Now()
	// Earlier content of the store is out of date when it is asked again.
	defer func() { f.lastRead = time.Time{} }()
	contents := make(chan courier.TableContent)
	var followErr error
	var wg conc.WaitGroup
	defer func() {
		cancel()
		wg.Wait()
	}()
	wg.Go(func() {
		defer close(contents)
		followErr = f.Relay.Follow(ctx, address, f.Prefix, f.snapshot.Get().ChangedVersion, func(c courier.TableContent) {
			select {
			case contents <- c:
			case <-ctx.Done():
			}
		})
	})
	// The clocks of two nodes drift apart, so the table is requested again at times.
	renewal := f.Clock.After(f.RefreshInterval)
	for {
		probe := f.probeTimer()
		select {
		case c, ok := <-contents:
			if !ok {
				f.dropSource(address, "stream ended", followErr)
				return
			}
			// Even content that is too old may be newer than that of this node.
			if err := f.checkEra(c); err != nil {
				f.dropSource(address, "other era", err)
				return
			}
			confirmed := c.ConfirmedAt(requested, f.Clock.Now())
			f.applyContent(address, c, confirmed)
			if f.Clock.Now().Sub(confirmed) > f.MaxAge {
				f.dropSource(address, "content too old", nil)
				return
			}
			if f.source() != address || f.probeDue() {
				return
			}
		case <-f.Clock.After(f.sourceLimit()):
			f.dropSource(address, "no current content within the timeout", nil)
			return
		case <-probe:
			return
		case <-renewal:
			return
		case <-ctx.Done():
			return
		}
	}
}

// sourceLimit returns how long to wait for the next content of a source: until the
// content of this node is too old, or sourceTimeout if it already is.
func (f *Follower) sourceLimit() time.Duration {
	left := f.MaxAge - f.snapshot.Get().Age(f.Clock.Now())
	if left <= 0 {
		return sourceTimeout
	}
	return min(left, sourceTimeout)
}

// dropSource records that a source has failed; the store is asked next.
func (f *Follower) dropSource(address, reason string, err error) {
	now := f.Clock.Now()
	f.Log.Info().Str("table", f.Prefix).Str("address", address).Str("reason", reason).AnErr("cause", err).
		Dur("age-ms", f.snapshot.Get().Age(now)).Msg("source dropped")
	maps.DeleteFunc(f.avoidUntil, func(_ string, until time.Time) bool { return now.After(until) })
	if f.avoidUntil == nil {
		f.avoidUntil = make(map[string]time.Time)
	}
	f.avoidUntil[address] = now.Add(avoidPeriod)
	f.Relay.MarkFailed(address)
}

// checkEra fails if the content of a source is of an earlier era than that of this node, or
// has the changes to content of an era that this node does not have.
func (f *Follower) checkEra(c courier.TableContent) error {
	own, theirs := f.snapshot.Get().Version, c.Version
	if theirs.Era() < own.Era() || theirs.Era() > own.Era() && !c.Complete {
		return coder.New(coder.HistoryGone, "the content has version %v, that of this node %v", theirs, own)
	}
	return nil
}

// applyContent updates the snapshot by the content that the node at an address has
// sent and that the store confirmed at a time.
func (f *Follower) applyContent(address string, c courier.TableContent, confirmed time.Time) {
	now := f.Clock.Now()
	f.update(func(before Snapshot) Snapshot {
		s := before.withConfirmed(confirmed, now)
		s.Source = address
		if c.Age >= f.MaxAge {
			// The other node has heard nothing of the store for as long.
			s.SharedOutageAt = now
		}
		if resumed := now.Add(-c.SinceOutage); c.SinceOutage > 0 && resumed.After(s.OutageEndedAt) {
			s.OutageEndedAt = resumed
		}
		if c.ChangedVersion <= s.ChangedVersion && s.Loaded() {
			return s
		}
		changes := transactor.Changes{Rows: c.Rows, Version: c.Version}
		if c.Complete {
			s = s.withContent(changes)
		} else {
			s = s.withChanges(changes)
		}
		s.ChangedVersion = c.ChangedVersion
		return s.withEra(before, now)
	})
}

// Serve sends the content to another node until ctx is done or send fails.
func (f *Follower) Serve(ctx context.Context, changed transactor.Version, send func(courier.TableContent) error) error {
	var sent Snapshot
	began := f.Clock.Now()
	for ctx.Err() == nil {
		s, next := f.snapshot.Watch()
		if s.Loaded() {
			c := s.changesSince(sent)
			now := f.Clock.Now()
			c.Age, c.Elapsed = s.Age(now), max(now.Sub(began), time.Millisecond)
			if !s.OutageEndedAt.IsZero() {
				c.SinceOutage = max(now.Sub(s.OutageEndedAt), time.Millisecond)
			}
			// A node without content says 0, and an empty table may be at 0, too.
			if !sent.Loaded() && changed > 0 && s.ChangedVersion == changed {
				c.Complete, c.Rows = false, nil
			}
			if err := send(c); err != nil {
				return err
			}
			sent = s
		}
		if err := f.awaitNews(ctx, next, s); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// awaitNews waits until the content has changed, the store has confirmed it again, or
// the idle interval is over.
func (f *Follower) awaitNews(ctx context.Context, next <-chan struct{}, sent Snapshot) error {
	idle := f.Clock.After(idleInterval)
	for {
		select {
		case <-next:
			var s Snapshot
			if s, next = f.snapshot.Watch(); s.ChangedVersion != sent.ChangedVersion || s.ConfirmedAt.After(sent.ConfirmedAt) {
				return nil
			}
		case <-idle:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// changesSince returns the changes since an older snapshot, or the whole content
// if that was not loaded or is of another era: the receiver may have rows of that era that
// this node has never had.
func (s Snapshot) changesSince(old Snapshot) courier.TableContent {
	if old.Version.Era() != s.Version.Era() {
		old = Snapshot{}
	}
	c := courier.TableContent{Complete: !old.Loaded(), Version: s.Version, ChangedVersion: s.ChangedVersion}
	for key, r := range s.rows {
		if before, ok := old.rows[key]; !ok || before.Version != r.Version {
			c.Rows = append(c.Rows, r)
		}
	}
	for key := range old.rows {
		if _, ok := s.rows[key]; !ok {
			c.Rows = append(c.Rows, transactor.Row{Key: key, Version: s.ChangedVersion, Deleted: true})
		}
	}
	return c
}
