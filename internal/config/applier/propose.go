package applier

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/identifier"
	"foxtailflow.example/foxtailflow/internal/config/merger"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

// Acceptance is how far an accepted change has come.
type Acceptance struct {
	Version uint64
	// InForce says that no node answers by an older version any more.
	InForce bool
	// Missing names the members of the roster that have not applied it.
	Missing []string
}

const (
	// raceTries bounds the tries after other files were changed at the same time.
	raceTries = 16
	racePause = 50 * time.Millisecond
	// unsureWait bounds how long a lost answer of the commit is looked for.
	unsureWait  = 5 * time.Second
	unsurePause = 200 * time.Millisecond
)

// Propose accepts a change if the file is still at the version seen, and
// returns once the change is in force or it is clear that it is not yet.
//
// ConfigConflict: the file was changed since. Errors of the merge: the result
// would not be valid. In both cases nothing was changed. ConfigOutcomeUnsure:
// the change may have been stored; a repeat with the same version seen cannot
// take effect twice.
func (a *Applier) Propose(ctx context.Context, c Change, seen uint64) (Acceptance, error) {
	c.Proposal = identifier.Order()
	for n := 0; ; n++ {
		next, err := a.prepare(ctx, c, seen)
		if err != nil {
			return Acceptance{}, err
		}
		// From here on the change may take effect, so that a caller who hangs up
		// no longer stops it half-way.
		ctx := context.WithoutCancel(ctx)
		err = a.commit(ctx, next)
		if err == nil {
			return a.finish(ctx, next)
		}
		if !coder.Is(err, coder.PlatformConflict) {
			return Acceptance{}, err
		}
		if n == raceTries {
			return Acceptance{}, coder.Refuse(coder.ConfigConflict, "other changes were accepted first, %d times", n).WithCause(err)
		}
		if err := a.Clock.Sleep(ctx, time.Duration(rand.Float64()*float64(racePause))); err != nil {
			return Acceptance{}, err
		}
	}
}

// prepare checks the change against the newest version and numbers it.
func (a *Applier) prepare(ctx context.Context, c Change, seen uint64) (Change, error) {
	if err := a.Refresh(ctx); err != nil {
		return c, err
	}
	files := a.View().Files
	if have := files.ChangedAt(c.File); have != seen {
		return c, conflict(files, c.File, seen)
	}
	if c.Removed && seen == 0 {
		return c, coder.Refuse(coder.ConfigFileUnknown, "there is no file %s", c.File)
	}
	c.Version = files.Version() + 1
	_, err := merger.Merge(files.WithChange(c).List())
	return c, err
}

// listedChanges bounds the list of changes in a refusal.
const listedChanges = 20

// conflict tells the loser of a race what has changed since it looked.
func conflict(files Files, name string, seen uint64) error {
	since, ok := files.After(seen)
	if !ok || len(since) > listedChanges {
		since = since[max(0, len(since)-listedChanges):]
	}
	lines := make([]string, 0, len(since))
	for _, c := range since {
		verb := "set"
		if c.Removed {
			verb = "removed"
		}
		lines = append(lines, fmt.Sprintf("%s %s at version %d", c.File, verb, c.Version))
	}
	state := "is at version " + fmt.Sprint(files.ChangedAt(name))
	if files.ChangedAt(name) == 0 {
		state = "does not exist"
	}
	return coder.Refuse(coder.ConfigConflict, "file %s %s, not at version %d as seen; changed since: %s", name, state, seen, strings.Join(lines, ", "))
}

// commit writes a numbered change.
//
// After a lost answer the same transaction is sent again: it can take effect
// once only, since it checks the head, and a conflict then shows which change
// has the number. PlatformConflict means that this one does not.
func (a *Applier) commit(ctx context.Context, c Change) error {
	version, row, err := a.head(ctx)
	if err != nil {
		return err
	}
	if version != c.Version-1 {
		return coder.Refuse(coder.PlatformConflict, "the configuration is at version %d, not %d", version, c.Version-1)
	}
	tx := transactor.Tx{}.
		WithCheck(HeadKey, row).
		WithAbsent(changeKey(c.Version)).
		WithPut(HeadKey, fmt.Appendf(nil, "%d", c.Version)).
		WithPut(changeKey(c.Version), EncodeChange(c))
	_, err = a.Table.Commit(ctx, tx)
	if !coder.Is(err, coder.PlatformUnsure) {
		return err
	}
	for until := a.Clock.Now().Add(unsureWait); a.Clock.Now().Before(until); {
		if _, again := a.Table.Commit(ctx, tx); again == nil {
			return nil
		} else if coder.Is(again, coder.PlatformConflict) {
			if own, rerr := a.isOwn(ctx, c); rerr == nil {
				if own {
					return nil
				}
				return again
			}
		}
		if err := a.Clock.Sleep(ctx, unsurePause); err != nil {
			break
		}
	}
	return coder.Wrap(coder.ConfigOutcomeUnsure, err, "the change may have been stored as version %d; read the file before a repeat", c.Version)
}

// isOwn reports whether the change that has the number of c is c itself.
func (a *Applier) isOwn(ctx context.Context, c Change) (bool, error) {
	row, err := a.Table.Get(ctx, changeKey(c.Version))
	if err != nil {
		return false, err
	}
	stored, err := DecodeChange(row.Value)
	return err == nil && stored.Proposal == c.Proposal, err
}

// finish applies a stored change here and waits until it is in force.
func (a *Applier) finish(ctx context.Context, c Change) (Acceptance, error) {
	committed := a.Clock.Now()
	if err := a.follow([]Change{c}); err != nil {
		return Acceptance{Version: c.Version}, err
	}
	accepted := a.settle(ctx, c, committed)
	if err := a.shorten(ctx, a.View().Files); err != nil {
		a.Log.Warn().Err(err).Msg("change log not shortened")
	}
	if !accepted.InForce {
		return accepted, coder.New(coder.ConfigNotInForce,
			"version %d is stored and not yet in force: a majority of the roster has not applied it", c.Version)
	}
	return accepted, nil
}
