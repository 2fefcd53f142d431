// Package transactor defines the interfaces to the store of a platform.
//
// All durable state is in its transactional table. The interfaces are small, so
// that a test can replace each with a fake.
//
// A call that fails with the code PlatformUnsure may have taken effect; the
// caller reads the rows back before it does anything else. PlatformUnavailable
// means that the call had no effect.
package transactor

import (
	"context"
	"time"
)

// Row is one row of the table.
type Row struct {
	Key   string
	Value []byte
	// Version is that of the commit that last wrote the row, not 0.
	Version Version
	// Deleted means that the commit has deleted the row; only Changes contain such
	// rows.
	Deleted bool
}

// Check is a condition of a transaction: the row has this version.
//
// Version 0 means that the row is absent.
type Check struct {
	Key     string
	Version Version
}

// Write sets a row, or deletes it.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Tx is a transaction: if every check holds, all writes take effect at once.
//
// It is an immutable value; the With methods return extended copies.
type Tx struct {
	checks []Check
	writes []Write
}

// WithCheck returns a copy that also requires the row to have this version.
func (t Tx) WithCheck(key string, version Version) Tx {
	t.checks = append(t.checks[:len(t.checks):len(t.checks)], Check{Key: key, Version: version})
	return t
}

// WithAbsent returns a copy that also requires the row to be absent.
func (t Tx) WithAbsent(key string) Tx {
	return t.WithCheck(key, 0)
}

// WithPut returns a copy that also sets the row.
func (t Tx) WithPut(key string, value []byte) Tx {
	return t.withWrite(Write{Key: key, Value: value})
}

// WithDelete returns a copy that also deletes the row.
func (t Tx) WithDelete(key string) Tx {
	return t.withWrite(Write{Key: key, Delete: true})
}

func (t Tx) withWrite(w Write) Tx {
	t.writes = append(t.writes[:len(t.writes):len(t.writes)], w)
	return t
}

// Checks returns the conditions; the caller must not change them.
func (t Tx) Checks() []Check { return t.checks }

// Writes returns the writes; the caller must not change them.
func (t Tx) Writes() []Write { return t.writes }

// Table is the transactional table service.
type Table interface {
	// Get returns a row; RowUnknown if it is absent.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns up to limit rows whose key has the prefix and is greater
	// than after, in the order of their keys.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit runs a transaction and returns the version of the rows it wrote.
	// PlatformConflict: a check did not hold, nothing was written. A check with a version
	// of an earlier era never holds.
	// PlatformUnsure: the transaction may have taken effect.
	Commit(ctx context.Context, tx Tx) (Version, error)
}

// Changes are rows in the order of their versions.
type Changes struct {
	Rows []Row
	// Version is the newest version that the store had.
	Version Version
	// StoreClock is a reading of the store's steady clock.
	StoreClock time.Duration
}

// Feed provides the rows of the table and their changes.
type Feed interface {
	// Read returns all rows whose key has the prefix.
	Read(ctx context.Context, prefix string) (Changes, error)
	// Watch returns the rows with the prefix that have changed after a version.
	// It waits for a change, but not longer than the given time.
	// HistoryGone: the store no longer has all changes after the version, or is in another
	// era by now.
	Watch(ctx context.Context, prefix string, after Version, wait time.Duration) (Changes, error)
}

// ScanAll returns all rows with the prefix, page by page.
func ScanAll(ctx context.Context, t Table, prefix string) ([]Row, error) {
	const page = 500
	var all []Row
	after := ""
	for {
		rows, err := t.Scan(ctx, prefix, after, page)
		if err != nil {
			return nil, err
		}
		all = append(all, rows...)
		if len(rows) < page {
			return all, nil
		}
		after = rows[len(rows)-1].Key
	}
}
