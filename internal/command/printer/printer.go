// Package printer prints the results of commands for operators.
//
// Each result has two forms: text in columns for people, and one JSON object for
// scripts. The package also finds the decisions on a request in logs and prints
// them as text.
package printer

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/go-faster/jx"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/config/parser"
)

// Printer prints results either as text or as JSON.
type Printer struct {
	Out io.Writer
	// JSON selects the JSON form.
	JSON bool
}

// Result is a result in both forms.
type Result struct {
	// Encode writes the fields of the JSON object.
	Encode func(e *jx.Encoder)
	// Rows are printed in columns. The first of several rows is the heading.
	Rows [][]string
	// Text is printed after the rows.
	Text string
}

// Print prints a result.
func (p Printer) Print(r Result) error {
	if p.JSON {
		var e jx.Encoder
		e.Obj(r.Encode)
		_, err := fmt.Fprintln(p.Out, e.String())
		return err
	}
	w := tabwriter.NewWriter(p.Out, 0, 0, 2, ' ', 0)
	for _, row := range r.Rows {
		if _, err := fmt.Fprintln(w, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	if err := w.Flush(); err != nil || r.Text == "" {
		return err
	}
	_, err := fmt.Fprintln(p.Out, r.Text)
	return err
}

// PrintError prints the error of a failed command, each joined error on its own line.
func (p Printer) PrintError(err error) {
	for _, f := range JoinedErrors(err) {
		if p.JSON {
			var e jx.Encoder
			e.Obj(func(e *jx.Encoder) { EncodeError(e, f) })
			_, _ = fmt.Fprintln(p.Out, e.String())
			continue
		}
		_, _ = fmt.Fprintf(p.Out, "foxtailflow: %v\n", f)
	}
}

// JoinedErrors returns the errors that are joined in err, or err itself.
func JoinedErrors(err error) []error {
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		return joined.Unwrap()
	}
	return []error{err}
}

// EncodeError writes the fields of one error, with its position if it has one.
func EncodeError(e *jx.Encoder, err error) {
	f := coder.FromError(err)
	e.Field("code", func(e *jx.Encoder) { e.Int(int(f.Code())) })
	e.Field("outcome", func(e *jx.Encoder) { e.Str(f.Outcome().String()) })
	e.Field("message", func(e *jx.Encoder) { e.Str(f.Message()) })
	var fault parser.Fault
	if errors.As(err, &fault) {
		EncodePosition(e, fault.At)
	}
}

// EncodeFault writes the fields of a fault that refuses nothing, such as a warning.
func EncodeFault(e *jx.Encoder, f parser.Fault) {
	e.Field("code", func(e *jx.Encoder) { e.Int(int(f.Code)) })
	e.Field("message", func(e *jx.Encoder) { e.Str(f.Message()) })
	EncodePosition(e, f.At)
}

// EncodePosition writes the fields of the position of a setting.
func EncodePosition(e *jx.Encoder, at parser.Setting) {
	e.Field("file", func(e *jx.Encoder) { e.Str(at.File) })
	e.Field("line", func(e *jx.Encoder) { e.Int(at.Line) })
	e.Field("section", func(e *jx.Encoder) { e.Str(at.Section.String()) })
	e.Field("key", func(e *jx.Encoder) { e.Str(at.Key) })
}
