// Package keeper provides the tables that workers share.
//
// A table maps keys to immutable values. A reader gets a copy of the value and
// never sees it change; a writer replaces the complete value under the lock of
// the table. Functions passed to a table run under that lock and must not block.
//
// A worker that needs two tables at once takes their locks in the order given
// in section 5 of docs/design.md. Each table has its rank in that order, for
// readers of the code and for its name in logs.
package keeper

import "sync"

// Rank is the position of a table in the lock order; lower ranks are locked
// first.
type Rank int

// The shared tables in lock order.
const (
	RankConfig Rank = iota + 1
	RankLeases
	RankEndpoints
	RankCacheIndex
	RankQueue
	RankAttempts
	RankClaims
)

// Table is a map of immutable values that workers share.
//
// The zero value is an empty table.
type Table[K comparable, V any] struct {
	// Rank is the position of the table in the lock order.
	Rank Rank

	mu   sync.RWMutex
	rows map[K]V
}

// Get returns the value of key.
func (t *Table[K, V]) Get(key K) (V, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	v, ok := t.rows[key]
	return v, ok
}

// Put sets the value of key.
func (t *Table[K, V]) Put(key K, v V) {
	t.Update(key, func(V, bool) (V, bool) { return v, true })
}

// Delete removes key.
func (t *Table[K, V]) Delete(key K) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.rows, key)
}

// Update replaces the value of key with the result of change.
//
// The change gets the current value and whether there is one. It returns the
// new value and whether to keep the row; false removes it.
func (t *Table[K, V]) Update(key K, change func(V, bool) (V, bool)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, ok := t.rows[key]
	v, keep := change(old, ok)
	if !keep {
		delete(t.rows, key)
		return
	}
	if t.rows == nil {
		t.rows = make(map[K]V)
	}
	t.rows[key] = v
}

// Len returns the number of rows.
func (t *Table[K, V]) Len() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.rows)
}

// Each calls visit for every row, in no particular order, until it returns
// false.
func (t *Table[K, V]) Each(visit func(K, V) bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for k, v := range t.rows {
		if !visit(k, v) {
			return
		}
	}
}

// Values returns a copy of all values, in no particular order.
func (t *Table[K, V]) Values() []V {
	t.mu.RLock()
	defer t.mu.RUnlock()
	vs := make([]V, 0, len(t.rows))
	for _, v := range t.rows {
		vs = append(vs, v)
	}
	return vs
}
