package claimer

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

const (
	// batchSize bounds the rows of one commit, batchEvery is the least time
	// between the starts of two: a node so makes at most 200 commits a second.
	batchSize  = 64
	batchEvery = 5 * time.Millisecond
	// maxIntake bounds the operations that wait; at a slow store more of them
	// would only wait beyond their deadlines.
	maxIntake = 2048
	// batchTries bounds the commits of one batch of which rows have changed.
	batchTries = 4
	// concurrentReads bounds the reads that look for the rows in conflict.
	concurrentReads = 16
)

// op is one row to write if it still has a version.
type op struct {
	key     string
	version uint64
	// value is the new content; nil deletes the row.
	value []byte
	// done takes the result; it must not block.
	done func(opResult)
}

// opResult is what is known of an op.
//
// With no error the op has taken effect. PlatformConflict: it has not, and row
// is what was found. An error with the outcome NotRun: it has not and will
// not. Any other error: it may have, or may yet.
type opResult struct {
	version uint64
	row     transactor.Row
	err     error
}

// intake collects operations for the worker that commits them.
type intake struct {
	clock timekeeper.Clock

	mu   sync.Mutex
	ops  []op
	wake chan struct{}
	last time.Time
}

// add reports whether there was room.
func (in *intake) add(o op) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if len(in.ops) >= maxIntake {
		return false
	}
	in.ops = append(in.ops, o)
	if in.wake != nil {
		close(in.wake)
		in.wake = nil
	}
	return true
}

// Next blocks until there is a batch.
func (in *intake) Next(ctx context.Context) ([]op, bool) {
	for {
		wait, left := in.state()
		if wait == nil && left <= 0 {
			return in.take(), true
		}
		if wait != nil {
			select {
			case <-ctx.Done():
				return nil, false
			case <-wait:
			}
			continue
		}
		if in.clock.Sleep(ctx, left) != nil {
			return nil, false
		}
	}
}

// state returns a channel to wait for if there is no operation, or else how
// long the next batch may still be filled.
func (in *intake) state() (<-chan struct{}, time.Duration) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if len(in.ops) == 0 {
		if in.wake == nil {
			in.wake = make(chan struct{})
		}
		return in.wake, 0
	}
	if len(in.ops) >= batchSize {
		return nil, 0
	}
	return nil, batchEvery - in.clock.Now().Sub(in.last)
}

// take returns the next batch. An operation on a row that the batch has
// already waits for a later one: within one commit the second write would
// replace the first without a check.
func (in *intake) take() []op {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.last = in.clock.Now()
	keys := make(map[string]bool, batchSize)
	var batch, rest []op
	for _, o := range in.ops {
		if len(batch) >= batchSize || keys[o.key] {
			rest = append(rest, o)
			continue
		}
		keys[o.key] = true
		batch = append(batch, o)
	}
	in.ops = rest
	return batch
}

// commit runs a batch and tells each operation its result.
func (c *Claimer) commit(ctx context.Context, batch []op) {
	for range batchTries {
		version, err := c.Table.Commit(ctx, transaction(batch))
		switch {
		case err == nil:
			finish(batch, opResult{version: version})
			return
		case coder.Is(err, coder.PlatformConflict):
			batch = c.sortOut(ctx, batch)
		case coder.Of(err).Outcome() == coder.NotRun:
			finish(batch, opResult{err: err})
			return
		default:
			c.readBack(ctx, batch, err)
			return
		}
		if len(batch) == 0 {
			return
		}
	}
	finish(batch, opResult{err: coder.Refuse(coder.PlatformUnavailable, "the rows of a batch keep changing")})
}

func transaction(batch []op) transactor.Tx {
	var tx transactor.Tx
	for _, o := range batch {
		tx = tx.WithCheck(o.key, o.version)
		if o.value == nil {
			tx = tx.WithDelete(o.key)
			continue
		}
		tx = tx.WithPut(o.key, o.value)
	}
	return tx
}

func finish(batch []op, r opResult) {
	for _, o := range batch {
		o.done(r)
	}
}

// found is what a read of an operation's row gave.
type found struct {
	row transactor.Row
	err error
}

// read reads the rows of a batch; an absent row has version 0.
func (c *Claimer) read(ctx context.Context, batch []op) []found {
	rows := make([]found, len(batch))
	p := pool.New().WithMaxGoroutines(concurrentReads)
	for i, o := range batch {
		p.Go(func() {
			row, err := c.Table.Get(ctx, o.key)
			if coder.Is(err, coder.RowUnknown) {
				row, err = transactor.Row{Key: o.key}, nil
			}
			rows[i] = found{row: row, err: err}
		})
	}
	p.Wait()
	return rows
}

// sortOut ends the operations whose row has another version, after a conflict
// that had no effect, and returns the others.
func (c *Claimer) sortOut(ctx context.Context, batch []op) []op {
	var rest []op
	for i, f := range c.read(ctx, batch) {
		o := batch[i]
		switch {
		case f.err != nil:
			o.done(opResult{err: coder.Wrap(coder.PlatformUnavailable, f.err, "the claim cannot be read").WithOutcome(coder.NotRun)})
		case f.row.Version != o.version:
			o.done(opResult{row: f.row, err: coder.Refuse(coder.PlatformConflict, "the claim exists")})
		default:
			rest = append(rest, o)
		}
	}
	return rest
}

// readBack finds out what a commit did whose answer was lost. A row without
// its effect proves nothing, since the commit may still be on its way.
func (c *Claimer) readBack(ctx context.Context, batch []op, cause error) {
	for i, f := range c.read(ctx, batch) {
		o := batch[i]
		r := opResult{err: coder.Wrap(coder.PlatformUnsure, cause, "the outcome of a commit is not known")}
		if f.err == nil {
			written := f.row.Version > 0 && o.value != nil && bytes.Equal(f.row.Value, o.value)
			deleted := f.row.Version == 0 && o.value == nil
			if written || deleted {
				r = opResult{version: f.row.Version}
			}
		}
		o.done(r)
	}
}
