package controller

import (
	"bytes"
	"unicode/utf8"

	"github.com/go-faster/jx"

	"foxtailflow.example/foxtailflow/internal/base/coder"
)

// Response has the fields that a node reads of an engine's response, or of one
// event of a stream.
type Response struct {
	// ID ends in the identifier of the request.
	ID string
	// HasUsage says whether the response has usage figures.
	HasUsage     bool
	PromptTokens int64
	OutputTokens int64
	CachedTokens int64
	// Choices is the number of choices; the usage event has none.
	Choices int
	// Failed says that the response or event has an error.
	Failed bool
}

// DecodeResponse decodes a response or an event; other fields are skipped. The data must be
// one JSON object in UTF-8 and nothing else.
func DecodeResponse(data []byte) (resp Response, err error) {
	if !utf8.Valid(data) || !jx.Valid(data) {
		return resp, coder.New(coder.EndpointFailed, "malformed message from an endpoint")
	}
	err = jx.DecodeBytes(data).Obj(func(d *jx.Decoder, name string) (err error) {
		switch name {
		case "id":
			resp.ID, err = d.Str()
		case "choices":
			err = d.Arr(func(d *jx.Decoder) error {
				resp.Choices++
				return d.Skip()
			})
		case "usage":
			if d.Next() == jx.Null {
				return d.Null()
			}
			resp.HasUsage = true
			err = decodeUsage(d, &resp)
		case "error":
			resp.Failed = true
			err = d.Skip()
		default:
			err = d.Skip()
		}
		return err
	})
	return resp, wrapMalformed(err)
}

func decodeUsage(d *jx.Decoder, resp *Response) error {
	return d.Obj(func(d *jx.Decoder, name string) (err error) {
		switch name {
		case "prompt_tokens":
			resp.PromptTokens, err = d.Int64()
		case "completion_tokens":
			resp.OutputTokens, err = d.Int64()
		case "prompt_tokens_details":
			err = d.Obj(func(d *jx.Decoder, name string) (err error) {
				if name != "cached_tokens" {
					return d.Skip()
				}
				resp.CachedTokens, err = d.Int64()
				return err
			})
		default:
			err = d.Skip()
		}
		return err
	})
}

var (
	eventPrefix = []byte("data:")
	doneData    = []byte("[DONE]")
)

// EventData returns the data of a line of an event stream, and whether it is a
// data line.
func EventData(line []byte) ([]byte, bool) {
	data, ok := bytes.CutPrefix(line, eventPrefix)
	return bytes.TrimSpace(data), ok
}

// IsDone reports whether the data is the marker at the end of a complete stream.
func IsDone(data []byte) bool {
	return bytes.Equal(data, doneData)
}
