package claimer

import (
	"maps"
	"slices"
	"time"

	"github.com/go-faster/jx"

	"foxtailflow.example/foxtailflow/internal/base/coder"
)

// encodeRecord encodes the content of a row; equal records give equal bytes.
func encodeRecord(r Record) []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("node", func(e *jx.Encoder) { e.Str(r.Node) })
		e.Field("request-id", func(e *jx.Encoder) { e.Str(r.Request) })
		e.Field("body-hash", func(e *jx.Encoder) { e.Str(r.BodyHash) })
		e.Field("phase", func(e *jx.Encoder) { e.Str(string(r.Phase)) })
		e.Field("deadline-ms", func(e *jx.Encoder) { e.Int64(r.Deadline.UnixMilli()) })
		e.Field("expires-ms", func(e *jx.Encoder) { e.Int64(r.Expires.UnixMilli()) })
		if r.Phase == Responded {
			e.Field("answer", func(e *jx.Encoder) { encodeResponse(e, r.Response) })
		}
	})
	return e.Bytes()
}

func encodeResponse(e *jx.Encoder, r Response) {
	e.Obj(func(e *jx.Encoder) {
		e.Field("status", func(e *jx.Encoder) { e.Int(r.Status) })
		e.Field("kept", func(e *jx.Encoder) { e.Bool(r.Recorded) })
		e.Field("header", func(e *jx.Encoder) {
			e.Obj(func(e *jx.Encoder) {
				for _, name := range slices.Sorted(maps.Keys(r.Header)) {
					e.Field(name, func(e *jx.Encoder) {
						e.Arr(func(e *jx.Encoder) {
							for _, v := range r.Header[name] {
								e.Str(v)
							}
						})
					})
				}
			})
		})
		e.Field("body", func(e *jx.Encoder) { e.Base64(r.Body) })
	})
}

func decodeRecord(data []byte) (r Record, err error) {
	err = jx.DecodeBytes(data).Obj(func(d *jx.Decoder, name string) (err error) {
		switch name {
		case "node":
			r.Node, err = d.Str()
		case "request-id":
			r.Request, err = d.Str()
		case "body-hash":
			r.BodyHash, err = d.Str()
		case "phase":
			var s string
			s, err = d.Str()
			r.Phase = Phase(s)
		case "deadline-ms":
			r.Deadline, err = decodeTime(d)
		case "expires-ms":
			r.Expires, err = decodeTime(d)
		case "answer":
			r.Response, err = decodeResponse(d)
		default:
			err = d.Skip()
		}
		return err
	})
	if err != nil {
		return r, coder.Wrap(coder.PlatformRefused, err, "malformed claim")
	}
	return r, nil
}

func decodeTime(d *jx.Decoder) (time.Time, error) {
	ms, err := d.Int64()
	return time.UnixMilli(ms), err
}

func decodeResponse(d *jx.Decoder) (r Response, err error) {
	err = d.Obj(func(d *jx.Decoder, name string) (err error) {
		switch name {
		case "status":
			r.Status, err = d.Int()
		case "kept":
			r.Recorded, err = d.Bool()
		case "header":
			r.Header = make(map[string][]string)
			err = d.Obj(func(d *jx.Decoder, name string) error {
				return d.Arr(func(d *jx.Decoder) error {
					v, err := d.Str()
					r.Header[name] = append(r.Header[name], v)
					return err
				})
			})
		case "body":
			if d.Next() == jx.Null {
				return d.Null()
			}
			r.Body, err = d.Base64()
		default:
			err = d.Skip()
		}
		return err
	})
	return r, err
}
