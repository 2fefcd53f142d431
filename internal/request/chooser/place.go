package chooser

import (
	"time"

	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/decision/explainer"
	"foxtailflow.example/foxtailflow/internal/decision/indexer"
	"foxtailflow.example/foxtailflow/internal/decision/picker"
	"foxtailflow.example/foxtailflow/internal/decision/placer"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
)

// heldFor is how long an engine is taken to hold a beginning after its last
// use: an engine of 400,000 tokens that reads 13,000 new ones a second has
// replaced its cache by then.
const heldFor = 15 * time.Second

// place decides where the prompt of a request is read and answered.
func (c Chooser) place(r carrier.Request, p carrier.Progress) picker.Plan {
	now := c.Clock.Now()
	chain, tokens := indexer.Parts(make([]uint64, 0, len(r.Parts)), make([]int, 0, len(r.Parts)), r.Parts)
	held := make(map[string]int)
	for _, h := range c.Index.Holdings(nil, chain, now.Add(-heldFor)) {
		held[h.Endpoint] = tokens[h.Length-1]
	}
	d := placer.Decision{
		Need: placer.Need{
			DataCentre: c.DataCentre,
			Prompt:     r.PromptTokens,
			Body:       len(r.Body.Bytes),
			Key:        beginning(chain),
			Tried:      p.Tried,
			Source:     p.Source.Address,
			Direct:     p.Direct,
			Left:       c.left(r, now),
			Now:        now,
		},
		Rates:   placer.DefaultRates(),
		Engines: c.Observer.Of(r.Route.Deployment),
		Held:    held,
	}
	if dep, ok := c.deployment(r.Route.Deployment); ok {
		d.Engine, d.Slots = dep.Engine, dep.Slots
	}
	plan := d.Plan()
	for _, choice := range []picker.Choice{plan.Run, plan.Read} {
		if choice.OK {
			c.Index.StoreAt(choice.Endpoint.ID, chain, now)
			c.tell(choice.Endpoint.ID, chain, tokens)
		}
	}
	explainer.LogPlan(c.Log, r.ID, r.Account, r.Route.Deployment, plan)
	return plan
}

// tellFrom is the size of a beginning, in tokens, from which on other nodes are
// told where it is read.
const tellFrom = 1000

// tell tells other nodes of the beginnings that are worth it; the whole prompt
// belongs to this request.
func (c Chooser) tell(engine string, chain []uint64, tokens []int) {
	var keys []uint64
	for i := range len(chain) - 1 {
		if tokens[i] >= tellFrom {
			keys = append(keys, chain[i])
		}
	}
	if len(keys) > 0 && c.Note != nil {
		c.Note(engine, keys)
	}
}

// left returns the time until an answer is late, 0 where it has no such time.
func (c Chooser) left(r carrier.Request, now time.Time) time.Duration {
	if r.Route.Target <= 0 {
		return r.Deadline.Sub(now)
	}
	return max(r.Arrived.Add(r.Route.Target).Sub(now), 0)
}

func (c Chooser) deployment(name string) (definer.Deployment, bool) {
	cfg, err := c.Config()
	if err != nil {
		return definer.Deployment{}, false
	}
	return cfg.Deployment(name)
}

// beginning returns the key of the longest beginning that other requests share:
// all parts but the last.
func beginning(chain []uint64) uint64 {
	if len(chain) < 2 {
		return 0
	}
	return chain[len(chain)-2]
}
