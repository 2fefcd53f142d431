// Package parser parses a single configuration file.
//
// A file is INI text with sections such as [client-account "baden"] or
// [limits]. Parse turns it into a flat list of settings, each with its file and
// line. The package handles the syntax only; the merger interprets sections and
// keys. The syntax is deliberately narrow, so that every error has a line: one
// key = value per line, comments that begin with # or ;, no line continuation
// and no references to other keys.
package parser

import (
	"errors"
	"fmt"
	"sort"
	"strings"
	"unicode/utf8"

	"gopkg.in/ini.v1"

	"foxtailflow.example/foxtailflow/internal/base/coder"
)

// File is one configuration file.
type File struct {
	Name string
	Data []byte
}

// Section identifies a section by its kind and its name. Only limits has no
// name.
type Section struct {
	Kind string
	Name string
}

// String returns the section as it is written in a file.
func (s Section) String() string {
	if s.Name == "" {
		return s.Kind
	}
	return s.Kind + ` "` + s.Name + `"`
}

// Setting is one key of a section with its value, file and line.
//
// A setting with an empty key represents the header of the section.
type Setting struct {
	Section Section
	Key     string
	Value   string
	File    string
	Line    int
}

// maxFileBytes is the size limit of one file, the same as on the operators'
// interface.
const maxFileBytes = 1 << 20

var iniOptions = ini.LoadOptions{
	AllowNonUniqueSections: true,
	// Shadows keep duplicate keys, so that Parse can report them.
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
	IgnoreContinuation:         true,
	KeyValueDelimiters:         "=",
}

// Parse returns the settings of a file in file order, with the header of each
// section before its keys.
//
// The error joins all errors found: ConfigDuplicate for a section or key that
// is defined twice, ConfigSyntax for anything else.
func Parse(f File) ([]Setting, error) {
	if err := checkFile(f); err != nil {
		return nil, err
	}
	doc, err := ini.LoadSources(iniOptions, f.Data)
	if err != nil {
		return nil, errorAt(coder.ConfigSyntax, f.Name, failingLine(f.Data), "%s", strings.TrimSpace(err.Error()))
	}
	p := fileParser{file: f.Name, lines: indexLines(f.Data), seen: make(map[Section]int)}
	for _, sec := range doc.Sections() {
		if sec.Name() == ini.DefaultSection {
			if len(sec.Keys()) > 0 {
				p.addError(coder.ConfigSyntax, p.lines.keyLine(sec.Name(), sec.KeyStrings()[0], 0), "key %s appears before the first section", sec.KeyStrings()[0])
			}
			continue
		}
		p.addSection(sec)
	}
	return p.settings, errors.Join(p.errs...)
}

func checkFile(f File) error {
	switch {
	case !validFileName(f.Name):
		return coder.Refuse(coder.ConfigSyntax, "file %q: a file name consists of letters, digits, dots, hyphens and underscores", f.Name)
	case len(f.Data) > maxFileBytes:
		return coder.Refuse(coder.ConfigSyntax, "file %s: larger than %d bytes", f.Name, maxFileBytes)
	case !utf8.Valid(f.Data):
		return coder.Refuse(coder.ConfigSyntax, "file %s: not valid UTF-8", f.Name)
	}
	return nil
}

func errorAt(code coder.Code, file string, line int, format string, args ...any) error {
	return coder.Refuse(code, "file %s, line %d: %s", file, line, fmt.Sprintf(format, args...))
}

// failingLine returns the number of the first line up to which the text does
// not parse; the library does not report it.
func failingLine(data []byte) int {
	lines := strings.SplitAfter(string(data), "\n")
	return 1 + sort.Search(len(lines)-1, func(n int) bool {
		_, err := ini.LoadSources(iniOptions, []byte(strings.Join(lines[:n+1], "")))
		return err != nil
	})
}

// fileParser collects the settings and errors of one file.
type fileParser struct {
	file     string
	lines    lineIndex
	seen     map[Section]int
	settings []Setting
	errs     []error
}

func (p *fileParser) addError(code coder.Code, line int, format string, args ...any) {
	p.errs = append(p.errs, errorAt(code, p.file, line, format, args...))
}

func (p *fileParser) addSection(sec *ini.Section) {
	headerLine := p.lines.sectionLine(sec.Name(), 0)
	section, ok := parseSectionHeader(sec.Name())
	if !ok {
		p.addError(coder.ConfigSyntax, headerLine, "section [%s]: a name consists of lower-case letters, digits, dots and hyphens, in double quotes", sec.Name())
		return
	}
	p.seen[section]++
	if n := p.seen[section]; n > 1 {
		p.addError(coder.ConfigDuplicate, p.lines.sectionLine(sec.Name(), n-1), "section [%s] is defined twice", section)
		return
	}
	p.settings = append(p.settings, Setting{Section: section, File: p.file, Line: headerLine})
	for _, k := range sec.Keys() {
		if len(k.ValueWithShadows()) > 1 {
			p.addError(coder.ConfigDuplicate, p.lines.keyLine(sec.Name(), k.Name(), 1), "section [%s], key %s: the key is set twice", section, k.Name())
			continue
		}
		line := p.lines.keyLine(sec.Name(), k.Name(), 0)
		if strings.ContainsAny(k.Value(), "\r\n") {
			p.addError(coder.ConfigSyntax, line, "section [%s], key %s: a value must be on one line", section, k.Name())
			continue
		}
		p.settings = append(p.settings, Setting{Section: section, Key: k.Name(), Value: k.Value(), File: p.file, Line: line})
	}
}

func parseSectionHeader(text string) (Section, bool) {
	kind, rest, named := strings.Cut(text, " ")
	if !named {
		return Section{Kind: kind}, true
	}
	name, ok := strings.CutPrefix(strings.TrimSpace(rest), `"`)
	if ok {
		name, ok = strings.CutSuffix(name, `"`)
	}
	return Section{Kind: kind, Name: name}, ok && validName(name)
}

const (
	// maxNameLength, in bytes, keeps table keys and log lines short.
	maxNameLength     = 63
	maxFileNameLength = 128
)

func validName(name string) bool {
	return len(name) <= maxNameLength && consistsOf(name, "abcdefghijklmnopqrstuvwxyz0123456789-.")
}

func validFileName(name string) bool {
	const allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._"
	return len(name) <= maxFileNameLength && consistsOf(name, allowed)
}

func consistsOf(s, allowed string) bool {
	return s != "" && strings.Trim(s, allowed) == ""
}

// lineIndex maps each section header and key to the line numbers where it
// appears, from 1, in file order.
type lineIndex map[settingID][]int

type settingID struct{ section, key string }

func indexLines(data []byte) lineIndex {
	index := make(lineIndex)
	section := ini.DefaultSection
	for i, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(strings.TrimPrefix(line, "\ufeff"))
		if strings.HasPrefix(line, "#") || strings.HasPrefix(line, ";") {
			continue
		}
		if strings.HasPrefix(line, "[") {
			if end := strings.LastIndexByte(line, ']'); end > 0 {
				section = strings.TrimSpace(line[1:end])
				id := settingID{section: section}
				index[id] = append(index[id], i+1)
				continue
			}
		}
		if key, _, ok := strings.Cut(line, "="); ok {
			id := settingID{section: section, key: strings.TrimSpace(key)}
			index[id] = append(index[id], i+1)
		}
	}
	return index
}

// sectionLine returns the line of a section's n-th header, from 0.
func (l lineIndex) sectionLine(name string, n int) int { return l.keyLine(name, "", n) }

// keyLine returns the line where a key appears for the n-th time, from 0. It
// returns 0 if there is none.
func (l lineIndex) keyLine(section, key string, n int) int {
	if all := l[settingID{section: section, key: key}]; n < len(all) {
		return all[n]
	}
	return 0
}
