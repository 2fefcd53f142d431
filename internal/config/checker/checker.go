// Package checker finds what is valid in a configuration and cannot work as it is
// written: entries that never match, and limits that contradict each other.
//
// The findings are warnings. They refuse nothing, since the steps of a larger change
// may each have some: a deployment is defined before its first route and outlives its
// last one. All checks are pure functions of the configuration, the positions of its
// settings and the bounds of the process, so that the command, the operators' interface
// and a node that takes a change report the same.
package checker

import (
	"fmt"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/config/parser"
)

// Bounds are the bounds of a process that its configuration does not have. The zero
// value knows none, and the checks that need one are not made.
type Bounds struct {
	// LargestBody is the size in bytes of the largest request body that the process has
	// memory for.
	LargestBody int64
	// Grace is the time that the process has to stop.
	Grace time.Duration
}

// WithLargestBody returns a copy with the size of the largest request body.
func (b Bounds) WithLargestBody(n int64) Bounds {
	b.LargestBody = n
	return b
}

// WithGrace returns a copy with the time to stop.
func (b Bounds) WithGrace(d time.Duration) Bounds {
	b.Grace = d
	return b
}

// Check returns the warnings of a valid configuration, in the order of the checks and
// then of the names. Codes are ConfigRouteShadowed to ConfigDrainLong.
func Check(cfg definer.Config, positions parser.Positions, b Bounds) []parser.Fault {
	s := newSubject(cfg, positions, b)
	var faults []parser.Fault
	for _, rule := range rules {
		faults = append(faults, rule(s)...)
	}
	return faults
}

// rule is one check.
type rule func(s subject) []parser.Fault

var rules = []rule{
	unmatchedRoutes, unusableRoutes, unusableKeys, unusedDeployments, unusedLimits,
	shortDeadlines, missingRetryBudgets, bodiesOverMemory, smallQuotas, longDrains,
}

// subject is what the rules look at.
type subject struct {
	cfg       definer.Config
	positions parser.Positions
	bounds    Bounds
	// keys are the numbers of keys of the client accounts.
	keys map[string]int
}

func newSubject(cfg definer.Config, positions parser.Positions, b Bounds) subject {
	s := subject{cfg: cfg, positions: positions, bounds: b, keys: make(map[string]int)}
	for _, k := range cfg.Keys() {
		s.keys[k.Account]++
	}
	return s
}

// warning returns a warning about a key of a section. A key that is not set has the
// position of its section, and a section that no file has none.
func (s subject) warning(code coder.Code, kind, name, key, format string, args ...any) parser.Fault {
	at := s.positions.At(parser.Section{Kind: kind, Name: name}, key)
	return parser.Fault{Code: code, At: at, Text: fmt.Sprintf(format, args...)}
}
