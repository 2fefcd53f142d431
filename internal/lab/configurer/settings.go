// Package configurer reads the settings of the stand-ins.
//
// Each stand-in is a process of its own with an INI file; a key that is not
// set has the default of its field, and an unknown key is refused.
package configurer

import (
	"strconv"
	"time"

	"gopkg.in/ini.v1"

	"foxtailflow.example/foxtailflow/internal/base/coder"
)

// File is a read settings file.
type File struct {
	name string
	sec  *ini.Section
	used map[string]bool
	err  error
}

// Load reads the section of one kind of stand-in from a settings file.
func Load(path, section string) (*File, error) {
	doc, err := ini.Load(path)
	if err != nil {
		return nil, coder.Refuse(coder.SettingsBad, "settings %s", path).WithCause(err)
	}
	return &File{name: path, sec: doc.Section(section), used: make(map[string]bool)}, nil
}

// value reads a key, or returns its default where it is not set; the first
// value that cannot be read is kept for Check.
func value[T any](f *File, name string, otherwise T, parse func(string) (T, error)) T {
	f.used[name] = true
	if !f.sec.HasKey(name) {
		return otherwise
	}
	v, err := parse(f.sec.Key(name).String())
	if err != nil && f.err == nil {
		f.err = coder.Refuse(coder.SettingsBad, "settings %s: key %s: %v", f.name, name, err)
	}
	return v
}

// Text returns a value or its default.
func (f *File) Text(name, otherwise string) string {
	return value(f, name, otherwise, func(s string) (string, error) { return s, nil })
}

// Number returns a value or its default.
func (f *File) Number(name string, otherwise int) int {
	return value(f, name, otherwise, strconv.Atoi)
}

// Fraction returns a value or its default.
func (f *File) Fraction(name string, otherwise float64) float64 {
	return value(f, name, otherwise, func(s string) (float64, error) { return strconv.ParseFloat(s, 64) })
}

// Flag returns a value or its default.
func (f *File) Flag(name string, otherwise bool) bool {
	return value(f, name, otherwise, strconv.ParseBool)
}

// Duration returns a value or its default.
func (f *File) Duration(name string, otherwise time.Duration) time.Duration {
	return value(f, name, otherwise, time.ParseDuration)
}

// Check fails with SettingsBad if the file has a key that nothing has read, or
// a value that could not be read.
func (f *File) Check() error {
	if f.err != nil {
		return f.err
	}
	for _, name := range f.sec.KeyStrings() {
		if !f.used[name] {
			return coder.Refuse(coder.SettingsBad, "settings %s: there is no key %s", f.name, name)
		}
	}
	return nil
}
