package definer

import (
	"maps"
	"slices"
	"strings"
)

// Config is the merged result of all files at one version.
//
// The zero value defines nothing. The With methods return changed copies.
type Config struct {
	version     uint64
	accounts    map[string]Account
	keys        map[string]Key
	byHash      map[[32]byte]Key
	routes      map[string]Route
	byModel     map[string]Route
	byPath      []Route
	byHost      map[string]map[string]Route
	rules       map[string]Rule
	deployments map[string]Deployment
	limits      Limits
}

// Definitions are the definitions that make up a Config.
type Definitions struct {
	Accounts    []Account
	Keys        []Key
	Routes      []Route
	Rules       []Rule
	Deployments []Deployment
	Limits      Limits
}

// New returns a Config of the given definitions with version 0.
func New(d Definitions) Config {
	c := Config{limits: d.Limits}
	c.accounts = indexBy(d.Accounts, func(a Account) string { return a.Name })
	c.keys = indexBy(d.Keys, func(k Key) string { return k.ID })
	c.byHash = indexBy(d.Keys, func(k Key) [32]byte { return k.Hash })
	c.routes = indexBy(d.Routes, func(r Route) string { return r.Name })
	c.rules = indexBy(d.Rules, func(r Rule) string { return r.Deployment })
	c.deployments = indexBy(d.Deployments, func(p Deployment) string { return p.Name })
	c.byModel = make(map[string]Route)
	for _, r := range d.Routes {
		switch r.Kind {
		case Model:
			if r.Model != "" {
				c.byModel[r.Model] = r
			}
		case Plain:
			if r.Host == "" {
				c.byPath = append(c.byPath, r)
			}
		}
		c.addHostRoute(r)
	}
	// Longer prefixes come first, so that the first match is the longest.
	slices.SortFunc(c.byPath, func(a, b Route) int {
		if n := len(b.Path) - len(a.Path); n != 0 {
			return n
		}
		return strings.Compare(a.Path, b.Path)
	})
	return c
}

// addHostRoute indexes a route by host and path.
func (c *Config) addHostRoute(r Route) {
	if r.Host == "" {
		return
	}
	if c.byHost == nil {
		c.byHost = make(map[string]map[string]Route)
	}
	paths, ok := c.byHost[r.Host]
	if !ok {
		paths = make(map[string]Route)
		c.byHost[r.Host] = paths
	}
	paths[r.Path] = r
}

func indexBy[K comparable, V any](vs []V, key func(V) K) map[K]V {
	m := make(map[K]V, len(vs))
	for _, v := range vs {
		m[key(v)] = v
	}
	return m
}

// WithVersion returns a copy with the given version.
func (c Config) WithVersion(version uint64) Config {
	c.version = version
	return c
}

// WithLimits returns a copy with the given limits.
func (c Config) WithLimits(l Limits) Config {
	c.limits = l
	return c
}

// Version returns the number of the accepted change that produced this Config.
func (c Config) Version() uint64 { return c.version }

// Limits returns the limits of one node.
func (c Config) Limits() Limits { return c.limits }

// Account returns a client account by name.
func (c Config) Account(name string) (Account, bool) {
	a, ok := c.accounts[name]
	return a, ok
}

// Accounts returns the client accounts in the order of their names.
func (c Config) Accounts() []Account { return sortedByKey(c.accounts) }

// Key returns a key by its identifier.
func (c Config) Key(id string) (Key, bool) {
	k, ok := c.keys[id]
	return k, ok
}

// Keys returns the keys in the order of their identifiers.
func (c Config) Keys() []Key { return sortedByKey(c.keys) }

// KeyByHash returns the key whose secret has this SHA-256.
func (c Config) KeyByHash(hash [32]byte) (Key, bool) {
	k, ok := c.byHash[hash]
	return k, ok
}

// Routes returns the routes in the order of their names.
func (c Config) Routes() []Route { return sortedByKey(c.routes) }

// RouteByModel returns the route of a model.
func (c Config) RouteByModel(model string) (Route, bool) {
	r, ok := c.byModel[model]
	return r, ok
}

// RouteByPath returns the plain route whose path is the longest prefix of path.
//
// A prefix matches whole path segments only: "/orders" matches "/orders/7"
// and not "/orders-old".
func (c Config) RouteByPath(path string) (Route, bool) {
	for _, r := range c.byPath {
		rest, ok := strings.CutPrefix(path, strings.TrimSuffix(r.Path, "/"))
		if ok && (rest == "" || rest[0] == '/') {
			return r, true
		}
	}
	return Route{}, false
}

// RouteByHost returns the route of a host with the longest path prefix that matches
// path. Prefixes end with a slash.
func (c Config) RouteByHost(host, path string) (Route, bool) {
	paths := c.byHost[host]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, ok := paths[path[:end+1]]; ok {
			return r, true
		}
	}
	return Route{}, false
}

// Rule returns the service rule of a deployment, or the default rule.
func (c Config) Rule(deployment string) Rule {
	if r, ok := c.rules[deployment]; ok {
		return r
	}
	return DefaultRule(deployment)
}

// Deployment returns a deployment by name.
func (c Config) Deployment(name string) (Deployment, bool) {
	d, ok := c.deployments[name]
	return d, ok
}

// Deployments returns the deployments in the order of their names.
func (c Config) Deployments() []Deployment { return sortedByKey(c.deployments) }

// DeploymentCount returns the number of deployments.
func (c Config) DeploymentCount() int { return len(c.deployments) }

func sortedByKey[V any](m map[string]V) []V {
	vs := make([]V, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		vs = append(vs, m[k])
	}
	return vs
}
