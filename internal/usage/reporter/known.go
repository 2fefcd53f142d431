package reporter

import (
	"context"
	"maps"

	"foxtailflow.example/foxtailflow/internal/authority/leaser"
	"foxtailflow.example/foxtailflow/internal/inner/courier"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

// knownWindows has the closed windows that a process knows. It is an immutable value.
type knownWindows map[int64]knownWindow

// knownWindow has the figures of a closed window.
type knownWindow struct {
	counts   map[courier.Meter]int
	reported bool
	// era is the newest era of the store that is known to have the row.
	era uint64
}

// with returns the windows with the figures that the store has in an era.
func (k knownWindows) with(window int64, counts map[courier.Meter]int, era uint64) knownWindows {
	w := k[window]
	w.counts, w.era = counts, era
	return k.set(window, w)
}

// withReported returns the windows after the report of one was received.
func (k knownWindows) withReported(window int64) knownWindows {
	w := k[window]
	w.reported = true
	return k.set(window, w)
}

func (k knownWindows) set(window int64, w knownWindow) knownWindows {
	out := make(knownWindows, len(k)+1)
	maps.Copy(out, k)
	out[window] = w
	return out
}

// without returns the windows without some.
func (k knownWindows) without(windows []int64) knownWindows {
	out := maps.Clone(k)
	for _, window := range windows {
		delete(out, window)
	}
	return out
}

// restoreLost completes what was read from a store that has come back from an older copy.
//
// The rows that this process knows are stored again. The first holder of an era closes no
// window that an earlier holder may have closed and reported: a window without a report is
// late, one with other figures is wrong.
func (c *Reporter) restoreLost(ctx context.Context, g leaser.Grant, state *leaseState) error {
	era := g.Epoch.Era()
	for window, counts := range state.closed {
		c.known = c.known.with(window, counts, era)
	}
	tx, newest := transactor.Tx{}, state.newestClosed
	for window, w := range c.known {
		if w.era == era {
			continue
		}
		if w.reported {
			state.reported[window] = true
		}
		tx = tx.WithPut(windowKey(window), encodeWindow(w.counts))
		state.closed[window] = w.counts
		newest = max(newest, window)
	}
	if skipped := c.Settings.WindowAt(c.Now().Add(-c.Settings.SettleDelay)) - 1; g.FirstOfEra() && c.skippedFor != g.Token && skipped > newest {
		c.Log.Warn().Int64("after", newest).Int64("to", skipped).Msg("windows are not closed: the store may have lost their figures")
		newest = skipped
	}
	if newest == state.newestClosed {
		return nil
	}
	if _, err := c.Table.Commit(ctx, g.Guard(tx.WithPut(newestClosedKey, encodeNewestClosed(newest)))); err != nil {
		return err
	}
	for window, counts := range state.closed {
		c.known = c.known.with(window, counts, era)
	}
	state.newestClosed, c.skippedFor = newest, g.Token
	return nil
}
