// Package director sends the orders that bring the endpoints of deployments to
// their target numbers and roles.
//
// Only the holder of a deployment's duty sends orders, under its lease and with
// its fencing token. A policy computes the target numbers and roles from the list
// of endpoints, and the director orders the differences. The list eventually shows
// which orders have taken effect, so an order whose response was lost needs no
// record: it is sent again if the list does not show it in time. A role order
// names the engine's start and the number of orders that the engine has accepted,
// so that an order that arrives late cannot take effect after a newer one.
package director

import (
	"context"
	"math"
	"time"

	"github.com/rs/zerolog"

	"foxtailflow.example/foxtailflow/internal/authority/leaser"
	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/keeper"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/decision/explainer"
	"foxtailflow.example/foxtailflow/internal/decision/picker"
)

// Duty returns the name of the duty of directing the endpoints of a deployment.
func Duty(deployment string) string { return "fleet-" + deployment }

// Count is the target number of endpoints of a tier in a data centre.
type Count struct {
	DataCentre string
	Tier       definer.Tier
	Target     int
}

// RoleTarget is the target role of an engine.
type RoleTarget struct {
	Engine picker.Endpoint
	Role   picker.Role
}

// State is the input of a Policy.
type State struct {
	Deployment definer.Deployment
	Endpoints  []picker.Endpoint
	// SpotRefused has the data centres in which the supplier had no spot
	// endpoints at the last order.
	SpotRefused map[string]bool
	// Responses has the number of responses in progress by the data centre of the
	// decode engine, smoothed so that a short decline has little effect.
	Responses map[string]float64
	Now       time.Time
}

// idle reports whether no endpoint has a request in flight.
func (s State) idle() bool {
	for _, e := range s.Endpoints {
		if e.Sent+e.RemoteLoad.Requests > 0 {
			return false
		}
	}
	return true
}

// live returns the number of endpoints of a tier in a data centre that are not
// leaving.
func (s State) live(dataCentre string, tier definer.Tier) int {
	n := 0
	for _, e := range s.Endpoints {
		if e.DataCentre == dataCentre && e.Tier == tier && picker.UnavailableReason(e) != picker.ReasonLeaving {
			n++
		}
	}
	return n
}

// Policy decides on the target numbers and roles. It is a pure function of its
// arguments.
type Policy interface {
	// Counts returns the target numbers. Tiers and data centres that are not
	// returned stay as they are.
	Counts(s State) []Count
	// Roles returns the engines whose role should change, the most urgent first.
	Roles(s State) []RoleTarget
}

// Supplier takes orders for numbers of endpoints.
type Supplier interface {
	// SetCount orders the number of endpoints of a tier in a data centre. It
	// fails with StaleFencing if a later holder has sent an order, and with
	// NoEndpoint if no endpoints are available.
	SetCount(ctx context.Context, g leaser.Grant, deployment string, c Count) error
}

// Engines takes role orders.
type Engines interface {
	// AcceptedOrders returns the number of orders that an engine has accepted.
	AcceptedOrders(ctx context.Context, e picker.Endpoint) (uint64, error)
	// SetRole orders a role. It has no effect if the engine has accepted another
	// order since the given number was read.
	SetRole(ctx context.Context, g leaser.Grant, e picker.Endpoint, role picker.Role, accepted uint64) error
}

// The times of orders.
const (
	// spotRetryDelay is the delay before spot endpoints are ordered again in a data
	// centre that had none.
	spotRetryDelay = 3 * time.Second
	// resendAfter is the time after which an order for endpoints that does not show
	// in the list is sent again, in addition to the start time of an endpoint. The
	// order may have been lost or only partly fulfilled.
	resendAfter = 1500 * time.Millisecond
	// propagationDelay is how long an engine gets no new requests before its role
	// is ordered, so that all nodes know of the change.
	propagationDelay = 900 * time.Millisecond
	// roleChangeSlack is how long a role change may take to show in the list, in
	// addition to the time for which the engine is unavailable.
	roleChangeSlack = 3 * time.Second
	// roleChangeDivisor limits the engines of a deployment that change roles at
	// the same time to one in so many.
	roleChangeDivisor = 3
)

// Director directs the deployments whose duty this node holds.
type Director[P Policy] struct {
	Clock     timekeeper.Clock
	Log       zerolog.Logger
	Leases    leaser.Holder
	Config    func() (definer.Config, error)
	Endpoints func(deployment string) []picker.Endpoint
	Supplier  Supplier
	Engines   Engines
	Policy    P
	// TakeoverDelay is how long a new holder sends no orders after a takeover, where
	// the receivers do not check fencing tokens: one that has responded to no order of
	// the former holder may still execute it. The first holder has no predecessor.
	TakeoverDelay time.Duration

	states   map[string]*holderState
	changing keeper.Cell[map[string]bool]
}

// holderState is the state that the holder of a deployment's duty keeps.
type holderState struct {
	// token is the fencing token of the tenure.
	token uint64
	// superseded says that an order was refused because of a newer fencing token:
	// another node has taken the duty over, even if the lease of this node is
	// still valid.
	superseded bool
	// ordered has the numbers that were ordered last.
	ordered map[placement]orderedCount
	// refusedAt has the time of the last refusal by data centre.
	refusedAt map[string]time.Time
	// changing has the engines whose role is being changed.
	changing map[string]roleChange
	// responses has the smoothed number of responses in progress by data centre,
	// as of at.
	responses map[string]float64
	at        time.Time
}

type placement struct {
	dataCentre string
	tier       definer.Tier
}

type orderedCount struct {
	target int
	at     time.Time
}

type roleChange struct {
	role picker.Role
	// at is the time at which the engine was chosen or, if ordered is set, its
	// order was sent.
	at      time.Time
	ordered bool
}

// Duties returns the duties of a configuration: one for each deployment whose
// numbers or roles can be ordered.
func Duties(c definer.Config) []string {
	var duties []string
	for _, d := range c.Deployments() {
		if directed(d) {
			duties = append(duties, Duty(d.Name))
		}
	}
	return duties
}

func directed(d definer.Deployment) bool { return len(d.Placements) > 0 || d.Engine.HandleTTL > 0 }

// Run directs each deployment once. A task runs it repeatedly.
func (r *Director[P]) Run(ctx context.Context) error {
	cfg, err := r.Config()
	if err != nil {
		return nil
	}
	for _, d := range cfg.Deployments() {
		if !directed(d) {
			continue
		}
		g, ok := r.Leases.Grant(Duty(d.Name))
		if !ok {
			delete(r.states, d.Name)
			r.publish()
			continue
		}
		if err := r.direct(ctx, g, d); err != nil {
			r.Log.Warn().Str("deployment", d.Name).Err(err).Msg("cannot send orders")
		}
	}
	return nil
}

// state returns the state of a deployment since the takeover.
func (r *Director[P]) state(g leaser.Grant, deployment string) *holderState {
	if r.states == nil {
		r.states = make(map[string]*holderState)
	}
	st, ok := r.states[deployment]
	if !ok || st.token != g.Token {
		st = &holderState{
			token:     g.Token,
			ordered:   make(map[placement]orderedCount),
			refusedAt: make(map[string]time.Time),
			changing:  make(map[string]roleChange),
		}
		r.states[deployment] = st
		r.publish()
	}
	return st
}

func (r *Director[P]) direct(ctx context.Context, g leaser.Grant, d definer.Deployment) error {
	now := r.Clock.Now()
	st := r.state(g, d.Name)
	if st.superseded {
		return nil
	}
	s := State{Deployment: d, Endpoints: r.Endpoints(d.Name), Now: now, SpotRefused: make(map[string]bool)}
	for dc := range st.refusedAt {
		s.SpotRefused[dc] = true
	}
	s.Responses = st.smoothResponses(s)
	err := r.sendOrders(ctx, g, st, s)
	st.superseded = coder.Is(err, coder.StaleFencing)
	return err
}

// sendOrders sends the orders that are due.
func (r *Director[P]) sendOrders(ctx context.Context, g leaser.Grant, st *holderState, s State) error {
	if s.Deployment.Fencing != definer.FencingChecked && g.Token > 1 && g.Age < r.TakeoverDelay {
		return nil
	}
	if len(s.Deployment.Placements) > 0 {
		if err := r.orderCounts(ctx, g, st, s); err != nil {
			return err
		}
	}
	return r.orderRoles(ctx, g, st, s)
}

// responseDecay is the time constant with which the smoothed number of responses
// in progress declines. A role change does not pay off for shorter declines.
const responseDecay = 8 * time.Second

// maxOccupancy bounds the responses that count at an engine, as a multiple of its slots. What
// is queued beyond that comes from a short peak, and would turn most prefill engines into
// decode engines.
const maxOccupancy = 1.5

// smoothResponses returns the number of responses in progress by data centre. An
// increase counts at once, a decline gradually.
func (st *holderState) smoothResponses(s State) map[string]float64 {
	now := make(map[string]float64)
	for _, e := range s.Endpoints {
		if e.Report.Role == picker.Decode {
			n := float64(e.Sent + e.RemoteLoad.Requests)
			if slots := s.Deployment.Slots; slots > 0 {
				n = min(n, maxOccupancy*float64(slots))
			}
			now[e.DataCentre] += n
		}
	}
	decay := math.Exp(-float64(s.Now.Sub(st.at)) / float64(responseDecay))
	for dc, before := range st.responses {
		now[dc] = max(now[dc], before*decay)
	}
	st.responses, st.at = now, s.Now
	return now
}

// orderCounts orders the target numbers that have not been ordered yet, or whose
// order must be sent again.
func (r *Director[P]) orderCounts(ctx context.Context, g leaser.Grant, st *holderState, s State) error {
	for _, c := range r.Policy.Counts(s) {
		p := placement{dataCentre: c.DataCentre, tier: c.Tier}
		if c.Tier == definer.Spot && s.Now.Sub(st.refusedAt[c.DataCentre]) < spotRetryDelay {
			continue
		}
		last, ok := st.ordered[p]
		shown := s.live(c.DataCentre, c.Tier) == c.Target
		if ok && last.target == c.Target && (shown || s.Now.Sub(last.at) < resendAfter+s.Deployment.BootTime) {
			continue
		}
		err := r.Supplier.SetCount(ctx, g, s.Deployment.Name, c)
		explainer.LogFleetOrder(r.Log, s.Deployment.Name, c.DataCentre, string(c.Tier), c.Target, g.Token, err)
		switch {
		case coder.Is(err, coder.NoEndpoint):
			st.refusedAt[c.DataCentre] = r.Clock.Now()
		case coder.Is(err, coder.StaleFencing), coder.Is(err, coder.LeaseNotHeld):
			return err
		case err != nil:
			// The order may still take effect, which the list will show.
			delete(st.ordered, p)
			return err
		default:
			st.ordered[p] = orderedCount{target: c.Target, at: s.Now}
			if c.Tier == definer.Spot {
				delete(st.refusedAt, c.DataCentre)
			}
		}
	}
	return nil
}

// orderRoles orders the target roles for a limited number of engines at a time.
//
// An engine gets no new requests first. Its order follows once all nodes have had
// time to learn of the change.
func (r *Director[P]) orderRoles(ctx context.Context, g leaser.Grant, st *holderState, s State) error {
	targets := make(map[string]picker.Role)
	for _, w := range r.Policy.Roles(s) {
		targets[w.Engine.ID] = w.Role
	}
	for id, c := range st.changing {
		if st.finished(c, s, id, targets) {
			delete(st.changing, id)
		}
	}
	limit := max(len(s.Endpoints)/roleChangeDivisor, 1)
	for _, e := range s.Endpoints {
		role, ok := targets[e.ID]
		if _, inProgress := st.changing[e.ID]; ok && !inProgress && len(st.changing) < limit {
			st.changing[e.ID] = roleChange{role: role, at: s.Now}
		}
	}
	r.publish()
	for _, e := range s.Endpoints {
		c, ok := st.changing[e.ID]
		if !ok || c.ordered || s.Now.Sub(c.at) < propagationDelay && !s.idle() {
			continue
		}
		err := r.setRole(ctx, g, s, e, c.role)
		if coder.Is(err, coder.LeaseNotHeld) {
			// It was not sent.
			return err
		}
		c.ordered, c.at = true, s.Now
		st.changing[e.ID] = c
		if err != nil {
			return err
		}
	}
	return nil
}

// finished reports whether a role change is complete, obsolete or timed out.
func (st *holderState) finished(c roleChange, s State, id string, targets map[string]picker.Role) bool {
	for _, e := range s.Endpoints {
		if e.ID != id {
			continue
		}
		if !c.ordered {
			return targets[id] != c.role && e.Report.Role != c.role
		}
		return e.Report.Role == c.role || s.Now.Sub(c.at) > s.Deployment.RoleChangeTime+roleChangeSlack
	}
	return true
}

// setRole sends the role order for one engine.
func (r *Director[P]) setRole(ctx context.Context, g leaser.Grant, s State, e picker.Endpoint, role picker.Role) error {
	accepted, err := r.Engines.AcceptedOrders(ctx, e)
	if err != nil {
		return err
	}
	err = r.Engines.SetRole(ctx, g, e, role, accepted)
	explainer.LogRoleOrder(r.Log, s.Deployment.Name, e.ID, string(e.Report.Role), string(role), g.Token, err)
	if coder.Is(err, coder.StaleFencing) || coder.Is(err, coder.LeaseNotHeld) {
		return err
	}
	return nil
}

// Changing returns the engines whose role this node is changing.
func (r *Director[P]) Changing() map[string]bool { return r.changing.Get() }

// publish updates the result of Changing.
func (r *Director[P]) publish() {
	changing := make(map[string]bool)
	for _, st := range r.states {
		for id := range st.changing {
			changing[id] = true
		}
	}
	r.changing.Update(func(map[string]bool) (map[string]bool, bool) { return changing, true })
}
