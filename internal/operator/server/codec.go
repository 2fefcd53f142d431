package server

import (
	"errors"
	"strconv"
	"strings"

	"github.com/go-faster/jx"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/config/applier"
	"foxtailflow.example/foxtailflow/internal/config/parser"
	"foxtailflow.example/foxtailflow/internal/member/registrar"
)

func encodeAccepted(version uint64, inForce bool, k *createdKey) []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		if k != nil {
			e.Field("id", func(e *jx.Encoder) { e.Str(k.id) })
			e.Field("client-account", func(e *jx.Encoder) { e.Str(k.account) })
			e.Field("file", func(e *jx.Encoder) { e.Str(k.file) })
			e.Field("secret", func(e *jx.Encoder) { e.Str(k.secret) })
		}
		e.Field("version", func(e *jx.Encoder) { e.UInt64(version) })
		e.Field("in-force", func(e *jx.Encoder) { e.Bool(inForce) })
		if !inForce {
			e.Field("code", func(e *jx.Encoder) { e.Str(strconv.Itoa(int(coder.ConfigNotInForce))) })
		}
	})
	return e.Bytes()
}

func encodeStrings(e *jx.Encoder, items []string) {
	e.Arr(func(e *jx.Encoder) {
		for _, s := range items {
			e.Str(s)
		}
	})
}

// encodeCheck encodes the errors or the warnings of a folder. An error has no position if
// it is that of a file's name.
func encodeCheck(errs []error, warnings []parser.Fault) []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("valid", func(e *jx.Encoder) { e.Bool(len(errs) == 0) })
		e.Field("faults", func(e *jx.Encoder) {
			e.Arr(func(e *jx.Encoder) {
				for _, err := range errs {
					encodeFault(e, err)
				}
			})
		})
		e.Field("warnings", func(e *jx.Encoder) {
			e.Arr(func(e *jx.Encoder) {
				for _, w := range warnings {
					encodeFault(e, w)
				}
			})
		})
	})
	return e.Bytes()
}

func encodeFault(e *jx.Encoder, err error) {
	f := coder.FromError(err)
	e.Obj(func(e *jx.Encoder) {
		e.Field("code", func(e *jx.Encoder) { e.Str(strconv.Itoa(int(f.Code()))) })
		e.Field("message", func(e *jx.Encoder) { e.Str(f.Message()) })
		var fault parser.Fault
		if !errors.As(err, &fault) {
			return
		}
		e.Field("file", func(e *jx.Encoder) { e.Str(fault.At.File) })
		e.Field("line", func(e *jx.Encoder) { e.Int(fault.At.Line) })
		e.Field("section", func(e *jx.Encoder) { e.Str(fault.At.Section.String()) })
		e.Field("key", func(e *jx.Encoder) { e.Str(fault.At.Key) })
	})
}

func encodeStatus(s Status) []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("node", func(e *jx.Encoder) { e.Str(s.Node) })
		e.Field("version", func(e *jx.Encoder) { e.UInt64(s.Version) })
		e.Field("current", func(e *jx.Encoder) { e.Bool(s.Current) })
		e.Field("store-reachable", func(e *jx.Encoder) { e.Bool(!s.StoreUnreachable) })
		e.Field("nodes", func(e *jx.Encoder) {
			e.Arr(func(e *jx.Encoder) {
				for _, n := range s.Nodes {
					e.Obj(func(e *jx.Encoder) { encodeNode(e, n) })
				}
			})
		})
		e.Field("versions", func(e *jx.Encoder) {
			e.Arr(func(e *jx.Encoder) {
				for _, c := range s.Versions {
					e.Obj(func(e *jx.Encoder) {
						e.Field("version", func(e *jx.Encoder) { e.UInt64(c.Version) })
						e.Field("nodes", func(e *jx.Encoder) { e.Int(c.Nodes) })
					})
				}
			})
		})
		e.Field("duties", func(e *jx.Encoder) { encodeStrings(e, s.Duties) })
	})
	return e.Bytes()
}

func encodeNode(e *jx.Encoder, n registrar.Node) {
	e.Field("id", func(e *jx.Encoder) { e.Str(n.ID) })
	e.Field("data-centre", func(e *jx.Encoder) { e.Str(n.DataCentre) })
	e.Field("peers-address", func(e *jx.Encoder) { e.Str(n.Address) })
	e.Field("operators-address", func(e *jx.Encoder) { e.Str(n.OperatorsAddress) })
}

func decodeKeyRequest(data []byte) (account string, err error) {
	err = jx.DecodeBytes(data).Obj(func(d *jx.Decoder, name string) (err error) {
		if name != "client-account" {
			return d.Skip()
		}
		account, err = d.Str()
		return err
	})
	if err != nil || account == "" || strings.ContainsAny(account, "\r\n") {
		return "", coder.Refuse(coder.MalformedBody, "the request body is not a JSON object with a valid client-account").WithCause(err)
	}
	return account, nil
}

func decodeFiles(data []byte) (files []parser.File, err error) {
	err = jx.DecodeBytes(data).Obj(func(d *jx.Decoder, name string) error {
		if name != "files" {
			return d.Skip()
		}
		return d.Arr(func(d *jx.Decoder) error {
			f, err := decodeFile(d)
			files = append(files, f)
			return err
		})
	})
	if err != nil {
		return nil, coder.Refuse(coder.MalformedBody, "the request body is not a JSON object with files").WithCause(err)
	}
	return files, nil
}

func decodeFile(d *jx.Decoder) (f parser.File, err error) {
	err = d.Obj(func(d *jx.Decoder, name string) (err error) {
		switch name {
		case "file":
			f.Name, err = d.Str()
		case "data":
			var s string
			s, err = d.Str()
			f.Data = []byte(s)
		default:
			err = d.Skip()
		}
		return err
	})
	return f, err
}

func encodeFiles(files applier.Files) []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("version", func(e *jx.Encoder) { e.UInt64(files.Version()) })
		e.Field("files", func(e *jx.Encoder) {
			e.Arr(func(e *jx.Encoder) {
				for _, f := range files.List() {
					e.Obj(func(e *jx.Encoder) {
						e.Field("file", func(e *jx.Encoder) { e.Str(f.Name) })
						e.Field("changed-at", func(e *jx.Encoder) { e.UInt64(f.ChangedAt) })
					})
				}
			})
		})
	})
	return e.Bytes()
}

func encodeSettings(version uint64, settings []parser.Setting) []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("version", func(e *jx.Encoder) { e.UInt64(version) })
		e.Field("settings", func(e *jx.Encoder) {
			e.Arr(func(e *jx.Encoder) {
				for _, s := range settings {
					encodeSetting(e, s)
				}
			})
		})
	})
	return e.Bytes()
}

func encodeSetting(e *jx.Encoder, s parser.Setting) {
	e.Obj(func(e *jx.Encoder) {
		e.Field("section", func(e *jx.Encoder) { e.Str(s.Section.String()) })
		e.Field("key", func(e *jx.Encoder) { e.Str(s.Key) })
		e.Field("value", func(e *jx.Encoder) { e.Str(s.Value) })
		e.Field("file", func(e *jx.Encoder) { e.Str(s.File) })
		e.Field("line", func(e *jx.Encoder) { e.Int(s.Line) })
	})
}
