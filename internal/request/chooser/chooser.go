// Package chooser chooses the endpoint of each attempt and logs the decision.
//
// It gathers what the node knows of the endpoints and hands it to the pure
// decision; what comes back is logged in one line.
package chooser

import (
	"math/rand/v2"

	"github.com/rs/zerolog"

	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/decision/explainer"
	"foxtailflow.example/foxtailflow/internal/decision/picker"
	"foxtailflow.example/foxtailflow/internal/fleet/observer"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
)

// Chooser chooses endpoints for requests.
type Chooser struct {
	Clock      timekeeper.Clock
	Log        zerolog.Logger
	DataCentre string
	Observer   *observer.Observer
}

// Choose returns the endpoint for the next attempt; tried names those that
// have failed the request.
func (c Chooser) Choose(r carrier.Request, tried []string) picker.Choice {
	need := picker.Need{
		RequestID:  r.ID,
		DataCentre: c.DataCentre,
		Work:       r.Work(),
		Tried:      tried,
		Random:     rand.Uint64(),
		Now:        c.Clock.Now(),
	}
	p := picker.Picker[picker.TwoChoices]{}
	choice := p.Pick(need, c.Observer.Of(r.Route.Deployment))
	explainer.LogRouting(c.Log, r.ID, r.Account, r.Route.Deployment, choice)
	return choice
}
