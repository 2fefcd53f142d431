package applier

import (
	"github.com/go-faster/jx"

	"foxtailflow.example/foxtailflow/internal/base/coder"
)

// EncodeChange encodes a change for its row.
func EncodeChange(c Change) []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("version", func(e *jx.Encoder) { e.UInt64(c.Version) })
		e.Field("file", func(e *jx.Encoder) { e.Str(c.File) })
		e.Field("data", func(e *jx.Encoder) { e.Str(string(c.Data)) })
		e.Field("removed", func(e *jx.Encoder) { e.Bool(c.Removed) })
	})
	return e.Bytes()
}

// DecodeChange decodes a change from its row.
func DecodeChange(data []byte) (c Change, err error) {
	err = jx.DecodeBytes(data).Obj(func(d *jx.Decoder, name string) (err error) {
		switch name {
		case "version":
			c.Version, err = d.UInt64()
		case "file":
			c.File, err = d.Str()
		case "data":
			var s string
			s, err = d.Str()
			c.Data = []byte(s)
		case "removed":
			c.Removed, err = d.Bool()
		default:
			err = d.Skip()
		}
		return err
	})
	if err != nil {
		return c, coder.Wrap(coder.Internal, err, "malformed change of the configuration")
	}
	return c, nil
}
