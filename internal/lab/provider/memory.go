// Package provider is a stand-in for the platform.
//
// Memory is the table and the receivers of orders and reports in one value, kept
// in memory; the running VMs are rows of the table. Server serves it over HTTP as
// its own process. Faults are set by name: delays, outages, rate limits, tiers
// that are not available, and requests or responses that are lost, before or
// after the call has taken effect. The stand-in records what it receives, so that
// a test can check what really arrived.
package provider

import (
	"context"
	"fmt"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/fleet/supplier"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
	"foxtailflow.example/foxtailflow/internal/usage/biller"
)

// Memory is a platform kept in memory.
type Memory struct {
	// Clock times delays, rate limits and the lag of VM rows; it must be set.
	Clock timekeeper.Clock
	// VMRowLag is the time after which a change of the VMs shows in their rows.
	VMRowLag time.Duration
	// RefuseStale makes the receivers of orders refuse an old fencing token.
	RefuseStale bool
	// ReadsPerSecond and WritesPerSecond are the rate limits of the table;
	// 0 means no limit.
	ReadsPerSecond  int
	WritesPerSecond int
	// WeightsRate is the rate of the weight store in bytes per second, which all
	// fetches share; 0 means no limit.
	WeightsRate int
	// OrderDelay is the time from an order for endpoints to their listing.
	OrderDelay time.Duration
	// NoticePeriod is the time that a withdrawn VM stays listed as leaving.
	NoticePeriod time.Duration
	// SpareVMs are VMs that orders can deliver; callers must not change it later.
	SpareVMs []supplier.VM

	mu      sync.Mutex
	commits transactor.Version
	rows    map[string]transactor.Row
	// changes holds the newest changes in their order, changed is closed at the
	// next one, and droppedVersion is the newest version dropped from changes.
	changes        []transactor.Row
	changed        chan struct{}
	droppedVersion transactor.Version
	vms            []supplier.VM
	orders         map[string]supplier.EndpointOrder
	reports        map[string]biller.Report
	fencingTokens  map[string]uint64
	faults         Faults
	record         []string
	reads          int64
	writes         int64
	// readLimit and writeLimit hold the buckets of the rate limits.
	readLimit  rateLimit
	writeLimit rateLimit
	// weightsFreeAt is the time at which the weight store has served all
	// fetches so far.
	weightsFreeAt time.Time
}

// Counts returns how many reads and writes the table served.
func (m *Memory) Counts() (reads, writes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reads, m.writes
}

// Record returns the log of what the platform received and did.
func (m *Memory) Record() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.record)
}

func (m *Memory) recordLockedf(format string, args ...any) {
	m.record = append(m.record, fmt.Sprintf(format, args...))
}

// Get returns a row.
func (m *Memory) Get(ctx context.Context, key string) (transactor.Row, error) {
	if err := m.admit(ctx, opTableRead); err != nil {
		return transactor.Row{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.rows[key]
	if !ok {
		return transactor.Row{}, coder.Refuse(coder.RowUnknown, "no row %q", key)
	}
	return r, nil
}

// Scan returns rows in the order of their keys.
func (m *Memory) Scan(ctx context.Context, prefix, after string, limit int) ([]transactor.Row, error) {
	if err := m.admit(ctx, opTableRead); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var keys []string
	for k := range m.rows {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	if limit > 0 && len(keys) > limit {
		keys = keys[:limit]
	}
	rows := make([]transactor.Row, 0, len(keys))
	for _, k := range keys {
		rows = append(rows, m.rows[k])
	}
	return rows, nil
}

// Commit runs a transaction and returns its version.
func (m *Memory) Commit(ctx context.Context, tx transactor.Tx) (transactor.Version, error) {
	if err := m.admit(ctx, opTableWrite); err != nil {
		return 0, err
	}
	version, err := m.commit(tx)
	if err != nil {
		return 0, err
	}
	return version, m.simulateLostResponse(ctx)
}

func (m *Memory) commit(tx transactor.Tx) (transactor.Version, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range tx.Checks() {
		if version := m.rows[c.Key].Version; version != c.Version {
			return 0, coder.Refuse(coder.PlatformConflict, "row %q has version %d, not %d", c.Key, version, c.Version)
		}
	}
	m.writeLocked(tx.Writes())
	return m.commits, nil
}

// maxChanges is the number of past changes that a watch can return.
const maxChanges = 10_000

// writeLocked applies the writes of one commit.
func (m *Memory) writeLocked(writes []transactor.Write) {
	m.commits++
	if m.rows == nil {
		m.rows = make(map[string]transactor.Row)
	}
	for _, w := range writes {
		row := transactor.Row{Key: w.Key, Value: slices.Clone(w.Value), Version: m.commits, Deleted: w.Delete}
		m.changes = append(m.changes, row)
		if w.Delete {
			delete(m.rows, w.Key)
			continue
		}
		m.rows[w.Key] = row
	}
	if excess := len(m.changes) - maxChanges; excess > 0 {
		m.droppedVersion = m.changes[excess-1].Version
		m.changes = slices.Clone(m.changes[excess:])
	}
	m.signalLocked()
}

// signalLocked wakes the watches.
func (m *Memory) signalLocked() {
	if m.changed != nil {
		close(m.changed)
		m.changed = nil
	}
}
