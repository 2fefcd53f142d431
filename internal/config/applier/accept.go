package applier

import (
	"context"
	"maps"
	"time"

	"github.com/sourcegraph/conc"

	"foxtailflow.example/foxtailflow/internal/base/keeper"
	"foxtailflow.example/foxtailflow/internal/inner/messenger"
)

const (
	// margin covers clocks that run at different rates within FreshFor.
	margin = 500 * time.Millisecond
	// majorityWait is how long acceptance waits for a majority; with FreshFor
	// and the margin it stays below the 9 s in which a change must be in force.
	majorityWait = 5 * time.Second
	// announcePause is the delay between two announcements to a peer that has
	// not applied the change.
	announcePause = 200 * time.Millisecond
)

// progress is what is known of a change on its way to the nodes.
//
// It is an immutable value; the With methods return changed copies.
type progress struct {
	applied map[string]bool
	// majority is when a majority of the roster was known to have applied it.
	majority time.Time
}

// WithApplied returns a copy in which the members have applied the change.
func (p progress) WithApplied(members ...string) progress {
	applied := make(map[string]bool, len(p.applied)+len(members))
	maps.Copy(applied, p.applied)
	for _, m := range members {
		applied[m] = true
	}
	p.applied = applied
	return p
}

// WithStatements returns a copy with what nodes have stated themselves.
func (p progress) WithStatements(version uint64, statements []messenger.State) progress {
	var members []string
	for _, s := range statements {
		if s.ConfigVersion >= version && !p.applied[s.Member()] {
			members = append(members, s.Member())
		}
	}
	if len(members) == 0 {
		return p
	}
	return p.WithApplied(members...)
}

// WithMajority returns a copy in which the majority was seen at the given time,
// unless it was before; without one, the time is cleared.
func (p progress) WithMajority(r Roster, now time.Time) progress {
	switch n := len(r.Members()) - len(p.missing(r)); {
	case n < r.Majority():
		p.majority = time.Time{}
	case p.majority.IsZero():
		p.majority = now
	}
	return p
}

// missing returns the members that are not known to have applied the change.
func (p progress) missing(r Roster) []string {
	var names []string
	for _, m := range r.Members() {
		if !p.applied[m] {
			names = append(names, m)
		}
	}
	return names
}

// everywhere reports whether all members and all running nodes have applied the
// change; a node that runs and is not a member yet also answers callers.
func (p progress) everywhere(r Roster, running []messenger.State) bool {
	for _, s := range running {
		if !p.applied[s.Member()] {
			return false
		}
	}
	return len(p.missing(r)) == 0
}

// settle announces a stored change to all peers and waits until it is in force,
// or until it is clear that no majority answers.
func (a *Applier) settle(ctx context.Context, c Change, committed time.Time) Acceptance {
	cell := &keeper.Cell[progress]{}
	own := append(a.roster.Get().StandsFor(a.Self, a.settled()), a.Self)
	cell.Update(func(p progress) (progress, bool) { return p.WithApplied(own...), true })
	ctx, cancel := context.WithCancel(ctx)
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	told := make(map[string]bool)
	read := false
	for {
		stated := a.statements()
		for _, s := range stated {
			if m := s.Member(); !told[m] {
				told[m] = true
				wg.Go(func() { a.announce(ctx, s, c, cell) })
			}
		}
		// A node that is not in the roster as it stands after the commit has
		// joined later, and then with this change. Without the store the roster in
		// use serves for the majority, since the answers tell of a newer one.
		if !read {
			if r, _, err := a.readRoster(ctx); err == nil {
				a.install(r)
				read = a.roster.Get().Version() >= r.Version()
			}
		}
		now := a.Clock.Now()
		r := a.roster.Get()
		cell.Update(func(p progress) (progress, bool) {
			return p.WithStatements(c.Version, stated).WithMajority(r, now), true
		})
		p, changed := cell.Changed()
		until := committed.Add(majorityWait)
		if !p.majority.IsZero() {
			until = p.majority.Add(FreshFor + margin)
		}
		missing := p.missing(r)
		switch {
		case read && p.everywhere(r, a.running()):
			return Acceptance{Version: c.Version, InForce: true}
		case !now.Before(until):
			return Acceptance{Version: c.Version, InForce: !p.majority.IsZero(), Missing: missing}
		}
		select {
		case <-ctx.Done():
			return Acceptance{Version: c.Version, Missing: missing}
		case <-changed:
		case <-a.Clock.After(min(until.Sub(now), announcePause)):
		}
	}
}

// running returns the statements of the nodes that count as running.
func (a *Applier) running() []messenger.State {
	var running []messenger.State
	for _, s := range a.statements() {
		if a.Peers.Running(s) {
			running = append(running, s)
		}
	}
	return running
}

// announce tells one peer of the change until it has applied it.
func (a *Applier) announce(ctx context.Context, s messenger.State, c Change, cell *keeper.Cell[progress]) {
	next := []Change{c}
	for {
		got, err := a.Transport.Announce(ctx, s.PeersAddress, messenger.Announcement{From: a.Self, Changes: toMessage(next)})
		if err == nil {
			a.hearRoster(ctx, s, got)
			if got.Version >= c.Version {
				names := append(a.roster.Get().StandsFor(got.Member, got.Settled), got.Member)
				cell.Update(func(p progress) (progress, bool) { return p.WithApplied(names...), true })
				return
			}
			if missing, ok := a.View().Files.After(got.Version); ok {
				next = missing
			}
		}
		if a.Clock.Sleep(ctx, announcePause) != nil {
			return
		}
	}
}

// hearRoster fetches the roster that a peer's answer tells of, if it is newer.
func (a *Applier) hearRoster(ctx context.Context, s messenger.State, got messenger.Applied) {
	if got.RosterVersion <= a.roster.Get().Version() {
		return
	}
	if row, err := a.Transport.Roster(ctx, s.PeersAddress); err == nil {
		a.install(Roster{row: row})
	}
}
