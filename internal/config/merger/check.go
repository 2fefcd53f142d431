package merger

import (
	"fmt"
	"maps"
	"path"
	"slices"
	"strings"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/config/parser"
)

func sortedValues[V any](m map[string]V) []V {
	vs := make([]V, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		vs = append(vs, m[k])
	}
	return vs
}

// checker looks for references and combinations that make no sense.
type checker struct {
	places      map[place]parser.Setting
	accounts    map[string]bool
	deployments map[string]definer.Deployment
	faults      []error
}

func check(defs definer.Definitions, placements map[string]placement, settings []parser.Setting) []error {
	c := &checker{
		places:      make(map[place]parser.Setting),
		accounts:    make(map[string]bool),
		deployments: make(map[string]definer.Deployment),
	}
	for _, s := range settings {
		c.places[place{s.Section, s.Key}] = s
	}
	for _, a := range defs.Accounts {
		c.accounts[a.Name] = true
	}
	for _, d := range defs.Deployments {
		c.deployments[d.Name] = d
	}
	c.checkKeys(defs.Keys)
	c.checkRoutes(defs.Routes)
	c.checkRules(defs.Rules)
	c.checkDeployments(defs.Deployments)
	c.checkPlacements(placements)
	return c.faults
}

func (c *checker) fail(code coder.Code, kind, name, key, text string) {
	s := c.place(kind, name, key)
	s.Key = key
	c.faults = append(c.faults, fault(code, s, text))
}

// place returns where a key stands, or the head of its section if it is missing.
func (c *checker) place(kind, name, key string) parser.Setting {
	section := parser.Section{Kind: kind, Name: name}
	if s, ok := c.places[place{section, key}]; ok {
		return s
	}
	return c.places[place{section, ""}]
}

// has reports whether a key is set.
func (c *checker) has(kind, name, key string) bool {
	_, ok := c.places[place{parser.Section{Kind: kind, Name: name}, key}]
	return ok
}

// unique reports a value that another section has already.
func (c *checker) unique(seen map[string]string, kind, name, key, value string) {
	if other, ok := seen[value]; ok {
		at := c.place(kind, other, key)
		c.fail(coder.ConfigDuplicate, kind, name, key, fmt.Sprintf("the %s %s has the same (file %s, line %d)", kind, other, at.File, at.Line))
		return
	}
	seen[value] = name
}

// need reports a key that is missing.
func (c *checker) need(kind, name, key string, set bool) bool {
	if !set {
		c.fail(coder.ConfigMissingKey, kind, name, key, "the key is required")
	}
	return set
}

// refer reports a reference that is missing or has no target.
func (c *checker) refer(kind, name, key, target string, exists bool) {
	if c.need(kind, name, key, target != "") && !exists {
		c.fail(coder.ConfigDangling, kind, name, key, "there is no "+key+" "+target)
	}
}

// without reports keys that mean nothing for a section of this sort.
func (c *checker) without(kind, name, sort string, keys ...string) {
	for _, key := range keys {
		if c.has(kind, name, key) {
			c.fail(coder.ConfigBadValue, kind, name, key, "the key has no meaning for "+sort)
		}
	}
}

func (c *checker) checkKeys(keys []definer.Key) {
	hashes := make(map[string]string)
	for _, k := range keys {
		c.refer(kindKey, k.ID, "client-account", k.Account, c.accounts[k.Account])
		if c.need(kindKey, k.ID, "hash", k.Hash != [32]byte{}) {
			c.unique(hashes, kindKey, k.ID, "hash", string(k.Hash[:]))
		}
	}
}

func (c *checker) checkRoutes(routes []definer.Route) {
	models := make(map[string]string)
	paths := make(map[string]string)
	for _, r := range routes {
		d, ok := c.deployments[r.Deployment]
		c.refer(kindRoute, r.Name, "deployment", r.Deployment, ok)
		if ok && r.Kind != "" && d.Kind != "" && d.Kind != r.Kind {
			c.fail(coder.ConfigBadValue, kindRoute, r.Name, "kind", "the deployment is of the kind "+string(d.Kind))
		}
		c.checkAccess(r)
		switch r.Kind {
		case definer.Model:
			if c.need(kindRoute, r.Name, "model", r.Model != "") {
				c.unique(models, kindRoute, r.Name, "model", r.Model)
				c.checkServes(r, d)
			}
			c.without(kindRoute, r.Name, "the kind model", "path", "idempotent-methods")
		case definer.Plain:
			if c.need(kindRoute, r.Name, "path", r.Path != "") {
				c.unique(paths, kindRoute, r.Name, "path", strings.TrimSuffix(r.Path, "/"))
				c.checkPath(r)
			}
			c.checkMethods(r)
			c.without(kindRoute, r.Name, "the kind plain", "model")
		default:
			c.need(kindRoute, r.Name, "kind", false)
		}
	}
}

func (c *checker) checkAccess(r definer.Route) {
	if r.Access == definer.Open {
		c.without(kindRoute, r.Name, "open access", "client-accounts")
		return
	}
	for _, a := range r.Accounts {
		if !c.accounts[a] {
			c.fail(coder.ConfigDangling, kindRoute, r.Name, "client-accounts", "there is no client account "+a)
		}
	}
}

// checkServes reports a model that no engine of the deployment has.
func (c *checker) checkServes(r definer.Route, d definer.Deployment) {
	if d.Model != "" && r.Model != d.Model && !slices.Contains(d.Adapters, r.Model) {
		c.fail(coder.ConfigDangling, kindRoute, r.Name, "model", "the deployment "+d.Name+" has neither the model nor the adapter "+r.Model)
	}
}

// reservedPaths are served by the node itself.
var reservedPaths = []string{"/v1", "/healthz", "/readyz", "/debug"}

func (c *checker) checkPath(r definer.Route) {
	clean := path.Clean(r.Path)
	if !strings.HasPrefix(r.Path, "/") || clean != r.Path && clean+"/" != r.Path || strings.ContainsAny(r.Path, "?#% ") {
		c.fail(coder.ConfigBadValue, kindRoute, r.Name, "path", "a path begins with / and has neither empty, . or .. segments nor ?, #, % or blanks")
		return
	}
	for _, p := range reservedPaths {
		if clean == p || strings.HasPrefix(clean, p+"/") {
			c.fail(coder.ConfigBadValue, kindRoute, r.Name, "path", "the path "+p+" is served by the node itself")
		}
	}
}

func (c *checker) checkMethods(r definer.Route) {
	for _, m := range r.Idempotent {
		if strings.Trim(m, "ABCDEFGHIJKLMNOPQRSTUVWXYZ-") != "" {
			c.fail(coder.ConfigBadValue, kindRoute, r.Name, "idempotent-methods", m+" is not a method in upper case")
		}
	}
}

func (c *checker) checkRules(rules []definer.Rule) {
	seen := make(map[string]string)
	for _, r := range rules {
		_, ok := c.deployments[r.Deployment]
		c.refer(kindRule, r.Name, "deployment", r.Deployment, ok)
		if ok {
			c.unique(seen, kindRule, r.Name, "deployment", r.Deployment)
		}
	}
}

func (c *checker) checkDeployments(deployments []definer.Deployment) {
	for _, d := range deployments {
		c.need(kindDeployment, d.Name, "kind", d.Kind != "")
		switch d.Kind {
		case definer.Model:
			c.need(kindDeployment, d.Name, "model", d.Model != "")
		case definer.Plain:
			c.without(kindDeployment, d.Name, "the kind plain", "model", "pieces", "prefill-rate", "decode-rate",
				"order-fencing", "order-connection-limit", "role-change", "max-away", "adapters", "version")
		}
	}
}

func (c *checker) checkPlacements(placements map[string]placement) {
	seen := make(map[string]string)
	for _, name := range slices.Sorted(maps.Keys(placements)) {
		p := placements[name]
		_, ok := c.deployments[p.deployment]
		c.refer(kindPlacement, name, "deployment", p.deployment, ok)
		if c.need(kindPlacement, name, "data-centre", p.DataCentre != "") && ok {
			c.unique(seen, kindPlacement, name, "data-centre", p.deployment+"/"+p.DataCentre+"/"+string(p.Tier))
		}
		if c.need(kindPlacement, name, "max", c.has(kindPlacement, name, "max")) && p.Min > p.Max {
			c.fail(coder.ConfigBadValue, kindPlacement, name, "min", fmt.Sprintf("%d is more than max, which is %d", p.Min, p.Max))
		}
	}
}
