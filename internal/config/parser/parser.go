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

// KeyFile returns the name of the file that has nothing but a key, as the operators'
// interface stores a key that it has created.
func KeyFile(id string) string { return id + ".ini" }

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
		return nil, Fault{Code: coder.ConfigSyntax, At: Setting{File: f.Name, Line: failingLine(f.Data)}, Text: strings.TrimSpace(err.Error())}
	}
	p := fileParser{file: f.Name, lines: indexLines(f.Data), seen: make(map[Section]int)}
	for _, sec := range doc.Sections() {
		if sec.Name() == ini.DefaultSection {
			if len(sec.Keys()) > 0 {
				key := sec.KeyStrings()[0]
				p.addError(coder.ConfigSyntax, Setting{Line: p.lines.keyLine(sec.Name(), key, 0)}, "key "+key+" appears before the first section")
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
		return Fault{Code: coder.ConfigSyntax, At: Setting{File: f.Name}, Text: fmt.Sprintf("larger than %d bytes", maxFileBytes)}
	case !utf8.Valid(f.Data):
		return Fault{Code: coder.ConfigSyntax, At: Setting{File: f.Name}, Text: "not valid UTF-8"}
	}
	return nil
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

func (p *fileParser) addError(code coder.Code, at Setting, text string) {
	at.File = p.file
	p.errs = append(p.errs, Fault{Code: code, At: at, Text: text})
}

func (p *fileParser) addSection(sec *ini.Section) {
	header := Setting{File: p.file, Line: p.lines.sectionLine(sec.Name(), 0)}
	section, ok := ParseSection(sec.Name())
	if !ok {
		p.addError(coder.ConfigSyntax, header, "section ["+sec.Name()+"]: a name consists of lower-case letters, digits, dots and hyphens, in double quotes")
		return
	}
	header.Section = section
	p.seen[section]++
	if n := p.seen[section]; n > 1 {
		header.Line = p.lines.sectionLine(sec.Name(), n-1)
		p.addError(coder.ConfigDuplicate, header, "the section is defined twice")
		return
	}
	p.settings = append(p.settings, header)
	for _, k := range sec.Keys() {
		p.addKey(sec.Name(), section, k)
	}
}

func (p *fileParser) addKey(sectionName string, section Section, k *ini.Key) {
	s := Setting{Section: section, Key: k.Name(), File: p.file, Line: p.lines.keyLine(sectionName, k.Name(), 0)}
	switch {
	case len(k.ValueWithShadows()) > 1:
		s.Line = p.lines.keyLine(sectionName, k.Name(), 1)
		p.addError(coder.ConfigDuplicate, s, "the key is set twice")
	case strings.ContainsAny(k.Value(), "\r\n"):
		p.addError(coder.ConfigSyntax, s, "a value must be on one line")
	default:
		s.Value = k.Value()
		p.settings = append(p.settings, s)
	}
}

// ParseSection returns the section of a header without its brackets, and whether the
// header is well-formed.
func ParseSection(text string) (Section, bool) {
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
type lineIndex map[lineID][]int

// lineID identifies a line by the text of its section's header and its key.
type lineID struct{ section, key string }

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
				id := lineID{section: section}
				index[id] = append(index[id], i+1)
				continue
			}
		}
		if key, _, ok := strings.Cut(line, "="); ok {
			id := lineID{section: section, key: strings.TrimSpace(key)}
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
	if all := l[lineID{section: section, key: key}]; n < len(all) {
		return all[n]
	}
	return 0
}
