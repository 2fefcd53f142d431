package collector

import (
	"slices"
	"time"

	"foxtailflow.example/foxtailflow/internal/inner/courier"
	"foxtailflow.example/foxtailflow/internal/member/registrar"
)

// unlistedNodes has the nodes that have joined this one, by their identifiers, until
// their rows are read.
type unlistedNodes map[string]joinedNode

// joinedNode is a start of a node and when it sent its last update.
type joinedNode struct {
	incarnation uint64
	updatedAt   time.Time
}

// registerTimeout is how long after its last update a node that runs has a row.
const registerTimeout = 5 * time.Second

// record records the update of a node.
func (l *unlistedNodes) record(u courier.NodeUpdate, now time.Time) {
	if *l == nil {
		*l = make(unlistedNodes)
	}
	(*l)[u.Node] = joinedNode{incarnation: u.Incarnation, updatedAt: now}
}

// Unlisted returns the number of nodes that have joined this one and whose rows it has
// not read, as of a time at which its copy of the rows was that of the store.
//
// A node that is cut off when others have just started does not get their rows, but
// must not take those that it has for all nodes.
func (c *Collector) Unlisted(confirmedAt time.Time) (count int) {
	rows := c.Nodes.Nodes()
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, n := range c.unlisted {
		switch {
		case confirmedAt.Sub(n.updatedAt) > registerTimeout, c.Nodes.WasListed(id, n.incarnation):
			delete(c.unlisted, id)
		case !slices.ContainsFunc(rows, func(row registrar.Node) bool { return row.ID == id }):
			count++
		}
	}
	return count
}
