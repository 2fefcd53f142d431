package reporter

import (
	"context"
	"maps"

	"foxtailflow.example/foxtailflow/internal/authority/leaser"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

// saveOwn stores this node's counts in rows of its own.
func (c *Reporter) saveOwn(ctx context.Context) error {
	counts, _ := c.Ledger.ChangedSince(0, true)
	if len(counts) == 0 {
		return nil
	}
	tx := transactor.Tx{}
	for i, chunk := range (openCounts{counts: counts}).split(c.Settings.MaxRowBytes) {
		tx = tx.WithPut(leftKey(counts[0].Node, i), encodeOpen(chunk))
	}
	_, err := c.Table.Commit(ctx, tx)
	return err
}

// mergeLeft merges the counts of the nodes that have left, and returns the keys of
// their rows with the newest window in each.
func (c *Reporter) mergeLeft(ctx context.Context) (map[string]int64, error) {
	rows, err := transactor.ScanAll(ctx, c.Table, leftPrefix)
	if err != nil {
		return nil, err
	}
	left := make(map[string]int64)
	for _, row := range rows {
		left[row.Key] = 0
		saved, err := decodeOpen(row.Value)
		if err != nil {
			// The counts of this row are lost; the other rows are still used.
			c.Log.Error().Str("key", row.Key).Err(err).Msg("malformed row of a node that has left; its counts are lost")
			continue
		}
		c.Ledger.Merge(saved.counts, false)
		for _, u := range saved.counts {
			left[row.Key] = max(left[row.Key], u.Window)
		}
	}
	return left, nil
}

// deleteLeft deletes the rows of nodes that have left whose windows are all closed.
func (c *Reporter) deleteLeft(ctx context.Context, g leaser.Grant) error {
	tx := transactor.Tx{}
	remaining := maps.Clone(c.state.left)
	for key, newest := range c.state.left {
		if newest <= c.state.newestClosed && len(c.state.left)-len(remaining) < maxDeletes {
			tx = tx.WithDelete(key)
			delete(remaining, key)
		}
	}
	if len(remaining) == len(c.state.left) {
		return nil
	}
	if _, err := c.Table.Commit(ctx, g.Guard(tx)); err != nil {
		return err
	}
	c.state.left = remaining
	return nil
}
