package applier

import (
	"github.com/go-faster/jx"

	"foxtailflow.example/foxtailflow/internal/base/coder"
)

// The keys of the configuration rows.
const (
	// KeyPrefix is the common prefix of all keys.
	KeyPrefix  = "config/"
	headKey    = KeyPrefix + "head"
	filePrefix = KeyPrefix + "file/"
)

// headRow is the row that every change updates.
type headRow struct {
	version uint64
	recent  []acceptedChange
}

func encodeHead(f Files) []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("version", func(e *jx.Encoder) { e.UInt64(f.version) })
		e.Field("recent", func(e *jx.Encoder) {
			e.Arr(func(e *jx.Encoder) {
				for _, a := range f.recent {
					e.Obj(a.encode)
				}
			})
		})
	})
	return e.Bytes()
}

func (a acceptedChange) encode(e *jx.Encoder) {
	e.Field("version", func(e *jx.Encoder) { e.UInt64(a.version) })
	e.Field("file", func(e *jx.Encoder) { e.Str(a.file) })
	e.Field("removed", func(e *jx.Encoder) { e.Bool(a.removed) })
	e.Field("proposal", func(e *jx.Encoder) { e.Str(a.proposalID) })
}

func decodeHead(data []byte) (h headRow, err error) {
	err = jx.DecodeBytes(data).Obj(func(d *jx.Decoder, name string) (err error) {
		switch name {
		case "version":
			h.version, err = d.UInt64()
		case "recent":
			err = d.Arr(func(d *jx.Decoder) error {
				a, err := decodeAccepted(d)
				h.recent = append(h.recent, a)
				return err
			})
		default:
			err = d.Skip()
		}
		return err
	})
	return h, wrapMalformed(err)
}

func decodeAccepted(d *jx.Decoder) (a acceptedChange, err error) {
	err = d.Obj(func(d *jx.Decoder, name string) (err error) {
		switch name {
		case "version":
			a.version, err = d.UInt64()
		case "file":
			a.file, err = d.Str()
		case "removed":
			a.removed, err = d.Bool()
		case "proposal":
			a.proposalID, err = d.Str()
		default:
			err = d.Skip()
		}
		return err
	})
	return a, err
}

func encodeFile(f File) []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("changed-at", func(e *jx.Encoder) { e.UInt64(f.ChangedAt) })
		e.Field("data", func(e *jx.Encoder) { e.Str(string(f.Data)) })
	})
	return e.Bytes()
}

func decodeFile(name string, data []byte) (File, error) {
	f := File{Name: name}
	err := jx.DecodeBytes(data).Obj(func(d *jx.Decoder, name string) (err error) {
		switch name {
		case "changed-at":
			f.ChangedAt, err = d.UInt64()
		case "data":
			var s string
			s, err = d.Str()
			f.Data = []byte(s)
		default:
			err = d.Skip()
		}
		return err
	})
	return f, wrapMalformed(err)
}

func wrapMalformed(err error) error {
	if err == nil {
		return nil
	}
	return coder.Wrap(coder.Internal, err, "malformed configuration row")
}
