package biller

import (
	"github.com/go-faster/jx"

	"foxtailflow.example/foxtailflow/internal/base/coder"
)

// Report is the usage of one window.
type Report struct {
	// ID names the window; repeats of an ID must carry the same figures.
	ID           string
	FencingToken uint64
	Figures      []Figures
}

// EncodeReport encodes a usage report.
func EncodeReport(r Report) []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("report-id", func(e *jx.Encoder) { e.Str(r.ID) })
		e.Field("fencing-token", func(e *jx.Encoder) { e.UInt64(r.FencingToken) })
		e.Field("figures", func(e *jx.Encoder) { encodeFigures(e, r.Figures) })
	})
	return e.Bytes()
}

// DecodeReport decodes a usage report.
func DecodeReport(data []byte) (Report, error) {
	var r Report
	err := jx.DecodeBytes(data).Obj(func(d *jx.Decoder, name string) (err error) {
		switch name {
		case "report-id":
			r.ID, err = d.Str()
		case "fencing-token":
			r.FencingToken, err = d.UInt64()
		case "figures":
			r.Figures, err = decodeFigures(d)
		default:
			err = d.Skip()
		}
		return err
	})
	return r, malformed(err)
}

func malformed(err error) error {
	if err == nil {
		return nil
	}
	return coder.Wrap(coder.PlatformUnavailable, err, "malformed usage report")
}
