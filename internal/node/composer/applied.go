package composer

import (
	"time"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/keeper"
	"foxtailflow.example/foxtailflow/internal/fleet/verifier"
	"foxtailflow.example/foxtailflow/internal/store/follower"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

// appliedTable is what the state of the node reflects of a table that it follows. Content
// that has arrived and is not applied yet counts for nothing: a node that is late may be
// between the two for long.
type appliedTable struct {
	follower *follower.Follower
	content  keeper.Cell[appliedContent]
}

// appliedContent is the version of the content that was applied last, and when the store
// confirmed it. It is an immutable value.
type appliedContent struct {
	version     transactor.Version
	confirmedAt time.Time
}

// set records that the content of a snapshot is applied.
func (t *appliedTable) set(s follower.Snapshot) {
	t.content.Update(func(appliedContent) (appliedContent, bool) {
		return appliedContent{version: s.ChangedVersion, confirmedAt: s.ConfirmedAt}, true
	})
}

// age returns how old the content is that is applied.
func (t *appliedTable) age(now time.Time) time.Duration {
	s, applied := t.follower.Snapshot(), t.content.Get()
	if s.ChangedVersion == applied.version {
		return s.Age(now)
	}
	return now.Sub(applied.confirmedAt)
}

// next returns a channel that is closed when the content may be younger.
func (t *appliedTable) next() <-chan struct{} {
	applied, next := t.content.Watch()
	if t.follower.Snapshot().ChangedVersion != applied.version {
		return next
	}
	return t.follower.Next()
}

// sendTime covers the time from the last check of a request to its arrival: writing it, and
// the queues of the links.
const sendTime = 300 * time.Millisecond

// freshness tells whether a table is young enough to serve requests by, if a change of it
// has to be known within a time; 0 means without a bound.
func (n *Node) freshness(t *appliedTable, notice time.Duration, code coder.Code) verifier.Freshness {
	maxAge := time.Duration(0)
	if notice > 0 {
		maxAge = max(notice-sendTime, maxContentAge)
	}
	return verifier.Freshness{
		Clock: n.clock, Next: t.next, MaxAge: maxAge, Code: code,
		State: func() verifier.State {
			s := t.follower.Snapshot()
			return verifier.State{Age: t.age(n.clock.Now()), InOutage: s.InOutage() || s.Unavailable() && n.unavailableToMost()}
		},
	}
}
