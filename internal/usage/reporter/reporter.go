// Package reporter closes usage windows and reports each with one set of figures.
//
// Only the holder of the usage duty does so. Before it reports a window for the
// first time, it stores the figures in a commit that fails if another node has
// taken over the duty or has stored figures for the window. Every report of a
// window, by this node or a later holder, therefore has the same figures. The
// counts of windows that are not closed yet are stored as well, once a second, so
// that they survive the loss of all nodes. A node that leaves stores its own counts,
// as the holder may have left before they arrive there.
package reporter

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"foxtailflow.example/foxtailflow/internal/authority/leaser"
	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/inner/courier"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

// Duty is the duty of reporting usage.
const Duty = "usage"

// Receiver receives usage reports.
type Receiver interface {
	// ReportUsage reports the counts of a window under a lease. StaleFencing:
	// a later holder has reported meanwhile.
	ReportUsage(ctx context.Context, g leaser.Grant, window int64, counts map[courier.Meter]int) error
}

// Ledger has the counts of all nodes.
type Ledger interface {
	Merge(counts []courier.NodeUsage, local bool)
	// ChangedSince returns the counts that have changed after a revision, with own
	// set only those of this node.
	ChangedSince(revision uint64, own bool) ([]courier.NodeUsage, uint64)
	Window(window int64) []courier.NodeUsage
	Total(window int64) map[courier.Meter]int
	Windows() []int64
	DropBefore(before int64)
}

// Settings are the length of the windows and the delays of their reports.
type Settings struct {
	// WindowLength returns the length of a window; window k begins k windows
	// after the start of 1970.
	WindowLength func() time.Duration
	// SettleDelay is the delay after the end of a window until all its counts have
	// arrived.
	SettleDelay time.Duration
	// MaxReportDelay is how long after its end a window can be reported.
	MaxReportDelay time.Duration
	// SaveInterval is how often the counts of open windows are stored.
	SaveInterval time.Duration
	// MaxRowBytes is the greatest size of a row of the table; 0 means 64 KiB.
	MaxRowBytes int
}

// Reporter closes and reports windows.
type Reporter struct {
	Settings Settings
	Clock    timekeeper.Clock
	Log      zerolog.Logger
	Table    transactor.Table
	Leases   leaser.Holder
	Receiver Receiver
	Ledger   Ledger
	// Now returns the true time.
	Now func() time.Time

	// mu is held by Run and Save, which may be called at the same time.
	mu    sync.Mutex
	state leaseState
	// known has the closed windows that this process has read or stored. Unlike state, it
	// outlives a lease, as the store may lose the rows.
	known knownWindows
	// skippedFor is the fencing token under which windows were skipped that the store may
	// have lost.
	skippedFor uint64
}

// leaseState is the state of the holder under its current lease.
type leaseState struct {
	epoch transactor.Version
	// closed has the stored figures of closed windows, reported the windows whose
	// reports were received or are given up.
	closed   map[int64]map[courier.Meter]int
	reported map[int64]bool
	savedAt  time.Time
	// openRows is the number of rows with the counts of open windows.
	openRows int
	// left has the keys of the rows of nodes that have left, with the newest window
	// in each.
	left map[string]int64
	// newestClosed is the newest closed window; older windows are no longer closed.
	newestClosed int64
}

// WindowAt returns the window of a time.
func (s Settings) WindowAt(t time.Time) int64 { return t.UnixNano() / int64(s.WindowLength()) }

// end returns the end of a window.
func (s Settings) end(window int64) time.Time {
	return time.Unix(0, (window+1)*int64(s.WindowLength()))
}

// Run saves, closes and reports what is due if this node holds the duty; a task
// repeats it.
func (c *Reporter) Run(ctx context.Context) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	c.Ledger.DropBefore(c.Settings.WindowAt(now.Add(-2 * c.Settings.MaxReportDelay)))
	g, ok := c.Leases.Grant(Duty)
	if !ok {
		c.state = leaseState{}
		return nil
	}
	if c.state.epoch != g.Epoch {
		if err := c.load(ctx, g); err != nil {
			return err
		}
	}
	// Windows are closed and reported even while saving open ones fails.
	saveErr := c.saveIfDue(ctx, g)
	for _, window := range c.pending() {
		end := c.Settings.end(window)
		if now.Before(end.Add(c.Settings.SettleDelay)) || c.state.reported[window] {
			continue
		}
		if now.After(end.Add(c.Settings.MaxReportDelay)) {
			c.Log.Warn().Int64("window", window).Msg("window can no longer be reported in time")
			c.state.reported[window] = true
			continue
		}
		if err := c.closeAndReport(ctx, g, window); err != nil {
			return err
		}
	}
	return saveErr
}

// pending returns the closed windows and those with counts that are newer than the
// newest closed one, in order.
func (c *Reporter) pending() []int64 {
	windows := slices.Collect(maps.Keys(c.state.closed))
	for _, window := range c.Ledger.Windows() {
		if window > c.state.newestClosed {
			windows = append(windows, window)
		}
	}
	slices.Sort(windows)
	return slices.Compact(windows)
}

// load reads what earlier holders have stored.
func (c *Reporter) load(ctx context.Context, g leaser.Grant) error {
	state := leaseState{epoch: g.Epoch, closed: make(map[int64]map[courier.Meter]int), reported: make(map[int64]bool)}
	rows, err := transactor.ScanAll(ctx, c.Table, windowPrefix)
	if err != nil {
		return err
	}
	for _, row := range rows {
		window, counts, err := decodeWindow(row)
		if err != nil {
			// This window is not reported; the others are.
			c.Log.Error().Str("key", row.Key).Err(err).Msg("malformed row of a closed window")
			continue
		}
		state.closed[window] = counts
	}
	if state.newestClosed, err = c.loadNewestClosed(ctx); err != nil {
		return err
	}
	if err := c.restoreLost(ctx, g, &state); err != nil {
		return err
	}
	rows, err = transactor.ScanAll(ctx, c.Table, openPrefix)
	if err != nil {
		return err
	}
	for _, row := range rows {
		saved, err := decodeOpen(row.Value)
		if err != nil {
			// The counts of this row are lost; the other rows are still used.
			c.Log.Error().Str("key", row.Key).Err(err).Msg("malformed row of saved counts; its counts are lost")
			continue
		}
		c.Ledger.Merge(saved.counts, false)
		for _, window := range saved.reported {
			state.reported[window] = true
		}
	}
	state.openRows = len(rows)
	if state.left, err = c.mergeLeft(ctx); err != nil {
		return err
	}
	c.state = state
	c.Log.Info().Uint64("fencing-token", g.Token).Int("closed", len(state.closed)).Msg("this node now reports usage")
	return nil
}

// loadNewestClosed returns the newest window that was closed.
func (c *Reporter) loadNewestClosed(ctx context.Context) (int64, error) {
	row, err := c.Table.Get(ctx, newestClosedKey)
	if coder.Is(err, coder.RowUnknown) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return decodeNewestClosed(row.Value)
}

// Save saves the counts of the windows that are not closed yet for the next
// holder: those of all nodes if this node holds the duty, and else its own.
func (c *Reporter) Save(ctx context.Context) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	g, ok := c.Leases.Grant(Duty)
	if !ok || c.state.epoch != g.Epoch {
		return c.saveOwn(ctx)
	}
	return c.saveOpen(ctx, g)
}

// saveIfDue saves the counts of the windows that are not closed yet, if that is
// due.
func (c *Reporter) saveIfDue(ctx context.Context, g leaser.Grant) error {
	if c.Clock.Now().Sub(c.state.savedAt) < c.Settings.SaveInterval {
		return nil
	}
	return c.saveOpen(ctx, g)
}

func (c *Reporter) saveOpen(ctx context.Context, g leaser.Grant) error {
	now := c.Clock.Now()
	var s openCounts
	for _, window := range c.Ledger.Windows() {
		if window > c.state.newestClosed {
			s.counts = append(s.counts, c.Ledger.Window(window)...)
		}
	}
	if len(s.counts) == 0 {
		return nil
	}
	for window := range c.state.reported {
		s.reported = append(s.reported, window)
	}
	tx, chunks := transactor.Tx{}, s.split(c.Settings.MaxRowBytes)
	for i, chunk := range chunks {
		tx = tx.WithPut(openKey(i), encodeOpen(chunk))
	}
	for i := len(chunks); i < c.state.openRows; i++ {
		tx = tx.WithDelete(openKey(i))
	}
	_, err := c.Table.Commit(ctx, g.Guard(tx))
	if err == nil {
		c.state.savedAt, c.state.openRows = now, len(chunks)
	}
	return err
}

// closeAndReport stores the figures of a window and reports them.
func (c *Reporter) closeAndReport(ctx context.Context, g leaser.Grant, window int64) error {
	counts, ok := c.state.closed[window]
	if !ok {
		var err error
		if c.state.left, err = c.mergeLeft(ctx); err != nil {
			return err
		}
		counts = c.Ledger.Total(window)
		key := windowKey(window)
		_, err = c.Table.Commit(ctx, g.Guard(transactor.Tx{}.WithAbsent(key).WithPut(key, encodeWindow(counts)).WithPut(newestClosedKey, encodeNewestClosed(window))))
		if err != nil {
			// The commit may have taken effect: the rows are read again before the
			// next attempt.
			c.state = leaseState{}
			return err
		}
		c.state.closed[window], c.state.newestClosed = counts, window
		c.known = c.known.with(window, counts, g.Epoch.Era())
	}
	if err := c.Receiver.ReportUsage(ctx, g, window, counts); err != nil {
		return err
	}
	c.state.reported[window] = true
	c.known = c.known.withReported(window)
	requests, accounts := 0, make(map[string]bool)
	for m, n := range counts {
		accounts[m.Account] = true
		if m.Unit == courier.Requests {
			requests += n
		}
	}
	c.Log.Info().Int64("window", window).Int("requests", requests).Int("client-accounts", len(accounts)).
		Dur("after-ms", c.Now().Sub(c.Settings.end(window))).Msg("window reported")
	if err := c.deleteLeft(ctx, g); err != nil {
		return err
	}
	return c.deleteOld(ctx, g, window)
}

// keptWindows is how many closed windows stay stored.
const keptWindows = 12

// deleteOld deletes the stored figures of windows that are no longer reported.
func (c *Reporter) deleteOld(ctx context.Context, g leaser.Grant, newest int64) error {
	tx := transactor.Tx{}
	var old []int64
	for window := range c.state.closed {
		if window <= newest-keptWindows && len(old) < maxDeletes {
			tx = tx.WithDelete(windowKey(window))
			old = append(old, window)
		}
	}
	if len(old) < maxDeletes/2 {
		return nil
	}
	if _, err := c.Table.Commit(ctx, g.Guard(tx)); err != nil {
		return err
	}
	for _, window := range old {
		delete(c.state.closed, window)
		delete(c.state.reported, window)
	}
	c.known = c.known.without(old)
	return nil
}

// maxDeletes bounds the rows that one commit deletes.
const maxDeletes = 20
