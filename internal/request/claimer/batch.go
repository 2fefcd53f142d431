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
	// batchSize bounds the rows of one commit, batchInterval is the least time
	// between the starts of two commits: a node makes at most 200 commits a
	// second.
	batchSize     = 64
	batchInterval = 5 * time.Millisecond
	// maxQueuedOps bounds the queued operations; with a slow store, more of
	// them would only stay queued beyond their deadlines.
	maxQueuedOps = 2048
	// maxBatchTries bounds the commits of one batch whose rows have changed.
	maxBatchTries = 4
	// maxConcurrentReads bounds the concurrent reads of the rows of a batch.
	maxConcurrentReads = 16
)

// op writes or deletes one row, provided that it still has the given version.
type op struct {
	key     string
	version transactor.Version
	// value is the new content; nil deletes the row.
	value []byte
	// done receives the result; it must not block.
	done func(opResult)
}

// opResult is what is known of the effect of an op.
//
// Without an error, the op has taken effect. With PlatformConflict it has not,
// and row is the row that was found. With an error of outcome NotRun it has not
// taken effect and will not. With any other error it may have taken effect or
// may still do so.
type opResult struct {
	version transactor.Version
	row     transactor.Row
	err     error
}

// opQueue collects operations for the worker that commits them.
type opQueue struct {
	clock timekeeper.Clock

	mu        sync.Mutex
	ops       []op
	added     chan struct{}
	lastBatch time.Time
}

// add reports whether the queue had capacity for the operation.
func (in *opQueue) add(o op) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if len(in.ops) >= maxQueuedOps {
		return false
	}
	in.ops = append(in.ops, o)
	if in.added != nil {
		close(in.added)
		in.added = nil
	}
	return true
}

// Next blocks until there is a batch; it returns false if ctx is done.
func (in *opQueue) Next(ctx context.Context) ([]op, bool) {
	for {
		added, delay := in.readiness()
		if added == nil && delay <= 0 {
			return in.takeBatch(), true
		}
		if added != nil {
			select {
			case <-ctx.Done():
				return nil, false
			case <-added:
			}
			continue
		}
		if in.clock.Sleep(ctx, delay) != nil {
			return nil, false
		}
	}
}

// readiness returns a channel that is closed by the next operation if there is
// none, or else how long the next batch may still be filled.
func (in *opQueue) readiness() (<-chan struct{}, time.Duration) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if len(in.ops) == 0 {
		if in.added == nil {
			in.added = make(chan struct{})
		}
		return in.added, 0
	}
	if len(in.ops) >= batchSize {
		return nil, 0
	}
	return nil, batchInterval - in.clock.Now().Sub(in.lastBatch)
}

// takeBatch returns the next batch. An operation on a row that the batch
// already writes is left for a later batch: within one commit, the second write
// would replace the first without a check.
func (in *opQueue) takeBatch() []op {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.lastBatch = in.clock.Now()
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

// commit runs a batch and passes each operation its result.
func (c *Claimer) commit(ctx context.Context, batch []op) {
	for range maxBatchTries {
		version, err := c.Table.Commit(ctx, transaction(batch))
		switch {
		case err == nil:
			completeAll(batch, opResult{version: version})
			return
		case coder.Is(err, coder.PlatformConflict):
			batch = c.dropConflicting(ctx, batch)
		case coder.FromError(err).Outcome() == coder.NotRun:
			completeAll(batch, opResult{err: err})
			return
		default:
			c.readBack(ctx, batch, err)
			return
		}
		if len(batch) == 0 {
			return
		}
	}
	completeAll(batch, opResult{err: coder.Refuse(coder.PlatformUnavailable, "the rows of a batch changed during every commit")})
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

func completeAll(batch []op, r opResult) {
	for _, o := range batch {
		o.done(r)
	}
}

// readResult is the result of reading the row of an operation.
type readResult struct {
	row transactor.Row
	err error
}

// read reads the rows of a batch; an absent row has version 0.
func (c *Claimer) read(ctx context.Context, batch []op) []readResult {
	rows := make([]readResult, len(batch))
	p := pool.New().WithMaxGoroutines(maxConcurrentReads)
	for i, o := range batch {
		p.Go(func() {
			row, err := c.Table.Get(ctx, o.key)
			if coder.Is(err, coder.RowUnknown) {
				row, err = transactor.Row{Key: o.key}, nil
			}
			rows[i] = readResult{row: row, err: err}
		})
	}
	p.Wait()
	return rows
}

// dropConflicting ends the operations whose row has another version, after a
// conflict that had no effect, and returns the others.
func (c *Claimer) dropConflicting(ctx context.Context, batch []op) []op {
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

// readBack determines the effect of a commit whose response was lost. A row
// that does not show the effect proves nothing, since the commit may still be
// in flight.
func (c *Claimer) readBack(ctx context.Context, batch []op, cause error) {
	for i, f := range c.read(ctx, batch) {
		o := batch[i]
		r := opResult{err: coder.Wrap(coder.PlatformUnsure, cause, "the outcome of a commit is unknown")}
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
