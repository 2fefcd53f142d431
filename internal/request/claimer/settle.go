package claimer

import (
	"context"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

// pendingWrite is a row of this node whose intended content is not yet known to
// be written.
type pendingWrite struct {
	key     string
	request string
	// value is the intended content; nil means that the row is to be removed.
	value []byte
	// inBatch says that an operation with the value is queued or being
	// committed.
	inBatch bool
	// giveUpAt is when the node stops trying.
	giveUpAt time.Time
}

const (
	// maxUnsettled bounds the memory for claims during an outage of the store;
	// beyond maxUnsettledBodies, responses are recorded without their bodies.
	maxUnsettled       = 4096
	maxUnsettledBodies = 512
	// recordTimeout is how long a node tries to record the end of a request.
	recordTimeout = 10 * time.Minute
	// abandonTimeout is how long a node looks for the row of an abandoned
	// claim. A row that appears later only keeps its key from being used.
	abandonTimeout = 30 * time.Second
	// maxSettlePerPass bounds the claims handled in one pass.
	maxSettlePerPass = 64
)

// addUnsettled records the intended content of the row of a request.
func (c *Claimer) addUnsettled(key, request string, value []byte) {
	if c.unsettled.Len() >= maxUnsettled {
		return
	}
	limit := recordTimeout
	if value == nil {
		limit = abandonTimeout
	}
	c.unsettled.Put(request, pendingWrite{
		key: key, request: request, value: value, inBatch: value != nil,
		giveUpAt: c.Clock.Now().Add(limit),
	})
}

// abandon marks the row that names the request for removal: the request does
// not run.
func (c *Claimer) abandon(key, request string) { c.addUnsettled(key, request, nil) }

// abandoned reports whether this node knows that the request does not run.
func (c *Claimer) abandoned(request string) bool {
	u, ok := c.unsettled.Get(request)
	return ok && u.value == nil
}

// recordAttempted handles the result of writing the end of a request.
func (c *Claimer) recordAttempted(request string, r opResult) {
	if r.err == nil || coder.Is(r.err, coder.PlatformConflict) {
		c.unsettled.Delete(request)
		return
	}
	c.unsettled.Update(request, func(u pendingWrite, ok bool) (pendingWrite, bool) {
		u.inBatch = false
		return u, ok
	})
}

// Settle retries the writes that are not settled.
func (c *Claimer) Settle(ctx context.Context) error {
	tried := 0
	for _, u := range c.unsettled.Values() {
		if u.inBatch || tried >= maxSettlePerPass {
			continue
		}
		tried++
		settled, err := c.settleOne(ctx, u)
		if settled || c.Clock.Now().After(u.giveUpAt) {
			c.unsettled.Delete(u.request)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// settleOne reports whether nothing is left to do for the row.
func (c *Claimer) settleOne(ctx context.Context, u pendingWrite) (bool, error) {
	row, err := c.Table.Get(ctx, u.key)
	if coder.Is(err, coder.RowUnknown) {
		// The commit of an abandoned claim may still be in flight.
		return u.value != nil, nil
	}
	if err != nil {
		return false, err
	}
	existing, err := decodeRecord(row.Value)
	if err != nil || existing.Request != u.request || existing.Phase != Running {
		return true, err
	}
	r := c.execute(ctx, op{key: u.key, version: row.Version, value: u.value})
	if coder.Is(r.err, coder.PlatformConflict) {
		return true, nil
	}
	return r.err == nil, r.err
}

// flushInterval is the delay between two checks of the writes still pending.
const flushInterval = 20 * time.Millisecond

// Flush blocks until the ends of all requests are recorded or ctx is done.
func (c *Claimer) Flush(ctx context.Context) {
	for ctx.Err() == nil {
		if err := c.Settle(ctx); err != nil {
			c.Log.Debug().Err(err).Msg("claims not settled yet; retrying")
		}
		pending := 0
		c.unsettled.Each(func(_ string, u pendingWrite) bool {
			if u.value != nil {
				pending++
			}
			return true
		})
		if pending == 0 {
			return
		}
		_ = c.Clock.Sleep(ctx, flushInterval)
	}
}

const (
	// purgePage bounds the rows read and removed in one pass.
	purgePage = batchSize
	// purgeMargin allows for the difference between the clocks of two nodes.
	purgeMargin = time.Minute
)

// Purge removes expired claims, one page of rows in each call.
func (c *Claimer) Purge(ctx context.Context) error {
	rows, err := c.Table.Scan(ctx, rowPrefix, c.cursor.Get(), purgePage)
	if err != nil {
		return err
	}
	var tx transactor.Tx
	now := c.Clock.Now()
	for _, row := range rows {
		r, err := decodeRecord(row.Value)
		if err == nil && now.After(r.Expires.Add(purgeMargin)) {
			tx = tx.WithCheck(row.Key, row.Version).WithDelete(row.Key)
		}
	}
	c.cursor.Update(func(string) (string, bool) {
		if len(rows) < purgePage {
			return "", true
		}
		return rows[len(rows)-1].Key, true
	})
	if len(tx.Writes()) == 0 {
		return nil
	}
	// Another node may have removed the same rows; the next pass finds out.
	if _, err = c.Table.Commit(ctx, tx); coder.Is(err, coder.PlatformConflict) {
		return nil
	}
	return err
}
