// Package reporter closes windows of usage and reports them, each with one set
// of figures.
//
// The holder of the duty usage/GROUP closes a window in one commit that deletes
// the segment rows, inserts the window row with their sum and raises the head
// of the group. The commit is guarded by the lease, so a former holder closes
// nothing. Only what the window row holds is ever reported, so a repeat, by
// this node or the next holder, has the same figures; before a repeat the
// platform is asked whether it has the report.
package reporter

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"foxtailflow.example/foxtailflow/internal/authority/leaser"
	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/keeper"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
	"foxtailflow.example/foxtailflow/internal/usage/counter"
	"foxtailflow.example/foxtailflow/internal/usage/sealer"
)

// Reporter closes and reports the windows of the groups that this node has.
type Reporter struct {
	Clock  timekeeper.Clock
	Log    zerolog.Logger
	Table  transactor.Table
	Leases leaser.Holder
	// Reports returns the receiver of reports for calls that are fenced by the
	// grant: checked after the dial, written once, never sent again.
	Reports func(g leaser.Grant) counter.Reports
	// Groups returns the number of groups, Window the length of a window.
	Groups func() int
	Window func() time.Duration
	// PlatformLimit is how long the platform keeps a connection open on which
	// no whole report arrives.
	PlatformLimit time.Duration
	// states is what this node knows of the groups.
	states keeper.Table[int, state]
}

// state is what the reporter remembers of a group between two passes. It only
// saves calls: a new holder starts with none.
type state struct {
	// sent is the window whose report may have been sent by this node.
	sent uint64
	// closed is the window that this node closed last, so that no other node
	// can have reported it.
	closed uint64
	// more says that the last window left segments over.
	more bool
	// idleUntil is when there is something to do again.
	idleUntil time.Time
}

// Duty returns the name of the duty of a group.
func Duty(group int) string { return "usage/" + number(uint64(group)) }

// Run makes one pass over all groups that this node has.
func (r *Reporter) Run(ctx context.Context) error {
	var failure error
	for group := range r.Groups() {
		g, ok := r.Leases.Grant(Duty(group))
		if !ok {
			r.states.Delete(group)
			continue
		}
		// A group whose report fails must not hold up the others.
		if err := r.pass(ctx, group, g); err != nil {
			failure = err
		}
	}
	return failure
}

func (r *Reporter) pass(ctx context.Context, group int, g leaser.Grant) error {
	now := r.Clock.Now()
	if s, _ := r.states.Get(group); now.Before(s.idleUntil) {
		return nil
	}
	h, err := r.head(ctx, group)
	if err != nil {
		return err
	}
	if h, err = r.report(ctx, group, g, h); err != nil {
		return err
	}
	s, _ := r.states.Get(group)
	if due := h.at.Add(r.Window()); now.Before(due) && !s.more {
		r.idle(group, due)
		return nil
	}
	closed, err := r.close(ctx, group, g, h)
	if err == nil && !closed {
		r.idle(group, now.Add(r.Window()/emptyLooks))
	}
	return err
}

// emptyLooks is how often in the length of a window a group without usage is
// looked at.
const emptyLooks = 4

func (r *Reporter) idle(group int, until time.Time) {
	r.states.Update(group, func(s state, _ bool) (state, bool) {
		s.idleUntil = until
		return s, true
	})
}

// head reads the head of a group; a group without one has closed no window.
func (r *Reporter) head(ctx context.Context, group int) (head, error) {
	row, err := r.Table.Get(ctx, headKey(group))
	if coder.Is(err, coder.RowUnknown) {
		return head{}, nil
	}
	if err != nil {
		return head{}, err
	}
	h, err := decodeHead(row.Value)
	h.version = row.Version
	return h, err
}

const (
	// segmentsAtOnce bounds the segment rows of one window, so that its commit
	// has a bounded size; the others fall into the next window.
	segmentsAtOnce = 500
	// maxFigures bounds the figures of one window in bytes: a fenced request
	// has at most 16 KiB.
	maxFigures = 12 << 10
)

// keepWindows is how long the row of a window is kept.
const keepWindows = 90 * 24 * time.Hour

// close closes the next window of a group and reports whether there was any
// usage to close it with.
func (r *Reporter) close(ctx context.Context, group int, g leaser.Grant, h head) (bool, error) {
	rows, err := r.Table.Scan(ctx, sealer.SegmentPrefix(group), "", segmentsAtOnce)
	if err != nil || len(rows) == 0 {
		return false, err
	}
	tx := g.Guard(transactor.Tx{})
	var parts [][]counter.Figures
	for _, row := range rows {
		figures, err := sealer.DecodeFigures(row.Value)
		if err != nil {
			return false, err
		}
		if sum := counter.Sum(append(parts, figures)...); len(parts) > 0 && len(sealer.EncodeFigures(sum)) > maxFigures {
			break
		}
		parts = append(parts, figures)
		tx = tx.WithCheck(row.Key, row.Version).WithDelete(row.Key)
	}
	now := r.Clock.Now()
	next := head{closed: h.closed + 1, reported: h.reported, kept: h.kept, at: now}
	w := window{figures: counter.Sum(parts...), at: now}
	tx = tx.WithAbsent(windowKey(group, next.closed)).WithPut(windowKey(group, next.closed), encodeWindow(w))
	tx, next = r.purge(ctx, group, tx, next)
	tx = tx.WithCheck(headKey(group), h.version).WithPut(headKey(group), encodeHead(next))
	if err := r.Leases.Check(g); err != nil {
		return false, err
	}
	// After a lost answer the next pass reads the head before anything else.
	if _, err := r.Table.Commit(ctx, tx); err != nil {
		return false, err
	}
	r.states.Update(group, func(s state, _ bool) (state, bool) {
		s.closed, s.more = next.closed, len(parts) < len(rows) || len(rows) == segmentsAtOnce
		return s, true
	})
	r.Log.Info().Int("group", group).Uint64("window", next.closed).Int("segments", len(parts)).Msg("usage window closed")
	return true, nil
}

// purge adds the removal of the oldest window to a transaction, once it is old.
func (r *Reporter) purge(ctx context.Context, group int, tx transactor.Tx, h head) (transactor.Tx, head) {
	if h.kept >= h.reported {
		return tx, h
	}
	row, err := r.Table.Get(ctx, windowKey(group, h.kept+1))
	if coder.Is(err, coder.RowUnknown) {
		h.kept++
		return tx, h
	}
	if err != nil {
		return tx, h
	}
	if w, err := decodeWindow(row.Value); err == nil && r.Clock.Now().Sub(w.at) > keepWindows {
		h.kept++
		tx = tx.WithCheck(row.Key, row.Version).WithDelete(row.Key)
	}
	return tx, h
}

// settled reports whether no report of an earlier holder can be under way any
// more: the connection on which one was held up by a pause is closed by then.
// The first holder of a duty has no predecessor.
func (r *Reporter) settled(g leaser.Grant) bool {
	return g.Token <= 1 || r.Clock.Now().Sub(g.Taken) >= r.PlatformLimit
}

// report sends the closed windows that are not known to be reported, in order.
func (r *Reporter) report(ctx context.Context, group int, g leaser.Grant, h head) (head, error) {
	if !r.settled(g) {
		return h, nil
	}
	for h.reported < h.closed {
		sequence := h.reported + 1
		row, err := r.Table.Get(ctx, windowKey(group, sequence))
		if err != nil {
			return h, err
		}
		w, err := decodeWindow(row.Value)
		if err != nil {
			return h, err
		}
		if err := r.send(ctx, group, g, sequence, w); err != nil {
			return h, err
		}
		next := h
		next.reported = sequence
		tx := g.Guard(transactor.Tx{}).WithCheck(headKey(group), h.version).WithPut(headKey(group), encodeHead(next))
		if next.version, err = r.Table.Commit(ctx, tx); err != nil {
			return h, err
		}
		h = next
	}
	return h, nil
}

// send makes sure that the platform has the report of a window.
func (r *Reporter) send(ctx context.Context, group int, g leaser.Grant, sequence uint64, w window) error {
	reports := r.Reports(g)
	id := reportID(group, sequence)
	s, _ := r.states.Get(group)
	if s.closed != sequence || s.sent == sequence {
		received, err := reports.Reported(ctx, id)
		if err != nil || received {
			return err
		}
	}
	if err := r.Leases.Check(g); err != nil {
		return err
	}
	s.sent = sequence
	r.states.Put(group, s)
	return reports.Report(ctx, counter.UsageReport{ID: id, FencingToken: g.Token, Figures: w.figures})
}
