// Package differ compares a configuration with the version in force.
//
// Differences are those of the text of settings, by section and key, so that each has a
// file and a line; a value that has only moved to another file is none. Effects are what
// the change means for the traffic of the version in force, and come from the definitions:
// two texts of the same duration are a difference without an effect. Both are pure
// functions of the two versions.
package differ

import (
	"slices"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/config/merger"
	"foxtailflow.example/foxtailflow/internal/config/parser"
)

// Kind is the kind of a difference.
type Kind string

// The kinds of differences.
const (
	Added   Kind = "added"
	Removed Kind = "removed"
	Changed Kind = "changed"
)

// Difference is a setting whose value differs, or that only one version has. A setting
// without a key is a section that has no keys.
type Difference struct {
	Kind Kind
	// Old and New are the setting in the version in force and in the compared one. The
	// one that does not exist is zero.
	Old, New parser.Setting
}

// Setting returns the new setting, or the old one if it is removed.
func (d Difference) Setting() parser.Setting {
	if d.Kind == Removed {
		return d.Old
	}
	return d.New
}

// Report is the result of a comparison.
type Report struct {
	// Differences are in the order of sections and keys.
	Differences []Difference
	// Effects are faults of the codes ConfigRouteLost to ConfigKeyReassigned. The
	// position of what is removed is that in the version in force.
	Effects []parser.Fault
}

// Compare compares a configuration with the version in force.
//
// ConfigConflict: both versions are known, and the compared one is older.
func Compare(inForce, compared merger.Result) (Report, error) {
	old, version := inForce.Config.Version(), compared.Config.Version()
	if version > 0 && version < old {
		return Report{}, coder.Refuse(coder.ConfigConflict, "version %d is older than version %d, which is in force", version, old)
	}
	c := comparison{inForce, compared}
	return Report{Differences: c.differences(), Effects: slices.Concat(c.routeEffects(), c.keyEffects())}, nil
}

// comparison is a version in force and one that is compared with it.
type comparison struct {
	old, new merger.Result
}

func (c comparison) differences() []Difference {
	var diffs []Difference
	for _, s := range c.old.Settings {
		switch now := c.new.Positions.At(s.Section, s.Key); {
		case !c.new.Positions.IsSet(s.Section, s.Key):
			diffs = append(diffs, Difference{Kind: Removed, Old: s})
		case s.Key != "" && now.Value != s.Value:
			diffs = append(diffs, Difference{Kind: Changed, Old: s, New: now})
		}
	}
	for _, s := range c.new.Settings {
		if !c.old.Positions.IsSet(s.Section, s.Key) {
			diffs = append(diffs, Difference{Kind: Added, New: s})
		}
	}
	slices.SortStableFunc(diffs, func(a, b Difference) int { return parser.Compare(a.Setting(), b.Setting()) })
	return diffs
}

// WithStoredKeys returns a configuration with the keys of the version in force that have a
// file of their own which the configuration does not have. Such keys were made by the
// operators' interface, and only their withdrawal removes them. Keys of client accounts
// that the configuration does not define are left out.
//
// The error is that of the merge.
func WithStoredKeys(compared, inForce merger.Result) (merger.Result, error) {
	// With the headers, whose positions the settings alone do not have.
	settings := compared.Positions.Settings()
	files := make(map[string]bool)
	for _, s := range settings {
		files[s.File] = true
	}
	for _, s := range inForce.Settings {
		key, ok := inForce.Config.Key(s.Section.Name)
		if s.Section.Kind != parser.KindKey || !ok || s.File != parser.KeyFile(key.ID) || files[s.File] {
			continue
		}
		if _, ok := compared.Config.Account(key.Account); ok {
			settings = append(settings, s)
		}
	}
	merged, err := merger.FromSettings(settings)
	if err != nil {
		return merger.Result{}, err
	}
	merged.Config = merged.Config.WithVersion(compared.Config.Version())
	return merged, nil
}
