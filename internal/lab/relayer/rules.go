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
	// Cut holds back all bytes, as a network that drops packets does: nothing
	// is closed, and what was sent arrives once the rule is gone.
	Cut bool
	// Reset closes connections and refuses new ones.
	Reset bool
	// Delay is added to each piece, in both directions.
	Delay time.Duration
}

func (r Rule) open() bool { return !r.Cut && !r.Reset && r.Delay == 0 }

func (r Rule) matches(from, to string) bool {
	return (r.From == "" || r.From == from) && (r.To == "" || r.To == to)
}

// Rules are the rules in force.
//
// The zero value lets everything pass. It is an immutable value; the With
// methods return changed copies.
type Rules struct {
	all []Rule
}

// WithRule returns a copy with the rule in the place of the one with the same
// source and target.
//
// A rule for any source and any target takes the place of all others, so that
// one call restores everything.
func (rs Rules) WithRule(r Rule) Rules {
	if r.From == "" && r.To == "" {
		rs.all = nil
	}
	kept := slices.DeleteFunc(slices.Clone(rs.all), func(old Rule) bool {
		return old.From == r.From && old.To == r.To
	})
	if !r.open() {
		kept = append(kept, r)
	}
	return Rules{all: kept}
}

// Of returns what holds for connections from one source to one target: the
// worst of all rules that match.
func (rs Rules) Of(from, to string) Rule {
	sum := Rule{From: from, To: to}
	for _, r := range rs.all {
		if r.matches(from, to) {
			sum.Cut = sum.Cut || r.Cut
			sum.Reset = sum.Reset || r.Reset
			sum.Delay = max(sum.Delay, r.Delay)
		}
	}
	return sum
}
