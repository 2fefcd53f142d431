package applier

import (
	"context"
	"fmt"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/config/merger"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

// The rows of the change log.
const (
	HeadKey      = "config/head"
	ChangePrefix = "config/change/"
	// SnapshotKey names the version of the newest snapshot.
	SnapshotKey = "config/snapshot"
)

const (
	// snapshotEvery is the number of changes between two snapshots; the rows of
	// the last snapshotEvery changes before a snapshot stay, for nodes that are
	// a little behind.
	snapshotEvery = 64
	scanPage      = 200
)

func changeKey(version uint64) string { return fmt.Sprintf("%s%016d", ChangePrefix, version) }

func snapshotName(version uint64) string { return fmt.Sprintf("config/snapshot/%016d", version) }

// head returns the newest version and the version of its row.
func (a *Applier) head(ctx context.Context) (version, row uint64, err error) {
	return a.number(ctx, HeadKey)
}

// number reads a row that holds a version; 0 if there is none.
func (a *Applier) number(ctx context.Context, key string) (n, row uint64, err error) {
	r, err := a.Table.Get(ctx, key)
	if coder.Is(err, coder.RowUnknown) {
		return 0, 0, nil
	}
	if err != nil {
		return 0, 0, err
	}
	if _, err := fmt.Sscanf(string(r.Value), "%d", &n); err != nil {
		return 0, 0, coder.Wrap(coder.Internal, err, "malformed row %s", key)
	}
	return n, r.Version, nil
}

// catchUp applies the changes up to version from the log.
func (a *Applier) catchUp(ctx context.Context, version uint64) error {
	files := a.View().Files
	for files.Version() < version {
		rows, err := a.Table.Scan(ctx, ChangePrefix, changeKey(files.Version()), scanPage)
		if err != nil {
			return err
		}
		changes, err := decodeRows(rows)
		if err != nil {
			return err
		}
		if len(changes) > 0 && changes[0].Version == files.Version()+1 {
			files = files.WithChanges(changes)
			continue
		}
		// The rows after this version were removed; a snapshot replaces them.
		behind := files.Version()
		if files, err = a.loadSnapshot(ctx); err != nil {
			return err
		}
		if files.Version() <= behind {
			return coder.New(coder.Internal, "the change log has a gap after version %d, head %d", behind, version)
		}
	}
	return a.apply(files)
}

// decodeRows returns the changes up to the first gap.
func decodeRows(rows []transactor.Row) ([]Change, error) {
	changes := make([]Change, 0, len(rows))
	for _, r := range rows {
		c, err := DecodeChange(r.Value)
		if err != nil {
			return nil, err
		}
		if n := len(changes); n > 0 && c.Version != changes[n-1].Version+1 {
			break
		}
		changes = append(changes, c)
	}
	return changes, nil
}

func (a *Applier) loadSnapshot(ctx context.Context) (Files, error) {
	version, _, err := a.number(ctx, SnapshotKey)
	if err != nil || version == 0 || a.Objects == nil {
		return Files{}, err
	}
	data, err := a.Objects.Get(ctx, snapshotName(version))
	if err != nil {
		return Files{}, err
	}
	changes, err := DecodeChanges(data)
	return wholeFolder(version, changes), err
}

// shorten writes a snapshot once enough changes were accepted since the last,
// and removes the rows that nobody needs any more.
//
// A failure loses nothing: the next accepted change tries again.
func (a *Applier) shorten(ctx context.Context, files Files) error {
	if a.Objects == nil || files.Version() < a.snapshot.Get()+snapshotEvery {
		return nil
	}
	last, row, err := a.number(ctx, SnapshotKey)
	if err != nil {
		return err
	}
	a.snapshot.Update(func(uint64) (uint64, bool) { return last, true })
	if files.Version() < last+snapshotEvery {
		return nil
	}
	version := files.Version()
	// The content at a version is always the same, so an object that exists is
	// as good as one that this node wrote.
	err = a.Objects.Put(ctx, snapshotName(version), EncodeChanges(files.Changes()))
	if err != nil && !coder.Is(err, coder.ObjectExists) {
		return err
	}
	tx := transactor.Tx{}.WithCheck(SnapshotKey, row).WithPut(SnapshotKey, fmt.Appendf(nil, "%d", version))
	old, err := a.Table.Scan(ctx, ChangePrefix, "", scanPage)
	if err != nil {
		return err
	}
	for _, r := range old {
		if r.Key <= changeKey(version-snapshotEvery) {
			tx = tx.WithDelete(r.Key)
		}
	}
	_, err = a.Table.Commit(ctx, tx)
	return err
}

// Seed accepts several files at once into an empty log.
//
// The files are checked as a whole, so that they may refer to one another in
// any order.
func (a *Applier) Seed(ctx context.Context, changes []Change) error {
	tx := transactor.Tx{}.WithAbsent(HeadKey)
	numbered := make([]Change, 0, len(changes))
	for i, c := range changes {
		c.Version = uint64(i) + 1
		numbered = append(numbered, c)
		tx = tx.WithPut(changeKey(c.Version), EncodeChange(c))
	}
	files := Files{}.WithChanges(numbered)
	if _, err := merger.Merge(files.List()); err != nil {
		return err
	}
	_, err := a.Table.Commit(ctx, tx.WithPut(HeadKey, fmt.Appendf(nil, "%d", files.Version())))
	return err
}
