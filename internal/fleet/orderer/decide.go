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
	// assumedConnectionLimit stands in for the connection limit of an engine that checks
	// fencing tokens and has no limit set: how long an own order whose answer
	// was lost may still be under way.
	assumedConnectionLimit = time.Minute
)

// engineView is everything that the decision about one engine depends on.
type engineView struct {
	now        time.Time
	deployment definer.Deployment
	grant      leaser.Grant
	status       engineStatus
	// reachable says that the state was read just now.
	reachable bool
	target    Target
	// draining, drained: new work is kept away; nothing runs any more.
	draining bool
	drained  bool
	// unavailable is the number of engines of the deployment that are draining or changing.
	unavailable int
}

// decide returns what to do about an engine, and the order if it is a new one.
func decide(v engineView) (step, speaker.Order) {
	if v.status.pending() {
		return decidePending(v), v.status.record.Order
	}
	if !v.reachable {
		return idle, speaker.Order{}
	}
	o, differs := nextOrder(v.target, v.status.state)
	switch {
	case !differs && v.draining:
		return restore, o
	case !differs:
		return idle, o
	case v.status.version > 0 && singleOrderOnly(v.deployment):
		return replace, o
	case !v.newOrderSafe():
		return wait, o
	case !v.draining && v.unavailable >= max(v.deployment.MaxAway, 1):
		return wait, o
	case !v.draining:
		return drain, o
	case !v.drained:
		return wait, o
	}
	return record, o
}

// decidePending finishes a recorded order before anything else.
func decidePending(v engineView) step {
	b := v.status
	switch {
	case v.reachable && b.state.LastOrder == b.record.Order.ID:
		return confirm
	case v.reachable && b.state.Phase == "changing":
		return wait
	case singleOrderOnly(v.deployment) && b.neverSent(v.grant):
		return repeat
	case singleOrderOnly(v.deployment) || b.failures >= replaceAfter:
		return replace
	case !v.earlierHoldersDone():
		return wait
	}
	return repeat
}

// singleOrderOnly reports whether nothing bounds how late an order can reach
// the engines of a deployment, so that a second one could be overtaken.
func singleOrderOnly(d definer.Deployment) bool {
	return d.Fencing == definer.FencingIgnored && d.OrderConnectionLimit == 0
}

// earlierHoldersDone reports whether no order of an earlier holder can have an
// effect any more. The first holder of a duty has no predecessor.
func (v engineView) earlierHoldersDone() bool {
	if v.deployment.Fencing != definer.FencingIgnored || v.grant.Token == 1 {
		return true
	}
	return v.now.Sub(v.grant.Taken) >= v.deployment.OrderConnectionLimit
}

// newOrderSafe reports whether an order different from all earlier ones may be
// sent. An order of this node whose answer was lost has the same fencing token
// as the next one, so the engine cannot tell which is newer; it may be under
// way until the connection limit has passed.
func (v engineView) newOrderSafe() bool {
	limit := v.deployment.OrderConnectionLimit
	if limit == 0 {
		limit = assumedConnectionLimit
	}
	lostResponseAt := v.status.lostResponseAt
	return v.earlierHoldersDone() && (lostResponseAt.IsZero() || v.now.Sub(lostResponseAt) >= limit)
}

// nextOrder returns the order that brings an engine nearer to its target.
func nextOrder(t Target, s speaker.State) (speaker.Order, bool) {
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
