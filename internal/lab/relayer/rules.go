package relayer

import (
	"slices"
	"time"
)

// Rule is the state of the connections from one source to one target.
type Rule struct {
	// From is the source IP address and To the target address; empty means any.
	From string
	To   string
	// Cut blocks all bytes, as a network that drops packets does: no connection
	// is closed, and sent bytes arrive once the rule is removed.
	Cut bool
	// Reset closes connections and refuses new ones.
	Reset bool
	// Delay is added to each chunk, in both directions.
	Delay time.Duration
}

func (r Rule) noEffect() bool { return !r.Cut && !r.Reset && r.Delay == 0 }

func (r Rule) matches(from, to string) bool {
	return (r.From == "" || r.From == from) && (r.To == "" || r.To == to)
}

// Rules are the rules in force.
//
// The zero value has no effect on connections. It is an immutable value; the
// With methods return changed copies.
type Rules struct {
	rules []Rule
}

// WithRule returns a copy in which the rule replaces the one with the same
// source and target.
//
// A rule for any source and any target replaces all others, so that one call can
// restore all connections.
func (rs Rules) WithRule(r Rule) Rules {
	if r.From == "" && r.To == "" {
		rs.rules = nil
	}
	kept := slices.DeleteFunc(slices.Clone(rs.rules), func(old Rule) bool {
		return old.From == r.From && old.To == r.To
	})
	if !r.noEffect() {
		kept = append(kept, r)
	}
	return Rules{rules: kept}
}

// Effective returns the rule for connections from one source to one target. It has the
// cut, the reset and the longest delay of all rules that match.
func (rs Rules) Effective(from, to string) Rule {
	combined := Rule{From: from, To: to}
	for _, r := range rs.rules {
		if r.matches(from, to) {
			combined.Cut = combined.Cut || r.Cut
			combined.Reset = combined.Reset || r.Reset
			combined.Delay = max(combined.Delay, r.Delay)
		}
	}
	return combined
}
