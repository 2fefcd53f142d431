// Package merger merges configuration files into one Config.
//
// Files are merged in the order of their names: a later file may set a key of
// a section that an earlier one began, and then its value holds. Each value
// keeps the place that it came from, so that an operator can see which file
// decides. The merged result is checked as a whole; one fault refuses all, and
// every fault names its file, line, section and key.
package merger

import (
	"errors"
	"slices"
	"strings"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/config/parser"
)

// Result is a merged configuration and where each value came from.
type Result struct {
	Config definer.Config
	// Settings are the values in force, in the order of section and key.
	Settings []parser.Setting
}

// Merge merges files in the order of their names.
//
// The error joins every fault that was found; each is a coder.Error that names
// file, line, section and key.
func Merge(files []parser.File) (Result, error) {
	files = slices.Clone(files)
	slices.SortFunc(files, func(a, b parser.File) int { return strings.Compare(a.Name, b.Name) })
	var faults []error
	merged := make(map[place]parser.Setting)
	for _, f := range files {
		settings, err := parser.Parse(f)
		faults = append(faults, split(err)...)
		for _, s := range settings {
			merged[place{s.Section, s.Key}] = s
		}
	}
	settings := order(merged)
	d, errs := decode(settings)
	faults = append(faults, errs...)
	defs := d.definitions()
	// References to what could not be read would only report it again.
	if len(faults) == 0 {
		faults = check(defs, d.placements, settings)
	}
	if err := errors.Join(faults...); err != nil {
		return Result{}, err
	}
	return Result{Config: definer.New(defs), Settings: withoutHeads(settings)}, nil
}

// split returns the errors that were joined.
func split(err error) []error {
	if err == nil {
		return nil
	}
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		return joined.Unwrap()
	}
	return []error{err}
}

// withoutHeads drops the heads of sections that have keys.
func withoutHeads(settings []parser.Setting) []parser.Setting {
	kept := make([]parser.Setting, 0, len(settings))
	for i, s := range settings {
		if s.Key == "" && i+1 < len(settings) && settings[i+1].Section == s.Section {
			continue
		}
		kept = append(kept, s)
	}
	return kept
}

type place struct {
	section parser.Section
	key     string
}

func order(merged map[place]parser.Setting) []parser.Setting {
	settings := make([]parser.Setting, 0, len(merged))
	for _, s := range merged {
		settings = append(settings, s)
	}
	slices.SortFunc(settings, func(a, b parser.Setting) int {
		if n := strings.Compare(a.Section.Kind, b.Section.Kind); n != 0 {
			return n
		}
		if n := strings.Compare(a.Section.Name, b.Section.Name); n != 0 {
			return n
		}
		return strings.Compare(a.Key, b.Key)
	})
	return settings
}

func fault(code coder.Code, s parser.Setting, text string) error {
	key := ""
	if s.Key != "" {
		key = ", key " + s.Key
	}
	return coder.Refuse(code, "file %s, line %d, section [%s]%s: %s", s.File, s.Line, s.Section, key, text)
}
