package applier

import (
	"github.com/go-faster/jx"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/inner/messenger"
)

// EncodeChange encodes a change for its row.
func EncodeChange(c Change) []byte {
	var e jx.Encoder
	encodeChange(&e, c)
	return e.Bytes()
}

func encodeChange(e *jx.Encoder, c Change) {
	e.Obj(func(e *jx.Encoder) {
		e.Field("version", func(e *jx.Encoder) { e.UInt64(c.Version) })
		e.Field("file", func(e *jx.Encoder) { e.Str(c.File) })
		e.Field("data", func(e *jx.Encoder) { e.Str(string(c.Data)) })
		e.Field("removed", func(e *jx.Encoder) { e.Bool(c.Removed) })
		e.Field("proposal", func(e *jx.Encoder) { e.Str(c.Proposal) })
	})
}

// EncodeChanges encodes changes for a snapshot.
func EncodeChanges(changes []Change) []byte {
	var e jx.Encoder
	e.Arr(func(e *jx.Encoder) {
		for _, c := range changes {
			encodeChange(e, c)
		}
	})
	return e.Bytes()
}

// DecodeChanges decodes the changes of a snapshot.
func DecodeChanges(data []byte) (changes []Change, err error) {
	err = jx.DecodeBytes(data).Arr(func(d *jx.Decoder) error {
		c, err := decodeChange(d)
		changes = append(changes, c)
		return err
	})
	if err != nil {
		return nil, coder.Wrap(coder.Internal, err, "malformed snapshot of the configuration")
	}
	return changes, nil
}

// DecodeChange decodes a change from its row.
func DecodeChange(data []byte) (Change, error) {
	c, err := decodeChange(jx.DecodeBytes(data))
	if err != nil {
		return c, coder.Wrap(coder.Internal, err, "malformed change of the configuration")
	}
	return c, nil
}

func decodeChange(d *jx.Decoder) (c Change, err error) {
	err = d.Obj(func(d *jx.Decoder, name string) (err error) {
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
		case "proposal":
			c.Proposal, err = d.Str()
		default:
			err = d.Skip()
		}
		return err
	})
	return c, err
}

// encodeRoster encodes the roster for its row.
func encodeRoster(r messenger.Roster) []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("version", func(e *jx.Encoder) { e.UInt64(r.Version) })
		e.Field("floor", func(e *jx.Encoder) { e.UInt64(r.Floor) })
		e.Field("members", func(e *jx.Encoder) {
			e.Arr(func(e *jx.Encoder) {
				for _, m := range r.Members {
					e.Str(m)
				}
			})
		})
		e.Field("added", func(e *jx.Encoder) { e.Str(r.Added) })
		e.Field("removed", func(e *jx.Encoder) { e.Str(r.Removed) })
		e.Field("forgotten", func(e *jx.Encoder) { e.Bool(r.Forgotten) })
	})
	return e.Bytes()
}

// decodeRoster decodes the roster from its row.
func decodeRoster(data []byte) (r messenger.Roster, err error) {
	err = jx.DecodeBytes(data).Obj(func(d *jx.Decoder, name string) (err error) {
		switch name {
		case "version":
			r.Version, err = d.UInt64()
		case "floor":
			r.Floor, err = d.UInt64()
		case "members":
			err = d.Arr(func(d *jx.Decoder) error {
				m, err := d.Str()
				r.Members = append(r.Members, m)
				return err
			})
		case "added":
			r.Added, err = d.Str()
		case "removed":
			r.Removed, err = d.Str()
		case "forgotten":
			r.Forgotten, err = d.Bool()
		default:
			err = d.Skip()
		}
		return err
	})
	if err != nil {
		return r, coder.Wrap(coder.Internal, err, "malformed row %s", RosterKey)
	}
	return r, nil
}
