package encoder

import (
	"net/http"

	"github.com/go-faster/jx"

	"foxtailflow.example/foxtailflow/internal/base/coder"
)

// EncodeFailure encodes a failure.
func EncodeFailure(f coder.Error) []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("code", func(e *jx.Encoder) { e.Int(int(f.Code())) })
		e.Field("outcome", func(e *jx.Encoder) { e.Str(f.Outcome().String()) })
		e.Field("message", func(e *jx.Encoder) { e.Str(f.Message()) })
	})
	return e.Bytes()
}

// DecodeFailure decodes a failure. Data that is malformed becomes PlatformUnsure,
// since nothing is known about the effect of the call.
func DecodeFailure(data []byte) coder.Error {
	var (
		code    int
		outcome string
		message string
	)
	err := jx.DecodeBytes(data).Obj(func(d *jx.Decoder, name string) (err error) {
		switch name {
		case "code":
			code, err = d.Int()
		case "outcome":
			outcome, err = d.Str()
		case "message":
			message, err = d.Str()
		default:
			err = d.Skip()
		}
		return err
	})
	if err != nil || code == 0 {
		return coder.Wrap(coder.PlatformUnsure, err, "malformed failure response")
	}
	f := coder.New(coder.Code(code), "%s", message)
	if outcome == coder.NotRun.String() {
		f = f.WithOutcome(coder.NotRun)
	}
	return f
}

// Status returns the HTTP status of a failure.
func Status(f coder.Error) int {
	switch f.Code() {
	case coder.PlatformConflict, coder.ObjectExists, coder.StaleFencing:
		return http.StatusConflict
	case coder.RowUnknown, coder.ObjectUnknown:
		return http.StatusNotFound
	case coder.HistoryGone:
		return http.StatusGone
	case coder.PlatformRefused:
		return http.StatusBadRequest
	case coder.BudgetSpent:
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}
