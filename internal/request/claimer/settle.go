package claimer

import (
	"context"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

// unsettled is a row of this node that is not yet what it should be.
type unsettled struct {
	key     string
	request string
	// value is the content due; nil means that the row is to be removed.
	value []byte
	// waiting says that a batch with the value is under way.
	waiting bool
	// until is when the node gives up.
	until time.Time
}

const (
	// maxUnsettled bounds the memory for claims during an outage of the store;
	// beyond maxUnsettledBodies answers are recorded without their bodies.
	maxUnsettled       = 4096
	maxUnsettledBodies = 512
	// settleFor is how long a node tries to record the end of a request.
	settleFor = 10 * time.Minute
	// abandonFor is how long a node looks for the row of a claim that it gave
	// up. One that turns up later only keeps its key from being used.
	abandonFor = 30 * time.Second
	// settleAtOnce bounds the claims of one pass.
	settleAtOnce = 64
)

// settle notes what the row of a request should become.
func (c *Claimer) settle(key, request string, value []byte) {
	if c.unsettled.Len() >= maxUnsettled {
		return
	}
	limit := settleFor
	if value == nil {
		limit = abandonFor
	}
	c.unsettled.Put(request, unsettled{
		key: key, request: request, value: value, waiting: value != nil,
		until: c.Clock.Now().Add(limit),
	})
}

// abandon notes that a row which names the request is to be removed: the
// request does not run.
func (c *Claimer) abandon(key, request string) { c.settle(key, request, nil) }

// abandoned reports whether the request is known here not to run.
func (c *Claimer) abandoned(request string) bool {
	u, ok := c.unsettled.Get(request)
	return ok && u.value == nil
}

// recorded takes the result of a batch with the end of a request.
func (c *Claimer) recorded(request string, r opResult) {
	if r.err == nil || coder.Is(r.err, coder.PlatformConflict) {
		c.unsettled.Delete(request)
		return
	}
	c.unsettled.Update(request, func(u unsettled, ok bool) (unsettled, bool) {
		u.waiting = false
		return u, ok
	})
}

// Settle tries once more to write what is not settled.
func (c *Claimer) Settle(ctx context.Context) error {
	tried := 0
	for _, u := range c.unsettled.Values() {
		if u.waiting || tried >= settleAtOnce {
			continue
		}
		tried++
		settled, err := c.settleOne(ctx, u)
		if settled || c.Clock.Now().After(u.until) {
			c.unsettled.Delete(u.request)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// settleOne reports whether nothing is left to do for the row.
func (c *Claimer) settleOne(ctx context.Context, u unsettled) (bool, error) {
	row, err := c.Table.Get(ctx, u.key)
	if coder.Is(err, coder.RowUnknown) {
		// The commit of an abandoned claim may still be on its way.
		return u.value != nil, nil
	}
	if err != nil {
		return false, err
	}
	present, err := decodeRecord(row.Value)
	if err != nil || present.Request != u.request || present.Phase != Running {
		return true, err
	}
	r := c.do(ctx, op{key: u.key, version: row.Version, value: u.value})
	if coder.Is(r.err, coder.PlatformConflict) {
		return true, nil
	}
	return r.err == nil, r.err
}

// flushEvery is the delay between two looks at what is still to be recorded.
const flushEvery = 20 * time.Millisecond

// Flush waits until the ends of all requests are recorded, or for ctx.
func (c *Claimer) Flush(ctx context.Context) {
	for ctx.Err() == nil {
		if err := c.Settle(ctx); err != nil {
			c.Log.Debug().Err(err).Msg("claims cannot be settled yet")
		}
		open := 0
		c.unsettled.Each(func(_ string, u unsettled) bool {
			if u.value != nil {
				open++
			}
			return true
		})
		if open == 0 {
			return
		}
		_ = c.Clock.Sleep(ctx, flushEvery)
	}
}

const (
	// purgePage bounds the rows that one pass reads and removes.
	purgePage = batchSize
	// purgeMargin covers the difference between the clocks of two nodes.
	purgeMargin = time.Minute
)

// Purge removes claims that have expired, one page of rows in each pass.
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
	// Another node may have removed the same rows; the next pass sees it.
	if _, err = c.Table.Commit(ctx, tx); coder.Is(err, coder.PlatformConflict) {
		return nil
	}
	return err
}
