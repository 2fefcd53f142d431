// Package ledger holds the usage counts of the nodes by usage window and meter.
//
// Each start of a node has counts of its own, which only grow. Counts that arrive
// twice, late or through another node are therefore merged by taking the maximum.
// The usage of a window is the sum over all starts of all nodes.
package ledger

import (
	"cmp"
	"slices"
	"sync"

	"foxtailflow.example/foxtailflow/internal/inner/courier"
)

// Ledger holds the counts that a node knows.
type Ledger struct {
	// Self names this start of this node.
	Self string

	mu       sync.Mutex
	revision uint64
	rows     map[key]*row
}

type key struct {
	window int64
	node   string
}

// row is what one node has counted in one window.
type row struct {
	counts map[courier.Meter]int
	// revision is that of the ledger when the row last changed.
	revision uint64
	// local means that the node is in this node's data centre.
	local bool
}

// Count adds to a meter of this node in a window.
func (l *Ledger) Count(window int64, m courier.Meter, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.row(key{window: window, node: l.Self}, true)
	r.counts[m] += n
	l.revision++
	r.revision = l.revision
}

// row returns a row and creates it if it does not exist; the caller holds the
// lock.
func (l *Ledger) row(k key, local bool) *row {
	if l.rows == nil {
		l.rows = make(map[key]*row)
	}
	r, ok := l.rows[k]
	if !ok {
		r = &row{counts: make(map[courier.Meter]int), local: local}
		l.rows[k] = r
	}
	return r
}

// Merge takes counts of other nodes; local means that these nodes are in this data
// centre.
func (l *Ledger) Merge(counts []courier.NodeUsage, local bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, u := range counts {
		r := l.row(key{window: u.Window, node: u.Node}, local)
		// A row that was first read from the store may be of this data centre.
		changed := local && !r.local
		r.local = r.local || local
		for _, c := range u.Counts {
			if c.Count > r.counts[c.Meter] {
				r.counts[c.Meter], changed = c.Count, true
			}
		}
		if changed {
			l.revision++
			r.revision = l.revision
		}
	}
}

// ChangedSince returns the counts of the nodes of this data centre that have
// changed after a revision, and the current revision. With own set it returns
// only this node's counts.
//
// For revision 0 it includes the counts of other data centres, as the receiver may
// have lost those of its own.
func (l *Ledger) ChangedSince(revision uint64, own bool) ([]courier.NodeUsage, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.revision == revision {
		return nil, revision
	}
	var out []courier.NodeUsage
	for k, r := range l.rows {
		if r.revision > revision && (revision == 0 || r.local) && (!own || k.node == l.Self) {
			out = append(out, usage(k, r))
		}
	}
	return sorted(out), l.revision
}

// Window returns the counts of a window by node.
func (l *Ledger) Window(window int64) []courier.NodeUsage {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []courier.NodeUsage
	for k, r := range l.rows {
		if k.window == window {
			out = append(out, usage(k, r))
		}
	}
	return sorted(out)
}

// Total returns the counts of a window over all nodes.
func (l *Ledger) Total(window int64) map[courier.Meter]int {
	total := make(map[courier.Meter]int)
	for _, u := range l.Window(window) {
		for _, c := range u.Counts {
			total[c.Meter] += c.Count
		}
	}
	return total
}

// Windows returns the windows that have counts, in order.
func (l *Ledger) Windows() []int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	var windows []int64
	for k := range l.rows {
		windows = append(windows, k.window)
	}
	slices.Sort(windows)
	return slices.Compact(windows)
}

// DropBefore drops the windows before one.
func (l *Ledger) DropBefore(before int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for k := range l.rows {
		if k.window < before {
			delete(l.rows, k)
		}
	}
}

func usage(k key, r *row) courier.NodeUsage {
	u := courier.NodeUsage{Node: k.node, Window: k.window}
	for m, n := range r.counts {
		u.Counts = append(u.Counts, courier.MeterCount{Meter: m, Count: n})
	}
	slices.SortFunc(u.Counts, func(a, b courier.MeterCount) int { return a.Meter.Compare(b.Meter) })
	return u
}

func sorted(us []courier.NodeUsage) []courier.NodeUsage {
	slices.SortFunc(us, func(a, b courier.NodeUsage) int {
		if n := cmp.Compare(a.Window, b.Window); n != 0 {
			return n
		}
		return cmp.Compare(a.Node, b.Node)
	})
	return us
}
