package printer

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/go-faster/jx"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/decision/explainer"
)

// maxLineBytes is the size limit of a log line; longer lines are skipped.
const maxLineBytes = 1 << 20

// Decisions are the log lines of the decisions on one request or deployment.
type Decisions struct {
	ID    string
	Lines [][]byte
}

// ReadDecisions returns the decisions on a request or deployment in the order of
// the log. It skips all other lines, also those that are not JSON.
//
// It fails with DecisionUnknown if there are no such decisions.
func ReadDecisions(r io.Reader, id string) (Decisions, error) {
	found := Decisions{ID: id}
	in := bufio.NewReaderSize(r, maxLineBytes)
	for {
		line, err := in.ReadSlice('\n')
		tooLong := errors.Is(err, bufio.ErrBufferFull)
		if !tooLong && isDecisionOn(line, id) {
			found.Lines = append(found.Lines, bytes.TrimSpace(bytes.Clone(line)))
		}
		switch {
		case errors.Is(err, io.EOF):
			if len(found.Lines) == 0 {
				return found, coder.Refuse(coder.DecisionUnknown, "the logs have no decision on %s", id)
			}
			return found, nil
		case err != nil && !tooLong:
			return found, coder.Refuse(coder.MalformedBody, "the log cannot be read").WithCause(err)
		}
	}
}

// isDecisionOn reports whether a line is a decision on the request id, or on the
// roles or the fleet of the deployment id. Decisions on the requests of a
// deployment do not count, since there are too many.
func isDecisionOn(line []byte, id string) bool {
	var decision, request, deployment string
	fields := map[string]*string{
		explainer.FieldDecision:   &decision,
		explainer.FieldRequest:    &request,
		explainer.FieldDeployment: &deployment,
	}
	err := jx.DecodeBytes(line).Obj(func(d *jx.Decoder, name string) (err error) {
		field, ok := fields[name]
		if !ok || d.Next() != jx.String {
			return d.Skip()
		}
		*field, err = d.Str()
		return err
	})
	if err != nil || decision == "" {
		return false
	}
	if decision == explainer.Roles || decision == explainer.Fleet {
		return deployment == id
	}
	return request == id
}

// Text returns the decisions as text.
func (d Decisions) Text() (string, error) {
	var b bytes.Buffer
	if err := explainer.Explain(&b, bytes.NewReader(bytes.Join(d.Lines, []byte("\n"))), d.ID); err != nil {
		return "", err
	}
	return string(bytes.TrimRight(b.Bytes(), "\n")), nil
}

// Encode writes the fields of the JSON object.
func (d Decisions) Encode(e *jx.Encoder) {
	e.Field("id", func(e *jx.Encoder) { e.Str(d.ID) })
	e.Field("decisions", func(e *jx.Encoder) {
		e.Arr(func(e *jx.Encoder) {
			for _, line := range d.Lines {
				e.Raw(line)
			}
		})
	})
}
