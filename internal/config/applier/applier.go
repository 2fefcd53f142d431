// Package applier keeps the configuration in force on a node.
//
// Accepted changes form a log in the platform's table: one row for each
// version, and a head row with the newest. A node follows the log and merges
// the files after each change. Its version only grows.
//
// The node also keeps evidence: the last moment at which it knew that the head
// was not newer than its own version. Once that is longer ago than FreshFor, it
// no longer answers for keys. Evidence comes from reading the head, from peers
// that have evidence, and, if the store cannot be reached, from a majority of
// the roster. The majority holds no state and orders nothing; the store alone
// decides which change comes next.
//
// A change is in force once no node can answer by an older version: every member
// of the roster and every other running node has applied it, or a majority of the roster has and FreshFor has passed
// since, so that a node that was not reached has no evidence left. Majorities
// intersect, so such a node cannot find new evidence for an older version.
package applier

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/keeper"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/config/merger"
	"foxtailflow.example/foxtailflow/internal/inner/messenger"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

// FreshFor is how long a node answers for keys after it last knew that its
// configuration was the newest.
const FreshFor = 3 * time.Second

// headWait bounds one read of the head. It is well under FreshFor, so that a
// store that hangs is known to be unreachable while peers' evidence still holds.
const headWait = time.Second

// View is the configuration of a node at one moment.
//
// It is an immutable value; the With methods return changed copies.
type View struct {
	Result merger.Result
	Files  Files
	Loaded bool
	// Evidence is the last moment at which no newer version was known to exist.
	Evidence time.Time
	// Since is when the evidence began without a gap.
	Since time.Time
}

// WithEvidence returns a copy whose version was known to be the newest at t.
func (v View) WithEvidence(t time.Time) View {
	if !t.After(v.Evidence) {
		return v
	}
	if t.Sub(v.Evidence) > FreshFor {
		v.Since = t
	}
	v.Evidence = t
	return v
}

// Version returns the version of the configuration.
func (v View) Version() uint64 { return v.Result.Config.Version() }

// Peers tells what the other nodes last stated of themselves.
type Peers interface {
	// Statements returns the newest statement of each node that has not left,
	// with ages as of the call.
	Statements() []messenger.State
	// Running reports whether the node that made the statement counts as running.
	Running(s messenger.State) bool
}

// Transport sends messages to peers.
type Transport interface {
	Announce(ctx context.Context, address string, a messenger.Announcement) (messenger.Applied, error)
	Changes(ctx context.Context, address string, after uint64, limit int) (messenger.Changes, error)
	Roster(ctx context.Context, address string) (messenger.Roster, error)
}

// Applier keeps the configuration in force on a node.
type Applier struct {
	Clock timekeeper.Clock
	Log   zerolog.Logger
	Table transactor.Table
	// Objects keeps snapshots; without it the change log is never shortened.
	Objects transactor.Objects
	// Self names this node in the roster; the identifier in it must be that of
	// one process only.
	Self string
	// Started is when this process has started.
	Started time.Time
	// Peers and Transport reach the other nodes; both may be nil for one that
	// works alone.
	Peers     Peers
	Transport Transport
	// Reader reports whether this node reads the head at every turn; nil means
	// that it does.
	Reader func() bool

	cell     keeper.Cell[View]
	roster   keeper.Cell[Roster]
	store    keeper.Cell[storeState]
	snapshot keeper.Cell[uint64]
	// rosterRead is when the roster was last read from its row.
	rosterRead keeper.Cell[time.Time]
}

// storeState is how the last read of the head ended.
type storeState struct {
	down bool
	at   time.Time
}

// View returns the configuration and what is known of its age.
func (a *Applier) View() View { return a.cell.Get() }

// Config returns the newest configuration; ConfigNotLoaded before the first.
func (a *Applier) Config() (definer.Config, error) {
	v := a.cell.Get()
	if !v.Loaded {
		return definer.Config{}, coder.Refuse(coder.ConfigNotLoaded, "the node has not loaded its configuration").WithRetryAfter(time.Second)
	}
	return v.Result.Config, nil
}

// Current fails with ViewNotCurrent if the configuration may be outdated.
func (a *Applier) Current() error {
	v := a.cell.Get()
	if a.Clock.Now().Sub(v.Evidence) > FreshFor {
		return coder.Refuse(coder.ViewNotCurrent, "the node cannot tell whether its configuration is current").WithRetryAfter(time.Second)
	}
	return a.Counted()
}

// Counted fails with ViewNotCurrent while other nodes may not know that this
// one runs, and would not wait for it when they accept a change.
//
// A member of the roster is known. A node that cannot become one, since a
// majority is lost, is known from gossip after a while.
func (a *Applier) Counted() error {
	since := a.cell.Get().Since
	known := !since.IsZero() && a.Clock.Now().Sub(since) > FreshFor+margin
	if a.Peers == nil || a.roster.Get().Has(a.Self) || known {
		return nil
	}
	return coder.Refuse(coder.ViewNotCurrent, "the other nodes do not know yet that this one runs").WithRetryAfter(time.Second)
}

// StoreReachable reports whether the last read of the head succeeded.
func (a *Applier) StoreReachable() bool { return !a.store.Get().down }

// State adds to s what this node states of its configuration.
func (a *Applier) State(s messenger.State) messenger.State {
	// The view is read before the clock, so that no age is stated too young.
	v, st, r := a.cell.Get(), a.store.Get(), a.roster.Get()
	now := a.Clock.Now()
	s.ConfigVersion = v.Version()
	s.HasEvidence = !v.Evidence.IsZero()
	if s.HasEvidence {
		s.EvidenceAge = now.Sub(v.Evidence)
	}
	s.StoreUnreachable = st.down
	if st.down {
		s.StoreUnreachableAge = now.Sub(st.at)
	}
	s.RosterVersion = r.Version()
	return s
}

// ownReadAfter is the age of the evidence at which a node that otherwise takes
// it from peers reads the head itself; one read fits into what is left.
const ownReadAfter = FreshFor / 2

// Follow refreshes the view, unless evidence from peers keeps it fresh.
func (a *Applier) Follow(ctx context.Context) error {
	v := a.View()
	if a.Reader != nil && !a.Reader() && v.Loaded && a.Clock.Now().Sub(v.Evidence) < ownReadAfter {
		return nil
	}
	return a.Refresh(ctx)
}

// Refresh reads the head and applies the changes that are missing.
func (a *Applier) Refresh(ctx context.Context) error {
	// What was newest when the read began is known to be newest at that time.
	began := a.Clock.Now()
	version, _, err := a.readHead(ctx)
	if err != nil {
		return err
	}
	if have := a.View(); !have.Loaded || have.Version() < version {
		if err := a.catchUp(ctx, version); err != nil {
			return err
		}
	}
	if a.Peers != nil && began.Sub(a.View().Evidence) > FreshFor {
		// After a gap this node may have been taken for lost and removed.
		r, _, err := a.readRoster(ctx)
		if err != nil {
			return err
		}
		a.install(r)
	}
	a.cell.Update(func(v View) (View, bool) {
		return v.WithEvidence(began), v.Version() >= version
	})
	return nil
}

// readHead reads the head within headWait and notes whether the store answers.
func (a *Applier) readHead(ctx context.Context) (version, row uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, headWait)
	defer cancel()
	version, row, err = a.head(ctx)
	down, at := err != nil, a.Clock.Now()
	a.store.Update(func(s storeState) (storeState, bool) {
		if s.down != down {
			a.Log.Warn().Bool("reachable", !down).Msg("reach of the store changed")
		}
		return storeState{down: down, at: at}, true
	})
	return version, row, err
}

// apply puts files in force; a version that is not newer changes nothing.
func (a *Applier) apply(files Files) error {
	result, err := merger.Merge(files.List())
	if err != nil {
		return err
	}
	result.Config = result.Config.WithVersion(files.Version())
	a.cell.Update(func(v View) (View, bool) {
		if v.Loaded && v.Version() >= files.Version() {
			return v, false
		}
		return View{Result: result, Files: files, Loaded: true, Evidence: v.Evidence, Since: v.Since}, true
	})
	return nil
}
