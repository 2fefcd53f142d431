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

// maxLine bounds one log line, in bytes; longer ones are no decisions.
const maxLine = 1 << 20

// Decisions are the log lines of the decisions on one request or deployment.
type Decisions struct {
	ID    string
	Lines [][]byte
}

// ReadDecisions finds the decisions on a request or deployment in a log, in
// its order. What other programs wrote to the log is passed over.
//
// It fails with DecisionUnknown if there is none.
func ReadDecisions(r io.Reader, id string) (Decisions, error) {
	found := Decisions{ID: id}
	in := bufio.NewReaderSize(r, maxLine)
	for {
		line, err := in.ReadSlice('\n')
		tooLong := errors.Is(err, bufio.ErrBufferFull)
		if !tooLong && isAbout(line, id) {
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

// isAbout reports whether a line is a decision on a request, or one on the
// roles or fleet of a deployment; a deployment's requests are too many.
func isAbout(line []byte, id string) bool {
	var decision, request, deployment string
	texts := map[string]*string{
		explainer.FieldDecision:   &decision,
		explainer.FieldRequest:    &request,
		explainer.FieldDeployment: &deployment,
	}
	err := jx.DecodeBytes(line).Obj(func(d *jx.Decoder, name string) (err error) {
		text, ok := texts[name]
		if !ok || d.Next() != jx.String {
			return d.Skip()
		}
		*text, err = d.Str()
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

// Text returns the decisions in words.
func (d Decisions) Text() (string, error) {
	var b bytes.Buffer
	if err := explainer.Explain(&b, bytes.NewReader(bytes.Join(d.Lines, []byte("\n"))), d.ID); err != nil {
		return "", err
	}
	return string(bytes.TrimRight(b.Bytes(), "\n")), nil
}

// Encode writes the fields of the decisions.
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
