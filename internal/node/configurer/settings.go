// Package configurer reads the settings of one node.
//
// Settings are what a process needs before it can connect to anything: its
// addresses, its data centre, the platform's address and its own limits. They
// are read from an INI file with keys in kebab case. What operators set for the
// whole fleet is the configuration, which this package does not read.
package configurer

import (
	"encoding/hex"
	"errors"
	"fmt"
	"net/netip"
	"runtime"
	"slices"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/identifier"
)

// Settings are the settings of one node.
type Settings struct {
	// ID is the identifier of the node; if it is not set, a new one is generated
	// at each start.
	ID         string
	DataCentre string
	// CallersListen, OperatorsListen and PeersListen are IP:port.
	CallersListen   string
	OperatorsListen string
	PeersListen     string
	// PeersAdvertise is the address at which peers reach the node.
	PeersAdvertise string
	// HeaderTimeout is the timeout for receiving the header of a request.
	HeaderTimeout time.Duration
	// SourceAddress is the local IP of outgoing connections; empty means any.
	SourceAddress string
	// PeerAddresses are addresses of other nodes to connect to if the platform is
	// unreachable at start.
	PeerAddresses []string
	// PlatformAddress is the base address of the platform, http://IP:port.
	PlatformAddress string
	PlatformTimeout time.Duration
	// PlatformConnectionLimit is how long the platform keeps a connection open
	// on which no complete request arrives.
	PlatformConnectionLimit time.Duration
	// OperatorHash is the SHA-256 of the operators' credential.
	OperatorHash [32]byte
	// Workers is the number of requests that are processed at once.
	Workers int
	// MemoryBytes is the memory that the process may use; 0 means no bound.
	MemoryBytes    int64
	ConnectTimeout time.Duration
	LoadInterval   time.Duration
	// BalancerDelay is how long the load balancer takes to notice that a node is
	// shutting down.
	BalancerDelay time.Duration
	// StaleAfter is how long requests with API keys are served after the
	// configuration was last known to be the newest.
	StaleAfter time.Duration
	LogLevel   string
}

// maxWorkers keeps a mistyped number from exhausting memory.
const maxWorkers = 100_000

// maxMemoryMB is the largest memory of a process in MB: 16 TB.
const maxMemoryMB = 1 << 24

// knownKeys lists the keys of each section.
var knownKeys = map[string][]string{
	"node":      {"id", "data-centre", "workers", "memory-mb", "connect-wait", "load-every", "leave-wait", "stale-after", "log-level"},
	"callers":   {"listen", "header-wait"},
	"operators": {"listen", "credential-hash"},
	"peers":     {"listen", "advertise", "source-address", "addresses"},
	"platform":  {"address", "timeout", "order-connection-limit"},
}

var loadOptions = ini.LoadOptions{
	// With shadows, a key that is set twice keeps both values, so that it can be
	// rejected.
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
	IgnoreContinuation:         true,
	KeyValueDelimiters:         "=",
}

// Load reads settings from the content of a file; errors contain name.
//
// The error joins all faults. Each of them is SettingsBad and names the section
// and the key.
func Load(name string, data []byte) (Settings, error) {
	doc, err := ini.LoadSources(loadOptions, data)
	if err != nil {
		return Settings{}, coder.Refuse(coder.SettingsBad, "settings %s: %s", name, strings.TrimSpace(err.Error()))
	}
	r := reader{file: name, doc: doc}
	r.checkKnown()
	s := Settings{
		ID:                      r.text("node", "id", identifier.NewNodeID()),
		DataCentre:              r.required("node", "data-centre"),
		Workers:                 r.number("node", "workers", 128*runtime.GOMAXPROCS(0), 1, maxWorkers),
		MemoryBytes:             int64(r.number("node", "memory-mb", 0, 0, maxMemoryMB)) << 20,
		ConnectTimeout:          r.duration("node", "connect-wait", 500*time.Millisecond),
		LoadInterval:            r.duration("node", "load-every", 250*time.Millisecond),
		BalancerDelay:           r.duration("node", "leave-wait", 2*time.Second),
		StaleAfter:              r.duration("node", "stale-after", 4*time.Second),
		LogLevel:                r.level("node", "log-level", "info"),
		CallersListen:           r.address("callers", "listen"),
		HeaderTimeout:           r.duration("callers", "header-wait", 5*time.Second),
		OperatorsListen:         r.address("operators", "listen"),
		PeersListen:             r.address("peers", "listen"),
		SourceAddress:           r.ip("peers", "source-address"),
		PlatformAddress:         r.baseURL("platform", "address"),
		PlatformTimeout:         r.duration("platform", "timeout", 2*time.Second),
		PlatformConnectionLimit: r.duration("platform", "order-connection-limit", 5*time.Second),
		OperatorHash:            r.hash("operators", "credential-hash"),
	}
	s.PeersAdvertise = r.text("peers", "advertise", s.PeersListen)
	r.checkAddress("peers", "advertise", r.text("peers", "advertise", ""))
	s.PeerAddresses = r.list("peers", "addresses")
	for _, a := range s.PeerAddresses {
		r.checkAddress("peers", "addresses", a)
	}
	return s, errors.Join(r.errs...)
}

type reader struct {
	file string
	doc  *ini.File
	errs []error
}

func (r *reader) fail(section, key, format string, args ...any) {
	if key != "" {
		key = ", key " + key
	}
	r.errs = append(r.errs, coder.Refuse(coder.SettingsBad,
		"settings %s, section [%s]%s: %s", r.file, section, key, fmt.Sprintf(format, args...)))
}

func (r *reader) checkKnown() {
	for _, sec := range r.doc.Sections() {
		keys, ok := knownKeys[sec.Name()]
		if !ok && (sec.Name() != ini.DefaultSection || len(sec.Keys()) > 0) {
			r.fail(sec.Name(), "", "there is no such section")
			continue
		}
		for _, k := range sec.Keys() {
			switch {
			case !slices.Contains(keys, k.Name()):
				r.fail(sec.Name(), k.Name(), "there is no such key")
			case len(k.ValueWithShadows()) > 1:
				r.fail(sec.Name(), k.Name(), "the key is set twice")
			}
		}
	}
}

func (r *reader) text(section, key, fallback string) string {
	if s := r.doc.Section(section).Key(key).String(); s != "" {
		return s
	}
	return fallback
}

func (r *reader) required(section, key string) string {
	s := r.text(section, key, "")
	if s == "" {
		r.fail(section, key, "the key is required")
	}
	return s
}

func (r *reader) address(section, key string) string {
	s := r.required(section, key)
	r.checkAddress(section, key, s)
	return s
}

// checkAddress accepts an empty address; required checks that a key is set.
func (r *reader) checkAddress(section, key, s string) {
	a, err := netip.ParseAddrPort(s)
	if s != "" && (err != nil || !a.IsValid()) {
		r.fail(section, key, "%q is not IP:port", s)
	}
}

func (r *reader) ip(section, key string) string {
	s := r.text(section, key, "")
	if _, err := netip.ParseAddr(s); s != "" && err != nil {
		r.fail(section, key, "%q is not an IP address", s)
	}
	return s
}

func (r *reader) baseURL(section, key string) string {
	s := strings.TrimSuffix(r.required(section, key), "/")
	address, ok := strings.CutPrefix(s, "http://")
	if _, err := netip.ParseAddrPort(address); s != "" && (!ok || err != nil) {
		r.fail(section, key, "%q is not http://IP:port", s)
	}
	return s
}

func (r *reader) level(section, key, fallback string) string {
	s := r.text(section, key, fallback)
	if !slices.Contains(logLevels, s) {
		r.fail(section, key, "%q is not one of %s", s, strings.Join(logLevels, ", "))
	}
	return s
}

var logLevels = []string{"debug", "info", "warn", "error"}

func (r *reader) number(section, key string, fallback, low, high int) int {
	if !r.doc.Section(section).HasKey(key) {
		return fallback
	}
	n, err := r.doc.Section(section).Key(key).Int()
	if err != nil || n < low || n > high {
		r.fail(section, key, "not a whole number from %d to %d", low, high)
	}
	return n
}

func (r *reader) duration(section, key string, fallback time.Duration) time.Duration {
	if !r.doc.Section(section).HasKey(key) {
		return fallback
	}
	d, err := time.ParseDuration(r.doc.Section(section).Key(key).String())
	if err != nil || d <= 0 {
		r.fail(section, key, "not a duration with a unit, such as 250ms")
	}
	return d
}

func (r *reader) hash(section, key string) (h [32]byte) {
	digits, ok := strings.CutPrefix(r.required(section, key), "sha256:")
	b, err := hex.DecodeString(digits)
	if !ok || err != nil || len(b) != len(h) {
		r.fail(section, key, "not sha256: and 64 hexadecimal digits")
		return h
	}
	copy(h[:], b)
	return h
}

func (r *reader) list(section, key string) []string {
	var items []string
	for item := range strings.SplitSeq(r.text(section, key, ""), ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}
