package checker

import (
	"slices"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/config/parser"
)

// Match returns the route that takes the requests for which a route is written: those of
// its model, or of its host and its path prefix.
func Match(cfg definer.Config, r definer.Route) (definer.Route, bool) {
	switch {
	case r.Host != "":
		return cfg.RouteByHost(r.Host, r.Path)
	case r.Kind == definer.Model:
		return cfg.RouteByModel(r.Model)
	}
	return cfg.RouteByPath(r.Path)
}

// matchKey returns the key of a route's section that says which requests match.
func matchKey(r definer.Route) string {
	if r.Host == "" && r.Kind == definer.Model {
		return "model"
	}
	return "path"
}

// unmatchedRoutes reports routes whose own requests go to another route, or to none.
func unmatchedRoutes(s subject) (faults []parser.Fault) {
	for _, r := range s.cfg.Routes() {
		code, key := coder.ConfigRouteShadowed, matchKey(r)
		taken, ok := Match(s.cfg, r)
		switch {
		case !ok:
			faults = append(faults, s.warning(code, parser.KindRoute, r.Name, key, "no request can match the route"))
		case taken.Name == r.Name:
		case taken.Host == r.Host && taken.Path == r.Path && taken.Model == r.Model:
			code = coder.ConfigRouteDuplicate
			fallthrough
		default:
			faults = append(faults, s.warning(code, parser.KindRoute, r.Name, key, "all requests of the route go to the route %s", taken.Name))
		}
	}
	return faults
}

// unusableRoutes reports routes that need a key and that no key may use.
//
// A configuration without any key is not checked: keys that key create makes are stored
// by the nodes, and the operator's folder does not have them.
func unusableRoutes(s subject) (faults []parser.Fault) {
	for _, r := range s.cfg.Routes() {
		usable := func(account string) bool { return s.keys[account] > 0 }
		if len(s.keys) == 0 || r.Access != definer.Keyed || len(r.AllowedAccounts) == 0 || slices.ContainsFunc(r.AllowedAccounts, usable) {
			continue
		}
		faults = append(faults, s.warning(coder.ConfigRouteUnusable, parser.KindRoute, r.Name, "client-accounts", "none of its client accounts has a key"))
	}
	return faults
}

// unusableKeys reports keys that belong to no client account, or to one that may use no
// route.
func unusableKeys(s subject) (faults []parser.Fault) {
	allowed, all := make(map[string]bool), false
	for _, r := range s.cfg.Routes() {
		if r.Access != definer.Keyed {
			continue
		}
		all = all || len(r.AllowedAccounts) == 0
		for _, a := range r.AllowedAccounts {
			allowed[a] = true
		}
	}
	for _, k := range s.cfg.Keys() {
		if _, ok := s.cfg.Account(k.Account); !ok {
			faults = append(faults, s.warning(coder.ConfigKeyUnusable, parser.KindKey, k.ID, "client-account", "there is no client account %q", k.Account))
		} else if !all && !allowed[k.Account] {
			faults = append(faults, s.warning(coder.ConfigKeyUnusable, parser.KindKey, k.ID, "client-account", "no route is for the client account %s", k.Account))
		}
	}
	return faults
}

// unusedDeployments reports deployments that no route uses.
func unusedDeployments(s subject) (faults []parser.Fault) {
	used := make(map[string]bool)
	for _, r := range s.cfg.Routes() {
		for _, d := range r.Deployments() {
			used[d] = true
		}
	}
	for _, d := range s.cfg.Deployments() {
		if !used[d.Name] {
			faults = append(faults, s.warning(coder.ConfigDeploymentUnused, parser.KindDeployment, d.Name, "", "no route uses the deployment"))
		}
	}
	return faults
}

// unusedLimits reports limits of client accounts that have no key, unless no client
// account has one.
func unusedLimits(s subject) (faults []parser.Fault) {
	for _, a := range s.cfg.Accounts() {
		if len(s.keys) == 0 || s.keys[a.Name] > 0 {
			continue
		}
		for _, limit := range []struct {
			key   string
			value float64
		}{
			{"max-concurrent", float64(a.MaxConcurrent)},
			{"requests-per-second", float64(a.RequestsPerSecond)},
			{"tokens-per-second", float64(a.TokensPerSecond)},
			{"quota-rate", a.Quota.Rate},
			{"quota-burst", a.Quota.Burst},
		} {
			if limit.value > 0 {
				faults = append(faults, s.warning(coder.ConfigLimitUnused, parser.KindAccount, a.Name, limit.key, "no key belongs to the client account, so the limit %s never applies", decimal(limit.value)))
			}
		}
	}
	return faults
}
