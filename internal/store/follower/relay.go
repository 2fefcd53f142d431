package follower

import (
	"context"
	"maps"
	"time"

	"github.com/sourcegraph/conc"

	"foxtailflow.example/foxtailflow/internal/inner/courier"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

// The times of following a table through another node.
const (
	// restEvery is how often a node that serves a table sends its age although
	// nothing has changed.
	restEvery = 500 * time.Millisecond
	// silentAfter is how long a source may be silent, and how old what it has may
	// be before the store is asked.
	silentAfter = 1200 * time.Millisecond
	staleAfter  = 1500 * time.Millisecond
	// probeEvery is how often a node that the store does not answer tries it
	// beside taking the table from another node.
	probeEvery = 1500 * time.Millisecond
	// shunFor is how long a source that has failed is not asked again.
	shunFor = 3 * time.Second
)

// source returns the address of the node to take the table from, or "".
func (f *Follower) source() string {
	if f.Relay == nil {
		return ""
	}
	address := f.Relay.Source(f.state.Get().Away())
	if f.Clock.Now().Before(f.shun[address]) {
		return ""
	}
	return address
}

// probes reports whether the store, which does not answer this node, is to be
// tried again.
func (f *Follower) probes() bool {
	return f.state.Get().Away() && !f.Clock.Now().Before(f.probe)
}

// relay takes the table from a node until that fails or another source is due.
func (f *Follower) relay(ctx context.Context, address string) {
	ctx, cancel := context.WithCancel(ctx)
	// What the store has told before is old by the time it is asked again.
	defer func() { f.read = time.Time{} }()
	heard := make(chan courier.Content)
	var failure error
	var wg conc.WaitGroup
	defer func() {
		cancel()
		wg.Wait()
	}()
	wg.Go(func() {
		defer close(heard)
		failure = f.Relay.Follow(ctx, address, f.Prefix, f.state.Get().Changed, func(c courier.Content) {
			select {
			case heard <- c:
			case <-ctx.Done():
			}
		})
	})
	for {
		select {
		case c, ok := <-heard:
			switch {
			case !ok:
				f.leave(address, "the stream has ended", failure)
				return
			case c.Age > staleAfter:
				// It may still be newer than what this node has.
				f.takeContent(c)
				f.leave(address, "its content is old", nil)
				return
			}
			f.takeContent(c)
			if f.source() != address || f.probes() {
				return
			}
		case <-f.Clock.After(silentAfter):
			f.leave(address, "it is silent", nil)
			return
		case <-ctx.Done():
			return
		}
	}
}

// leave notes that a source has failed; the store is asked next.
func (f *Follower) leave(address, reason string, err error) {
	f.Log.Info().Str("table", f.Prefix).Str("address", address).Str("reason", reason).AnErr("cause", err).Msg("source left")
	now := f.Clock.Now()
	maps.DeleteFunc(f.shun, func(_ string, until time.Time) bool { return now.After(until) })
	if f.shun == nil {
		f.shun = make(map[string]time.Time)
	}
	f.shun[address] = now.Add(shunFor)
	f.Relay.Failed(address)
}

// takeContent takes what another node has sent.
func (f *Follower) takeContent(c courier.Content) {
	now := f.Clock.Now()
	f.store(func(s Snapshot) Snapshot {
		s = s.withConfirmed(now.Add(-c.Age), now)
		if resumed := now.Add(-c.Resumed); c.Resumed > 0 && resumed.After(s.ResumedAt) {
			s.ResumedAt = resumed
		}
		if c.Changed <= s.Changed && s.Loaded() {
			return s
		}
		changes := transactor.Changes{Rows: c.Rows, Version: c.Version}
		if c.Whole {
			s = s.withAll(changes)
		} else {
			s = s.withChanges(changes)
		}
		s.Changed = c.Changed
		return s
	})
}

// Serve sends the content to another node until ctx is done or send fails.
func (f *Follower) Serve(ctx context.Context, changed uint64, send func(courier.Content) error) error {
	var sent Snapshot
	for ctx.Err() == nil {
		s, next := f.state.Changed()
		if s.Loaded() {
			c := s.since(sent)
			c.Age = f.Clock.Now().Sub(f.confirmed(s))
			if !s.ResumedAt.IsZero() {
				c.Resumed = max(f.Clock.Now().Sub(s.ResumedAt), time.Millisecond)
			}
			if !sent.Loaded() && s.Changed == changed {
				c.Whole, c.Rows = false, nil
			}
			if err := send(c); err != nil {
				return err
			}
			sent = s
		}
		if err := f.await(ctx, next, s.Changed); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// confirmed returns when the store has confirmed a snapshot: while the watch of
// the table is open, any answer of the store does.
func (f *Follower) confirmed(s Snapshot) time.Time {
	if s.Away() || f.source() != "" {
		return s.ConfirmedAt
	}
	return f.Pulse.confirmed(s.ConfirmedAt)
}

// await waits until the content has changed, or the other node should hear.
func (f *Follower) await(ctx context.Context, next <-chan struct{}, changed uint64) error {
	rest := f.Clock.After(restEvery)
	for {
		select {
		case <-next:
			// The store confirms the content more often than it changes.
			var s Snapshot
			if s, next = f.state.Changed(); s.Changed != changed {
				return nil
			}
		case <-rest:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// since returns what has changed since an older snapshot.
func (s Snapshot) since(old Snapshot) courier.Content {
	c := courier.Content{Whole: !old.Loaded(), Version: s.Version, Changed: s.Changed}
	for key, r := range s.rows {
		if before, ok := old.rows[key]; !ok || before.Version != r.Version {
			c.Rows = append(c.Rows, r)
		}
	}
	for key := range old.rows {
		if _, ok := s.rows[key]; !ok {
			c.Rows = append(c.Rows, transactor.Row{Key: key, Version: s.Changed, Deleted: true})
		}
	}
	return c
}
