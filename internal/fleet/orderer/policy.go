package orderer

import (
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/decision/picker"
	"foxtailflow.example/foxtailflow/internal/engine/controller"
)

// Engine is an engine with the state that it reports.
type Engine struct {
	Endpoint picker.Endpoint
	State    controller.State
}

// Target is the target state of an engine. Empty fields are left unchanged.
type Target struct {
	Role     string
	Model    string
	Version  string
	Adapters []string
}

// Count is the target number of endpoints in a data centre and tier.
type Count struct {
	DataCentre string
	Tier       definer.Tier
	Target     int
}

// Policy decides on the targets of the endpoints of a deployment.
type Policy interface {
	// Targets returns the target of each engine by the engine's ID.
	Targets(d definer.Deployment, engines []Engine) map[string]Target
	// Counts returns the target numbers of endpoints. A data centre and tier that
	// is not returned keeps its number.
	Counts(d definer.Deployment, endpoints []picker.Endpoint) []Count
}

// KeepCurrent is a Policy that keeps the roles, loads the configured version and
// adapters, and orders endpoints up to the configured minimum.
type KeepCurrent struct{}

// Targets returns the configured version and adapters for every engine.
func (KeepCurrent) Targets(d definer.Deployment, engines []Engine) map[string]Target {
	targets := make(map[string]Target, len(engines))
	for _, e := range engines {
		targets[e.Endpoint.ID] = Target{Version: d.Version, Adapters: d.Adapters}
	}
	return targets
}

// Counts returns the current numbers, limited to the configured bounds.
func (KeepCurrent) Counts(d definer.Deployment, endpoints []picker.Endpoint) []Count {
	counts := make([]Count, 0, len(d.Placements))
	for _, p := range d.Placements {
		current := len(stayingEndpoints(endpoints, p.DataCentre, p.Tier))
		target := max(current, p.Min)
		if p.Max > 0 {
			target = min(target, p.Max)
		}
		counts = append(counts, Count{DataCentre: p.DataCentre, Tier: p.Tier, Target: target})
	}
	return counts
}

// stayingEndpoints returns the endpoints of a data centre and tier that are not
// leaving.
func stayingEndpoints(endpoints []picker.Endpoint, dataCentre string, tier definer.Tier) []picker.Endpoint {
	var found []picker.Endpoint
	for _, e := range endpoints {
		if e.DataCentre == dataCentre && e.Tier == tier && !e.IsLeaving() {
			found = append(found, e)
		}
	}
	return found
}
