package orderer

import (
	"slices"
	"time"

	"foxtailflow.example/foxtailflow/internal/authority/leaser"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/engine/speaker"
)

// step is what is to be done next about one engine.
type step int

const (
	// idle: the engine is as it should be, or nothing can be done.
	idle step = iota
	// wait: something has to pass first.
	wait
	// confirm: the recorded order took effect; record that.
	confirm
	// repeat: send the recorded order.
	repeat
	// drain: keep new work away from the engine.
	drain
	// restore: let the engine have new work again.
	restore
	// record: record and send a new order.
	record
	// replace: order another engine in the place of this one.
	replace
)

var stepNames = [...]string{"idle", "wait", "confirm", "repeat", "drain", "restore", "record", "replace"}

// String returns the name of the step in log lines.
func (s step) String() string { return stepNames[s] }

const (
	// replaceAfter is the number of sendings of one order without effect after
	// which an engine is replaced.
	replaceAfter = 5
	// unknownLimit stands in for the connection limit of an engine that checks
	// fencing tokens and has no limit set: how long an own order whose answer
	// was lost may still be under way.
	unknownLimit = time.Minute
)

// view is everything that the decision about one engine depends on.
type view struct {
	now        time.Time
	deployment definer.Deployment
	grant      leaser.Grant
	book       book
	// reachable says that the state was read just now.
	reachable bool
	target    Target
	// draining, drained: new work is kept away; nothing runs any more.
	draining bool
	drained  bool
	// away is the number of engines of the deployment that are draining or changing.
	away int
}

// decide returns what to do about an engine, and the order if it is a new one.
func decide(v view) (step, speaker.Order) {
	if v.book.pending() {
		return decidePending(v), v.book.record.Order
	}
	if !v.reachable {
		return idle, speaker.Order{}
	}
	o, differs := difference(v.target, v.book.state)
	switch {
	case !differs && v.draining:
		return restore, o
	case !differs:
		return idle, o
	case v.book.version > 0 && noSecondOrder(v.deployment):
		return replace, o
	case !v.mayDiffer():
		return wait, o
	case !v.draining && v.away >= max(v.deployment.MaxAway, 1):
		return wait, o
	case !v.draining:
		return drain, o
	case !v.drained:
		return wait, o
	}
	return record, o
}

// decidePending finishes a recorded order before anything else.
func decidePending(v view) step {
	b := v.book
	switch {
	case v.reachable && b.state.LastOrder == b.record.Order.ID:
		return confirm
	case v.reachable && b.state.Phase == "changing":
		return wait
	case noSecondOrder(v.deployment) && b.neverSent(v.grant):
		return repeat
	case noSecondOrder(v.deployment) || b.failures >= replaceAfter:
		return replace
	case !v.takeoverSettled():
		return wait
	}
	return repeat
}

// noSecondOrder reports whether nothing bounds how late an order can reach
// the engines of a deployment, so that a second one could be overtaken.
func noSecondOrder(d definer.Deployment) bool {
	return d.Fencing == definer.FencingIgnored && d.OrderConnectionLimit == 0
}

// takeoverSettled reports whether no order of an earlier holder can have an
// effect any more. The first holder of a duty has no predecessor.
func (v view) takeoverSettled() bool {
	if v.deployment.Fencing != definer.FencingIgnored || v.grant.Token == 1 {
		return true
	}
	return v.now.Sub(v.grant.Taken) >= v.deployment.OrderConnectionLimit
}

// mayDiffer reports whether an order different from all earlier ones may be
// sent. An order of this node whose answer was lost has the same fencing token
// as the next one, so the engine cannot tell which is newer; it may be under
// way until the connection limit has passed.
func (v view) mayDiffer() bool {
	limit := v.deployment.OrderConnectionLimit
	if limit == 0 {
		limit = unknownLimit
	}
	unsure := v.book.unsureAt
	return v.takeoverSettled() && (unsure.IsZero() || v.now.Sub(unsure) >= limit)
}

// difference returns the order that brings an engine nearer to its target.
func difference(t Target, s speaker.State) (speaker.Order, bool) {
	if t.Model != "" && !slices.Contains(s.Models, t.Model) {
		return speaker.Order{Action: speaker.LoadModel, Value: t.Model}, true
	}
	if t.Version != "" && t.Version != s.Version {
		return speaker.Order{Action: speaker.SetVersion, Value: t.Version}, true
	}
	for _, a := range t.Adapters {
		if !slices.Contains(s.Adapters, a) {
			return speaker.Order{Action: speaker.LoadAdapter, Value: a}, true
		}
	}
	if t.Role != "" && t.Role != s.Role {
		return speaker.Order{Action: speaker.SetRole, Value: t.Role}, true
	}
	return speaker.Order{}, false
}
