package orderer

import (
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/decision/picker"
	"foxtailflow.example/foxtailflow/internal/engine/speaker"
)

// Engine is an engine with its own account of its state.
type Engine struct {
	Endpoint picker.Endpoint
	State    speaker.State
}

// Target is what an engine should be; empty fields are left as they are.
type Target struct {
	Role     string
	Model    string
	Version  string
	Adapters []string
}

// Count is the number of endpoints wanted in one data centre and tier.
type Count struct {
	DataCentre string
	Tier       definer.Tier
	Want       int
}

// Policy decides what the endpoints of a deployment should be. It is a pure
// function of its arguments.
type Policy interface {
	// Targets returns what each engine should be, by the engine's identifier.
	Targets(d definer.Deployment, engines []Engine) map[string]Target
	// Counts returns the numbers of endpoints wanted; a data centre and tier
	// that is not returned keeps its number.
	Counts(d definer.Deployment, endpoints []picker.Endpoint) []Count
}

// Keep is the Policy that keeps roles as they are, loads what the
// configuration names, and orders endpoints up to the configured minimum.
type Keep struct{}

// Targets returns the configured version and adapters for every engine.
func (Keep) Targets(d definer.Deployment, engines []Engine) map[string]Target {
	targets := make(map[string]Target, len(engines))
	for _, e := range engines {
		targets[e.Endpoint.ID] = Target{Version: d.Version, Adapters: d.Adapters}
	}
	return targets
}

// Counts returns the present numbers, within the configured bounds.
func (Keep) Counts(d definer.Deployment, endpoints []picker.Endpoint) []Count {
	counts := make([]Count, 0, len(d.Placements))
	for _, p := range d.Placements {
		have := len(stayingEndpoints(endpoints, p.DataCentre, p.Tier))
		want := max(have, p.Min)
		if p.Max > 0 {
			want = min(want, p.Max)
		}
		counts = append(counts, Count{DataCentre: p.DataCentre, Tier: p.Tier, Want: want})
	}
	return counts
}

// stayingEndpoints returns the endpoints of a data centre and tier that are not leaving.
func stayingEndpoints(endpoints []picker.Endpoint, dataCentre string, tier definer.Tier) []picker.Endpoint {
	var found []picker.Endpoint
	for _, e := range endpoints {
		if e.DataCentre == dataCentre && e.Tier == tier && !e.Leaving && !e.Report.Leaving {
			found = append(found, e)
		}
	}
	return found
}
