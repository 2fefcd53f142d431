package applier

import (
	"cmp"
	"context"
	"slices"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/inner/messenger"
)

// changesPage is how many changes a node asks a peer for at once.
const changesPage = recentChanges

func toMessage(changes []Change) []messenger.Change {
	ms := make([]messenger.Change, 0, len(changes))
	for _, c := range changes {
		ms = append(ms, messenger.Change(c))
	}
	return ms
}

func fromMessage(ms []messenger.Change) []Change {
	changes := make([]Change, 0, len(ms))
	for _, m := range ms {
		changes = append(changes, Change(m))
	}
	return changes
}

// Announce applies changes and a roster that a peer tells of.
//
// Changes that do not follow on what this node has are left out; the answer
// tells the peer where to go on.
func (a *Applier) Announce(_ context.Context, m messenger.Announcement) (messenger.Applied, error) {
	if err := a.follow(fromMessage(m.Changes)); err != nil {
		return messenger.Applied{}, err
	}
	if m.Roster != nil {
		a.install(Roster{row: *m.Roster})
	}
	return messenger.Applied{Version: a.View().Version(), RosterVersion: a.roster.Get().Version(), Member: a.Self, Settled: a.settled()}, nil
}

// follow applies those changes that follow on the present version.
func (a *Applier) follow(changes []Change) error {
	v := a.View()
	i := slices.IndexFunc(changes, func(c Change) bool { return c.Version == v.Version()+1 })
	if !v.Loaded || i < 0 {
		return nil
	}
	next := changes[i:]
	for j, c := range next {
		if c.Version != next[0].Version+uint64(j) {
			next = next[:j]
			break
		}
	}
	return a.apply(v.Files.WithChanges(next))
}

// Changes answers a peer's question for the changes after a version.
func (a *Applier) Changes(_ context.Context, after uint64, limit int) (messenger.Changes, error) {
	v := a.View()
	if !v.Loaded {
		return messenger.Changes{}, coder.Refuse(coder.ConfigNotLoaded, "the node has not loaded its configuration")
	}
	if changes, ok := v.Files.After(after); ok {
		if limit > 0 && len(changes) > limit {
			changes = changes[:limit]
		}
		return messenger.Changes{Changes: toMessage(changes), Head: v.Version()}, nil
	}
	return messenger.Changes{Changes: toMessage(v.Files.Changes()), Head: v.Version(), Whole: true}, nil
}

// RosterMessage answers a peer's question for the roster.
func (a *Applier) RosterMessage() messenger.Roster { return a.roster.Get().row }

// Learn takes from the peers' statements what this node lacks: changes, the
// roster, and evidence that its configuration is the newest.
func (a *Applier) Learn(ctx context.Context) error {
	now := a.Clock.Now()
	statements := a.statements()
	if len(statements) == 0 && a.roster.Get().Version() == 0 {
		return nil
	}
	if !a.View().Loaded {
		return a.start(ctx, statements)
	}
	err := a.learnChanges(ctx, statements)
	a.learnRoster(ctx, statements)
	statements = append(statements, a.State(messenger.State{ID: NodeOf(a.Self), Incarnation: incarnationOf(a.Self)}))
	r, down := a.roster.Get(), !a.StoreReachable()
	a.cell.Update(func(v View) (View, bool) {
		next := v.WithEvidence(peerEvidence(now, v.Version(), r, statements))
		if down {
			next = next.WithEvidence(majorityEvidence(now, v.Version(), r, statements))
		}
		return next, next.Evidence.After(v.Evidence)
	})
	return err
}

// learnChanges fetches the changes that the most advanced peer has; the others
// are asked only if it does not answer.
func (a *Applier) learnChanges(ctx context.Context, statements []messenger.State) (err error) {
	const tries = 3
	ahead := slices.DeleteFunc(slices.Clone(statements), func(s messenger.State) bool {
		return s.ConfigVersion <= a.View().Version()
	})
	slices.SortFunc(ahead, func(a, b messenger.State) int { return cmp.Compare(b.ConfigVersion, a.ConfigVersion) })
	for _, s := range ahead[:min(tries, len(ahead))] {
		if err = a.fetch(ctx, s); err == nil {
			return nil
		}
	}
	return err
}

// fetch applies what the peer that made the statement has and this node lacks.
func (a *Applier) fetch(ctx context.Context, s messenger.State) error {
	for {
		v := a.View()
		if v.Loaded && v.Version() >= s.ConfigVersion {
			return nil
		}
		limit := changesPage
		if !v.Loaded {
			// A starting node shows no version on the way to the newest.
			limit = 0
		}
		got, err := a.Transport.Changes(ctx, s.PeersAddress, v.Version(), limit)
		if err != nil {
			return err
		}
		switch {
		case got.Whole, !v.Loaded && got.Head == 0:
			err = a.apply(wholeFolder(got.Head, fromMessage(got.Changes)))
		case !v.Loaded:
			err = a.apply(v.Files.WithChanges(fromMessage(got.Changes)))
		default:
			err = a.follow(fromMessage(got.Changes))
		}
		if err != nil {
			return err
		}
		if have := a.View(); have.Version() == v.Version() && have.Loaded == v.Loaded {
			return coder.New(coder.NodeNotReached, "node %s does not have the changes after version %d", s.ID, v.Version())
		}
	}
}

// learnRoster fetches a roster that is newer than the one in use.
func (a *Applier) learnRoster(ctx context.Context, statements []messenger.State) {
	r, err := a.newestRoster(ctx, statements)
	if err == nil {
		a.install(r)
	}
}

// newestRoster returns the newest roster that a peer has, or the one in use.
func (a *Applier) newestRoster(ctx context.Context, statements []messenger.State) (Roster, error) {
	have := a.roster.Get()
	if len(statements) == 0 {
		return have, nil
	}
	newest := slices.MaxFunc(statements, func(a, b messenger.State) int {
		// Of several with the same roster, the one heard last is likely to answer.
		return cmp.Or(cmp.Compare(a.RosterVersion, b.RosterVersion), cmp.Compare(b.StatedAge, a.StatedAge))
	})
	if newest.RosterVersion <= have.Version() {
		return have, nil
	}
	row, err := a.Transport.Roster(ctx, newest.PeersAddress)
	return Roster{row: row}, err
}

// start loads the configuration from the peers if the store cannot be reached.
func (a *Applier) start(ctx context.Context, statements []messenger.State) error {
	if a.StoreReachable() {
		return nil
	}
	r, err := a.newestRoster(ctx, statements)
	if err != nil {
		return err
	}
	from, ok := startVersion(r, statements)
	if !ok {
		return nil
	}
	if err := a.fetch(ctx, from); err != nil {
		return err
	}
	a.install(r)
	return nil
}
