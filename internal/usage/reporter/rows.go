package reporter

import (
	"fmt"
	"strconv"
	"time"

	"github.com/go-faster/jx"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/usage/counter"
)

// head is the row usage/head/GROUP: how far the windows of a group have come.
type head struct {
	// closed and reported are the last windows closed and reported; the rows
	// of the windows up to kept are removed.
	closed   uint64
	reported uint64
	kept     uint64
	// at is when the last window was closed.
	at      time.Time
	version uint64
}

// window is the row usage/window/GROUP/SEQ.
type window struct {
	figures []counter.Figures
	at      time.Time
}

func number(n uint64) string { return strconv.FormatUint(n, 10) }

func headKey(group int) string { return "usage/head/" + strconv.Itoa(group) }

func windowKey(group int, sequence uint64) string {
	return fmt.Sprintf("usage/window/%d/%012d", group, sequence)
}

// reportID names a window to the platform.
func reportID(group int, sequence uint64) string {
	return fmt.Sprintf("usage-%d-%d", group, sequence)
}

func encodeHead(h head) []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("closed", func(e *jx.Encoder) { e.UInt64(h.closed) })
		e.Field("reported", func(e *jx.Encoder) { e.UInt64(h.reported) })
		e.Field("removed", func(e *jx.Encoder) { e.UInt64(h.kept) })
		e.Field("at-ms", func(e *jx.Encoder) { e.Int64(h.at.UnixMilli()) })
	})
	return e.Bytes()
}

func decodeHead(data []byte) (h head, err error) {
	err = jx.DecodeBytes(data).Obj(func(d *jx.Decoder, name string) (err error) {
		switch name {
		case "closed":
			h.closed, err = d.UInt64()
		case "reported":
			h.reported, err = d.UInt64()
		case "removed":
			h.kept, err = d.UInt64()
		case "at-ms":
			h.at, err = decodeTime(d)
		default:
			err = d.Skip()
		}
		return err
	})
	return h, malformed(err)
}

func encodeWindow(w window) []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("at-ms", func(e *jx.Encoder) { e.Int64(w.at.UnixMilli()) })
		e.Field("figures", func(e *jx.Encoder) { counter.EncodeFigures(e, w.figures) })
	})
	return e.Bytes()
}

func decodeWindow(data []byte) (w window, err error) {
	err = jx.DecodeBytes(data).Obj(func(d *jx.Decoder, name string) (err error) {
		switch name {
		case "at-ms":
			w.at, err = decodeTime(d)
		case "figures":
			w.figures, err = counter.DecodeFigures(d)
		default:
			err = d.Skip()
		}
		return err
	})
	return w, malformed(err)
}

func decodeTime(d *jx.Decoder) (time.Time, error) {
	ms, err := d.Int64()
	return time.UnixMilli(ms), err
}

func malformed(err error) error {
	if err == nil {
		return nil
	}
	return coder.Wrap(coder.PlatformRefused, err, "malformed usage row")
}
