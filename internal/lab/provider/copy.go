package provider

import (
	"maps"

	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

// Copy is the content of the table at a time. It is an immutable value.
type Copy struct {
	rows    map[string]transactor.Row
	commits transactor.Version
}

// Copy returns the content of the table.
func (m *Memory) Copy() Copy {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Copy{rows: maps.Clone(m.rows), commits: m.commits}
}

// Restore brings the table back from a copy and begins an era: what was written since is
// gone, and the numbers of its commits are given out again.
func (m *Memory) Restore(c Copy) {
	m.mu.Lock()
	defer m.mu.Unlock()
	era := m.commits.Era() + 1
	m.commits = transactor.NewVersion(era, c.commits.Number())
	m.rows = make(map[string]transactor.Row, len(c.rows))
	for key, row := range c.rows {
		row.Version = transactor.NewVersion(era, row.Version.Number())
		m.rows[key] = row
	}
	m.changes, m.droppedVersion = nil, m.commits
	m.signalLocked()
}

// Era returns the era of the table.
func (m *Memory) Era() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.commits.Era()
}
