// Package configurer reads the settings of the stand-ins.
//
// Each stand-in is a process of its own with an INI file; a key that is not
// set has the default of its field, and an unknown key is refused.
package configurer

import (
	"time"

	"gopkg.in/ini.v1"

	"foxtailflow.example/foxtailflow/internal/base/coder"
)

// File is a read settings file.
type File struct {
	name string
	sec  *ini.Section
	used map[string]bool
}

// Load reads the section of one kind of stand-in from a settings file.
func Load(path, section string) (*File, error) {
	doc, err := ini.Load(path)
	if err != nil {
		return nil, coder.Refuse(coder.SettingsBad, "settings %s", path).WithCause(err)
	}
	return &File{name: path, sec: doc.Section(section), used: make(map[string]bool)}, nil
}

func (f *File) key(name string) *ini.Key {
	f.used[name] = true
	return f.sec.Key(name)
}

// Text returns a value or its default.
func (f *File) Text(name, otherwise string) string { return f.key(name).MustString(otherwise) }

// Number returns a value or its default.
func (f *File) Number(name string, otherwise int) int { return f.key(name).MustInt(otherwise) }

// Flag returns a value or its default.
func (f *File) Flag(name string, otherwise bool) bool { return f.key(name).MustBool(otherwise) }

// Duration returns a value or its default.
func (f *File) Duration(name string, otherwise time.Duration) time.Duration {
	return f.key(name).MustDuration(otherwise)
}

// Check fails with SettingsBad if the file has a key that nothing has read.
func (f *File) Check() error {
	for _, name := range f.sec.KeyStrings() {
		if !f.used[name] {
			return coder.Refuse(coder.SettingsBad, "settings %s: there is no key %s", f.name, name)
		}
	}
	return nil
}
