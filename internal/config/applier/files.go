package applier

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/config/merger"
	"foxtailflow.example/foxtailflow/internal/config/parser"
	"foxtailflow.example/foxtailflow/internal/store/follower"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

// File is a configuration file with the version of its last change.
type File struct {
	Name      string
	Data      []byte
	ChangedAt uint64
}

// Change sets a file to new content, or removes it.
type Change struct {
	File   string
	Data   []byte
	Remove bool
}

// acceptedChange is an accepted change as the head records it.
type acceptedChange struct {
	version uint64
	file    string
	removed bool
	// proposalID is unique to each proposal, so that a node can tell whether a
	// commit whose response was lost has taken effect.
	proposalID string
}

// recentChanges is the number of accepted changes that the head records: enough
// for an operator whose change conflicts to see what has changed, and for a node
// to find its change after a lost response.
const recentChanges = 20

// Files is the folder of configuration files at one version.
//
// It is an immutable value; the With methods return changed copies.
type Files struct {
	version uint64
	byName  map[string]File
	recent  []acceptedChange
	// rowVersion is the version of the head row in the store.
	rowVersion transactor.Version
}

// Decode returns the folder that the rows contain, or ConfigNotLoaded if there
// is none.
func Decode(rows []transactor.Row) (Files, error) {
	f := Files{byName: make(map[string]File)}
	for _, r := range rows {
		if r.Key == headKey {
			h, err := decodeHead(r.Value)
			if err != nil {
				return Files{}, err
			}
			f.version, f.recent, f.rowVersion = h.version, h.recent, r.Version
			continue
		}
		name, ok := strings.CutPrefix(r.Key, filePrefix)
		if !ok {
			continue
		}
		file, err := decodeFile(name, r.Value)
		if err != nil {
			return Files{}, err
		}
		f.byName[name] = file
	}
	if f.rowVersion == 0 {
		return f, coder.Refuse(coder.ConfigNotLoaded, "there is no configuration yet")
	}
	return f, nil
}

// Configuration returns the merged configuration of a snapshot of the table.
// Before the first change it defines nothing but the default limits.
// ConfigNotLoaded: the table has not been read yet.
func Configuration(rows follower.Snapshot) (definer.Config, error) {
	if !rows.Loaded() {
		return definer.Config{}, coder.Refuse(coder.ConfigNotLoaded, "the configuration has not been read yet")
	}
	f, err := Decode(rows.Rows())
	switch {
	case coder.Is(err, coder.ConfigNotLoaded):
		return definer.New(definer.Definitions{Limits: definer.DefaultLimits()}), nil
	case err != nil:
		return definer.Config{}, err
	}
	merged, err := merger.Merge(f.ParserFiles())
	if err != nil {
		return definer.Config{}, err
	}
	return merged.Config.WithVersion(f.version), nil
}

// withChange returns a copy with c applied as the next version.
func (f Files) withChange(c Change, proposalID string) Files {
	f.version++
	f.byName = maps.Clone(f.byName)
	if c.Remove {
		delete(f.byName, c.File)
	} else {
		f.byName[c.File] = File{Name: c.File, Data: c.Data, ChangedAt: f.version}
	}
	f.recent = append(slices.Clone(f.recent), acceptedChange{version: f.version, file: c.File, removed: c.Remove, proposalID: proposalID})
	f.recent = f.recent[max(0, len(f.recent)-recentChanges):]
	return f
}

// Version returns the version of the last change.
func (f Files) Version() uint64 { return f.version }

// ChangedAt returns the version of the file's last change, 0 if there is no such
// file.
func (f Files) ChangedAt(name string) uint64 { return f.byName[name].ChangedAt }

// File returns a file by name.
func (f Files) File(name string) (File, bool) {
	file, ok := f.byName[name]
	return file, ok
}

// List returns the files in the order of their names.
func (f Files) List() []File {
	files := make([]File, 0, len(f.byName))
	for _, name := range slices.Sorted(maps.Keys(f.byName)) {
		files = append(files, f.byName[name])
	}
	return files
}

// ParserFiles returns the files in the form that the merger takes.
func (f Files) ParserFiles() []parser.File {
	files := make([]parser.File, 0, len(f.byName))
	for _, file := range f.List() {
		files = append(files, parser.File{Name: file.Name, Data: file.Data})
	}
	return files
}

// hasProposal reports whether a proposal is among the recent changes.
func (f Files) hasProposal(proposalID string) bool {
	return slices.ContainsFunc(f.recent, func(a acceptedChange) bool { return a.proposalID == proposalID })
}

// conflictError returns the error of a proposal whose file is no longer at
// seenVersion, with the changes since.
func (f Files) conflictError(name string, seenVersion uint64) error {
	var lines []string
	for _, a := range f.recent {
		verb := "set"
		if a.removed {
			verb = "removed"
		}
		if a.version > seenVersion {
			lines = append(lines, fmt.Sprintf("%s %s at version %d", a.file, verb, a.version))
		}
	}
	state := "is at version " + fmt.Sprint(f.ChangedAt(name))
	if f.ChangedAt(name) == 0 {
		state = "does not exist"
	}
	return coder.Refuse(coder.ConfigConflict, "file %s %s, expected version %d; changed since: %s", name, state, seenVersion, strings.Join(lines, ", "))
}
