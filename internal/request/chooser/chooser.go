// Package chooser chooses the endpoint of each attempt and logs the decision.
//
// It collects what the node knows of the endpoints and of their prefix caches,
// passes it to the pure decision packages, and logs each decision in one line.
package chooser

import (
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"foxtailflow.example/foxtailflow/internal/base/recorder"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/decision/explainer"
	"foxtailflow.example/foxtailflow/internal/decision/indexer"
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
	// Index records which engines have which prefixes in their caches.
	Index *indexer.Index
	// Limits returns the limits in force, Config the configuration.
	Limits func() definer.Limits
	Config func() (definer.Config, error)
	// ListState describes the list of endpoints for the log; nil means that nothing is
	// known of it.
	ListState func() explainer.ListState
	// NotifyPrefixes is called with the keys of the prefixes that an engine
	// works on, and the tokens that its cache takes for that; it may be nil.
	NotifyPrefixes func(engine string, keys []uint64, tokens int)
}

const (
	// maxPrefixEngines is the number of engines holding a prefix that are
	// considered.
	maxPrefixEngines = 4
	// blockTokens is the number of tokens in one block of the memory of an
	// engine.
	blockTokens = 256
	// defaultOutputTokens is the assumed length of a response that the caller
	// does not bound.
	defaultOutputTokens = 256
)

// Choose returns the endpoint for the next attempt.
func (c Chooser) Choose(r carrier.Request, p carrier.Progress) picker.Plan {
	if r.Route.Kind == definer.Model && len(r.PromptParts) > 0 {
		return c.place(r, p)
	}
	req := picker.Requirements{
		RequestID:  r.ID,
		DataCentre: c.DataCentre,
		Phase:      picker.Both,
		Priority:   r.Priority,
		Work:       r.Work(),
		Tried:      p.Tried,
		MayRetry:   r.MayRetry(),
		Random:     rand.Uint64(),
		Now:        c.Clock.Now(),
	}
	var chain [indexer.MaxBlocks]uint64
	var prefix []uint64
	if r.Route.Kind == definer.Model {
		req.Phase = phase(r, c.Limits())
		req.Blocks = (r.Work() + blockTokens - 1) / blockTokens
		prefix = indexer.Chain(chain[:0], r.Prompt)
		req.Holders = c.Index.Holders(make([]string, 0, maxPrefixEngines), prefix)
	}
	choice := c.pick(req, r.Route.Deployment)
	if choice.OK && len(prefix) > 0 {
		c.Index.Store(choice.Endpoint.ID, prefix)
	}
	explainer.LogRouting(c.Log, r.ID, r.Account, r.Route.Deployment, choice, c.listState())
	plan := picker.Plan{Run: choice}
	if !choice.OK {
		plan.RetryIn = c.shortestPause(r.Route.Deployment, req.Now)
	}
	return plan
}

// shortestPause returns the time until an endpoint takes requests again that has refused
// one or has spent its limit; 0 means that there is none.
func (c Chooser) shortestPause(deployment string, now time.Time) (least time.Duration) {
	for _, e := range c.Observer.InDeployment(deployment) {
		if wait := e.Pause(now); wait > 0 && picker.UnavailableReason(e) == "" && (least == 0 || wait < least) {
			least = wait
		}
	}
	return least
}

// listAges are the ages of the lists of endpoints from which choices are made.
var listAges = recorder.Publish("endpoint-list-age-ms")

// listState returns the state of the list of endpoints and records its age.
func (c Chooser) listState() explainer.ListState {
	if c.ListState == nil {
		return explainer.ListState{}
	}
	l := c.ListState()
	listAges.Record(l.Age)
	return l
}

func (c Chooser) pick(req picker.Requirements, deployment string) picker.Choice {
	var p picker.Picker[picker.PrefixAffinity[picker.TwoChoices]]
	choice := p.Pick(req, c.Observer.View(deployment))
	if choice.Probe && !c.Observer.ReserveProbe(choice.Endpoint.ID) {
		req.NoProbe = true
		choice = p.Pick(req, c.Observer.View(deployment))
	}
	return choice
}

// phase returns the phase that dominates the work of a request, as one engine
// does both.
func phase(r carrier.Request, l definer.Limits) picker.Role {
	output := r.MaxTokens
	if output == 0 {
		output = defaultOutputTokens
	}
	if float64(r.PromptTokens)*l.PrefillTokenWork >= float64(output)*l.DecodeTokenWork {
		return picker.Prefill
	}
	return picker.Decode
}
