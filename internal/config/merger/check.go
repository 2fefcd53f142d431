package merger

import (
	"maps"
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

func check(defs definer.Definitions, settings []parser.Setting) []error {
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
	c.checkPlacements(settings)
	return c.faults
}

func (c *checker) fail(code coder.Code, kind, name, key, text string) {
	section := parser.Section{Kind: kind, Name: name}
	s, ok := c.places[place{section, key}]
	if !ok {
		s = parser.Setting{Section: section, Key: key, File: c.fileOf(section)}
	}
	c.faults = append(c.faults, fault(code, s, text))
}

// fileOf returns a file that defines the section, for keys that are missing.
func (c *checker) fileOf(section parser.Section) string {
	var files []string
	for p, s := range c.places {
		if p.section == section {
			files = append(files, s.File)
		}
	}
	if len(files) == 0 {
		return "?"
	}
	return slices.Max(files)
}

func (c *checker) checkKeys(keys []definer.Key) {
	byHash := make(map[[32]byte]string)
	for _, k := range keys {
		c.refer("key", k.ID, "client-account", k.Account, c.accounts[k.Account])
		if k.Hash == ([32]byte{}) {
			c.fail(coder.ConfigMissingKey, "key", k.ID, "hash", "the key is required")
			continue
		}
		if other, ok := byHash[k.Hash]; ok {
			c.fail(coder.ConfigDuplicate, "key", k.ID, "hash", "the key "+other+" has the same hash")
		}
		byHash[k.Hash] = k.ID
	}
}

func (c *checker) refer(kind, name, key, target string, exists bool) {
	if target == "" {
		c.fail(coder.ConfigMissingKey, kind, name, key, "the key is required")
		return
	}
	if !exists {
		c.fail(coder.ConfigDangling, kind, name, key, "there is no "+key+" "+target)
	}
}

func (c *checker) checkRoutes(routes []definer.Route) {
	models := make(map[string]string)
	paths := make(map[string]string)
	for _, r := range routes {
		d, ok := c.deployments[r.Deployment]
		c.refer("route", r.Name, "deployment", r.Deployment, ok)
		if ok && r.Kind != "" && d.Kind != r.Kind {
			c.fail(coder.ConfigBadValue, "route", r.Name, "kind", "the deployment is of the kind "+string(d.Kind))
		}
		for _, a := range r.Accounts {
			if !c.accounts[a] {
				c.fail(coder.ConfigDangling, "route", r.Name, "client-accounts", "there is no client account "+a)
			}
		}
		switch r.Kind {
		case definer.Model:
			c.unique(models, r.Name, "model", r.Model)
		case definer.Plain:
			c.unique(paths, r.Name, "path", strings.TrimSuffix(r.Path, "/"))
			c.checkPath(r)
		default:
			c.fail(coder.ConfigMissingKey, "route", r.Name, "kind", "the key is required")
		}
	}
}

// reservedPaths are served by the node itself.
var reservedPaths = []string{"/v1", "/healthz", "/readyz", "/debug"}

func (c *checker) checkPath(r definer.Route) {
	if !strings.HasPrefix(r.Path, "/") {
		c.fail(coder.ConfigBadValue, "route", r.Name, "path", "a path begins with /")
	}
	for _, p := range reservedPaths {
		if r.Path == p || strings.HasPrefix(r.Path, p+"/") {
			c.fail(coder.ConfigBadValue, "route", r.Name, "path", "the path "+p+" is served by the node itself")
		}
	}
}

func (c *checker) unique(seen map[string]string, route, key, value string) {
	if value == "" {
		c.fail(coder.ConfigMissingKey, "route", route, key, "the key is required")
		return
	}
	if other, ok := seen[value]; ok {
		c.fail(coder.ConfigDuplicate, "route", route, key, "the route "+other+" has the same "+key)
	}
	seen[value] = route
}

func (c *checker) checkRules(rules []definer.Rule) {
	seen := make(map[string]string)
	for _, r := range rules {
		_, ok := c.deployments[r.Deployment]
		c.refer("service-rule", r.Name, "deployment", r.Deployment, ok)
		if other, ok := seen[r.Deployment]; ok {
			c.fail(coder.ConfigDuplicate, "service-rule", r.Name, "deployment", "the service rule "+other+" is for the same deployment")
		}
		seen[r.Deployment] = r.Name
	}
}

func (c *checker) checkDeployments(deployments []definer.Deployment) {
	for _, d := range deployments {
		switch {
		case d.Kind == "":
			c.fail(coder.ConfigMissingKey, "deployment", d.Name, "kind", "the key is required")
		case d.Kind == definer.Model && d.Model == "":
			c.fail(coder.ConfigMissingKey, "deployment", d.Name, "model", "the key is required for the kind model")
		}
	}
}

func (c *checker) checkPlacements(settings []parser.Setting) {
	seen := make(map[string]bool)
	for _, s := range settings {
		if s.Section.Kind != "placement" || seen[s.Section.Name] {
			continue
		}
		seen[s.Section.Name] = true
		target := c.places[place{s.Section, "deployment"}].Value
		_, ok := c.deployments[target]
		c.refer("placement", s.Section.Name, "deployment", target, ok)
		if _, ok := c.places[place{s.Section, "data-centre"}]; !ok {
			c.fail(coder.ConfigMissingKey, "placement", s.Section.Name, "data-centre", "the key is required")
		}
	}
}
