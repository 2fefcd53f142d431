package applier

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sourcegraph/conc"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/keeper"
	"foxtailflow.example/foxtailflow/internal/inner/messenger"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

// RosterKey is the row with the nodes that count for a majority.
const RosterKey = "config/roster"

// Roster is the list of the nodes that count for a majority, at one version.
//
// Two majorities always intersect, also while a node still works from an older
// roster: each change is by one member, and the next waits until a majority of
// the roster before has read the present one. The row is written in a commit
// that checks the head, and a node uses a roster only once it has applied the
// version of that head; so no majority of a newer roster can stand for an older
// configuration. A node that has started again has another name, because it no
// longer knows what it stated before.
//
// It is an immutable value; the With methods return changed copies.
type Roster struct {
	row messenger.Roster
}

// Version returns the version of the roster; 0 if there never was one.
func (r Roster) Version() uint64 { return r.row.Version }

// Floor returns the version of the configuration that its users must have.
func (r Roster) Floor() uint64 { return r.row.Floor }

// Members returns the names of the members; the caller must not change them.
func (r Roster) Members() []string { return r.row.Members }

// Has reports whether the named node is a member.
func (r Roster) Has(member string) bool { return slices.Contains(r.row.Members, member) }

// Majority returns the least number of members that is a majority.
func (r Roster) Majority() int { return len(r.row.Members)/2 + 1 }

// With returns the next roster, with one member more.
func (r Roster) With(member string, floor uint64) Roster {
	members := append(slices.Clone(r.row.Members), member)
	slices.Sort(members)
	return Roster{row: messenger.Roster{Version: r.row.Version + 1, Floor: floor, Members: members, Added: member}}
}

// Without returns the next roster, with one member less.
func (r Roster) Without(member string, floor uint64) Roster {
	members := slices.DeleteFunc(slices.Clone(r.row.Members), func(m string) bool { return m == member })
	return Roster{row: messenger.Roster{Version: r.row.Version + 1, Floor: floor, Members: members, Removed: member}}
}

// WithForgotten returns a copy whose removed member does not run any more.
func (r Roster) WithForgotten() Roster {
	r.row.Forgotten = true
	return r
}

// Previous returns the roster from which this one was made.
func (r Roster) Previous() Roster {
	members := slices.DeleteFunc(slices.Clone(r.row.Members), func(m string) bool { return m == r.row.Added })
	if r.row.Removed != "" {
		members = append(members, r.row.Removed)
	}
	return Roster{row: messenger.Roster{Version: r.row.Version - 1, Members: members}}
}

// StandsFor returns the members for which an answer of the named node counts.
//
// That is the node itself, and once it is settled also its earlier starts: they
// have ended, and nothing that they stated counts any more.
func (r Roster) StandsFor(name string, settled bool) []string {
	var members []string
	for _, m := range r.Members() {
		if m == name || settled && NodeOf(m) == NodeOf(name) && incarnationOf(m) < incarnationOf(name) {
			members = append(members, m)
		}
	}
	return members
}

// NodeOf returns the identifier of the node that a member's name stands for.
func NodeOf(member string) string {
	return member[:max(0, strings.LastIndexByte(member, '@'))]
}

// incarnationOf returns the start of the node that a member's name stands for.
func incarnationOf(member string) uint64 {
	n, _ := strconv.ParseUint(member[strings.LastIndexByte(member, '@')+1:], 10, 64)
	return n
}

// settled reports whether this node runs for so long that no statement from
// before its start counts any more.
func (a *Applier) settled() bool { return a.Clock.Now().Sub(a.Started) > FreshFor+margin }

// Roster returns the roster that this node uses.
func (a *Applier) Roster() Roster { return a.roster.Get() }

// install uses r from now on if it is newer and the node may use it.
func (a *Applier) install(r Roster) {
	if v := a.View(); !v.Loaded || v.Version() < r.Floor() {
		return
	}
	a.roster.Update(func(old Roster) (Roster, bool) { return r, r.Version() > old.Version() })
}

// readRoster reads the roster's row and the version of the row.
func (a *Applier) readRoster(ctx context.Context) (Roster, uint64, error) {
	row, err := a.Table.Get(ctx, RosterKey)
	if coder.Is(err, coder.RowUnknown) {
		return Roster{}, 0, nil
	}
	if err != nil {
		return Roster{}, 0, err
	}
	r, err := decodeRoster(row.Value)
	return Roster{row: r}, row.Version, err
}

const (
	// rosterTries bounds the tries of one change; nodes that start together
	// compete for the row, and each try of all lets one of them through.
	rosterTries = 20
	rosterPause = 100 * time.Millisecond
)

// rosterReadEvery is how often a member that reads the head also reads the
// roster, in case that nobody is left who could tell it of a change.
const rosterReadEvery = 10 * time.Second

// Join makes this node a member once it has applied the head.
func (a *Applier) Join(ctx context.Context) error {
	if !a.View().Loaded || !a.StoreReachable() {
		return nil
	}
	if a.roster.Get().Has(a.Self) {
		return a.checkRoster(ctx)
	}
	for {
		done, err := a.change(ctx, false, func(r Roster, floor uint64) (Roster, bool) {
			for _, m := range r.Members() {
				if m != a.Self && NodeOf(m) == NodeOf(a.Self) {
					// This node has started again under the same identifier.
					return r.Without(m, floor), true
				}
			}
			return r.With(a.Self, floor), !r.Has(a.Self)
		})
		if err != nil || done {
			return err
		}
	}
}

// JoinOnceLoaded is Join as soon as the configuration is there, so that a
// starting node serves without delay.
func (a *Applier) JoinOnceLoaded(ctx context.Context) error {
	for {
		v, changed := a.cell.Changed()
		if v.Loaded {
			return a.Join(ctx)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// checkRoster reads the roster when it is time to.
func (a *Applier) checkRoster(ctx context.Context) error {
	now, due := a.Clock.Now(), false
	a.rosterRead.Update(func(last time.Time) (time.Time, bool) {
		due = now.Sub(last) >= rosterReadEvery
		return now, due
	})
	if !due || a.Reader != nil && !a.Reader() {
		return nil
	}
	r, _, err := a.readRoster(ctx)
	if err == nil {
		a.install(r)
	}
	return err
}

// Leave takes this node out of the roster on a graceful stop.
func (a *Applier) Leave(ctx context.Context) error { return a.Remove(ctx, a.Self) }

// Remove takes a member out of the roster.
func (a *Applier) Remove(ctx context.Context, member string) error {
	_, err := a.change(ctx, false, func(r Roster, floor uint64) (Roster, bool) {
		return r.Without(member, floor), r.Has(member)
	})
	return err
}

// Forget takes a node out of the roster on an operator's word that it does not
// run; no majority needs to have read the present roster.
func (a *Applier) Forget(ctx context.Context, id string) (Roster, error) {
	r, _, err := a.readRoster(ctx)
	if err != nil {
		return r, err
	}
	known := slices.ContainsFunc(r.Members(), func(m string) bool { return NodeOf(m) == id })
	if !known {
		return r, coder.Refuse(coder.ConfigFileUnknown, "the roster has no node %s", id)
	}
	_, err = a.change(ctx, true, func(r Roster, floor uint64) (Roster, bool) {
		for _, m := range r.Members() {
			if NodeOf(m) == id {
				return r.Without(m, floor).WithForgotten(), true
			}
		}
		return r, false
	})
	if err != nil {
		return r, err
	}
	r, _, err = a.readRoster(ctx)
	return r, err
}

// change makes one change of the roster and tries again while others compete.
//
// The edit returns the next roster, or false if there is nothing to do, which
// is also what change reports.
func (a *Applier) change(ctx context.Context, forced bool, edit func(r Roster, floor uint64) (Roster, bool)) (done bool, err error) {
	for range rosterTries {
		done, err = a.changeOnce(ctx, forced, edit)
		if !coder.Is(err, coder.PlatformConflict) && !coder.Is(err, coder.PlatformUnsure) {
			return done, err
		}
		if serr := a.Clock.Sleep(ctx, time.Duration((0.5+rand.Float64())*float64(rosterPause))); serr != nil {
			return false, serr
		}
	}
	return false, err
}

func (a *Applier) changeOnce(ctx context.Context, forced bool, edit func(r Roster, floor uint64) (Roster, bool)) (done bool, err error) {
	head, headRow, err := a.readHead(ctx)
	if err != nil {
		return false, err
	}
	if a.View().Version() < head {
		if err := a.catchUp(ctx, head); err != nil {
			return false, err
		}
	}
	present, row, err := a.readRoster(ctx)
	if err != nil {
		return false, err
	}
	a.install(present)
	next, wanted := edit(present, head)
	if !wanted {
		return true, nil
	}
	if !forced {
		if err := a.confirm(ctx, present); err != nil {
			return false, err
		}
	}
	tx := transactor.Tx{}.WithCheck(RosterKey, row).WithCheck(HeadKey, headRow).WithPut(RosterKey, encodeRoster(next.row))
	if _, err := a.Table.Commit(ctx, tx); err != nil {
		return false, err
	}
	a.install(next)
	a.tellRoster(ctx, next)
	a.Log.Info().Uint64("roster", next.Version()).Str("added", next.row.Added).Str("removed", next.row.Removed).Msg("roster changed")
	return false, nil
}

// tellRoster sends a new roster to all peers; one that it does not reach hears
// of it from others or reads the row.
func (a *Applier) tellRoster(ctx context.Context, r Roster) {
	row := r.row
	var wg conc.WaitGroup
	for _, s := range a.statements() {
		wg.Go(func() {
			changes, _ := a.View().Files.After(s.ConfigVersion)
			_, _ = a.Transport.Announce(ctx, s.PeersAddress, messenger.Announcement{From: a.Self, Changes: toMessage(changes), Roster: &row})
		})
	}
	wg.Wait()
}

// confirm returns once a majority of the roster before r has read r.
//
// It is a conflict if that is not so yet, since a later try may succeed.
func (a *Applier) confirm(ctx context.Context, r Roster) error {
	before := r.Previous()
	if r.Version() == 0 || len(before.Members()) == 0 {
		return nil
	}
	var read keeper.Table[string, bool]
	count := func(name string, settled bool) {
		for _, m := range before.StandsFor(name, settled) {
			read.Put(m, true)
		}
	}
	if a.roster.Get().Version() >= r.Version() {
		count(a.Self, a.settled())
	}
	if r.row.Forgotten {
		// It states nothing any more that a reader of an older roster could use.
		read.Put(r.row.Removed, true)
	}
	row := r.row
	var wg conc.WaitGroup
	for _, s := range a.statements() {
		if len(before.StandsFor(s.Member(), true)) == 0 {
			continue
		}
		wg.Go(func() {
			// Without the changes up to the floor the peer cannot use the roster.
			changes, _ := a.View().Files.After(s.ConfigVersion)
			got, err := a.Transport.Announce(ctx, s.PeersAddress, messenger.Announcement{From: a.Self, Changes: toMessage(changes), Roster: &row})
			if err == nil && got.RosterVersion >= r.Version() {
				count(got.Member, got.Settled)
			}
		})
	}
	wg.Wait()
	if n := read.Len(); n < before.Majority() {
		return coder.Refuse(coder.PlatformConflict, "%d of %d members have read roster %d", n, len(before.Members()), r.Version())
	}
	return nil
}

func (a *Applier) statements() []messenger.State {
	if a.Peers == nil {
		return nil
	}
	return a.Peers.Statements()
}

// MemberNames returns the names of the members of the roster in use.
func (a *Applier) MemberNames() []string { return a.roster.Get().Members() }
