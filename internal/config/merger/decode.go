package merger

import (
	"net/http"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/config/parser"
)

// The kinds of section.
const (
	kindAccount    = parser.KindAccount
	kindKey        = parser.KindKey
	kindRoute      = parser.KindRoute
	kindRule       = parser.KindRule
	kindDeployment = parser.KindDeployment
	kindPlacement  = parser.KindPlacement
	kindLimits     = parser.KindLimits
)

// maxCount is the upper limit of counts and rates. It is far above the target
// size of the system, and low enough that sums cannot overflow.
const maxCount = 100_000_000

var accountFields = fields[definer.Account]{
	"share":               integer(1, 1_000_000, func(a *definer.Account, n int) { a.Share = n }),
	"max-concurrent":      integer(0, maxCount, func(a *definer.Account, n int) { a.MaxConcurrent = n }),
	"requests-per-second": integer(0, maxCount, func(a *definer.Account, n int) { a.RequestsPerSecond = n }),
	"tokens-per-second":   integer(0, maxCount, func(a *definer.Account, n int) { a.TokensPerSecond = n }),
	"quota-rate":          integer(1, maxCount, func(a *definer.Account, n int) { a.Quota.Rate = float64(n) }),
	"quota-burst":         integer(1, maxCount, func(a *definer.Account, n int) { a.Quota.Burst = float64(n) }),
	"quota-unit":          choice(func(a *definer.Account, u definer.QuotaUnit) { a.Quota.Unit = u }, definer.QuotaRequests, definer.QuotaTokens),
	"quota-plain-tokens":  integer(0, maxCount, func(a *definer.Account, n int) { a.Quota.PlainTokens = n }),
}

var keyFields = fields[definer.Key]{
	"client-account": text(func(k *definer.Key, s string) { k.Account = s }),
	"hash":           hash(func(k *definer.Key, h [32]byte) { k.Hash = h }),
}

var routeFields = fields[definer.Route]{
	"access":             choice(func(r *definer.Route, a definer.Access) { r.Access = a }, definer.Open, definer.Keyed),
	"kind":               choice(func(r *definer.Route, k definer.Kind) { r.Kind = k }, definer.Model, definer.Plain),
	"path":               text(func(r *definer.Route, s string) { r.Path = s }),
	"model":              text(func(r *definer.Route, s string) { r.Model = s }),
	"deployment":         text(func(r *definer.Route, s string) { r.Deployment = s }),
	"client-accounts":    list(func(r *definer.Route, s []string) { r.AllowedAccounts = s }),
	"idempotent-methods": list(func(r *definer.Route, s []string) { r.IdempotentMethods = s }),
	"deadline":           duration(10*time.Millisecond, time.Hour, func(r *definer.Route, d time.Duration) { r.Deadline = d }),
	"priority":           integer(0, 9, func(r *definer.Route, n int) { r.Priority = n }),
	"max-body":           size(0, 1<<30, func(r *definer.Route, n int64) { r.MaxBody = n }),
}

var ruleFields = fields[definer.Rule]{
	"deployment":           text(func(r *definer.Rule, s string) { r.Deployment = s }),
	"attempts":             integer(1, 10, func(r *definer.Rule, n int) { r.Attempts = n }),
	"retry-share":          decimal(0, 1, func(r *definer.Rule, f float64) { r.RetryShare = f }),
	"backoff":              duration(time.Millisecond, time.Minute, func(r *definer.Rule, d time.Duration) { r.Backoff = d }),
	"second-attempt-share": decimal(0, 1, func(r *definer.Rule, f float64) { r.SecondAttemptShare = f }),
	"eject-after":          integer(1, 1000, func(r *definer.Rule, n int) { r.EjectAfter = n }),
	"eject-for":            duration(10*time.Millisecond, time.Hour, func(r *definer.Rule, d time.Duration) { r.EjectDuration = d }),
	"idle-timeout":         duration(10*time.Millisecond, time.Hour, func(r *definer.Rule, d time.Duration) { r.IdleTimeout = d }),
}

var deploymentFields = fields[definer.Deployment]{
	"kind":                   choice(func(d *definer.Deployment, k definer.Kind) { d.Kind = k }, definer.Model, definer.Plain),
	"model":                  text(func(d *definer.Deployment, s string) { d.Model = s }),
	"slots":                  integer(1, 100_000, func(d *definer.Deployment, n int) { d.Slots = n }),
	"pieces":                 integer(1, maxCount, func(d *definer.Deployment, n int) { d.Blocks = n }),
	"prefill-rate":           integer(1, maxCount, func(d *definer.Deployment, n int) { d.PrefillRate = n }),
	"decode-rate":            integer(1, maxCount, func(d *definer.Deployment, n int) { d.DecodeRate = n }),
	"order-fencing":          choice(func(d *definer.Deployment, f definer.Fencing) { d.Fencing = f }, definer.FencingChecked, definer.FencingIgnored),
	"order-connection-limit": duration(0, time.Hour, func(d *definer.Deployment, v time.Duration) { d.OrderConnectionLimit = v }),
	"role-change":            duration(0, time.Hour, func(d *definer.Deployment, v time.Duration) { d.RoleChangeTime = v }),
	"max-away":               integer(0, 100_000, func(d *definer.Deployment, n int) { d.MaxUnavailable = n }),
	"adapters":               list(func(d *definer.Deployment, s []string) { d.Adapters = s }),
	"version":                text(func(d *definer.Deployment, s string) { d.Version = s }),
}

// placement is a section [placement "NAME"], which belongs to a deployment.
type placement struct {
	deployment string
	definer.Placement
}

var placementFields = fields[placement]{
	"deployment":  text(func(p *placement, s string) { p.deployment = s }),
	"data-centre": text(func(p *placement, s string) { p.DataCentre = s }),
	"tier":        choice(func(p *placement, t definer.Tier) { p.Tier = t }, definer.OnDemand, definer.Spot),
	"min":         integer(0, 100_000, func(p *placement, n int) { p.Min = n }),
	"max":         integer(0, 100_000, func(p *placement, n int) { p.Max = n }),
	"cost":        integer(0, maxCount, func(p *placement, n int) { p.Cost = n }),
}

var limitsFields = fields[definer.Limits]{
	"max-body":     size(1, 1<<30, func(l *definer.Limits, n int64) { l.MaxBody = n }),
	"max-header":   integer(1024, 1<<20, func(l *definer.Limits, n int) { l.MaxHeader = n }),
	"max-queue":    integer(1, 1_000_000, func(l *definer.Limits, n int) { l.MaxQueue = n }),
	"body-wait":    duration(10*time.Millisecond, time.Hour, func(l *definer.Limits, d time.Duration) { l.BodyTimeout = d }),
	"write-wait":   duration(10*time.Millisecond, time.Hour, func(l *definer.Limits, d time.Duration) { l.WriteTimeout = d }),
	"claim-for":    duration(time.Minute, 30*24*time.Hour, func(l *definer.Limits, d time.Duration) { l.ClaimTTL = d }),
	"usage-window": duration(time.Second, 24*time.Hour, func(l *definer.Limits, d time.Duration) { l.UsageWindow = d }),
	"drain-wait":   duration(0, time.Hour, func(l *definer.Limits, d time.Duration) { l.DrainTimeout = d }),
	"replay-limit": size(0, 1<<20, func(l *definer.Limits, n int64) { l.ReplayLimit = n }),
	"work-prefill": decimal(0, 1000, func(l *definer.Limits, f float64) { l.PrefillTokenWork = f }),
	"work-decode":  decimal(0, 1000, func(l *definer.Limits, f float64) { l.DecodeTokenWork = f }),
}

// decoder collects definitions by section name.
type decoder struct {
	accounts    map[string]definer.Account
	keys        map[string]definer.Key
	routes      map[string]definer.Route
	rules       map[string]definer.Rule
	deployments map[string]definer.Deployment
	placements  map[string]placement
	limits      map[string]definer.Limits
}

func decodeSettings(settings []parser.Setting) (decoder, []error) {
	d := decoder{
		accounts:    make(map[string]definer.Account),
		keys:        make(map[string]definer.Key),
		routes:      make(map[string]definer.Route),
		rules:       make(map[string]definer.Rule),
		deployments: make(map[string]definer.Deployment),
		placements:  make(map[string]placement),
		limits:      make(map[string]definer.Limits),
	}
	var errs []error
	for _, s := range settings {
		if err := d.decodeSetting(s); err != nil {
			errs = append(errs, err)
		}
	}
	return d, errs
}

func (d decoder) decodeSetting(s parser.Setting) error {
	if (s.Section.Name == "") != (s.Section.Kind == kindLimits) {
		return sectionError(coder.ConfigSyntax, s, "only the section [limits] has no name")
	}
	switch s.Section.Kind {
	case kindAccount:
		return applySetting(d.accounts, accountFields, s, defaultAccount)
	case kindKey:
		return applySetting(d.keys, keyFields, s, func(id string) definer.Key { return definer.Key{ID: id} })
	case kindRoute:
		return applySetting(d.routes, routeFields, s, defaultRoute)
	case kindRule:
		return applySetting(d.rules, ruleFields, s, defaultRule)
	case kindDeployment:
		return applySetting(d.deployments, deploymentFields, s, defaultDeployment)
	case kindPlacement:
		return applySetting(d.placements, placementFields, s, defaultPlacement)
	case kindLimits:
		return applySetting(d.limits, limitsFields, s, func(string) definer.Limits { return definer.DefaultLimits() })
	}
	return sectionError(coder.ConfigUnknownKey, s, "there is no such kind of section")
}

// sectionError returns an error of a section once, for its header.
func sectionError(code coder.Code, s parser.Setting, text string) error {
	if s.Key != "" {
		return nil
	}
	return settingError(code, s, text)
}

func applySetting[T any](defs map[string]T, fs fields[T], s parser.Setting, initial func(string) T) error {
	v, ok := defs[s.Section.Name]
	if !ok {
		v = initial(s.Section.Name)
		defs[s.Section.Name] = v
	}
	if s.Key == "" {
		return nil
	}
	f, ok := fs[s.Key]
	if !ok {
		return settingError(coder.ConfigUnknownKey, s, "there is no such key")
	}
	v, err := f.set(v, s.Value)
	if err != nil {
		return settingError(coder.ConfigBadValue, s, err.Error())
	}
	defs[s.Section.Name] = v
	return nil
}

func defaultAccount(name string) definer.Account {
	return definer.Account{Name: name, Share: 1, Quota: definer.Quota{Unit: definer.QuotaRequests}}
}

func defaultRule(name string) definer.Rule {
	r := definer.DefaultRule("")
	r.Name = name
	return r
}

func defaultPlacement(string) placement {
	return placement{Placement: definer.Placement{Tier: definer.OnDemand}}
}

func defaultRoute(name string) definer.Route {
	return definer.Route{
		Name:              name,
		Access:            definer.Keyed,
		IdempotentMethods: []string{http.MethodGet, http.MethodHead, http.MethodOptions},
		Deadline:          time.Minute,
		Priority:          5,
	}
}

func defaultDeployment(name string) definer.Deployment {
	return definer.Deployment{
		Name:           name,
		Slots:          16,
		Blocks:         1000,
		PrefillRate:    8000,
		DecodeRate:     1500,
		Fencing:        definer.FencingIgnored,
		RoleChangeTime: 10 * time.Second,
		MaxUnavailable: 1,
	}
}

func (d decoder) definitions() definer.Definitions {
	limits, ok := d.limits[""]
	if !ok {
		limits = definer.DefaultLimits()
	}
	// Sorted, so that the placements of a deployment are in a fixed order.
	for _, p := range sortedValues(d.placements) {
		if dep, ok := d.deployments[p.deployment]; ok {
			dep.Placements = append(dep.Placements, p.Placement)
			d.deployments[p.deployment] = dep
		}
	}
	return definer.Definitions{
		Accounts:    sortedValues(d.accounts),
		Keys:        sortedValues(d.keys),
		Routes:      sortedValues(d.routes),
		Rules:       sortedValues(d.rules),
		Deployments: sortedValues(d.deployments),
		Limits:      limits,
	}
}
