// Package encoder encodes the values of the platform's protocol as JSON and decodes
// them.
//
// Names are in kebab case. The mapping is written by hand, so that the domain types do
// not depend on the wire format. A decoder skips unknown names, so that either side
// may be newer.
package encoder

import (
	"errors"
	"time"

	"github.com/go-faster/jx"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

// EncodeTx encodes a transaction.
func EncodeTx(tx transactor.Tx) []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("checks", func(e *jx.Encoder) {
			e.Arr(func(e *jx.Encoder) {
				for _, c := range tx.Checks() {
					encodeCheck(e, c)
				}
			})
		})
		e.Field("writes", func(e *jx.Encoder) {
			e.Arr(func(e *jx.Encoder) {
				for _, w := range tx.Writes() {
					encodeWrite(e, w)
				}
			})
		})
	})
	return e.Bytes()
}

func encodeCheck(e *jx.Encoder, c transactor.Check) {
	e.Obj(func(e *jx.Encoder) {
		e.Field("key", func(e *jx.Encoder) { e.Str(c.Key) })
		e.Field("version", func(e *jx.Encoder) { e.UInt64(uint64(c.Version)) })
	})
}

func encodeWrite(e *jx.Encoder, w transactor.Write) {
	e.Obj(func(e *jx.Encoder) {
		e.Field("key", func(e *jx.Encoder) { e.Str(w.Key) })
		e.Field("value", func(e *jx.Encoder) { e.Base64(w.Value) })
		e.Field("delete", func(e *jx.Encoder) { e.Bool(w.Delete) })
	})
}

// DecodeTx decodes a transaction.
func DecodeTx(data []byte) (transactor.Tx, error) {
	var tx transactor.Tx
	err := jx.DecodeBytes(data).Obj(func(d *jx.Decoder, name string) error {
		switch name {
		case "checks":
			return d.Arr(func(d *jx.Decoder) error {
				c, err := decodeCheck(d)
				tx = tx.WithCheck(c.Key, c.Version)
				return err
			})
		case "writes":
			return d.Arr(func(d *jx.Decoder) error {
				w, err := decodeWrite(d)
				if w.Delete {
					tx = tx.WithDelete(w.Key)
				} else {
					tx = tx.WithPut(w.Key, w.Value)
				}
				return err
			})
		}
		return d.Skip()
	})
	return tx, malformed(err)
}

// decodeVersion decodes a version; this platform has no eras.
func decodeVersion(d *jx.Decoder) (transactor.Version, error) {
	n, err := d.UInt64()
	return transactor.NewVersion(0, n), err
}

func decodeCheck(d *jx.Decoder) (c transactor.Check, err error) {
	err = d.Obj(func(d *jx.Decoder, name string) (err error) {
		switch name {
		case "key":
			c.Key, err = d.Str()
		case "version":
			c.Version, err = decodeVersion(d)
		default:
			err = d.Skip()
		}
		return err
	})
	return c, err
}

func decodeWrite(d *jx.Decoder) (w transactor.Write, err error) {
	err = d.Obj(func(d *jx.Decoder, name string) (err error) {
		switch name {
		case "key":
			w.Key, err = d.Str()
		case "value":
			w.Value, err = decodeBytes(d)
		case "delete":
			w.Delete, err = d.Bool()
		default:
			err = d.Skip()
		}
		return err
	})
	return w, err
}

// decodeBytes decodes base64; null means no bytes.
func decodeBytes(d *jx.Decoder) ([]byte, error) {
	if d.Next() == jx.Null {
		return nil, d.Null()
	}
	return d.Base64()
}

// EncodeRows encodes rows.
func EncodeRows(rows []transactor.Row) []byte {
	var e jx.Encoder
	encodeRows(&e, rows)
	return e.Bytes()
}

func encodeRows(e *jx.Encoder, rows []transactor.Row) {
	e.Arr(func(e *jx.Encoder) {
		for _, r := range rows {
			e.Obj(func(e *jx.Encoder) {
				e.Field("key", func(e *jx.Encoder) { e.Str(r.Key) })
				e.Field("value", func(e *jx.Encoder) { e.Base64(r.Value) })
				e.Field("version", func(e *jx.Encoder) { e.UInt64(uint64(r.Version)) })
				if r.Deleted {
					e.Field("deleted", func(e *jx.Encoder) { e.Bool(true) })
				}
			})
		}
	})
}

// EncodeChanges encodes changes.
func EncodeChanges(c transactor.Changes) []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("version", func(e *jx.Encoder) { e.UInt64(uint64(c.Version)) })
		e.Field("clock-ms", func(e *jx.Encoder) { e.Int64(c.StoreClock.Milliseconds()) })
		e.Field("rows", func(e *jx.Encoder) { encodeRows(e, c.Rows) })
	})
	return e.Bytes()
}

// DecodeChanges decodes changes.
func DecodeChanges(data []byte) (c transactor.Changes, err error) {
	listed := false
	err = jx.DecodeBytes(data).Obj(func(d *jx.Decoder, name string) (err error) {
		switch name {
		case "version":
			c.Version, err = decodeVersion(d)
		case "clock-ms":
			var ms int64
			ms, err = d.Int64()
			c.StoreClock = time.Duration(ms) * time.Millisecond
		case "rows":
			listed = true
			c.Rows, err = decodeRows(d)
		default:
			err = d.Skip()
		}
		return err
	})
	if err == nil && !listed {
		// An object of another kind is no table without rows.
		err = errors.New("there is no list of rows")
	}
	return c, malformed(err)
}

// DecodeRows decodes rows.
func DecodeRows(data []byte) ([]transactor.Row, error) {
	rows, err := decodeRows(jx.DecodeBytes(data))
	return rows, malformed(err)
}

func decodeRows(d *jx.Decoder) (rows []transactor.Row, err error) {
	err = d.Arr(func(d *jx.Decoder) error {
		var r transactor.Row
		err := d.Obj(func(d *jx.Decoder, name string) (err error) {
			switch name {
			case "key":
				r.Key, err = d.Str()
			case "value":
				r.Value, err = decodeBytes(d)
			case "version":
				r.Version, err = decodeVersion(d)
			case "deleted":
				r.Deleted, err = d.Bool()
			default:
				err = d.Skip()
			}
			return err
		})
		rows = append(rows, r)
		return err
	})
	return rows, err
}

// EncodeVersion encodes the version that a commit returned.
func EncodeVersion(version uint64) []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("version", func(e *jx.Encoder) { e.UInt64(version) })
	})
	return e.Bytes()
}

// DecodeVersion decodes the version that a commit returned.
func DecodeVersion(data []byte) (version uint64, err error) {
	err = jx.DecodeBytes(data).Obj(func(d *jx.Decoder, name string) (err error) {
		if name != "version" {
			return d.Skip()
		}
		version, err = d.UInt64()
		return err
	})
	if err == nil && version == 0 {
		err = errors.New("there is no version")
	}
	return version, malformed(err)
}

func encodeNames(e *jx.Encoder, names []string) {
	e.Arr(func(e *jx.Encoder) {
		for _, n := range names {
			e.Str(n)
		}
	})
}

func decodeNames(d *jx.Decoder) (names []string, err error) {
	err = d.Arr(func(d *jx.Decoder) error {
		n, err := d.Str()
		names = append(names, n)
		return err
	})
	return names, err
}

func malformed(err error) error {
	if err == nil {
		return nil
	}
	return coder.Wrap(coder.PlatformRefused, err, "malformed platform message")
}
