package printer

import (
	"bufio"
	"fmt"
	"io"
	"strings"

	"github.com/go-faster/jx"

	"foxtailflow.example/foxtailflow/internal/base/coder"
)

// maxLine bounds one log line, in bytes.
const maxLine = 1 << 20

// field is one field of a log line.
type field struct {
	name  string
	value string
}

// Decision is the log line of one decision.
type Decision struct {
	// Kind is what was decided, such as "routing".
	Kind   string
	fields []field
	raw    string
}

// Raw returns the line as it was logged.
func (d Decision) Raw() string { return d.raw }

// ReadDecisions returns the decision lines of a request or deployment, in the
// order of the log. Lines that are not JSON are passed over: a log may hold
// what other programs wrote.
func ReadDecisions(r io.Reader, id string) ([]Decision, error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	var found []Decision
	for lines.Scan() {
		if d, ok := parseDecision(lines.Bytes(), id); ok {
			found = append(found, d)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, coder.Refuse(coder.MalformedBody, "the log cannot be read").WithCause(err)
	}
	return found, nil
}

func parseDecision(line []byte, id string) (Decision, bool) {
	d := Decision{raw: string(line)}
	about := false
	err := jx.DecodeBytes(line).Obj(func(dec *jx.Decoder, name string) error {
		raw, err := dec.Raw()
		if err != nil {
			return err
		}
		value := plain(raw)
		switch name {
		case "decision":
			d.Kind = value
		case "request", "deployment":
			about = about || value == id
			d.fields = append(d.fields, field{name, value})
		case "level", "message":
		default:
			d.fields = append(d.fields, field{name, value})
		}
		return nil
	})
	return d, err == nil && about && d.Kind != ""
}

// plain returns a JSON value as text: strings without quotes, arrays as a list.
func plain(raw jx.Raw) string {
	switch raw.Type() {
	case jx.String:
		s, err := jx.DecodeBytes(raw).Str()
		if err == nil {
			return s
		}
	case jx.Array:
		var items []string
		err := jx.DecodeBytes(raw).Arr(func(d *jx.Decoder) error {
			item, err := d.Raw()
			items = append(items, plain(item))
			return err
		})
		if err == nil {
			return strings.Join(items, ", ")
		}
	}
	return string(raw)
}

// String returns the decision as one line: the kind, then each field that has
// a value.
func (d Decision) String() string {
	parts := make([]string, 0, len(d.fields))
	for _, f := range d.fields {
		if f.value != "" {
			parts = append(parts, fmt.Sprintf("%s %s", f.name, f.value))
		}
	}
	return d.Kind + ": " + strings.Join(parts, "; ")
}
