package speaker

import (
	"bytes"

	"github.com/go-faster/jx"
)

// Answer is what a node reads of an engine's answer or of one event of it.
type Answer struct {
	// ID ends in the identifier of the request that is answered.
	ID string
	// HasUsage says whether the usage figures are there.
	HasUsage     bool
	PromptTokens int64
	OutputTokens int64
	CachedTokens int64
	// Choices is the number of choices; the usage event has none.
	Choices int
	// Failed says that the event carries an error.
	Failed bool
}

// DecodeAnswer reads an answer or an event; other names are skipped.
func DecodeAnswer(data []byte) (a Answer, err error) {
	err = jx.DecodeBytes(data).Obj(func(d *jx.Decoder, name string) (err error) {
		switch name {
		case "id":
			a.ID, err = d.Str()
		case "choices":
			err = d.Arr(func(d *jx.Decoder) error {
				a.Choices++
				return d.Skip()
			})
		case "usage":
			if d.Next() == jx.Null {
				return d.Null()
			}
			a.HasUsage = true
			err = decodeUsage(d, &a)
		case "error":
			a.Failed = true
			err = d.Skip()
		default:
			err = d.Skip()
		}
		return err
	})
	return a, malformed(err)
}

func decodeUsage(d *jx.Decoder, a *Answer) error {
	return d.Obj(func(d *jx.Decoder, name string) (err error) {
		switch name {
		case "prompt_tokens":
			a.PromptTokens, err = d.Int64()
		case "completion_tokens":
			a.OutputTokens, err = d.Int64()
		case "prompt_tokens_details":
			err = d.Obj(func(d *jx.Decoder, name string) (err error) {
				if name != "cached_tokens" {
					return d.Skip()
				}
				a.CachedTokens, err = d.Int64()
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
	doneMark    = []byte("[DONE]")
)

// EventData returns the data of a line of an event stream, and whether the
// line has any.
func EventData(line []byte) ([]byte, bool) {
	data, ok := bytes.CutPrefix(line, eventPrefix)
	return bytes.TrimSpace(data), ok
}

// IsDone reports whether the data is the mark at the end of a whole stream.
func IsDone(data []byte) bool {
	return bytes.Equal(data, doneMark)
}
