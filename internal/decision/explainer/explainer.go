// Package explainer writes and reads the log lines of decisions.
//
// Each routing, admission, role or fleet decision leaves one line that says
// what was chosen, what was rejected, and why. The fields are stable, so that
// the explain command can find all lines of one request or deployment and tell
// them in order.
package explainer

import (
	"time"

	"github.com/rs/zerolog"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/decision/balancer"
	"foxtailflow.example/foxtailflow/internal/decision/picker"
	"foxtailflow.example/foxtailflow/internal/decision/planner"
)

// The fields of a decision line.
const (
	FieldDecision   = "decision"
	FieldRequest    = "request"
	FieldAccount    = "client-account"
	FieldDeployment = "deployment"
	FieldChosen     = "chosen"
	FieldReason     = "reason"
	FieldReader     = "reader"
	FieldFetch      = "fetch"
	FieldRejected   = "rejected"
	FieldCode       = "code"
	FieldRetry      = "retry-after"
	FieldOrders     = "orders"
	FieldFigures    = "figures"
)

// The kinds of decision.
const (
	Routing   = "routing"
	Admission = "admission"
	Roles     = "roles"
	Fleet     = "fleet"
)

// LogRouting writes the line of the choice of an endpoint.
func LogRouting(log zerolog.Logger, requestID, account, deployment string, c picker.Choice) {
	line := log.Info()
	if !line.Enabled() {
		return
	}
	rejected := zerolog.Arr()
	for _, rs := range [][]picker.Rejected{c.Rejected, c.Out} {
		for _, r := range rs {
			rejected.Str(r.Endpoint + ":" + string(r.Reason))
		}
	}
	chosen, reason := "", "no endpoint is fit"
	if c.OK {
		chosen, reason = c.Endpoint.ID, c.Reason
	}
	line.Str(FieldDecision, Routing).Str(FieldRequest, requestID).Str(FieldAccount, account).
		Str(FieldDeployment, deployment).Str(FieldChosen, chosen).Str(FieldReason, reason).
		Array(FieldRejected, rejected).Msg("endpoint chosen")
}

// LogPlan writes the line of the choice of the engines that read a prompt and
// answer it.
func LogPlan(log zerolog.Logger, requestID, account, deployment string, p picker.Plan) {
	line := log.Info()
	if !line.Enabled() {
		return
	}
	chosen, reason := "", "no engine is fit"
	if p.Run.OK {
		chosen, reason = p.Run.Endpoint.ID, p.Run.Reason
	}
	line = line.Str(FieldDecision, Routing).Str(FieldRequest, requestID).Str(FieldAccount, account).
		Str(FieldDeployment, deployment).Str(FieldChosen, chosen).Str(FieldReason, reason)
	if p.Read.OK {
		line = line.Str(FieldReader, p.Read.Endpoint.ID)
	}
	if p.Fetch != "" {
		line = line.Str(FieldFetch, p.Fetch)
	}
	line.Msg("endpoint chosen")
}

// LogRefusal writes the line of a request that was not admitted.
func LogRefusal(log zerolog.Logger, requestID, account, deployment string, f coder.Error) {
	log.Info().Str(FieldDecision, Admission).Str(FieldRequest, requestID).Str(FieldAccount, account).
		Str(FieldDeployment, deployment).Int(FieldCode, int(f.Code())).Str(FieldReason, f.Message()).
		Str(FieldRetry, f.RetryAfter().Round(time.Millisecond).String()).Msg("request refused")
}

// LogRoles writes the line of a decision on roles.
func LogRoles(log zerolog.Logger, deployment string, d balancer.Decision) {
	orders, rejected := zerolog.Arr(), zerolog.Arr()
	for _, o := range d.Orders {
		orders.Str(o.Engine + ":" + string(o.From) + "-to-" + string(o.To))
	}
	for _, r := range d.Rejected {
		rejected.Str(r.Engine + ":" + string(r.Reason))
	}
	log.Info().Str(FieldDecision, Roles).Str(FieldDeployment, deployment).Str(FieldReason, d.Reason).
		Array(FieldOrders, orders).Array(FieldRejected, rejected).
		Dict(FieldFigures, zerolog.Dict().Float64("gain", round(d.Gain)).Float64("price", round(d.Price)).
			Float64("prefill-tokens-per-second", round(d.Demand.Prefill)).
			Float64("decode-tokens-per-second", round(d.Demand.Decode))).
		Msg("roles decided")
}

// LogFleet writes the line of a decision on the fleet.
func LogFleet(log zerolog.Logger, deployment string, d planner.Decision) {
	orders, rejected := zerolog.Arr(), zerolog.Arr()
	for _, o := range d.Orders {
		name := o.DataCentre + "/" + string(o.Tier)
		if o.Add > 0 {
			orders.Str(name + ":add-" + itoa(o.Add))
		}
		for _, id := range o.Withdraw {
			orders.Str(name + ":give-back-" + id)
		}
	}
	for _, r := range d.Rejected {
		rejected.Str(r.Name + ":" + string(r.Reason))
	}
	targets := zerolog.Dict().Int("survives", d.Survives).Int("cost", d.Cost)
	for _, t := range d.Targets {
		targets.Int(t.DataCentre+"/"+string(t.Tier), t.Count)
	}
	log.Info().Str(FieldDecision, Fleet).Str(FieldDeployment, deployment).Str(FieldReason, d.Reason).
		Array(FieldOrders, orders).Array(FieldRejected, rejected).Dict(FieldFigures, targets).
		Msg("fleet decided")
}
