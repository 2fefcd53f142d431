// Package merger merges configuration files into one Config.
//
// Files are merged in the order of their names: a later file may set a key of
// the same section again, and its value overrides the earlier one. Each value
// keeps its file and line, so that an operator can see which file it comes from.
// The merged result is validated as a whole; a single error rejects all files,
// and every error names its file, line, section and key.
package merger

import (
	"errors"
	"slices"
	"strings"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/config/parser"
)

// Result is a merged configuration with the origin of each value.
type Result struct {
	Config definer.Config
	// Settings are the effective values, sorted by section and key.
	Settings []parser.Setting
	// Positions finds them, and the headers of sections.
	Positions parser.Positions
}

// Merge merges files in the order of their names.
//
// The error joins all errors found; each is a parser.Fault, or the coder.Error of a file
// whose name is not valid.
func Merge(files []parser.File) (Result, error) {
	files = slices.Clone(files)
	slices.SortFunc(files, func(a, b parser.File) int { return strings.Compare(a.Name, b.Name) })
	var errs []error
	merged := make(map[settingID]parser.Setting)
	for _, f := range files {
		settings, err := parser.Parse(f)
		errs = append(errs, splitErrors(err)...)
		for _, s := range settings {
			merged[settingID{s.Section, s.Key}] = s
		}
	}
	return decode(sortSettings(merged), errs)
}

// FromSettings returns the configuration of effective values, such as those of another
// Result. The error is that of Merge.
func FromSettings(settings []parser.Setting) (Result, error) {
	merged := make(map[settingID]parser.Setting, len(settings))
	for _, s := range settings {
		merged[settingID{s.Section, s.Key}] = s
	}
	return decode(sortSettings(merged), nil)
}

// decode returns the configuration of sorted settings; errs are the errors found in them
// so far.
func decode(settings []parser.Setting, errs []error) (Result, error) {
	d, decodeErrs := decodeSettings(settings)
	errs = append(errs, decodeErrs...)
	defs, positions := d.definitions(), parser.IndexSettings(settings)
	// A value that could not be read is missing from the definitions, so the
	// checks would report the same error again.
	if len(errs) == 0 {
		errs = checkDefinitions(defs, d.placements, positions)
	}
	if err := errors.Join(errs...); err != nil {
		return Result{}, err
	}
	return Result{Config: definer.New(defs), Settings: withoutHeaders(settings), Positions: positions}, nil
}

// splitErrors returns the errors that errors.Join has joined.
func splitErrors(err error) []error {
	if err == nil {
		return nil
	}
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		return joined.Unwrap()
	}
	return []error{err}
}

// withoutHeaders removes the headers of sections that have keys.
func withoutHeaders(settings []parser.Setting) []parser.Setting {
	kept := make([]parser.Setting, 0, len(settings))
	for i, s := range settings {
		if s.Key == "" && i+1 < len(settings) && settings[i+1].Section == s.Section {
			continue
		}
		kept = append(kept, s)
	}
	return kept
}

// settingID identifies a setting; an empty key is the header of the section.
type settingID struct {
	section parser.Section
	key     string
}

func sortSettings(merged map[settingID]parser.Setting) []parser.Setting {
	settings := make([]parser.Setting, 0, len(merged))
	for _, s := range merged {
		settings = append(settings, s)
	}
	slices.SortFunc(settings, parser.Compare)
	return settings
}

func settingError(code coder.Code, s parser.Setting, text string) error {
	return parser.Fault{Code: code, At: s, Text: text}
}
