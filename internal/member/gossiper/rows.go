package gossiper

import (
	"context"
	"maps"
	"time"

	"github.com/go-faster/jx"
	"github.com/rs/zerolog"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/keeper"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/inner/messenger"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

const (
	// RowPrefix begins the keys of the node rows.
	RowPrefix = "node/"
	// RefreshEvery is the mean time between two writes of a node's own row.
	RefreshEvery = time.Minute
	// lostAfter is how long a row stands unrefreshed before its node counts as
	// lost: three refreshes.
	lostAfter = 3 * time.Minute
	// scanEvery is the time between two readings of the rows by one node; with
	// many nodes each reads less often, so that all together read about 9 pages
	// a second.
	scanEvery   = 10 * time.Second
	scanPerNode = 115 * time.Millisecond
	// firstScans follow each other without that delay: nodes that start together
	// read before the others have written, and would not find each other until
	// the next reading.
	firstScans = 10
)

// Roster is the list of the nodes that count for a majority.
type Roster interface {
	// MemberNames returns the names of the members.
	MemberNames() []string
	// Remove takes a member out.
	Remove(ctx context.Context, member string) error
}

// Rows keeps the rows of the nodes in the table.
//
// By its row a node is found by those that start, and missed when it is gone.
type Rows struct {
	Clock    timekeeper.Clock
	Log      zerolog.Logger
	Table    transactor.Table
	Gossiper *Gossiper
	Roster   Roster

	watch keeper.Cell[watch]
}

// watch is since when each row was seen at its present version.
//
// It is an immutable value; the With methods return changed copies.
type watch struct {
	rows map[string]watched
	// scanned is when the last reading began.
	scanned time.Time
	// scans counts the readings.
	scans int
}

// due reports whether it is time for the next reading.
func (w watch) due(now time.Time, nodes int) bool {
	if w.scans < firstScans {
		return true
	}
	return now.Sub(w.scanned) >= max(scanEvery, time.Duration(nodes)*scanPerNode)
}

type watched struct {
	version uint64
	since   time.Time
}

// WithScan returns a copy after a reading that began at a time.
//
// Version 0 stands for a row that is missing.
func (w watch) WithScan(versions map[string]uint64, at time.Time) watch {
	next := watch{rows: make(map[string]watched, len(versions)), scanned: at, scans: w.scans + 1}
	for key, version := range versions {
		now := watched{version: version, since: at}
		if before, ok := w.rows[key]; ok && before.version == version {
			now.since = before.since
		}
		next.rows[key] = now
	}
	return next
}

// Lost returns the keys that were seen unchanged for lostAfter.
func (w watch) Lost(now time.Time) []string {
	var keys []string
	for key, row := range w.rows {
		if now.Sub(row.since) >= lostAfter {
			keys = append(keys, key)
		}
	}
	return keys
}

// Refresh writes this node's row.
func (r *Rows) Refresh(ctx context.Context) error {
	s := r.Gossiper.Self
	_, err := r.Table.Commit(ctx, transactor.Tx{}.WithPut(RowPrefix+s.ID, encodeRow(s)))
	return err
}

// Leave deletes this node's row.
func (r *Rows) Leave(ctx context.Context) error {
	_, err := r.Table.Commit(ctx, transactor.Tx{}.WithDelete(RowPrefix+r.Gossiper.Self.ID))
	return err
}

// Scan reads the rows when it is time to, introduces their nodes, and removes
// those that are lost.
func (r *Rows) Scan(ctx context.Context) error {
	began := r.Clock.Now()
	w := r.watch.Get()
	if !w.due(began, r.Gossiper.peers.Len()) {
		return nil
	}
	rows, err := transactor.ScanAll(ctx, r.Table, RowPrefix)
	if err != nil {
		// While the store is away no node can refresh its row, so that all of
		// them get the whole time again once it is back.
		r.watch.Update(func(w watch) (watch, bool) { return watch{scanned: began, scans: w.scans + 1}, true })
		return err
	}
	versions := make(map[string]uint64, len(rows))
	members := make(map[string]string, len(rows))
	for _, row := range rows {
		s, err := decodeRow(row.Value)
		if err != nil {
			r.Log.Warn().Str("row", row.Key).Err(err).Msg("malformed node row")
			continue
		}
		versions[s.Member()] = row.Version
		members[s.Member()] = row.Key
		if s.ID != r.Gossiper.Self.ID {
			r.Gossiper.Introduce(s)
		}
	}
	for _, m := range r.Roster.MemberNames() {
		if _, ok := versions[m]; !ok {
			versions[m] = 0
		}
	}
	r.watch.Update(func(w watch) (watch, bool) {
		w = w.WithScan(versions, began)
		return w, true
	})
	return r.removeLost(ctx, began, members)
}

// removeLost takes out the nodes whose rows were not refreshed.
//
// A node that is still heard of stays: it is cut off from the store, but its
// statements still count.
func (r *Rows) removeLost(ctx context.Context, now time.Time, rowOf map[string]string) error {
	heard := make(map[string]bool)
	for _, s := range r.Gossiper.Statements() {
		heard[s.Member()] = r.Gossiper.Running(s)
	}
	heard[r.Gossiper.Self.Member()] = true
	w := r.watch.Get()
	for _, m := range w.Lost(now) {
		if heard[m] {
			continue
		}
		if err := r.Roster.Remove(ctx, m); err != nil {
			return err
		}
		// The row goes last, so that a failure in between is tried again.
		if key, ok := rowOf[m]; ok {
			tx := transactor.Tx{}.WithCheck(key, w.rows[m].version).WithDelete(key)
			if _, err := r.Table.Commit(ctx, tx); err != nil && !coder.Is(err, coder.PlatformConflict) {
				return err
			}
		}
		r.Log.Warn().Str("lost", m).Msg("node removed; its row was not refreshed")
		r.watch.Update(func(w watch) (watch, bool) {
			rows := maps.Clone(w.rows)
			delete(rows, m)
			return watch{rows: rows, scanned: w.scanned, scans: w.scans}, true
		})
	}
	return nil
}

func encodeRow(s messenger.State) []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("id", func(e *jx.Encoder) { e.Str(s.ID) })
		e.Field("peers-address", func(e *jx.Encoder) { e.Str(s.PeersAddress) })
		e.Field("operators-address", func(e *jx.Encoder) { e.Str(s.OperatorsAddress) })
		e.Field("data-centre", func(e *jx.Encoder) { e.Str(s.DataCentre) })
		e.Field("incarnation", func(e *jx.Encoder) { e.UInt64(s.Incarnation) })
	})
	return e.Bytes()
}

func decodeRow(data []byte) (s messenger.State, err error) {
	err = jx.DecodeBytes(data).Obj(func(d *jx.Decoder, name string) (err error) {
		switch name {
		case "id":
			s.ID, err = d.Str()
		case "peers-address":
			s.PeersAddress, err = d.Str()
		case "operators-address":
			s.OperatorsAddress, err = d.Str()
		case "data-centre":
			s.DataCentre, err = d.Str()
		case "incarnation":
			s.Incarnation, err = d.UInt64()
		default:
			err = d.Skip()
		}
		return err
	})
	if err == nil && s.ID == "" {
		err = coder.New(coder.Internal, "the row names no node")
	}
	return s, err
}
