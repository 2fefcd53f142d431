package applier

import (
	"maps"
	"slices"

	"foxtailflow.example/foxtailflow/internal/config/parser"
)

// Change is one accepted change: a file set to new content, or removed.
type Change struct {
	Version uint64
	File    string
	Data    []byte
	Removed bool
	// Proposal is unique to each proposal, so that a node can tell whether a
	// commit whose answer was lost is its own.
	Proposal string
}

// recentChanges is how many changes a node keeps for peers that are behind; a
// peer that is further behind gets the whole folder.
const recentChanges = 128

// Files is the folder of configuration files at one version.
//
// It is an immutable value; the With methods return changed copies.
type Files struct {
	version uint64
	byName  map[string]Change
	// recent are the last changes without a gap, up to the version.
	recent []Change
}

// WithChange returns a copy with one more change.
func (f Files) WithChange(c Change) Files { return f.WithChanges([]Change{c}) }

// WithChanges returns a copy with further changes, oldest first.
func (f Files) WithChanges(changes []Change) Files {
	if len(changes) == 0 {
		return f
	}
	next := Files{version: changes[len(changes)-1].Version, byName: make(map[string]Change, len(f.byName)+len(changes))}
	maps.Copy(next.byName, f.byName)
	for _, c := range changes {
		if c.Removed {
			delete(next.byName, c.File)
			continue
		}
		next.byName[c.File] = c
	}
	recent := slices.Concat(f.recent, changes)
	next.recent = recent[max(0, len(recent)-recentChanges):]
	return next
}

// wholeFolder returns the folder at a version from the last change of each file.
func wholeFolder(version uint64, changes []Change) Files {
	f := Files{version: version, byName: make(map[string]Change, len(changes))}
	for _, c := range changes {
		f.byName[c.File] = c
	}
	return f
}

// After returns the changes after a version; false if they are not all kept.
func (f Files) After(version uint64) ([]Change, bool) {
	if version >= f.version {
		return nil, true
	}
	if missing := f.version - version; missing <= uint64(len(f.recent)) {
		return f.recent[len(f.recent)-int(missing):], true
	}
	return nil, false
}

// Version returns the version of the last change.
func (f Files) Version() uint64 { return f.version }

// ChangedAt returns the version that last set the file, 0 if there is none.
func (f Files) ChangedAt(name string) uint64 { return f.byName[name].Version }

// File returns the change that last set the file.
func (f Files) File(name string) (Change, bool) {
	c, ok := f.byName[name]
	return c, ok
}

// Changes returns the last change of each file, in the order of their names.
func (f Files) Changes() []Change {
	changes := make([]Change, 0, len(f.byName))
	for _, name := range slices.Sorted(maps.Keys(f.byName)) {
		changes = append(changes, f.byName[name])
	}
	return changes
}

// List returns the files, in no order.
func (f Files) List() []parser.File {
	files := make([]parser.File, 0, len(f.byName))
	for _, c := range f.byName {
		files = append(files, parser.File{Name: c.File, Data: c.Data})
	}
	return files
}
