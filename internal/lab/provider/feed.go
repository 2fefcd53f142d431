package provider

import (
	"context"
	"strings"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

var _ transactor.Feed = (*Memory)(nil)

// Read returns a consistent snapshot of all rows with a prefix.
func (m *Memory) Read(ctx context.Context, prefix string) (transactor.Changes, error) {
	if err := m.admit(ctx, opTableRead); err != nil {
		return transactor.Changes{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.newChangesLocked()
	for key, row := range m.rows {
		if strings.HasPrefix(key, prefix) {
			c.Rows = append(c.Rows, row)
		}
	}
	return c, nil
}

// Watch returns the rows with a prefix that have changed after a version, as
// soon as there is one. It returns no rows if there is none within wait.
func (m *Memory) Watch(ctx context.Context, prefix string, after transactor.Version, wait time.Duration) (transactor.Changes, error) {
	if err := m.admit(ctx, opTableRead); err != nil {
		return transactor.Changes{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer m.Clock.AfterFunc(wait, cancel).Stop()
	for {
		c, next, err := m.changesSince(prefix, after)
		if err != nil || len(c.Rows) > 0 {
			return c, err
		}
		select {
		case <-next:
		case <-ctx.Done():
			return c, m.checkTable()
		}
	}
}

// changesSince returns the changes after a version, and a channel that is closed
// at the next change.
func (m *Memory) changesSince(prefix string, after transactor.Version) (transactor.Changes, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if after < m.droppedVersion {
		return transactor.Changes{}, nil, coder.Refuse(coder.HistoryGone, "changes after version %d are no longer kept", after)
	}
	c := m.newChangesLocked()
	for _, row := range m.changes {
		if row.Version > after && strings.HasPrefix(row.Key, prefix) {
			c.Rows = append(c.Rows, row)
		}
	}
	if m.changed == nil {
		m.changed = make(chan struct{})
	}
	return c, m.changed, nil
}

func (m *Memory) newChangesLocked() transactor.Changes {
	return transactor.Changes{Version: m.commits, StoreClock: time.Duration(m.Clock.Now().UnixNano())}
}

// checkTable returns an error while the fault TableDown is set.
func (m *Memory) checkTable() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.TableDown {
		return coder.Refuse(coder.PlatformUnavailable, "the platform is down")
	}
	return nil
}
