// Package closer closes the windows of usage and reports each with one set of
// figures.
//
// Only the holder of the duty does so. It writes the figures of a window down,
// in a commit that fails once another node has taken the duty over or has
// written them, before it reports them for the first time. So every report of a
// window, by this node or the next holder, has the same figures. What the nodes
// have counted in windows that are not closed yet is written down as well, once
// a second, so that it outlives a loss of all nodes.
package closer

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

// Reports receives usage.
type Reports interface {
	// ReportUsage reports the counts of a window, under a lease. StaleFencing:
	// another holder has reported meanwhile.
	ReportUsage(ctx context.Context, g leaser.Grant, window int64, counts map[courier.Meter]int) error
}

// Ledger has the counts of all nodes.
type Ledger interface {
	Merge(counts []courier.NodeUsage, local bool)
	Window(window int64) []courier.NodeUsage
	Total(window int64) map[courier.Meter]int
	Windows() []int64
	Forget(before int64)
}

// Settings are the times of windows.
type Settings struct {
	// Window returns the length of a window; window k begins k windows after the
	// start of 1970.
	Window func() time.Duration
	// Settle is how long after its end the counts of a window have arrived.
	Settle time.Duration
	// Late is how long after its end a window can be reported.
	Late time.Duration
	// SaveEvery is how often the counts of open windows are written down.
	SaveEvery time.Duration
	// RowBytes is the greatest size of a row of the table; 0 means 64 KiB.
	RowBytes int
}

// Closer closes and reports windows.
type Closer struct {
	Settings Settings
	Clock    timekeeper.Clock
	Log      zerolog.Logger
	Table    transactor.Table
	Leases   leaser.Holder
	Reports  Reports
	Ledger   Ledger
	// Now returns the true time.
	Now func() time.Time

	// mu is held by Run and Leave, which may be called at the same time.
	mu   sync.Mutex
	held tenure
}

// tenure is what the holder knows since it took the duty over.
type tenure struct {
	epoch uint64
	// closed has the figures of the windows that are written down, reported
	// those that were received.
	closed   map[int64]map[courier.Meter]int
	reported map[int64]bool
	saved    time.Time
	// pieces is the number of rows that the counts of open windows take up.
	pieces int
	// head is the newest window that was closed; older ones are not closed any more.
	head int64
}

// WindowAt returns the window of a time.
func (s Settings) WindowAt(t time.Time) int64 { return t.UnixNano() / int64(s.Window()) }

// end returns the end of a window.
func (s Settings) end(window int64) time.Time { return time.Unix(0, (window+1)*int64(s.Window())) }

// Run does what is due if this node holds the duty; a task repeats it.
func (c *Closer) Run(ctx context.Context) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	c.Ledger.Forget(c.Settings.WindowAt(now.Add(-2 * c.Settings.Late)))
	g, ok := c.Leases.Grant(Duty)
	if !ok {
		c.held = tenure{}
		return nil
	}
	if c.held.epoch != g.Epoch {
		if err := c.load(ctx, g); err != nil {
			return err
		}
	}
	// Windows are closed and reported also while the open ones cannot be saved.
	unsaved := c.save(ctx, g)
	for _, window := range c.windows() {
		end := c.Settings.end(window)
		if now.Before(end.Add(c.Settings.Settle)) || c.held.reported[window] {
			continue
		}
		if now.After(end.Add(c.Settings.Late)) {
			c.Log.Warn().Int64("window", window).Msg("window can no longer be reported in time")
			c.held.reported[window] = true
			continue
		}
		if err := c.finish(ctx, g, window); err != nil {
			return err
		}
	}
	return unsaved
}

// windows returns the windows that have figures, or counts and are not older than
// one that was closed, in order.
func (c *Closer) windows() []int64 {
	windows := slices.Collect(maps.Keys(c.held.closed))
	for _, window := range c.Ledger.Windows() {
		if window > c.held.head {
			windows = append(windows, window)
		}
	}
	slices.Sort(windows)
	return slices.Compact(windows)
}

// load reads what former holders have written down.
func (c *Closer) load(ctx context.Context, g leaser.Grant) error {
	t := tenure{epoch: g.Epoch, closed: make(map[int64]map[courier.Meter]int), reported: make(map[int64]bool)}
	rows, err := transactor.ScanAll(ctx, c.Table, windowPrefix)
	if err != nil {
		return err
	}
	for _, row := range rows {
		window, counts, err := decodeWindow(row)
		if err != nil {
			return err
		}
		t.closed[window] = counts
	}
	if t.head, err = c.loadHead(ctx); err != nil {
		return err
	}
	rows, err = transactor.ScanAll(ctx, c.Table, openPrefix)
	if err != nil {
		return err
	}
	for _, row := range rows {
		saved, err := decodeOpen(row.Value)
		if err != nil {
			// Its counts are lost; the windows of the others are not.
			c.Log.Error().Str("key", row.Key).Err(err).Msg("saved counts cannot be read")
			continue
		}
		c.Ledger.Merge(saved.counts, false)
		for _, window := range saved.reported {
			t.reported[window] = true
		}
	}
	t.pieces = len(rows)
	c.held = t
	c.Log.Info().Uint64("fencing-token", g.Token).Int("closed", len(t.closed)).Msg("usage is reported by this node")
	return nil
}

// loadHead returns the newest window that was closed.
func (c *Closer) loadHead(ctx context.Context) (int64, error) {
	row, err := c.Table.Get(ctx, headKey)
	if coder.Is(err, coder.RowUnknown) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return decodeHead(row.Value)
}

// Leave writes the counts of the windows that are not closed yet, if this node
// holds the duty, so that the next holder has them.
func (c *Closer) Leave(ctx context.Context) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	g, ok := c.Leases.Grant(Duty)
	if !ok || c.held.epoch != g.Epoch {
		return nil
	}
	return c.write(ctx, g)
}

// save writes the counts of the windows that are not closed yet, if that is due.
func (c *Closer) save(ctx context.Context, g leaser.Grant) error {
	if c.Clock.Now().Sub(c.held.saved) < c.Settings.SaveEvery {
		return nil
	}
	return c.write(ctx, g)
}

func (c *Closer) write(ctx context.Context, g leaser.Grant) error {
	now := c.Clock.Now()
	var s open
	for _, window := range c.Ledger.Windows() {
		if window > c.held.head {
			s.counts = append(s.counts, c.Ledger.Window(window)...)
		}
	}
	if len(s.counts) == 0 {
		return nil
	}
	for window := range c.held.reported {
		s.reported = append(s.reported, window)
	}
	tx, pieces := transactor.Tx{}, s.pieces(c.Settings.RowBytes)
	for i, piece := range pieces {
		tx = tx.WithPut(openKey(i), encodeOpen(piece))
	}
	for i := len(pieces); i < c.held.pieces; i++ {
		tx = tx.WithDelete(openKey(i))
	}
	_, err := c.Table.Commit(ctx, g.Guard(tx))
	if err == nil {
		c.held.saved, c.held.pieces = now, len(pieces)
	}
	return err
}

// finish writes the figures of a window down and reports them.
func (c *Closer) finish(ctx context.Context, g leaser.Grant, window int64) error {
	counts, ok := c.held.closed[window]
	if !ok {
		counts = c.Ledger.Total(window)
		key := windowKey(window)
		_, err := c.Table.Commit(ctx, g.Guard(transactor.Tx{}.WithAbsent(key).WithPut(key, encodeWindow(counts)).WithPut(headKey, encodeHead(window))))
		if err != nil {
			// It may have taken effect: what stands is read before the next try.
			c.held = tenure{}
			return err
		}
		c.held.closed[window], c.held.head = counts, window
	}
	if err := c.Reports.ReportUsage(ctx, g, window, counts); err != nil {
		return err
	}
	c.held.reported[window] = true
	requests, accounts := 0, make(map[string]bool)
	for m, n := range counts {
		accounts[m.Account] = true
		if m.Unit == courier.Requests {
			requests += n
		}
	}
	c.Log.Info().Int64("window", window).Int("requests", requests).Int("client-accounts", len(accounts)).
		Dur("after-ms", c.Now().Sub(c.Settings.end(window))).Msg("window reported")
	return c.drop(ctx, g, window)
}

// keepWindows is how many closed windows stay written down.
const keepWindows = 12

// drop removes the figures of a window that nobody reports any more.
func (c *Closer) drop(ctx context.Context, g leaser.Grant, newest int64) error {
	tx := transactor.Tx{}
	var old []int64
	for window := range c.held.closed {
		if window <= newest-keepWindows && len(old) < maxDrops {
			tx = tx.WithDelete(windowKey(window))
			old = append(old, window)
		}
	}
	if len(old) < maxDrops/2 {
		return nil
	}
	if _, err := c.Table.Commit(ctx, g.Guard(tx)); err != nil {
		return err
	}
	for _, window := range old {
		delete(c.held.closed, window)
		delete(c.held.reported, window)
	}
	return nil
}

// maxDrops bounds the rows that one commit removes.
const maxDrops = 20
