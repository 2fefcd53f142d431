// Package applier keeps the configuration in force on a node.
//
// Accepted changes form a log in the platform's table: one row for each
// version, and a head row with the newest. A node follows the log and merges
// the files after each change. Its version only grows. The node also keeps the
// last moment at which it knew that its version was the newest; once that is
// too long ago, it no longer answers for keys.
package applier

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/keeper"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/config/merger"
	"foxtailflow.example/foxtailflow/internal/config/parser"
	"foxtailflow.example/foxtailflow/internal/platform/transactor"
)

// The rows of the change log.
const (
	HeadKey      = "config/head"
	ChangePrefix = "config/change/"
)

// FreshFor is how long a node answers for keys after it last knew that its
// configuration was the newest.
const FreshFor = 3 * time.Second

// View is the configuration of a node at one moment.
//
// It is an immutable value; the With methods return changed copies.
type View struct {
	Result merger.Result
	Files  Files
	Loaded bool
	// Evidence is the last moment at which the version was known to be the newest.
	Evidence time.Time
}

// WithEvidence returns a copy whose version was known to be the newest at t.
func (v View) WithEvidence(t time.Time) View {
	if t.After(v.Evidence) {
		v.Evidence = t
	}
	return v
}

// Version returns the version of the configuration.
func (v View) Version() uint64 { return v.Result.Config.Version() }

// Applier keeps the configuration in force on a node.
type Applier struct {
	Clock timekeeper.Clock
	Table transactor.Table
	cell  keeper.Cell[View]
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
	return nil
}

// Refresh reads the head and applies the changes that are missing.
func (a *Applier) Refresh(ctx context.Context) error {
	// What was newest when the read began is known to be newest at that time.
	began := a.Clock.Now()
	version, _, err := a.head(ctx)
	if err != nil {
		return err
	}
	if have := a.View(); !have.Loaded || have.Version() < version {
		if err := a.catchUp(ctx, version); err != nil {
			return err
		}
	}
	a.cell.Update(func(v View) (View, bool) {
		return v.WithEvidence(began), v.Version() >= version
	})
	return nil
}

// head returns the newest version and the version of its row.
func (a *Applier) head(ctx context.Context) (version, row uint64, err error) {
	r, err := a.Table.Get(ctx, HeadKey)
	if coder.Is(err, coder.RowUnknown) {
		return 0, 0, nil
	}
	if err != nil {
		return 0, 0, err
	}
	if _, err := fmt.Sscanf(string(r.Value), "%d", &version); err != nil {
		return 0, 0, coder.Wrap(coder.Internal, err, "malformed row %s", HeadKey)
	}
	return version, r.Version, nil
}

func (a *Applier) catchUp(ctx context.Context, version uint64) error {
	files := a.View().Files
	for files.Version() < version {
		rows, err := a.Table.Scan(ctx, ChangePrefix, changeKey(files.Version()), scanPage)
		if err != nil {
			return err
		}
		if len(rows) == 0 {
			return coder.New(coder.Internal, "the change log ends at version %d, before the head %d", files.Version(), version)
		}
		for _, r := range rows {
			c, err := DecodeChange(r.Value)
			if err != nil {
				return err
			}
			files = files.WithChange(c)
		}
	}
	return a.apply(files)
}

const scanPage = 200

func changeKey(version uint64) string {
	return fmt.Sprintf("%s%016d", ChangePrefix, version)
}

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
		return View{Result: result, Files: files, Loaded: true, Evidence: v.Evidence}, true
	})
	return nil
}

// Change is one accepted change: a file set to new content, or removed.
type Change struct {
	Version uint64
	File    string
	Data    []byte
	Removed bool
}

// Propose accepts a change if the file is still at the version seen, and
// returns the new version.
//
// ConfigConflict: the file was changed since. Errors of the merge: the result
// would not be valid; nothing was changed.
func (a *Applier) Propose(ctx context.Context, c Change, seen uint64) (uint64, error) {
	if err := a.Refresh(ctx); err != nil {
		return 0, err
	}
	files := a.View().Files
	if have := files.ChangedAt(c.File); have != seen {
		return 0, coder.Refuse(coder.ConfigConflict, "file %s was changed at version %d, after version %d", c.File, have, seen)
	}
	c.Version = files.Version() + 1
	if _, err := merger.Merge(files.WithChange(c).List()); err != nil {
		return 0, err
	}
	if err := a.commit(ctx, c); err != nil {
		return 0, err
	}
	return c.Version, a.Refresh(ctx)
}

// Seed accepts several files at once into an empty log.
//
// The files are checked as a whole, so that they may refer to one another in
// any order.
func (a *Applier) Seed(ctx context.Context, changes []Change) error {
	var files Files
	tx := transactor.Tx{}.WithAbsent(HeadKey)
	for i, c := range changes {
		c.Version = uint64(i) + 1
		files = files.WithChange(c)
		tx = tx.WithPut(changeKey(c.Version), EncodeChange(c))
	}
	if _, err := merger.Merge(files.List()); err != nil {
		return err
	}
	_, err := a.Table.Commit(ctx, tx.WithPut(HeadKey, fmt.Appendf(nil, "%d", files.Version())))
	return err
}

func (a *Applier) commit(ctx context.Context, c Change) error {
	version, row, err := a.head(ctx)
	if err != nil {
		return err
	}
	if version != c.Version-1 {
		return coder.Refuse(coder.ConfigConflict, "the configuration is at version %d, not %d", version, c.Version-1)
	}
	tx := transactor.Tx{}.
		WithCheck(HeadKey, row).
		WithAbsent(changeKey(c.Version)).
		WithPut(HeadKey, fmt.Appendf(nil, "%d", c.Version)).
		WithPut(changeKey(c.Version), EncodeChange(c))
	_, err = a.Table.Commit(ctx, tx)
	if coder.Is(err, coder.PlatformConflict) {
		return coder.Refuse(coder.ConfigConflict, "another change was accepted first").WithCause(err)
	}
	return err
}

// Files is the folder of configuration files at one version.
//
// It is an immutable value; the With methods return changed copies.
type Files struct {
	version uint64
	byName  map[string]Change
}

// WithChange returns a copy with one more change.
func (f Files) WithChange(c Change) Files {
	next := Files{version: c.Version, byName: make(map[string]Change, len(f.byName)+1)}
	for name, file := range f.byName {
		next.byName[name] = file
	}
	if c.Removed {
		delete(next.byName, c.File)
		return next
	}
	next.byName[c.File] = c
	return next
}

// Version returns the version of the last change.
func (f Files) Version() uint64 { return f.version }

// ChangedAt returns the version that last set the file, 0 if there is none.
func (f Files) ChangedAt(name string) uint64 { return f.byName[name].Version }

// File returns the change that last set the file.
func (f Files) File(name string) (Change, bool) {
	c, ok := f.byName[name]
	return c, ok
}

// Changes returns the last change of each file, in the order of their names.
func (f Files) Changes() []Change {
	changes := make([]Change, 0, len(f.byName))
	for _, name := range slices.Sorted(maps.Keys(f.byName)) {
		changes = append(changes, f.byName[name])
	}
	return changes
}

// List returns the files, in no order.
func (f Files) List() []parser.File {
	files := make([]parser.File, 0, len(f.byName))
	for _, c := range f.byName {
		files = append(files, parser.File{Name: c.File, Data: c.Data})
	}
	return files
}
