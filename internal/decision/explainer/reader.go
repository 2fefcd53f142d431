package explainer

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/go-faster/jx"

	"foxtailflow.example/foxtailflow/internal/base/coder"
)

// Line is one logged decision.
type Line struct {
	Time          string
	Node          string
	Decision      string
	Request       string
	Account       string
	Deployment    string
	Chosen        string
	Reason        string
	Code          int
	RetryAfter    string
	Orders        []string
	Rejected      []string
	Figures       []string
	PrefillEngine string
	// PrefillReason is why that engine prefills the prompt.
	PrefillReason string
	FetchFrom     string
	// ListSource is the address of the node that has sent the list of endpoints.
	ListSource string
	Endpoint   string
	// FirstEndpoint is where a request with a second attempt was sent first.
	FirstEndpoint string
	Outcome       string
	Cause         string
	Route         string
	Status        int
	// Parts are the shared parts of the prompt of a failed attempt, Begun says that the
	// response to it had begun.
	Parts []string
	Begun bool
	// HeadReceived says that the head of a response to a failed attempt was received,
	// ConnectionReused that its connection had carried a request before.
	HeadReceived     bool
	ConnectionReused bool
	// OwnPart is the last part of that prompt.
	OwnPart string
	// OtherFigures are the figures of the other fields.
	OtherFigures []string
}

// maxLineBytes bounds the length of a log line; longer lines are skipped.
const maxLineBytes = 1 << 20

// Explain writes to w a readable description of the decisions on a request or a
// deployment, in the order of the lines of r.
//
// Lines that are not decisions are skipped. It fails with RowUnknown if there is
// no decision on the identifier.
func Explain(w io.Writer, r io.Reader, identifier string) error {
	in := bufio.NewReaderSize(r, maxLineBytes)
	n := 0
	for {
		data, err := in.ReadSlice('\n')
		tooLong := errors.Is(err, bufio.ErrBufferFull)
		if l, ok := decode(data); ok && !tooLong && l.concerns(identifier) {
			n++
			if _, err := io.WriteString(w, l.Text()); err != nil {
				return err
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			if n == 0 {
				return coder.Refuse(coder.RowUnknown, "no decision on %s was found", identifier)
			}
			return nil
		case err != nil && !tooLong:
			return err
		}
	}
}

// concerns reports whether the line is a decision on a request, or one on the
// roles or fleet of a deployment. The requests of a deployment are excluded, as
// there are too many.
func (l Line) concerns(identifier string) bool {
	if l.Decision == Roles || l.Decision == Fleet {
		return l.Deployment == identifier
	}
	return l.Request == identifier
}

// Text returns a readable description of the decision.
func (l Line) Text() string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "%s", l.Decision)
	if l.Time != "" {
		_, _ = fmt.Fprintf(&b, " at %s", l.Time)
	}
	if l.Node != "" {
		_, _ = fmt.Fprintf(&b, " by %s", l.Node)
	}
	if l.Deployment != "" {
		_, _ = fmt.Fprintf(&b, ", deployment %s", l.Deployment)
	}
	if l.Route != "" {
		_, _ = fmt.Fprintf(&b, ", route %s", l.Route)
	}
	if l.Account != "" {
		_, _ = fmt.Fprintf(&b, ", client account %s", l.Account)
	}
	b.WriteString("\n")
	switch {
	case l.Decision == PrefillFailure:
		_, _ = fmt.Fprintf(&b, "  %s did not prefill the prompt: %s\n", l.Endpoint, l.Reason)
	case l.Decision == SecondAttempt:
		_, _ = fmt.Fprintf(&b, "  second attempt at %s, first one at %s: %s\n", l.Endpoint, l.FirstEndpoint, l.Reason)
	case l.Decision == Attempt:
		_, _ = fmt.Fprintf(&b, "  failed at %s, %s, code %d: %s%s\n", l.Endpoint, l.Outcome, l.Code, l.Reason, l.causeText())
		l.writeConnection(&b)
		l.writeParts(&b)
	case l.Decision == End && l.Code != 0:
		_, _ = fmt.Fprintf(&b, "  %s, code %d: %s%s%s\n", l.Outcome, l.Code, l.Reason, l.causeText(), l.retryText())
	case l.Decision == End:
		_, _ = fmt.Fprintf(&b, "  completed with status %d by %s\n", l.Status, l.Endpoint)
	case l.Decision == Admission:
		_, _ = fmt.Fprintf(&b, "  refused, not run, code %d: %s; retry after %s\n", l.Code, l.Reason, l.RetryAfter)
	case l.Decision == Routing && l.Chosen == "":
		_, _ = fmt.Fprintf(&b, "  no endpoint chosen: %s%s\n", l.Reason, l.retryText())
	case l.Decision == Routing:
		_, _ = fmt.Fprintf(&b, "  chose %s: %s\n", l.Chosen, l.Reason)
		if l.PrefillEngine != "" {
			_, _ = fmt.Fprintf(&b, "  %s prefills the prompt: %s\n", l.PrefillEngine, l.PrefillReason)
		}
		if l.FetchFrom != "" {
			_, _ = fmt.Fprintf(&b, "  copies the prompt prefix from %s\n", l.FetchFrom)
		}
		if l.ListSource != "" {
			_, _ = fmt.Fprintf(&b, "  follows the list of endpoints through the node at %s\n", l.ListSource)
		}
	case len(l.Orders) == 0:
		_, _ = fmt.Fprintf(&b, "  no order: %s\n", l.Reason)
	default:
		_, _ = fmt.Fprintf(&b, "  ordered %s: %s\n", strings.Join(l.Orders, ", "), l.Reason)
	}
	l.writeRejected(&b)
	if figures := slices.Concat(l.Figures, l.OtherFigures); len(figures) > 0 {
		_, _ = fmt.Fprintf(&b, "  figures %s\n", strings.Join(figures, ", "))
	}
	return b.String()
}

// writeRejected writes what was not chosen, and why.
func (l Line) writeRejected(b *strings.Builder) {
	for _, r := range l.Rejected {
		name, reason := r, ""
		if i := strings.LastIndexByte(r, ':'); i >= 0 {
			name, reason = r[:i], r[i+1:]
		}
		_, _ = fmt.Fprintf(b, "  rejected %s: %s\n", name, reason)
	}
}

// writeConnection writes whether the connection of a response was reused.
func (l Line) writeConnection(b *strings.Builder) {
	if !l.HeadReceived {
		return
	}
	state := "new"
	if l.ConnectionReused {
		state = "reused"
	}
	_, _ = fmt.Fprintf(b, "  response on a %s connection\n", state)
}

// writeParts writes the shared parts of the prompt, if there are any.
func (l Line) writeParts(b *strings.Builder) {
	if len(l.Parts) == 0 {
		return
	}
	state := "not begun"
	if l.Begun {
		state = "begun"
	}
	_, _ = fmt.Fprintf(b, "  response %s, prompt parts %s", state, strings.Join(l.Parts, ", "))
	if l.OwnPart != "" {
		_, _ = fmt.Fprintf(b, ", own part %s", l.OwnPart)
	}
	b.WriteString("\n")
}

// causeText returns the cause of a failure, or "".
func (l Line) causeText() string {
	if l.Cause == "" {
		return ""
	}
	return ", cause " + l.Cause
}

// retryText returns the retry delay sent to the caller, or "".
func (l Line) retryText() string {
	if l.RetryAfter == "" {
		return ""
	}
	return "; retry after " + l.RetryAfter
}

// decode parses a log line and reports whether it is a decision.
func decode(data []byte) (l Line, ok bool) {
	texts := map[string]*string{
		"time": &l.Time, "node": &l.Node, FieldDecision: &l.Decision, FieldRequest: &l.Request,
		FieldAccount: &l.Account, FieldDeployment: &l.Deployment, FieldChosen: &l.Chosen,
		FieldReason: &l.Reason, FieldRetryAfter: &l.RetryAfter, FieldPrefillEngine: &l.PrefillEngine, FieldPrefillReason: &l.PrefillReason, FieldFetchFrom: &l.FetchFrom,
		FieldListSource: &l.ListSource,
		FieldEndpoint:   &l.Endpoint, FieldOutcome: &l.Outcome, FieldCause: &l.Cause, FieldRoute: &l.Route,
		FieldOwnPart: &l.OwnPart, FieldFirstEndpoint: &l.FirstEndpoint,
	}
	numbers := map[string]*int{FieldCode: &l.Code, FieldStatus: &l.Status}
	err := jx.DecodeBytes(data).Obj(func(d *jx.Decoder, name string) (err error) {
		if text, ok := texts[name]; ok && d.Next() == jx.String {
			*text, err = d.Str()
			return err
		}
		if number, ok := numbers[name]; ok && d.Next() == jx.Number {
			*number, err = d.Int()
			return err
		}
		return l.decodeField(d, name)
	})
	kinds := []string{Routing, Admission, PrefillFailure, Attempt, SecondAttempt, End, Roles, Fleet}
	return l, err == nil && slices.Contains(kinds, l.Decision)
}

// decodeField parses a field that is a list, an object or one of the other figures,
// and skips unknown fields.
func (l *Line) decodeField(d *jx.Decoder, name string) (err error) {
	var figures []string
	switch name {
	case FieldOrders:
		l.Orders, err = decodeList(d)
	case FieldRejected:
		l.Rejected, err = decodeList(d)
	case FieldParts:
		l.Parts, err = decodeList(d)
	case FieldBegun:
		if d.Next() != jx.Bool {
			return d.Skip()
		}
		l.Begun, err = d.Bool()
	case FieldReused:
		if d.Next() != jx.Bool {
			return d.Skip()
		}
		l.HeadReceived = true
		l.ConnectionReused, err = d.Bool()
	case FieldFigures:
		l.Figures, err = decodeFigures(d)
	case FieldBasis, FieldPrefillBasis:
		figures, err = decodeFigures(d)
		for i := range figures {
			figures[i] = name + " " + figures[i]
		}
	case FieldPrefillTime, FieldFirstOutputTime, FieldDuration, FieldAttempt, FieldAttempts, FieldEvents, FieldWaited, FieldConfigVersion, FieldPromptTokens, FieldPrefillRate, FieldListVersion, FieldListAge:
		if d.Next() != jx.Number {
			return d.Skip()
		}
		var n jx.Num
		n, err = d.Num()
		figures = []string{name + " " + n.String()}
	default:
		err = d.Skip()
	}
	l.OtherFigures = append(l.OtherFigures, figures...)
	return err
}

func decodeList(d *jx.Decoder) (items []string, err error) {
	if d.Next() != jx.Array {
		return nil, d.Skip()
	}
	err = d.Arr(func(d *jx.Decoder) error {
		s, err := d.Str()
		items = append(items, s)
		return err
	})
	return items, err
}

func decodeFigures(d *jx.Decoder) (items []string, err error) {
	if d.Next() != jx.Object {
		return nil, d.Skip()
	}
	err = d.Obj(func(d *jx.Decoder, name string) error {
		n, err := d.Num()
		items = append(items, name+" "+n.String())
		return err
	})
	return items, err
}

func itoa(n int) string { return strconv.Itoa(n) }

// round rounds to one decimal place.
func round(f float64) float64 { return math.Round(f*10) / 10 }
