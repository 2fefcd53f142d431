// Package explainer writes and parses the log lines of decisions.
//
// Each routing, admission, role or fleet decision writes one line with what was
// chosen, what was rejected, and why. The fields are stable, so that the explain
// command can find all lines of one request or deployment and print them in
// order.
package explainer

import (
	"strings"
	"time"

	"github.com/rs/zerolog"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/decision/balancer"
	"foxtailflow.example/foxtailflow/internal/decision/picker"
	"foxtailflow.example/foxtailflow/internal/decision/planner"
)

// The fields of a decision line.
const (
	FieldDecision        = "decision"
	FieldRequest         = "request"
	FieldAccount         = "client-account"
	FieldDeployment      = "deployment"
	FieldChosen          = "chosen"
	FieldReason          = "reason"
	FieldPrefillEngine   = "reader"
	FieldPrefillReason   = "reader-reason"
	FieldFetchFrom       = "fetch"
	FieldRejected        = "rejected"
	FieldCode            = "code"
	FieldRetryAfter      = "retry-after"
	FieldOrders          = "orders"
	FieldFigures         = "figures"
	FieldEndpoint        = "endpoint"
	FieldOutcome         = "outcome"
	FieldCause           = "cause"
	FieldStatus          = "status"
	FieldBasis           = "basis"
	FieldPrefillBasis    = "reader-basis"
	FieldRoute           = "route"
	FieldPrefillTime     = "read-ms"
	FieldFirstOutputTime = "first-ms"
	FieldDuration        = "took-ms"
	FieldAttempt         = "attempt"
	FieldAttempts        = "attempts"
	FieldConfigVersion   = "config-version"
	FieldPromptTokens    = "prompt-tokens"
	FieldPrefillRate     = "tokens-per-ms"
	FieldOverloaded      = "overloaded"
	FieldListVersion     = "list-version"
	FieldListAge         = "list-age-ms"
	FieldListSource      = "list-source"
	FieldBegun           = "begun"
	FieldParts           = "parts"
	FieldReused          = "reused-connection"
	FieldEvents          = "events"
	FieldOwnPart         = "own-part"
	FieldSendDelay       = "choice-to-send-ms"
	FieldFirstEndpoint   = "first-endpoint"
	FieldWaited          = "waited-ms"
)

// The kinds of decision.
const (
	Routing        = "routing"
	Admission      = "admission"
	PrefillFailure = "reading"
	Attempt        = "attempt"
	End            = "end"
	Send           = "send"
	SecondAttempt  = "second-attempt"
	Roles          = "roles"
	Fleet          = "fleet"
)

// ListState describes the list of endpoints from which a choice is made.
type ListState struct {
	// Version is the version of the newest entry, Age the time since the store
	// confirmed the list.
	Version uint64
	Age     time.Duration
	// Source is the address of the node that has sent the list, or "" for the store.
	Source string
}

// add adds the state of the list to a line.
func (l ListState) add(line *zerolog.Event) *zerolog.Event {
	line = line.Uint64(FieldListVersion, l.Version).Int64(FieldListAge, l.Age.Milliseconds())
	if l.Source != "" {
		line = line.Str(FieldListSource, l.Source)
	}
	return line
}

// LogRouting logs the choice of an endpoint.
func LogRouting(log zerolog.Logger, requestID, account, deployment string, c picker.Choice, l ListState) {
	line := log.Info()
	if !line.Enabled() {
		return
	}
	rejected := zerolog.Arr()
	for _, rs := range [][]picker.Rejected{c.Rejected, c.Excluded} {
		for _, r := range rs {
			rejected.Str(r.Endpoint + ":" + string(r.Reason))
		}
	}
	chosen, reason := "", "no suitable endpoint"
	if c.OK {
		chosen, reason = c.Endpoint.ID, c.Reason
	}
	line = line.Str(FieldDecision, Routing).Str(FieldRequest, requestID).Str(FieldAccount, account).
		Str(FieldDeployment, deployment).Str(FieldChosen, chosen).Str(FieldReason, reason).
		Array(FieldRejected, rejected)
	l.add(line).Msg("endpoint chosen")
}

// LogPlan logs the choice of the engines that prefill a prompt and decode the
// response.
func LogPlan(log zerolog.Logger, requestID, account, deployment string, p picker.Plan, l ListState) {
	line := log.Info()
	if !line.Enabled() {
		return
	}
	chosen, reason := "", "no suitable engine"
	switch {
	case p.Run.OK:
		chosen, reason = p.Run.Endpoint.ID, p.Run.Reason
	case p.Overloaded:
		reason = "more requests than can be served in time"
	}
	line = line.Str(FieldDecision, Routing).Str(FieldRequest, requestID).Str(FieldAccount, account).
		Str(FieldDeployment, deployment).Str(FieldChosen, chosen).Str(FieldReason, reason).
		Int(FieldPromptTokens, p.PromptTokens).Int(FieldPrefillRate, int(p.PrefillRate))
	if p.Overloaded {
		line = line.Bool(FieldOverloaded, true).Str(FieldRetryAfter, p.RetryIn.String())
	}
	if p.Run.OK {
		line = line.Dict(FieldBasis, basisDict(p.Run.Basis))
	}
	if p.Prefill.OK {
		line = line.Str(FieldPrefillEngine, p.Prefill.Endpoint.ID).Str(FieldPrefillReason, p.Prefill.Reason).Dict(FieldPrefillBasis, basisDict(p.Prefill.Basis))
	}
	if p.FetchFrom != "" {
		line = line.Str(FieldFetchFrom, p.FetchFrom)
	}
	l.add(line).Msg("endpoint chosen")
}

func basisDict(b picker.Basis) *zerolog.Event {
	d := zerolog.Dict().Int("held-tokens", b.CachedTokens).Int("waiting-tokens", b.QueuedTokens).Int("requests", b.InFlight)
	if b.RemoteLoadAge >= 0 {
		d = d.Int64("statement-age-ms", b.RemoteLoadAge.Milliseconds())
	}
	if b.PrefillRate > 0 {
		d = d.Float64(FieldPrefillRate, round(b.PrefillRate))
	}
	return d
}

// LogPrefillFailure logs that an engine has failed to prefill a prompt.
func LogPrefillFailure(log zerolog.Logger, requestID, endpoint string, err error) {
	log.Warn().Str(FieldDecision, PrefillFailure).Str(FieldRequest, requestID).Str(FieldEndpoint, endpoint).
		Str(FieldReason, err.Error()).Msg("prefill failed")
}

// LogLateSend logs a request that was sent long after the choice of its endpoint, or while
// the list of endpoints was old.
func LogLateSend(log zerolog.Logger, requestID, endpoint string, delay, listAge time.Duration) {
	log.Warn().Str(FieldDecision, Send).Str(FieldRequest, requestID).Str(FieldEndpoint, endpoint).
		Int64(FieldSendDelay, delay.Milliseconds()).Int64(FieldListAge, listAge.Milliseconds()).Msg("request sent late")
}

// LogSecondAttempt logs that a request that has waited for its response was sent to a second
// endpoint, or which of the two responses was used: reason is "sent", "won" or "lost".
func LogSecondAttempt(log zerolog.Logger, requestID, first, second, reason string, waited time.Duration) {
	log.Info().Str(FieldDecision, SecondAttempt).Str(FieldRequest, requestID).Str(FieldFirstEndpoint, first).
		Str(FieldEndpoint, second).Str(FieldReason, reason).Int64(FieldWaited, waited.Milliseconds()).Msg("second attempt")
}

// FailedAttempt describes an attempt that has failed.
type FailedAttempt struct {
	Request  string
	Endpoint string
	// Attempt counts the attempts of the request from 1.
	Attempt int
	// Begun means that the endpoint had begun its response.
	Begun bool
	// Parts are the parts of the prompt that other requests may share.
	Parts []string
	// OwnPart is the part that belongs to the request or its session, if it is named.
	OwnPart string
	Err     error
	// HeadReceived means that the head of a response was received, ConnectionReused that
	// the connection of this response had carried a request before.
	HeadReceived     bool
	ConnectionReused bool
	// Events is the number of events of the stream so far, those of earlier attempts
	// included.
	Events int
}

// maxLoggedParts bounds the prompt parts in the line of an attempt.
const maxLoggedParts = 8

// LogAttempt logs a failed attempt.
func LogAttempt(log zerolog.Logger, a FailedAttempt) {
	f := coder.FromError(a.Err)
	line := log.Warn().Str(FieldDecision, Attempt).Str(FieldRequest, a.Request).Str(FieldEndpoint, a.Endpoint).
		Int(FieldAttempt, a.Attempt).Int(FieldCode, int(f.Code())).Str(FieldOutcome, f.Outcome().String()).Str(FieldReason, f.Message())
	if a.HeadReceived {
		line = line.Bool(FieldReused, a.ConnectionReused).Int(FieldEvents, a.Events)
	}
	if len(a.Parts) > 0 {
		line = line.Bool(FieldBegun, a.Begun).Strs(FieldParts, a.Parts[:min(len(a.Parts), maxLoggedParts)])
	}
	if a.OwnPart != "" {
		line = line.Str(FieldOwnPart, a.OwnPart)
	}
	withCause(line, f).Msg("attempt failed")
}

// withCause adds the wrapped error of a failure, without the failure's message as
// its prefix.
func withCause(line *zerolog.Event, f coder.Error) *zerolog.Event {
	if cause := f.Unwrap(); cause != nil {
		return line.Str(FieldCause, strings.TrimPrefix(cause.Error(), f.Message()+": "))
	}
	return line
}

// RequestEnd describes how a request has ended.
type RequestEnd struct {
	Request    string
	Account    string
	Deployment string
	Route      string
	Endpoint   string
	Status     int
	Attempts   int
	// Config is the version of the configuration used for the request.
	Config uint64
	// Prefill, FirstOutput and Duration are the times from the arrival to the
	// prefill of the prompt, the first part of the response and the end; 0
	// means that the request did not get that far.
	Prefill     time.Duration
	FirstOutput time.Duration
	Duration    time.Duration
	// Err is nil if the response was complete.
	Err error
}

// LogEnd logs the end of a request.
func LogEnd(log zerolog.Logger, e RequestEnd) {
	line := log.Info()
	if e.Err != nil {
		line = log.Warn()
	}
	line = line.Str(FieldDecision, End).Str(FieldRequest, e.Request).Int(FieldStatus, e.Status)
	for _, t := range []struct{ name, text string }{
		{FieldAccount, e.Account},
		{FieldDeployment, e.Deployment},
		{FieldRoute, e.Route},
		{FieldEndpoint, e.Endpoint},
	} {
		if t.text != "" {
			line = line.Str(t.name, t.text)
		}
	}
	for _, t := range []struct {
		name string
		d    time.Duration
	}{{FieldPrefillTime, e.Prefill}, {FieldFirstOutputTime, e.FirstOutput}, {FieldDuration, e.Duration}} {
		if t.d > 0 {
			line = line.Int64(t.name, t.d.Milliseconds())
		}
	}
	if e.Err != nil {
		f := coder.FromError(e.Err)
		line = line.Int(FieldCode, int(f.Code())).Str(FieldOutcome, f.Outcome().String()).Str(FieldReason, f.Message())
		line = withCause(line, f)
		if d := f.RetryAfter(); d > 0 {
			line = line.Str(FieldRetryAfter, d.Round(time.Millisecond).String())
		}
	}
	line.Int(FieldAttempts, e.Attempts).Uint64(FieldConfigVersion, e.Config).Msg("request ended")
}

// LogRefusal logs a request that was not admitted.
func LogRefusal(log zerolog.Logger, requestID, account, deployment string, f coder.Error) {
	log.Info().Str(FieldDecision, Admission).Str(FieldRequest, requestID).Str(FieldAccount, account).
		Str(FieldDeployment, deployment).Int(FieldCode, int(f.Code())).Str(FieldReason, f.Message()).
		Str(FieldRetryAfter, f.RetryAfter().Round(time.Millisecond).String()).Msg("request refused")
}

// LogRoles logs a decision on roles.
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

// LogFleetOrder logs an order for a number of endpoints.
func LogFleetOrder(log zerolog.Logger, deployment, dataCentre, tier string, target int, token uint64, err error) {
	order := dataCentre + "/" + tier + ":want-" + itoa(target)
	logOrder(log.Info().Str(FieldDecision, Fleet), deployment, order, token, err).Msg("endpoints ordered")
}

// LogRoleOrder logs an order to change the role of an engine.
func LogRoleOrder(log zerolog.Logger, deployment, engine, from, to string, token uint64, err error) {
	order := engine + ":" + from + "-to-" + to
	logOrder(log.Info().Str(FieldDecision, Roles), deployment, order, token, err).Msg("role ordered")
}

func logOrder(line *zerolog.Event, deployment, order string, token uint64, err error) *zerolog.Event {
	reason := "accepted"
	if err != nil {
		reason = err.Error()
	}
	return line.Str(FieldDeployment, deployment).Str(FieldReason, reason).Strs(FieldOrders, []string{order}).
		Dict(FieldFigures, zerolog.Dict().Uint64("fencing-token", token))
}

// LogFleet logs a decision on the fleet.
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
	targets := zerolog.Dict().Int("survives", d.Survivors).Int("cost", d.Cost)
	for _, t := range d.Targets {
		targets.Int(t.DataCentre+"/"+string(t.Tier), t.Count)
	}
	log.Info().Str(FieldDecision, Fleet).Str(FieldDeployment, deployment).Str(FieldReason, d.Reason).
		Array(FieldOrders, orders).Array(FieldRejected, rejected).Dict(FieldFigures, targets).
		Msg("fleet decided")
}
