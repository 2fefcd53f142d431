package parser

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"foxtailflow.example/foxtailflow/internal/base/coder"
)

// The kinds of section.
const (
	KindAccount    = "client-account"
	KindKey        = "key"
	KindRoute      = "route"
	KindRule       = "service-rule"
	KindDeployment = "deployment"
	KindPlacement  = "placement"
	KindLimits     = "limits"
)

// Fault is an error or a warning about a configuration, with its position.
type Fault struct {
	Code coder.Code
	// At is the setting that is at fault; its value is not part of the message.
	// Without a section, the fault is that of a line or of a file; without a file,
	// it is that of a default value.
	At   Setting
	Text string
}

// Message returns the position and the text, without the code.
func (f Fault) Message() string {
	var parts []string
	if f.At.File != "" {
		parts = append(parts, "file "+f.At.File)
	}
	if f.At.Line > 0 {
		parts = append(parts, fmt.Sprintf("line %d", f.At.Line))
	}
	if f.At.Section != (Section{}) {
		parts = append(parts, "section ["+f.At.Section.String()+"]")
	}
	if f.At.Key != "" {
		parts = append(parts, "key "+f.At.Key)
	}
	return strings.Join(parts, ", ") + ": " + f.Text
}

// Error returns the code and the message.
func (f Fault) Error() string { return f.Unwrap().Error() }

// Unwrap returns the fault as a coder.Error: what has a fault is not accepted.
func (f Fault) Unwrap() error { return coder.Refuse(f.Code, "%s", f.Message()) }

// Compare orders settings by kind and name of the section, and then by key.
func Compare(a, b Setting) int {
	return cmp.Or(strings.Compare(a.Section.Kind, b.Section.Kind), strings.Compare(a.Section.Name, b.Section.Name), strings.Compare(a.Key, b.Key))
}

// settingID identifies a setting; an empty key is the header of the section.
type settingID struct {
	section Section
	key     string
}

// Positions finds the settings of a configuration by section and key. It is not changed
// after it has been made.
type Positions map[settingID]Setting

// IndexSettings returns the positions of settings. A section without a header among
// them has that of its first setting.
func IndexSettings(settings []Setting) Positions {
	p := make(Positions, len(settings))
	for _, s := range settings {
		p[settingID{s.Section, s.Key}] = s
		if header := (settingID{section: s.Section}); s.Key != "" {
			if _, ok := p[header]; !ok {
				p[header] = s
			}
		}
	}
	return p
}

// Settings returns all settings and headers, in no order.
func (p Positions) Settings() []Setting { return slices.Collect(maps.Values(p)) }

// IsSet reports whether a key of a section is set.
func (p Positions) IsSet(section Section, key string) bool {
	_, ok := p[settingID{section, key}]
	return ok
}

// At returns the setting of a key, with the position of the section's header if the key
// is not set, and with no position if there is no such section.
func (p Positions) At(section Section, key string) Setting {
	s, ok := p[settingID{section, key}]
	if !ok {
		s = p[settingID{section, ""}]
		s.Value = ""
	}
	s.Section, s.Key = section, key
	return s
}
