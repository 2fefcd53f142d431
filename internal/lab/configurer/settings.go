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

// File is one section of a settings file that has been read.
type File struct {
	name    string
	section *ini.Section
	used    map[string]bool
	err     error
}

// Load reads the section of one kind of stand-in from a settings file.
func Load(path, section string) (*File, error) {
	doc, err := ini.Load(path)
	if err != nil {
		return nil, coder.Refuse(coder.SettingsBad, "settings %s", path).WithCause(err)
	}
	return &File{name: path, section: doc.Section(section), used: make(map[string]bool)}, nil
}

// value parses the value of a key, or returns the fallback if the key is not
// set; the first value that cannot be parsed is kept for Check.
func value[T any](f *File, name string, fallback T, parse func(string) (T, error)) T {
	f.used[name] = true
	if !f.section.HasKey(name) {
		return fallback
	}
	v, err := parse(f.section.Key(name).String())
	if err != nil && f.err == nil {
		f.err = coder.Refuse(coder.SettingsBad, "settings %s: key %s: %v", f.name, name, err)
	}
	return v
}

// Text returns the value of a key, or the fallback if the key is not set.
func (f *File) Text(name, fallback string) string {
	return value(f, name, fallback, func(s string) (string, error) { return s, nil })
}

// Int returns the integer value of a key, or the fallback if the key is not
// set.
func (f *File) Int(name string, fallback int) int {
	return value(f, name, fallback, strconv.Atoi)
}

// Float returns the floating-point value of a key, or the fallback if the
// key is not set.
func (f *File) Float(name string, fallback float64) float64 {
	return value(f, name, fallback, func(s string) (float64, error) { return strconv.ParseFloat(s, 64) })
}

// Bool returns the Boolean value of a key, or the fallback if the key is not
// set.
func (f *File) Bool(name string, fallback bool) bool {
	return value(f, name, fallback, strconv.ParseBool)
}

// Duration returns the duration value of a key, or the fallback if the key is
// not set.
func (f *File) Duration(name string, fallback time.Duration) time.Duration {
	return value(f, name, fallback, time.ParseDuration)
}

// Check fails with SettingsBad if the file has a key that nothing has read, or
// a value that could not be parsed.
func (f *File) Check() error {
	if f.err != nil {
		return f.err
	}
	for _, name := range f.section.KeyStrings() {
		if !f.used[name] {
			return coder.Refuse(coder.SettingsBad, "settings %s: unknown key %s", f.name, name)
		}
	}
	return nil
}
