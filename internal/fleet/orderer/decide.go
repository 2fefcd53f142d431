package orderer

import (
	"slices"
	"time"

	"foxtailflow.example/foxtailflow/internal/authority/leaser"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/engine/controller"
)

// step is the next step for one engine.
type step int

const (
	// idle: the engine matches its target, or nothing can be done.
	idle step = iota
	// wait: the next step is not possible yet.
	wait
	// confirm: record that the recorded order took effect.
	confirm
	// repeat: send the recorded order.
	repeat
	// drain: send no new requests to the engine.
	drain
	// restore: end the drain, so that the engine gets new requests again.
	restore
	// record: record and send a new order.
	record
	// replace: order another engine in place of this one.
	replace
)

var stepNames = [...]string{"idle", "wait", "confirm", "repeat", "drain", "restore", "record", "replace"}

// String returns the name of the step in log lines.
func (s step) String() string { return stepNames[s] }

const (
	// replaceAfter is the number of failed sends of one order after which an
	// engine is replaced.
	replaceAfter = 5
	// assumedConnectionLimit is used for an engine that checks fencing tokens and
	// has no connection limit configured. It bounds how long an order of this node
	// whose response was lost can still be in flight.
	assumedConnectionLimit = time.Minute
)

// decisionInput is everything that the decision for one engine depends on.
type decisionInput struct {
	now        time.Time
	deployment definer.Deployment
	grant      leaser.Grant
	status     engineStatus
	// reachable says that the state is recent.
	reachable bool
	target    Target
	// draining says that the engine gets no new requests, drained that none is
	// running either.
	draining bool
	drained  bool
	// unavailable is the number of engines of the deployment that are draining or
	// changing.
	unavailable int
}

// decide returns the next step for an engine and the order that the step is
// about.
func decide(in decisionInput) (step, controller.Order) {
	if in.status.pending() {
		return decidePending(in), in.status.record.Order
	}
	if !in.reachable {
		return idle, controller.Order{}
	}
	o, differs := nextOrder(in.target, in.status.state)
	switch {
	case !differs && in.draining:
		return restore, o
	case !differs:
		return idle, o
	case in.status.version > 0 && singleOrderOnly(in.deployment):
		return replace, o
	case !in.newOrderSafe():
		return wait, o
	case !in.draining && in.unavailable >= max(in.deployment.MaxUnavailable, 1):
		return wait, o
	case !in.draining:
		return drain, o
	case !in.drained:
		return wait, o
	}
	return record, o
}

// decidePending returns the next step for an engine with an unfinished recorded
// order.
func decidePending(in decisionInput) step {
	st := in.status
	switch {
	case in.reachable && st.state.LastOrderID == st.record.Order.ID:
		return confirm
	case in.reachable && st.state.Phase == "changing":
		return wait
	case singleOrderOnly(in.deployment) && st.neverSent(in.grant):
		return repeat
	case singleOrderOnly(in.deployment) || st.failures >= replaceAfter:
		return replace
	case !in.earlierHoldersDone():
		return wait
	}
	return repeat
}

// singleOrderOnly reports whether the engines of a deployment may get one order
// only: nothing bounds how late an order can arrive, so the first order could
// arrive after a second one.
func singleOrderOnly(d definer.Deployment) bool {
	return d.Fencing == definer.FencingIgnored && d.OrderConnectionLimit == 0
}

// earlierHoldersDone reports whether orders of earlier holders can no longer take
// effect. The first holder of a duty has no predecessor.
func (in decisionInput) earlierHoldersDone() bool {
	if in.deployment.Fencing != definer.FencingIgnored || in.grant.Token == 1 {
		return true
	}
	return in.grant.Age >= in.deployment.OrderConnectionLimit
}

// newOrderSafe reports whether an order different from all earlier ones may be
// sent. An order of this node whose response was lost has the same fencing token
// as the next one, so the engine cannot tell which is newer. The earlier order
// may be in flight until the connection limit has passed.
func (in decisionInput) newOrderSafe() bool {
	limit := in.deployment.OrderConnectionLimit
	if limit == 0 {
		limit = assumedConnectionLimit
	}
	lostResponseAt := in.status.lostResponseAt
	return in.earlierHoldersDone() && (lostResponseAt.IsZero() || in.now.Sub(lostResponseAt) >= limit)
}

// nextOrder returns the next order that an engine needs to reach its target, and
// false if it matches the target.
func nextOrder(t Target, s controller.State) (controller.Order, bool) {
	if t.Model != "" && !slices.Contains(s.Models, t.Model) {
		return controller.Order{Action: controller.LoadModel, Value: t.Model}, true
	}
	if t.Version != "" && t.Version != s.Version {
		return controller.Order{Action: controller.SetVersion, Value: t.Version}, true
	}
	for _, a := range t.Adapters {
		if !slices.Contains(s.Adapters, a) {
			return controller.Order{Action: controller.LoadAdapter, Value: a}, true
		}
	}
	if t.Role != "" && t.Role != s.Role {
		return controller.Order{Action: controller.SetRole, Value: t.Role}, true
	}
	return controller.Order{}, false
}
