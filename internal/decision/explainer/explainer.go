// Package explainer writes and reads the log lines of decisions.
//
// Each routing or placement decision leaves one line that says what was
// chosen, what was rejected, and why. The fields are stable, so that the
// explain command can find all lines of one request and tell them in order.
package explainer

import (
	"github.com/rs/zerolog"

	"foxtailflow.example/foxtailflow/internal/decision/picker"
)

// The fields of a decision line.
const (
	FieldDecision   = "decision"
	FieldRequest    = "request"
	FieldAccount    = "client-account"
	FieldDeployment = "deployment"
	FieldChosen     = "chosen"
	FieldReason     = "reason"
	FieldRejected   = "rejected"
)

// LogRouting writes the line of the choice of an endpoint.
func LogRouting(log zerolog.Logger, requestID, account, deployment string, c picker.Choice) {
	rejected := zerolog.Arr()
	for _, r := range c.Rejected {
		rejected.Str(r.Endpoint + ":" + string(r.Reason))
	}
	chosen := ""
	if c.OK {
		chosen = c.Endpoint.ID
	}
	log.Info().Str(FieldDecision, "routing").Str(FieldRequest, requestID).Str(FieldAccount, account).
		Str(FieldDeployment, deployment).Str(FieldChosen, chosen).Str(FieldReason, c.Reason).
		Array(FieldRejected, rejected).Msg("endpoint chosen")
}
