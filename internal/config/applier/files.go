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

// File is a configuration file with the version that last set it.
type File struct {
	Name      string
	Data      []byte
	ChangedAt uint64
}

// Change sets a file to new content, or removes it.
type Change struct {
	File    string
	Data    []byte
	Removed bool
}

// accepted is an accepted change as the head remembers it.
type accepted struct {
	version uint64
	file    string
	removed bool
	// proposal is unique to each proposal, so that a node can tell whether a
	// commit whose answer was lost is its own.
	proposal string
}

// recentChanges is how many accepted changes the head remembers: enough for the
// loser of a race to see what has changed, and for a lost answer to be found.
const recentChanges = 20

// Files is the folder of configuration files at one version.
//
// It is an immutable value; the With methods return changed copies.
type Files struct {
	version uint64
	byName  map[string]File
	recent  []accepted
	// row is the version of the head's row.
	row uint64
}

// Decode returns the folder that rows make up; ConfigNotLoaded if there is none.
func Decode(rows []transactor.Row) (Files, error) {
	f := Files{byName: make(map[string]File)}
	for _, r := range rows {
		if r.Key == headKey {
			h, err := decodeHead(r.Value)
			if err != nil {
				return Files{}, err
			}
			f.version, f.recent, f.row = h.version, h.recent, r.Version
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
	if f.row == 0 {
		return f, coder.Refuse(coder.ConfigNotLoaded, "there is no configuration yet")
	}
	return f, nil
}

// Configuration returns the configuration that the rows of a table make up; before
// the first change it defines nothing. ConfigNotLoaded: the table was not read yet.
func Configuration(rows follower.Snapshot) (definer.Config, error) {
	if !rows.Loaded() {
		return definer.Config{}, coder.Refuse(coder.ConfigNotLoaded, "the configuration was not read yet")
	}
	f, err := Decode(rows.Rows())
	switch {
	case coder.Is(err, coder.ConfigNotLoaded):
		return definer.New(definer.Definitions{Limits: definer.DefaultLimits()}), nil
	case err != nil:
		return definer.Config{}, err
	}
	merged, err := merger.Merge(f.Files())
	if err != nil {
		return definer.Config{}, err
	}
	return merged.Config.WithVersion(f.version), nil
}

// withChange returns a copy with one more change.
func (f Files) withChange(c Change, proposal string) Files {
	f.version++
	f.byName = maps.Clone(f.byName)
	if c.Removed {
		delete(f.byName, c.File)
	} else {
		f.byName[c.File] = File{Name: c.File, Data: c.Data, ChangedAt: f.version}
	}
	f.recent = append(slices.Clone(f.recent), accepted{version: f.version, file: c.File, removed: c.Removed, proposal: proposal})
	f.recent = f.recent[max(0, len(f.recent)-recentChanges):]
	return f
}

// Version returns the version of the last change.
func (f Files) Version() uint64 { return f.version }

// ChangedAt returns the version that last set the file, 0 if there is none.
func (f Files) ChangedAt(name string) uint64 { return f.byName[name].ChangedAt }

// File returns a file.
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

// Files returns the files as the merger takes them.
func (f Files) Files() []parser.File {
	files := make([]parser.File, 0, len(f.byName))
	for _, file := range f.List() {
		files = append(files, parser.File{Name: file.Name, Data: file.Data})
	}
	return files
}

// has reports whether a proposal is among the changes that are remembered.
func (f Files) has(proposal string) bool {
	return slices.ContainsFunc(f.recent, func(a accepted) bool { return a.proposal == proposal })
}

// conflict tells the loser of a race what has changed since it looked.
func (f Files) conflict(name string, seen uint64) error {
	var lines []string
	for _, a := range f.recent {
		verb := "set"
		if a.removed {
			verb = "removed"
		}
		if a.version > seen {
			lines = append(lines, fmt.Sprintf("%s %s at version %d", a.file, verb, a.version))
		}
	}
	state := "is at version " + fmt.Sprint(f.ChangedAt(name))
	if f.ChangedAt(name) == 0 {
		state = "does not exist"
	}
	return coder.Refuse(coder.ConfigConflict, "file %s %s, not at version %d as seen; changed since: %s", name, state, seen, strings.Join(lines, ", "))
}
