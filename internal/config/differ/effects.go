package differ

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/config/checker"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/config/merger"
	"foxtailflow.example/foxtailflow/internal/config/parser"
)

// fault returns a fault with the position of a key in one version.
func fault(r merger.Result, code coder.Code, kind, name, key, format string, args ...any) parser.Fault {
	return parser.Fault{Code: code, At: r.Positions.At(parser.Section{Kind: kind, Name: name}, key), Text: fmt.Sprintf(format, args...)}
}

// requests are what a route is written for: the requests of a model, or those of a host
// and a path prefix.
type requests struct{ host, path, model string }

func requestsOf(r definer.Route) requests {
	if r.Host == "" && r.Kind == definer.Model {
		return requests{model: r.Model}
	}
	return requests{host: r.Host, path: strings.TrimSuffix(r.Path, "/")}
}

// String returns the requests as messages name them.
func (r requests) String() string {
	if r.model != "" {
		return "model " + r.model
	}
	return "path " + r.host + cmp.Or(r.path, "/")
}

// routeEffects reports what happens to the requests of the routes in force.
//
// The requests of the new routes are looked at as well: a longer prefix takes a part of
// the requests of a route that is not changed itself.
func (c comparison) routeEffects() (faults []parser.Fault) {
	seen := make(map[requests]bool)
	for _, r := range slices.Concat(c.old.Config.Routes(), c.new.Config.Routes()) {
		id := requestsOf(r)
		before, ok := checker.Match(c.old.Config, r)
		if seen[id] || !ok {
			continue
		}
		seen[id] = true
		after, ok := checker.Match(c.new.Config, r)
		if !ok {
			faults = append(faults, fault(c.old, coder.ConfigRouteLost, parser.KindRoute, before.Name, "", "no route takes the requests of %s any more", id))
			continue
		}
		faults = append(faults, c.serviceEffects(id, before, after)...)
		faults = append(faults, c.accessEffects(id, before, after)...)
	}
	return faults
}

// serviceEffects reports that requests lose their deployment or go to another one.
func (c comparison) serviceEffects(id requests, before, after definer.Route) (faults []parser.Fault) {
	for _, name := range after.Deployments() {
		if lost := withoutEndpoints(c.new.Config, name); lost != "" && withoutEndpoints(c.old.Config, name) == "" {
			faults = append(faults, fault(c.new, coder.ConfigRouteLost, parser.KindRoute, after.Name, "deployment", "requests of %s go to the deployment %s, which %s", id, name, lost))
		}
	}
	if from, to := before.Deployments(), after.Deployments(); !slices.Equal(from, to) {
		faults = append(faults, fault(c.new, coder.ConfigDeploymentChanged, parser.KindRoute, after.Name, "deployment",
			"requests of %s go to the deployment %s, not to %s", id, strings.Join(to, ", "), strings.Join(from, ", ")))
	}
	return faults
}

// withoutEndpoints returns why a deployment has no endpoints, or "" if it may have some. A
// deployment without placements has the endpoints that the platform lists.
func withoutEndpoints(cfg definer.Config, name string) string {
	d, ok := cfg.Deployment(name)
	if !ok {
		return "is not defined"
	}
	some := func(p definer.Placement) bool { return p.Max > 0 }
	if len(d.Placements) > 0 && !slices.ContainsFunc(d.Placements, some) {
		return "has no endpoints: max of all its placements is 0"
	}
	return ""
}

// accessEffects reports callers that may send requests now and will be refused.
func (c comparison) accessEffects(id requests, before, after definer.Route) []parser.Fault {
	if after.Access == definer.Open {
		return nil
	}
	if before.Access == definer.Open {
		return []parser.Fault{fault(c.new, coder.ConfigAccessLost, parser.KindRoute, after.Name, "access", "requests of %s need a key", id)}
	}
	var refused []string
	for _, a := range c.old.Config.Accounts() {
		_, stays := c.new.Config.Account(a.Name)
		if stays && before.Allows(a.Name) && !after.Allows(a.Name) {
			refused = append(refused, a.Name)
		}
	}
	if len(refused) == 0 {
		return nil
	}
	return []parser.Fault{fault(c.new, coder.ConfigAccessLost, parser.KindRoute, after.Name, "client-accounts",
		"requests of %s are refused for the client accounts %s", id, strings.Join(refused, ", "))}
}

// keyEffects reports keys that stop working or count for another client account.
func (c comparison) keyEffects() (faults []parser.Fault) {
	for _, k := range c.old.Config.Keys() {
		now, ok := c.new.Config.KeyByHash(k.Hash)
		_, accountStays := c.new.Config.Account(k.Account)
		switch {
		case !ok && !accountStays:
			faults = append(faults, fault(c.old, coder.ConfigKeyStops, parser.KindKey, k.ID, "", "the key stops working: its client account %s is removed", k.Account))
		case !ok:
			faults = append(faults, fault(c.old, coder.ConfigKeyStops, parser.KindKey, k.ID, "", "the key of the client account %s stops working", k.Account))
		case now.Account != k.Account:
			faults = append(faults, fault(c.new, coder.ConfigKeyReassigned, parser.KindKey, now.ID, "client-account",
				"requests with the key count for the client account %s, not for %s", now.Account, k.Account))
		}
	}
	return faults
}
