package chooser

import (
	"expvar"
	"math/rand/v2"
	"time"

	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/decision/explainer"
	"foxtailflow.example/foxtailflow/internal/decision/indexer"
	"foxtailflow.example/foxtailflow/internal/decision/picker"
	"foxtailflow.example/foxtailflow/internal/decision/placer"
	"foxtailflow.example/foxtailflow/internal/decision/shedder"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
)

const (
	// cacheLifetime is how long after its last use a prefix is at most assumed to be in the
	// cache of an engine.
	cacheLifetime = 15 * time.Second
	// cacheShare is the share of the memory of an engine that holds prefixes of requests
	// which have ended; the rest is taken by requests that run or wait to be handed over.
	cacheShare = 0.6
)

// place decides which engines prefill and decode a request.
func (c Chooser) place(r carrier.Request, p carrier.Progress) picker.Plan {
	now := c.Clock.Now()
	chain, tokens := indexer.SegmentChain(make([]uint64, 0, len(r.PromptParts)), make([]int, 0, len(r.PromptParts)), r.PromptParts)
	dep, known := c.deployment(r.Route.Deployment)
	fresh := indexer.Freshness{Since: now.Add(-cacheLifetime), Tokens: int(cacheShare * float64(dep.Engine.MemoryTokens))}
	cachedTokens := make(map[string]int)
	for _, h := range c.Index.CachedPrefixes(nil, chain, fresh) {
		cachedTokens[h.Endpoint] = tokens[h.Hashes-1]
	}
	d := placer.Decision{
		Requirements: placer.Requirements{
			DataCentre:    c.DataCentre,
			PromptTokens:  r.PromptTokens,
			BodyBytes:     len(r.Body.Bytes),
			PrefixKey:     sharedPrefixKey(chain),
			Random:        rand.Uint64(),
			Tried:         p.Tried,
			PrefillSource: p.Source.Address,
			NoHandover:    p.NoHandover,
			Isolate:       p.Isolate,
			Remaining:     c.remainingTime(r, now),
			Patience:      remainingPatience(r, now),
			Now:           now,
		},
		Rates:        placer.RatesAt(c.Observer.PrefillSpeed(r.Route.Deployment).Rate()),
		ServiceTime:  c.Observer.ServiceTime(r.Route.Deployment),
		Engines:      c.Observer.InDeployment(r.Route.Deployment),
		CachedTokens: cachedTokens,
	}
	if known {
		d.Engine, d.Slots = dep.Engine, dep.Slots
	}
	if refusal := c.shed(r, p, d); refusal.Refused {
		shed.Add(r.Route.Deployment, 1)
		plan := picker.Plan{Overloaded: true, RetryIn: refusal.RetryAfter, PromptTokens: r.PromptTokens}
		explainer.LogPlan(c.Log, r.ID, r.Account, r.Route.Deployment, plan, c.listState())
		return plan
	}
	plan := d.Plan()
	// The engine that decodes is chosen again once the prompt is prefilled.
	next := plan.Run
	if plan.Prefill.OK {
		next = plan.Prefill
	}
	if next.OK {
		added := next.Basis.PrefillTokens(r.PromptTokens)
		c.Index.StoreAt(next.Endpoint.ID, chain, now, added)
		c.notifyPeers(next.Endpoint.ID, chain, tokens, added)
	}
	explainer.LogPlan(c.Log, r.ID, r.Account, r.Route.Deployment, plan, c.listState())
	return plan
}

// shed has the numbers of requests that were refused as their deployment was overloaded.
var shed = expvar.NewMap("requests-shed")

// shed decides whether a request is refused, as the engines have more responses to decode
// than they can serve in time.
//
// A request is decided about and counted once, when it is first placed: an endpoint may have
// worked on it since. Some are never refused: a request with a claim, which has cost writes to
// the store; a stream of which the caller has a part; and a request with a suspected prompt,
// whose response clears the prompt.
func (c Chooser) shed(r carrier.Request, p carrier.Progress, d placer.Decision) shedder.Decision {
	if p.Placed || d.Slots <= 0 {
		return shedder.Decision{}
	}
	c.Observer.RecordOffered(r.Route.Deployment)
	flow, ok := c.Observer.Flow(r.Route.Deployment)
	if !ok || r.NeedsClaim() || r.LastEvent > 0 || p.Isolate {
		return shedder.Decision{}
	}
	requests, slots := d.Occupancy()
	state := shedder.State{Requests: requests, Slots: slots, Flow: flow, ServiceTime: d.ServiceTime}
	return state.Decide(d.Requirements.Remaining, rand.Float64())
}

// minNotifiedTokens is the size of a prefix, in tokens, from which on other
// nodes are notified of the engine that prefills it.
const minNotifiedTokens = 1000

// notifyPeers notifies other nodes of the prefixes that are long enough. The
// complete prompt is left out because it belongs to this request alone.
func (c Chooser) notifyPeers(engine string, chain []uint64, tokens []int, added int) {
	var keys []uint64
	for i := range len(chain) - 1 {
		if tokens[i] >= minNotifiedTokens {
			keys = append(keys, chain[i])
		}
	}
	if len(keys) > 0 && c.NotifyPrefixes != nil {
		c.NotifyPrefixes(engine, keys, added)
	}
}

// remainingTime returns the time until the target of the route, or until the
// deadline if the route has no target.
func (c Chooser) remainingTime(r carrier.Request, now time.Time) time.Duration {
	if r.Route.LatencyTarget <= 0 {
		return r.Deadline.Sub(now)
	}
	return max(r.Arrived.Add(r.Route.LatencyTarget).Sub(now), 0)
}

// remainingPatience returns the time until the caller gives up if it gets no first
// event; 0 means that this is not known.
func remainingPatience(r carrier.Request, now time.Time) time.Duration {
	if r.Route.GiveUpAfter <= 0 {
		return 0
	}
	// A caller whose time is over may still be there; 0 would mean that nothing is known.
	return max(min(r.Arrived.Add(r.Route.GiveUpAfter).Sub(now), r.Deadline.Sub(now)), 1)
}

func (c Chooser) deployment(name string) (definer.Deployment, bool) {
	cfg, err := c.Config()
	if err != nil {
		return definer.Deployment{}, false
	}
	return cfg.Deployment(name)
}

// sharedPrefixKey returns the key of the longest prefix that other requests may
// share: all parts of the prompt but the last. It returns 0 if there is none.
func sharedPrefixKey(chain []uint64) uint64 {
	if len(chain) < 2 {
		return 0
	}
	return chain[len(chain)-2]
}
