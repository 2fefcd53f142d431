// Package decoder decodes callers' messages in the OpenAI format.
//
// It decodes only the fields that the system needs to route, limit and bill the
// request, and forwards the others unchanged: the engine decides what it supports.
package decoder

import (
	"errors"
	"io"

	"github.com/go-faster/jx"

	"foxtailflow.example/foxtailflow/internal/base/coder"
)

// CompletionRequest is the decoded part of a completion request.
type CompletionRequest struct {
	Model  string
	Stream bool
	// IncludeUsage is set if the caller requests the usage event of a stream.
	IncludeUsage bool
	// MaxTokens is the limit on output tokens, 0 if none is given.
	MaxTokens int
	// RawPrompt is the raw JSON of the messages or the prompt.
	RawPrompt []byte
	// options is the raw stream_options, nil if there are none.
	options []byte
	fields  []field
}

type field struct {
	name string
	raw  jx.Raw
}

// maxOutputTokens is more than any model generates. Larger limits are refused as
// malformed, since they could overflow sums.
const maxOutputTokens = 1 << 30

// bytesPerToken is the usual mean for text. It serves only for estimates: billing uses
// the engine's count.
const bytesPerToken = 4

// DecodeChat decodes a chat completion request.
func DecodeChat(body []byte) (CompletionRequest, error) {
	return decode(body, "messages", jx.Array)
}

// DecodeCompletion decodes a completion request.
func DecodeCompletion(body []byte) (CompletionRequest, error) {
	return decode(body, "prompt", jx.String, jx.Array)
}

func decode(body []byte, textField string, textTypes ...jx.Type) (CompletionRequest, error) {
	var req CompletionRequest
	d := jx.DecodeBytes(body)
	err := d.Obj(func(d *jx.Decoder, name string) error {
		raw, err := d.Raw()
		if err != nil {
			return err
		}
		req.fields = append(req.fields, field{name: name, raw: raw})
		return req.setField(name, raw, textField, textTypes)
	})
	if err == nil {
		// Only white space may follow the object.
		if !errors.Is(d.Skip(), io.EOF) {
			return CompletionRequest{}, malformed(nil, "text follows the JSON object")
		}
	}
	if err != nil {
		var refusal coder.Error
		if errors.As(err, &refusal) {
			return CompletionRequest{}, refusal
		}
		return CompletionRequest{}, malformed(err, "the body is not a JSON object of the expected form")
	}
	switch {
	case req.Model == "":
		return CompletionRequest{}, malformed(nil, "the field model is missing or empty")
	case req.RawPrompt == nil:
		return CompletionRequest{}, malformed(nil, "the field "+textField+" is missing")
	}
	return req, nil
}

func (req *CompletionRequest) setField(name string, raw jx.Raw, textField string, textTypes []jx.Type) (err error) {
	d := jx.DecodeBytes(raw)
	switch name {
	case textField:
		for _, t := range textTypes {
			if raw.Type() == t {
				req.RawPrompt = raw
				return nil
			}
		}
		return malformed(nil, "the field "+name+" has the wrong type")
	case "model":
		req.Model, err = d.Str()
	case "stream":
		if raw.Type() != jx.Null {
			req.Stream, err = d.Bool()
		}
	case "stream_options":
		if raw.Type() != jx.Null {
			req.options = raw
			err = req.setOptions(d)
		}
	case "max_tokens", "max_completion_tokens":
		if raw.Type() != jx.Null {
			req.MaxTokens, err = d.Int()
		}
		if err == nil && (req.MaxTokens < 0 || req.MaxTokens > maxOutputTokens) {
			return malformed(nil, "the field "+name+" is out of range")
		}
	}
	if err != nil {
		return malformed(err, "the field "+name+" has the wrong type")
	}
	return nil
}

func (req *CompletionRequest) setOptions(d *jx.Decoder) error {
	return d.Obj(func(d *jx.Decoder, name string) (err error) {
		if name != "include_usage" {
			return d.Skip()
		}
		req.IncludeUsage, err = d.Bool()
		return err
	})
}

// EstimateTokens estimates the number of prompt tokens from the length of the text.
func (req CompletionRequest) EstimateTokens() int {
	return max(len(req.RawPrompt)/bytesPerToken, 1)
}

// BodyWithUsage returns the body with the usage event requested, which billing needs
// even if the caller does not request it.
func (req CompletionRequest) BodyWithUsage() []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		for _, f := range req.fields {
			if f.name == "stream_options" {
				continue
			}
			e.Field(f.name, func(e *jx.Encoder) { e.Raw(f.raw) })
		}
		e.Field("stream_options", req.encodeOptions)
	})
	return e.Bytes()
}

func (req CompletionRequest) encodeOptions(e *jx.Encoder) {
	e.Obj(func(e *jx.Encoder) {
		if req.options != nil {
			_ = jx.DecodeBytes(req.options).Obj(func(d *jx.Decoder, name string) error {
				raw, err := d.Raw()
				if err == nil && name != "include_usage" {
					e.Field(name, func(e *jx.Encoder) { e.Raw(raw) })
				}
				return err
			})
		}
		e.Field("include_usage", func(e *jx.Encoder) { e.Bool(true) })
	})
}

func malformed(err error, text string) error {
	return coder.Refuse(coder.MalformedBody, "%s", text).WithCause(err)
}
