// Package applier applies operators' changes to the configuration.
//
// The configuration is a folder of files. Each file is a row of the store, and
// one more row, the head, has the version: the number of the last change. A
// change is one transaction that requires the head to be unchanged since it was
// read, so changes take effect one after the other, each checked against the
// result of the previous one. A change is accepted once the store has committed
// it; nodes follow the rows.
package applier

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/identifier"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/config/checker"
	"foxtailflow.example/foxtailflow/internal/config/merger"
	"foxtailflow.example/foxtailflow/internal/config/parser"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

// Applier applies changes to the configuration in a table of the store.
type Applier struct {
	Clock timekeeper.Clock
	Table transactor.Table
	// Log has a line for each warning of a change that was accepted.
	Log zerolog.Logger
	// Bounds are those of the node, for its warnings.
	Bounds checker.Bounds
}

const (
	// maxConflictRetries limits the retries after changes to other files were
	// committed first.
	maxConflictRetries = 16
	maxConflictPause   = 50 * time.Millisecond
	// commitRetryTimeout limits how long a commit is retried to find out its
	// outcome after its response was lost.
	commitRetryTimeout = 5 * time.Second
	commitRetryPause   = 200 * time.Millisecond
)

// Load returns the current folder of the store, empty if there is none.
func (a Applier) Load(ctx context.Context) (Files, error) {
	rows, err := transactor.ScanAll(ctx, a.Table, KeyPrefix)
	if err != nil {
		return Files{}, err
	}
	f, err := Decode(rows)
	if coder.Is(err, coder.ConfigNotLoaded) {
		return f, nil
	}
	return f, err
}

// Propose accepts a change if the file is still at seenVersion, and returns the
// version of the folder after the change.
//
// ConfigConflict: the file has changed since. Errors of the merge: the result
// would not be valid. In both cases nothing was changed. ConfigOutcomeUnsure:
// the change may have been stored; a retry with the same seenVersion cannot take
// effect twice.
func (a Applier) Propose(ctx context.Context, c Change, seenVersion uint64) (uint64, error) {
	proposalID := identifier.NewOrderID()
	for n := 0; ; n++ {
		p, err := a.prepare(ctx, c, seenVersion, proposalID)
		if err != nil {
			return 0, err
		}
		// From here on the change may take effect, so a caller that disconnects
		// must not interrupt it.
		ctx := context.WithoutCancel(ctx)
		err = a.commit(ctx, p, c, proposalID)
		if err == nil {
			a.logWarnings(p.after.version, p.warnings)
		}
		if !coder.Is(err, coder.PlatformConflict) {
			return p.after.version, err
		}
		if n == maxConflictRetries {
			return 0, coder.Refuse(coder.ConfigConflict, "other changes were accepted first, %d times", n).WithCause(err)
		}
		if err := a.Clock.Sleep(ctx, time.Duration(rand.Float64()*float64(maxConflictPause))); err != nil {
			return 0, err
		}
	}
}

// proposal is a change that may be committed: the folder before and after it, and the
// warnings of the latter.
type proposal struct {
	before, after Files
	warnings      []parser.Fault
}

// prepare checks a change against the current folder.
func (a Applier) prepare(ctx context.Context, c Change, seenVersion uint64, proposalID string) (proposal, error) {
	before, err := a.Load(ctx)
	if err != nil {
		return proposal{}, err
	}
	if before.ChangedAt(c.File) != seenVersion {
		return proposal{}, before.conflictError(c.File, seenVersion)
	}
	if c.Remove && seenVersion == 0 {
		return proposal{}, coder.Refuse(coder.ConfigFileUnknown, "there is no file %s", c.File)
	}
	after := before.withChange(c, proposalID)
	warnings, err := a.Check(after.ParserFiles())
	return proposal{before, after, warnings}, err
}

// commit writes a change.
//
// After a lost response it sends the same transaction again. The transaction
// checks the head, so it can take effect only once; after a conflict, the head
// shows whether this change or another one was committed first.
func (a Applier) commit(ctx context.Context, p proposal, c Change, proposalID string) error {
	tx := transactor.Tx{}.WithCheck(headKey, p.before.rowVersion).WithPut(headKey, encodeHead(p.after))
	if c.Remove {
		tx = tx.WithDelete(filePrefix + c.File)
	} else {
		tx = tx.WithPut(filePrefix+c.File, encodeFile(p.after.byName[c.File]))
	}
	_, err := a.Table.Commit(ctx, tx)
	if !coder.Is(err, coder.PlatformUnsure) {
		return err
	}
	for deadline := a.Clock.Now().Add(commitRetryTimeout); a.Clock.Now().Before(deadline); {
		if _, retryErr := a.Table.Commit(ctx, tx); retryErr == nil {
			return nil
		} else if coder.Is(retryErr, coder.PlatformConflict) {
			if current, loadErr := a.Load(ctx); loadErr == nil {
				if current.hasProposal(proposalID) {
					return nil
				}
				return retryErr
			}
		}
		if err := a.Clock.Sleep(ctx, commitRetryPause); err != nil {
			break
		}
	}
	return coder.Wrap(coder.ConfigOutcomeUnsure, err, "the change may have been stored as version %d; read the file before retrying", p.after.version)
}

// Seed stores the first files of a configuration in one transaction. It fails
// if there is a configuration already.
//
// The files are checked together, so they may refer to one another in any order.
func (a Applier) Seed(ctx context.Context, changes []Change) error {
	var f Files
	f.byName = make(map[string]File)
	tx := transactor.Tx{}.WithAbsent(headKey)
	for _, c := range changes {
		f = f.withChange(c, "")
		tx = tx.WithPut(filePrefix+c.File, encodeFile(f.byName[c.File]))
	}
	if _, err := merger.Merge(f.ParserFiles()); err != nil {
		return err
	}
	_, err := a.Table.Commit(ctx, tx.WithPut(headKey, encodeHead(f)))
	return err
}
