package applier

import (
	"expvar"

	"foxtailflow.example/foxtailflow/internal/config/checker"
	"foxtailflow.example/foxtailflow/internal/config/merger"
	"foxtailflow.example/foxtailflow/internal/config/parser"
)

// maxWarningLines limits the log lines of one change: each change checks the whole
// configuration, so that one fault of all client accounts would be logged again for each.
const maxWarningLines = 20

// lastWarnings is the number of warnings of the last change that this node has taken.
var lastWarnings = expvar.NewInt("config-warnings")

// Check returns the warnings of a folder of files, or its errors. Warnings do not refuse
// a change.
func (a Applier) Check(files []parser.File) ([]parser.Fault, error) {
	merged, err := merger.Merge(files)
	if err != nil {
		return nil, err
	}
	return checker.Check(merged.Config, merged.Positions, a.Bounds), nil
}

// logWarnings logs the warnings of a version that was accepted.
func (a Applier) logWarnings(version uint64, warnings []parser.Fault) {
	lastWarnings.Set(int64(len(warnings)))
	for _, w := range warnings[:min(len(warnings), maxWarningLines)] {
		a.Log.Warn().Uint64("version", version).Int("code", int(w.Code)).Str("file", w.At.File).Int("line", w.At.Line).
			Str("section", w.At.Section.String()).Str("key", w.At.Key).Str("text", w.Text).Msg("configuration warning")
	}
	if n := len(warnings) - maxWarningLines; n > 0 {
		a.Log.Warn().Uint64("version", version).Int("more", n).Msg("further configuration warnings")
	}
}
