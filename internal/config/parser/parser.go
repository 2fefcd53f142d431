// Package parser reads one configuration file.
//
// A file is INI text with sections such as [client-account "baden"] or
// [limits]. Parse turns it into a flat list of settings, each with the place
// that it came from. It knows the syntax only; what sections and keys mean is
// the merger's concern. The syntax is narrow on purpose: one key = value a
// line, comments that begin with # or ;, no continued lines and no references
// to other keys, so that every fault has a line.
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
//
// A setting with an empty key stands for the head of the section.
type Setting struct {
	Section Section
	Key     string
	Value   string
	File    string
	Line    int
}

// maxFile bounds one file, in bytes, as the operators' interface does.
const maxFile = 1 << 20

var options = ini.LoadOptions{
	AllowNonUniqueSections: true,
	// Shadows keep keys that stand twice, so that they can be refused.
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
	IgnoreContinuation:         true,
	KeyValueDelimiters:         "=",
}

// Parse reads a file into settings, in the order of the file, and puts the
// head of each section before its keys.
//
// The error joins every fault: ConfigSyntax, or ConfigDuplicate where a section
// or key stands twice.
func Parse(f File) ([]Setting, error) {
	if err := checkFile(f); err != nil {
		return nil, err
	}
	doc, err := ini.LoadSources(options, f.Data)
	if err != nil {
		return nil, refuse(coder.ConfigSyntax, f.Name, failingLine(f.Data), "%s", strings.TrimSpace(err.Error()))
	}
	p := parse{file: f.Name, lines: indexLines(f.Data), seen: make(map[Section]int)}
	for _, sec := range doc.Sections() {
		if sec.Name() == ini.DefaultSection {
			if len(sec.Keys()) > 0 {
				p.fail(coder.ConfigSyntax, p.lines.key(sec.Name(), sec.KeyStrings()[0], 0), "key %s stands before the first section", sec.KeyStrings()[0])
			}
			continue
		}
		p.section(sec)
	}
	return p.settings, errors.Join(p.faults...)
}

func checkFile(f File) error {
	switch {
	case !validFile(f.Name):
		return coder.Refuse(coder.ConfigSyntax, "file %q: a file name is letters, digits, dots, hyphens and underscores", f.Name)
	case len(f.Data) > maxFile:
		return coder.Refuse(coder.ConfigSyntax, "file %s: larger than %d bytes", f.Name, maxFile)
	case !utf8.Valid(f.Data):
		return coder.Refuse(coder.ConfigSyntax, "file %s: not UTF-8", f.Name)
	}
	return nil
}

func refuse(code coder.Code, file string, line int, format string, args ...any) error {
	return coder.Refuse(code, "file %s, line %d: %s", file, line, fmt.Sprintf(format, args...))
}

// failingLine returns the first line up to which the text cannot be read; the
// library does not report it.
func failingLine(data []byte) int {
	lines := strings.SplitAfter(string(data), "\n")
	return 1 + sort.Search(len(lines)-1, func(n int) bool {
		_, err := ini.LoadSources(options, []byte(strings.Join(lines[:n+1], "")))
		return err != nil
	})
}

// parse collects what a file has.
type parse struct {
	file     string
	lines    lines
	seen     map[Section]int
	settings []Setting
	faults   []error
}

func (p *parse) fail(code coder.Code, line int, format string, args ...any) {
	p.faults = append(p.faults, refuse(code, p.file, line, format, args...))
}

func (p *parse) section(sec *ini.Section) {
	head := p.lines.section(sec.Name(), 0)
	section, ok := parseSection(sec.Name())
	if !ok {
		p.fail(coder.ConfigSyntax, head, "section [%s]: a name is lower case letters, digits, dots and hyphens in double quotes", sec.Name())
		return
	}
	p.seen[section]++
	if n := p.seen[section]; n > 1 {
		p.fail(coder.ConfigDuplicate, p.lines.section(sec.Name(), n-1), "section [%s] stands twice", section)
		return
	}
	p.settings = append(p.settings, Setting{Section: section, File: p.file, Line: head})
	for _, k := range sec.Keys() {
		if len(k.ValueWithShadows()) > 1 {
			p.fail(coder.ConfigDuplicate, p.lines.key(sec.Name(), k.Name(), 1), "section [%s], key %s: the key stands twice", section, k.Name())
			continue
		}
		line := p.lines.key(sec.Name(), k.Name(), 0)
		if strings.ContainsAny(k.Value(), "\r\n") {
			p.fail(coder.ConfigSyntax, line, "section [%s], key %s: a value is on one line", section, k.Name())
			continue
		}
		p.settings = append(p.settings, Setting{Section: section, Key: k.Name(), Value: k.Value(), File: p.file, Line: line})
	}
}

func parseSection(text string) (Section, bool) {
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
	// maxName keeps table keys and log lines short.
	maxName     = 63
	maxFileName = 128
)

func validName(name string) bool {
	return len(name) <= maxName && consistsOf(name, "abcdefghijklmnopqrstuvwxyz0123456789-.")
}

func validFile(name string) bool {
	const allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._"
	return len(name) <= maxFileName && consistsOf(name, allowed)
}

func consistsOf(s, allowed string) bool {
	return s != "" && strings.Trim(s, allowed) == ""
}

// lines are the lines of sections and keys, from 1, in the order of the file.
type lines map[position][]int

type position struct{ section, key string }

func indexLines(data []byte) lines {
	index := make(lines)
	section := ini.DefaultSection
	for i, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(strings.TrimPrefix(line, "\ufeff"))
		if strings.HasPrefix(line, "#") || strings.HasPrefix(line, ";") {
			continue
		}
		if strings.HasPrefix(line, "[") {
			if end := strings.LastIndexByte(line, ']'); end > 0 {
				section = strings.TrimSpace(line[1:end])
				at := position{section: section}
				index[at] = append(index[at], i+1)
				continue
			}
		}
		if key, _, ok := strings.Cut(line, "="); ok {
			at := position{section: section, key: strings.TrimSpace(key)}
			index[at] = append(index[at], i+1)
		}
	}
	return index
}

// section returns the line of a section's n-th head, from 0.
func (l lines) section(name string, n int) int { return l.key(name, "", n) }

// key returns the line where a key stands for the n-th time, from 0.
func (l lines) key(section, key string, n int) int {
	if all := l[position{section: section, key: key}]; n < len(all) {
		return all[n]
	}
	return 0
}
