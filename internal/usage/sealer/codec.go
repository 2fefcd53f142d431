package sealer

import (
	"time"

	"github.com/go-faster/jx"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/usage/counter"
)

// EncodeFigures encodes the content of a segment row.
func EncodeFigures(figures []counter.Figures) []byte {
	var e jx.Encoder
	counter.EncodeFigures(&e, figures)
	return e.Bytes()
}

// DecodeFigures decodes the content of a segment row.
func DecodeFigures(data []byte) ([]counter.Figures, error) {
	figures, err := counter.DecodeFigures(jx.DecodeBytes(data))
	return figures, malformed(err)
}

func encodeMark(m mark) []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("sequence", func(e *jx.Encoder) { e.UInt64(m.sequence) })
		e.Field("at-ms", func(e *jx.Encoder) { e.Int64(m.at.UnixMilli()) })
	})
	return e.Bytes()
}

func decodeMark(data []byte) (m mark, err error) {
	err = jx.DecodeBytes(data).Obj(func(d *jx.Decoder, name string) (err error) {
		switch name {
		case "sequence":
			m.sequence, err = d.UInt64()
		case "at-ms":
			var ms int64
			ms, err = d.Int64()
			m.at = time.UnixMilli(ms)
		default:
			err = d.Skip()
		}
		return err
	})
	return m, malformed(err)
}

func malformed(err error) error {
	if err == nil {
		return nil
	}
	return coder.Wrap(coder.PlatformRefused, err, "malformed usage row")
}
