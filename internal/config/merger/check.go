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

// checker finds missing keys, dangling references, duplicates and invalid
// combinations of keys.
type checker struct {
	positions   parser.Positions
	accounts    map[string]bool
	deployments map[string]definer.Deployment
	errs        []error
}

func checkDefinitions(defs definer.Definitions, placements map[string]placement, positions parser.Positions) []error {
	c := &checker{
		positions:   positions,
		accounts:    make(map[string]bool),
		deployments: make(map[string]definer.Deployment),
	}
	for _, a := range defs.Accounts {
		c.accounts[a.Name] = true
	}
	for _, d := range defs.Deployments {
		c.deployments[d.Name] = d
	}
	c.checkAccounts(defs.Accounts)
	c.checkKeys(defs.Keys)
	c.checkRoutes(defs.Routes)
	c.checkRules(defs.Rules)
	c.checkDeployments(defs.Deployments)
	c.checkPlacements(placements)
	return c.errs
}

func (c *checker) addError(code coder.Code, kind, name, key, text string) {
	c.errs = append(c.errs, settingError(code, c.lookUp(kind, name, key), text))
}

// lookUp returns the setting of a key, or the header of its section if the key
// is not set.
func (c *checker) lookUp(kind, name, key string) parser.Setting {
	return c.positions.At(parser.Section{Kind: kind, Name: name}, key)
}

func (c *checker) isSet(kind, name, key string) bool {
	return c.positions.IsSet(parser.Section{Kind: kind, Name: name}, key)
}

// requireUnique reports a value that another section of the kind already has.
func (c *checker) requireUnique(seen map[string]string, kind, name, key, value string) {
	if other, ok := seen[value]; ok {
		earlier := c.lookUp(kind, other, key)
		c.addError(coder.ConfigDuplicate, kind, name, key, fmt.Sprintf("the %s %s has the same value (file %s, line %d)", kind, other, earlier.File, earlier.Line))
		return
	}
	seen[value] = name
}

// require reports a missing key. It returns whether the key is set.
func (c *checker) require(kind, name, key string, set bool) bool {
	if !set {
		c.addError(coder.ConfigMissingKey, kind, name, key, "the key is required")
	}
	return set
}

// requireReference reports a missing key, or a reference to a target that does
// not exist.
func (c *checker) requireReference(kind, name, key, target string, exists bool) {
	if c.require(kind, name, key, target != "") && !exists {
		c.addError(coder.ConfigDangling, kind, name, key, "there is no "+key+" "+target)
	}
}

// rejectKeys reports keys that do not apply to a section of this sort.
func (c *checker) rejectKeys(kind, name, subject string, keys ...string) {
	for _, key := range keys {
		if c.isSet(kind, name, key) {
			c.addError(coder.ConfigBadValue, kind, name, key, "the key has no meaning for "+subject)
		}
	}
}

// checkAccounts reports keys of a quota without a rate.
func (c *checker) checkAccounts(accounts []definer.Account) {
	for _, a := range accounts {
		if !a.Quota.Limited() {
			c.rejectKeys(kindAccount, a.Name, "a client account without quota-rate", "quota-burst", "quota-unit", "quota-plain-tokens")
		}
	}
}

func (c *checker) checkKeys(keys []definer.Key) {
	hashes := make(map[string]string)
	for _, k := range keys {
		c.requireReference(kindKey, k.ID, "client-account", k.Account, c.accounts[k.Account])
		if c.require(kindKey, k.ID, "hash", k.Hash != [32]byte{}) {
			c.requireUnique(hashes, kindKey, k.ID, "hash", string(k.Hash[:]))
		}
	}
}

func (c *checker) checkRoutes(routes []definer.Route) {
	models := make(map[string]string)
	paths := make(map[string]string)
	for _, r := range routes {
		d, ok := c.deployments[r.Deployment]
		c.requireReference(kindRoute, r.Name, "deployment", r.Deployment, ok)
		if ok && r.Kind != "" && d.Kind != "" && d.Kind != r.Kind {
			c.addError(coder.ConfigBadValue, kindRoute, r.Name, "kind", "the deployment is of the kind "+string(d.Kind))
		}
		c.checkAccess(r)
		switch r.Kind {
		case definer.Model:
			if c.require(kindRoute, r.Name, "model", r.Model != "") {
				c.requireUnique(models, kindRoute, r.Name, "model", r.Model)
				c.checkModel(r, d)
			}
			c.rejectKeys(kindRoute, r.Name, "the kind model", "path", "idempotent-methods")
		case definer.Plain:
			if c.require(kindRoute, r.Name, "path", r.Path != "") {
				c.requireUnique(paths, kindRoute, r.Name, "path", strings.TrimSuffix(r.Path, "/"))
				c.checkPath(r)
			}
			c.checkMethods(r)
			c.rejectKeys(kindRoute, r.Name, "the kind plain", "model")
		default:
			c.require(kindRoute, r.Name, "kind", false)
		}
	}
}

func (c *checker) checkAccess(r definer.Route) {
	if r.Access == definer.Open {
		c.rejectKeys(kindRoute, r.Name, "open access", "client-accounts")
		return
	}
	for _, a := range r.AllowedAccounts {
		if !c.accounts[a] {
			c.addError(coder.ConfigDangling, kindRoute, r.Name, "client-accounts", "there is no client account "+a)
		}
	}
}

// checkModel reports a model that the engines of the deployment do not serve.
func (c *checker) checkModel(r definer.Route, d definer.Deployment) {
	if d.Model != "" && r.Model != d.Model && !slices.Contains(d.Adapters, r.Model) {
		c.addError(coder.ConfigDangling, kindRoute, r.Name, "model", "the deployment "+d.Name+" has neither the model nor the adapter "+r.Model)
	}
}

// reservedPaths are served by the node itself.
var reservedPaths = []string{"/v1", "/healthz", "/readyz", "/debug"}

func (c *checker) checkPath(r definer.Route) {
	clean := path.Clean(r.Path)
	if !strings.HasPrefix(r.Path, "/") || clean != r.Path && clean+"/" != r.Path || strings.ContainsAny(r.Path, "?#% ") {
		c.addError(coder.ConfigBadValue, kindRoute, r.Name, "path", "a path begins with / and has neither empty, . or .. segments nor ?, #, % or blanks")
		return
	}
	for _, p := range reservedPaths {
		if clean == p || strings.HasPrefix(clean, p+"/") {
			c.addError(coder.ConfigBadValue, kindRoute, r.Name, "path", "the path "+p+" is served by the node itself")
		}
	}
}

func (c *checker) checkMethods(r definer.Route) {
	for _, m := range r.IdempotentMethods {
		if strings.Trim(m, "ABCDEFGHIJKLMNOPQRSTUVWXYZ-") != "" {
			c.addError(coder.ConfigBadValue, kindRoute, r.Name, "idempotent-methods", m+" is not a method in upper case")
		}
	}
}

func (c *checker) checkRules(rules []definer.Rule) {
	seen := make(map[string]string)
	for _, r := range rules {
		_, ok := c.deployments[r.Deployment]
		c.requireReference(kindRule, r.Name, "deployment", r.Deployment, ok)
		if ok {
			c.requireUnique(seen, kindRule, r.Name, "deployment", r.Deployment)
		}
	}
}

func (c *checker) checkDeployments(deployments []definer.Deployment) {
	for _, d := range deployments {
		c.require(kindDeployment, d.Name, "kind", d.Kind != "")
		switch d.Kind {
		case definer.Model:
			c.require(kindDeployment, d.Name, "model", d.Model != "")
		case definer.Plain:
			c.rejectKeys(kindDeployment, d.Name, "the kind plain", "model", "pieces", "prefill-rate", "decode-rate",
				"order-fencing", "order-connection-limit", "role-change", "max-away", "adapters", "version")
		}
	}
}

func (c *checker) checkPlacements(placements map[string]placement) {
	seen := make(map[string]string)
	for _, name := range slices.Sorted(maps.Keys(placements)) {
		p := placements[name]
		_, ok := c.deployments[p.deployment]
		c.requireReference(kindPlacement, name, "deployment", p.deployment, ok)
		if c.require(kindPlacement, name, "data-centre", p.DataCentre != "") && ok {
			c.requireUnique(seen, kindPlacement, name, "data-centre", p.deployment+"/"+p.DataCentre+"/"+string(p.Tier))
		}
		if c.require(kindPlacement, name, "max", c.isSet(kindPlacement, name, "max")) && p.Min > p.Max {
			c.addError(coder.ConfigBadValue, kindPlacement, name, "min", fmt.Sprintf("%d is more than max, which is %d", p.Min, p.Max))
		}
	}
}
