// Package director brings the endpoints of deployments to what is wanted.
//
// Only the holder of a deployment's duty orders, under its lease and with its
// fencing token. A decision on numbers and a decision on roles say what is
// wanted from what is listed; the director sends what differs. The list shows
// in the end what has taken effect, so an order whose answer was lost needs no
// record: it is sent again if the list does not come to show it. An order of a
// role names the engine's start and the number of orders that it has accepted,
// so that one which takes effect late cannot follow a newer one.
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

// Duty returns the duty of directing a deployment's endpoints.
func Duty(deployment string) string { return "fleet-" + deployment }

// Count is the number of endpoints wanted of a tier in a data centre.
type Count struct {
	DataCentre string
	Tier       definer.Tier
	Want       int
}

// Role is the role that an engine should have.
type Role struct {
	Engine picker.Endpoint
	Role   picker.Role
}

// State is what decisions are made from.
type State struct {
	Deployment definer.Deployment
	Endpoints  []picker.Endpoint
	// Refused has the data centres in which the supplier had none of the tier
	// Spot when it was last asked.
	Refused map[string]bool
	// Answers has the answers in progress by the data centre of the engine, with
	// short lulls left out.
	Answers map[string]float64
	Now     time.Time
}

// idle reports whether no request is at any of the endpoints.
func (s State) idle() bool {
	for _, e := range s.Endpoints {
		if e.Sent+e.Elsewhere.Requests > 0 {
			return false
		}
	}
	return true
}

// live returns the number of endpoints of a tier in a data centre that stay.
func (s State) live(dataCentre string, tier definer.Tier) int {
	n := 0
	for _, e := range s.Endpoints {
		if e.DataCentre == dataCentre && e.Tier == tier && picker.Status(e) != picker.ReasonLeaving {
			n++
		}
	}
	return n
}

// Policy decides what is wanted; it is a pure function of its arguments.
type Policy interface {
	// Counts returns the numbers wanted; what is not named stays as it is.
	Counts(s State) []Count
	// Roles returns the engines whose role should change, the most pressing
	// first.
	Roles(s State) []Role
}

// Supplier takes orders for numbers of endpoints.
type Supplier interface {
	// Want orders the number of endpoints of a tier in a data centre.
	// StaleFencing: another holder has ordered. NoEndpoint: there are none to be
	// had at present.
	Want(ctx context.Context, g leaser.Grant, deployment string, c Count) error
}

// Engines takes orders of roles.
type Engines interface {
	// Orders returns the number of orders that an engine has accepted.
	Orders(ctx context.Context, e picker.Endpoint) (uint64, error)
	// SetRole orders a role if the engine has accepted no order since.
	SetRole(ctx context.Context, g leaser.Grant, e picker.Endpoint, role picker.Role, accepted uint64) error
}

// The times of orders.
const (
	// spotRetryDelay is how long a data centre without cheap endpoints is left alone.
	spotRetryDelay = 3 * time.Second
	// resendAfter is when an order for endpoints is sent again that the list does
	// not show, beside the time that an endpoint takes to start: it may have been
	// lost, or there may have been too many to add all.
	resendAfter = 1500 * time.Millisecond
	// propagationDelay is how long an engine gets no new work before its role is
	// ordered, so that all nodes have heard of it.
	propagationDelay = 900 * time.Millisecond
	// roleChangeSlack is how long a change of role may take to show in the list
	// beside the time that the engine is away.
	roleChangeSlack = 3 * time.Second
	// roleChangeDivisor bounds the engines of a deployment that change roles at once to
	// one in so many.
	roleChangeDivisor = 3
)

// Director directs the deployments whose duty this node holds.
type Director[P Policy] struct {
	Clock    timekeeper.Clock
	Log      zerolog.Logger
	Leases   leaser.Holder
	Config   func() (definer.Config, error)
	Of       func(deployment string) []picker.Endpoint
	Supplier Supplier
	Engines  Engines
	Policy   P
	// TakeoverWait is how long a new holder waits for orders of the former one
	// that may be under way, where engines do not refuse old fencing tokens.
	TakeoverWait time.Duration

	states  map[string]*holderState
	changing keeper.Cell[map[string]bool]
}

// holderState is what the holder of a deployment's duty remembers.
type holderState struct {
	epoch uint64
	// superseded says that an order was refused for a newer fencing token: another
	// node has taken the duty over, whatever this node's lease says.
	superseded bool
	// ordered has the numbers that were ordered last.
	ordered map[placement]orderedCount
	refusedAt map[string]time.Time
	// changing has the engines that were ordered a role.
	changing map[string]roleChange
	// responses has the answers in progress as decisions see them, as of at.
	responses map[string]float64
	at      time.Time
}

type placement struct {
	dataCentre string
	tier       definer.Tier
}

type orderedCount struct {
	want int
	at   time.Time
}

type roleChange struct {
	role picker.Role
	// at is when the engine was chosen, or its order sent where ordered is set.
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

func directed(d definer.Deployment) bool { return len(d.Placements) > 0 || d.Engine.HandleLife > 0 }

// Run directs each deployment once; a task repeats it.
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
			r.Log.Warn().Str("deployment", d.Name).Err(err).Msg("orders not sent")
		}
	}
	return nil
}

// state returns what is remembered of a deployment since the takeover.
func (r *Director[P]) state(g leaser.Grant, deployment string) *holderState {
	if r.states == nil {
		r.states = make(map[string]*holderState)
	}
	t, ok := r.states[deployment]
	if !ok || t.epoch != g.Epoch {
		t = &holderState{
			epoch:    g.Epoch,
			ordered:  make(map[placement]orderedCount),
			refusedAt:  make(map[string]time.Time),
			changing: make(map[string]roleChange),
		}
		r.states[deployment] = t
		r.publish()
	}
	return t
}

func (r *Director[P]) direct(ctx context.Context, g leaser.Grant, d definer.Deployment) error {
	now := r.Clock.Now()
	t := r.state(g, d.Name)
	if t.superseded {
		return nil
	}
	s := State{Deployment: d, Endpoints: r.Of(d.Name), Now: now, Refused: make(map[string]bool)}
	for dc := range t.refusedAt {
		s.Refused[dc] = true
	}
	s.Answers = t.smoothResponses(s)
	err := r.sendOrders(ctx, g, t, s)
	t.superseded = coder.Is(err, coder.StaleFencing)
	return err
}

// sendOrders sends the orders that are due.
func (r *Director[P]) sendOrders(ctx context.Context, g leaser.Grant, t *holderState, s State) error {
	if len(s.Deployment.Placements) > 0 {
		if err := r.orderCounts(ctx, g, t, s); err != nil {
			return err
		}
	}
	if s.Deployment.Fencing != definer.FencingChecked && s.Now.Sub(g.Taken) < r.TakeoverWait {
		return nil
	}
	return r.orderRoles(ctx, g, t, s)
}

// responseDecay is the time in which a load that has gone is forgotten by two thirds; a
// change of roles does not pay for shorter ones.
const responseDecay = 8 * time.Second

// smoothResponses returns the answers in progress by data centre: growth counts at once,
// a decline counts slowly.
func (t *holderState) smoothResponses(s State) map[string]float64 {
	now := make(map[string]float64)
	for _, e := range s.Endpoints {
		if e.Report.Role == picker.Decode {
			now[e.DataCentre] += float64(e.Sent + e.Elsewhere.Requests)
		}
	}
	decay := math.Exp(-float64(s.Now.Sub(t.at)) / float64(responseDecay))
	for dc, before := range t.responses {
		now[dc] = max(now[dc], before*decay)
	}
	t.responses, t.at = now, s.Now
	return now
}

// orderCounts orders the numbers that are wanted and were not ordered yet.
func (r *Director[P]) orderCounts(ctx context.Context, g leaser.Grant, t *holderState, s State) error {
	for _, c := range r.Policy.Counts(s) {
		p := placement{dataCentre: c.DataCentre, tier: c.Tier}
		if c.Tier == definer.Spot && s.Now.Sub(t.refusedAt[c.DataCentre]) < spotRetryDelay {
			continue
		}
		last, ok := t.ordered[p]
		shown := s.live(c.DataCentre, c.Tier) == c.Want
		if ok && last.want == c.Want && (shown || s.Now.Sub(last.at) < resendAfter+s.Deployment.Boot) {
			continue
		}
		err := r.Supplier.Want(ctx, g, s.Deployment.Name, c)
		explainer.LogNumber(r.Log, s.Deployment.Name, c.DataCentre, string(c.Tier), c.Want, g.Token, err)
		switch {
		case coder.Is(err, coder.NoEndpoint):
			t.refusedAt[c.DataCentre] = r.Clock.Now()
		case coder.Is(err, coder.StaleFencing), coder.Is(err, coder.LeaseNotHeld):
			return err
		case err != nil:
			// It may take effect late; the list will tell.
			delete(t.ordered, p)
			return err
		default:
			t.ordered[p] = orderedCount{want: c.Want, at: s.Now}
			if c.Tier == definer.Spot {
				delete(t.refusedAt, c.DataCentre)
			}
		}
	}
	return nil
}

// orderRoles orders the roles that are wanted, few at a time.
//
// An engine first gets no new work; the order follows when all nodes have heard
// of that.
func (r *Director[P]) orderRoles(ctx context.Context, g leaser.Grant, t *holderState, s State) error {
	wanted := make(map[string]picker.Role)
	for _, w := range r.Policy.Roles(s) {
		wanted[w.Engine.ID] = w.Role
	}
	for id, c := range t.changing {
		if t.finished(c, s, id, wanted) {
			delete(t.changing, id)
		}
	}
	limit := max(len(s.Endpoints)/roleChangeDivisor, 1)
	for _, e := range s.Endpoints {
		role, ok := wanted[e.ID]
		if _, inProgress := t.changing[e.ID]; ok && !inProgress && len(t.changing) < limit {
			t.changing[e.ID] = roleChange{role: role, at: s.Now}
		}
	}
	r.publish()
	for _, e := range s.Endpoints {
		c, ok := t.changing[e.ID]
		if !ok || c.ordered || s.Now.Sub(c.at) < propagationDelay && !s.idle() {
			continue
		}
		c.ordered, c.at = true, s.Now
		t.changing[e.ID] = c
		if err := r.setRole(ctx, g, s, e, c.role); err != nil {
			return err
		}
	}
	return nil
}

// finished reports whether nothing more is to be awaited of a change.
func (t *holderState) finished(c roleChange, s State, id string, wanted map[string]picker.Role) bool {
	for _, e := range s.Endpoints {
		if e.ID != id {
			continue
		}
		if !c.ordered {
			return wanted[id] != c.role && e.Report.Role != c.role
		}
		return e.Report.Role == c.role || s.Now.Sub(c.at) > s.Deployment.RoleChange+roleChangeSlack
	}
	return true
}

// setRole orders the role of one engine.
func (r *Director[P]) setRole(ctx context.Context, g leaser.Grant, s State, e picker.Endpoint, role picker.Role) error {
	accepted, err := r.Engines.Orders(ctx, e)
	if err != nil {
		return err
	}
	err = r.Engines.SetRole(ctx, g, e, role, accepted)
	explainer.LogRole(r.Log, s.Deployment.Name, e.ID, string(e.Report.Role), string(role), g.Token, err)
	if coder.Is(err, coder.StaleFencing) || coder.Is(err, coder.LeaseNotHeld) {
		return err
	}
	return nil
}

// Changing returns the engines whose role this node is changing.
func (r *Director[P]) Changing() map[string]bool { return r.changing.Get() }

// publish lets other parts see which engines change.
func (r *Director[P]) publish() {
	changing := make(map[string]bool)
	for _, t := range r.states {
		for id := range t.changing {
			changing[id] = true
		}
	}
	r.changing.Update(func(map[string]bool) (map[string]bool, bool) { return changing, true })
}
