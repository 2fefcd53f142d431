// Package parser reads one configuration file.
//
// A file is INI text with sections such as [client-account "baden"] or
// [limits]. Parse turns it into a flat list of settings, each with the place
// that it came from. It knows the syntax only; what sections and keys mean is
// the merger's concern.
package parser

import (
	"strings"

	"gopkg.in/ini.v1"

	"foxtailflow.example/foxtailflow/internal/base/coder"
)

// File is one configuration file.
type File struct {
	Name string
	Data []byte
}

// Section names a section by its kind and, but for limits, its name.
type Section struct {
	Kind string
	Name string
}

// String returns the section as it stands in a file.
func (s Section) String() string {
	if s.Name == "" {
		return s.Kind
	}
	return s.Kind + ` "` + s.Name + `"`
}

// Setting is one key of a section and the file that it came from.
type Setting struct {
	Section Section
	Key     string
	Value   string
	File    string
	Line    int
}

// Parse reads a file into settings, in the order of the file.
//
// It fails with ConfigSyntax, or with ConfigDuplicate where a section or key
// stands twice. An empty section yields one setting with an empty key, so that
// a definition made of defaults only is not lost.
func Parse(f File) ([]Setting, error) {
	opts := ini.LoadOptions{AllowNonUniqueSections: true, AllowShadows: true, SkipUnrecognizableLines: false}
	doc, err := ini.LoadSources(opts, f.Data)
	if err != nil {
		return nil, coder.Refuse(coder.ConfigSyntax, "file %s: %v", f.Name, err)
	}
	lines := indexLines(f.Data)
	seen := make(map[Section]bool)
	var settings []Setting
	for _, sec := range doc.Sections() {
		if sec.Name() == ini.DefaultSection && len(sec.Keys()) == 0 {
			continue
		}
		section, err := parseSection(f.Name, sec.Name())
		if err != nil {
			return nil, err
		}
		if seen[section] {
			return nil, coder.Refuse(coder.ConfigDuplicate, "file %s: section [%s] stands twice", f.Name, section)
		}
		seen[section] = true
		got, err := parseKeys(f.Name, section, sec, lines)
		if err != nil {
			return nil, err
		}
		settings = append(settings, got...)
	}
	return settings, nil
}

func parseKeys(file string, section Section, sec *ini.Section, lines map[position]int) ([]Setting, error) {
	if len(sec.Keys()) == 0 {
		line := lines[position{section: sec.Name()}]
		return []Setting{{Section: section, File: file, Line: line}}, nil
	}
	var settings []Setting
	for _, k := range sec.Keys() {
		line := lines[position{section: sec.Name(), key: k.Name()}]
		if len(k.ValueWithShadows()) > 1 {
			return nil, coder.Refuse(coder.ConfigDuplicate, "file %s, line %d: key %s of [%s] stands twice", file, line, k.Name(), section)
		}
		settings = append(settings, Setting{Section: section, Key: k.Name(), Value: k.Value(), File: file, Line: line})
	}
	return settings, nil
}

func parseSection(file, text string) (Section, error) {
	kind, rest, named := strings.Cut(text, " ")
	if !named {
		return Section{Kind: kind}, nil
	}
	name, ok := strings.CutPrefix(strings.TrimSpace(rest), `"`)
	if ok {
		name, ok = strings.CutSuffix(name, `"`)
	}
	if !ok || !validName(name) {
		return Section{}, coder.Refuse(coder.ConfigSyntax, "file %s: section [%s]: a name is lower case letters, digits, dots and hyphens in double quotes", file, text)
	}
	return Section{Kind: kind, Name: name}, nil
}

// maxName keeps table keys and log lines short.
const maxName = 63

func validName(name string) bool {
	if name == "" || len(name) > maxName {
		return false
	}
	for _, c := range name {
		ok := c >= 'a' && c <= 'z' || c >= '0' && c <= '9' || c == '-' || c == '.'
		if !ok {
			return false
		}
	}
	return true
}

type position struct{ section, key string }

// indexLines finds the line of each section and key, from 1. The library does
// not report lines.
func indexLines(data []byte) map[position]int {
	lines := make(map[position]int)
	section := ini.DefaultSection
	for i, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") && strings.HasSuffix(line, "]") {
			section = line[1 : len(line)-1]
			lines[position{section: section}] = i + 1
			continue
		}
		if key, _, ok := strings.Cut(line, "="); ok {
			lines[position{section: section, key: strings.TrimSpace(key)}] = i + 1
		}
	}
	return lines
}
