// Package applier applies operators' changes to the configuration.
//
// The configuration is a folder of files. Each file is a row of the store, and
// one more row, the head, has the number of the last change. A change is one
// transaction that requires the head to be as it was read, so changes take
// effect one after the other, each checked against the result of the one before.
// The store's answer makes a change accepted; nodes follow the rows.
package applier

import (
	"context"
	"math/rand/v2"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/identifier"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/config/merger"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

// Applier applies changes.
type Applier struct {
	Clock timekeeper.Clock
	Table transactor.Table
}

const (
	// raceTries bounds the tries after other files were changed at the same time.
	raceTries = 16
	racePause = 50 * time.Millisecond
	// unsureWait bounds how long a lost answer of the commit is looked for.
	unsureWait  = 5 * time.Second
	unsurePause = 200 * time.Millisecond
)

// Load returns the folder as the store has it now, empty if there is none.
func (a Applier) Load(ctx context.Context) (Files, error) {
	rows, err := transactor.ScanAll(ctx, a.Table, Prefix)
	if err != nil {
		return Files{}, err
	}
	f, err := Decode(rows)
	if coder.Is(err, coder.ConfigNotLoaded) {
		return f, nil
	}
	return f, err
}

// Propose accepts a change if the file is still at the version seen, and returns
// the version of the folder with it.
//
// ConfigConflict: the file was changed since. Errors of the merge: the result
// would not be valid. In both cases nothing was changed. ConfigOutcomeUnsure:
// the change may have been stored; a repeat with the same version seen cannot
// take effect twice.
func (a Applier) Propose(ctx context.Context, c Change, seen uint64) (uint64, error) {
	proposal := identifier.Order()
	for n := 0; ; n++ {
		before, after, err := a.prepare(ctx, c, seen, proposal)
		if err != nil {
			return 0, err
		}
		// From here on the change may take effect, so that a caller who hangs up
		// no longer stops it half-way.
		ctx := context.WithoutCancel(ctx)
		err = a.commit(ctx, before, after, c, proposal)
		if !coder.Is(err, coder.PlatformConflict) {
			return after.version, err
		}
		if n == raceTries {
			return 0, coder.Refuse(coder.ConfigConflict, "other changes were accepted first, %d times", n).WithCause(err)
		}
		if err := a.Clock.Sleep(ctx, time.Duration(rand.Float64()*float64(racePause))); err != nil {
			return 0, err
		}
	}
}

// prepare checks a change against the newest folder and returns that and the
// folder with the change.
func (a Applier) prepare(ctx context.Context, c Change, seen uint64, proposal string) (before, after Files, err error) {
	if before, err = a.Load(ctx); err != nil {
		return before, after, err
	}
	if before.ChangedAt(c.File) != seen {
		return before, after, before.conflict(c.File, seen)
	}
	if c.Removed && seen == 0 {
		return before, after, coder.Refuse(coder.ConfigFileUnknown, "there is no file %s", c.File)
	}
	after = before.withChange(c, proposal)
	_, err = merger.Merge(after.Files())
	return before, after, err
}

// commit writes a change.
//
// After a lost answer the same transaction is sent again: it can take effect
// once only, since it checks the head, and a conflict then shows whether this
// change or another one was first.
func (a Applier) commit(ctx context.Context, before, after Files, c Change, proposal string) error {
	tx := transactor.Tx{}.WithCheck(headKey, before.row).WithPut(headKey, encodeHead(after))
	if c.Removed {
		tx = tx.WithDelete(filePrefix + c.File)
	} else {
		tx = tx.WithPut(filePrefix+c.File, encodeFile(after.byName[c.File]))
	}
	_, err := a.Table.Commit(ctx, tx)
	if !coder.Is(err, coder.PlatformUnsure) {
		return err
	}
	for until := a.Clock.Now().Add(unsureWait); a.Clock.Now().Before(until); {
		if _, again := a.Table.Commit(ctx, tx); again == nil {
			return nil
		} else if coder.Is(again, coder.PlatformConflict) {
			if now, rerr := a.Load(ctx); rerr == nil {
				if now.has(proposal) {
					return nil
				}
				return again
			}
		}
		if err := a.Clock.Sleep(ctx, unsurePause); err != nil {
			break
		}
	}
	return coder.Wrap(coder.ConfigOutcomeUnsure, err, "the change may have been stored as version %d; read the file before a repeat", after.version)
}

// Seed accepts several files at once where there are none yet.
//
// The files are checked as a whole, so that they may refer to one another in
// any order.
func (a Applier) Seed(ctx context.Context, changes []Change) error {
	var f Files
	f.byName = make(map[string]File)
	tx := transactor.Tx{}.WithAbsent(headKey)
	for _, c := range changes {
		f = f.withChange(c, "")
		tx = tx.WithPut(filePrefix+c.File, encodeFile(f.byName[c.File]))
	}
	if _, err := merger.Merge(f.Files()); err != nil {
		return err
	}
	_, err := a.Table.Commit(ctx, tx.WithPut(headKey, encodeHead(f)))
	return err
}
