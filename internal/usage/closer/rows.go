package closer

import (
	"strconv"
	"strings"

	"github.com/go-faster/jx"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/inner/courier"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

// windowPrefix begins the rows of closed windows; openKey is the row of the
// counts of open ones.
const (
	windowPrefix = "usage-window/"
	openKey      = "usage-open/counts"
)

func windowKey(window int64) string { return windowPrefix + strconv.FormatInt(window, 10) }

func encodeWindow(counts map[string]int) []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		for account, n := range counts {
			e.Field(account, func(e *jx.Encoder) { e.Int(n) })
		}
	})
	return e.Bytes()
}

func decodeCounts(d *jx.Decoder) (map[string]int, error) {
	counts := make(map[string]int)
	err := d.Obj(func(d *jx.Decoder, account string) error {
		n, err := d.Int()
		counts[account] = n
		return err
	})
	return counts, err
}

func decodeWindow(row transactor.Row) (int64, map[string]int, error) {
	window, err := strconv.ParseInt(strings.TrimPrefix(row.Key, windowPrefix), 10, 64)
	if err != nil {
		return 0, nil, malformed(err)
	}
	counts, err := decodeCounts(jx.DecodeBytes(row.Value))
	return window, counts, malformed(err)
}

// open is what is written down of open windows.
type open struct {
	counts   []courier.NodeUsage
	reported []int64
}

func encodeOpen(o open) []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("reported", func(e *jx.Encoder) {
			e.Arr(func(e *jx.Encoder) {
				for _, w := range o.reported {
					e.Int64(w)
				}
			})
		})
		e.Field("counts", func(e *jx.Encoder) {
			e.Arr(func(e *jx.Encoder) {
				for _, u := range o.counts {
					encodeUsage(e, u)
				}
			})
		})
	})
	return e.Bytes()
}

func encodeUsage(e *jx.Encoder, u courier.NodeUsage) {
	e.Obj(func(e *jx.Encoder) {
		e.Field("node", func(e *jx.Encoder) { e.Str(u.Node) })
		e.Field("window", func(e *jx.Encoder) { e.Int64(u.Window) })
		e.Field("requests", func(e *jx.Encoder) {
			e.Obj(func(e *jx.Encoder) {
				for _, c := range u.Counts {
					e.Field(c.Account, func(e *jx.Encoder) { e.Int(c.Requests) })
				}
			})
		})
	})
}

func decodeOpen(data []byte) (o open, err error) {
	err = jx.DecodeBytes(data).Obj(func(d *jx.Decoder, name string) error {
		switch name {
		case "reported":
			return d.Arr(func(d *jx.Decoder) error {
				w, err := d.Int64()
				o.reported = append(o.reported, w)
				return err
			})
		case "counts":
			return d.Arr(func(d *jx.Decoder) error {
				u, err := decodeUsage(d)
				o.counts = append(o.counts, u)
				return err
			})
		}
		return d.Skip()
	})
	return o, malformed(err)
}

func decodeUsage(d *jx.Decoder) (u courier.NodeUsage, err error) {
	err = d.Obj(func(d *jx.Decoder, name string) (err error) {
		switch name {
		case "node":
			u.Node, err = d.Str()
		case "window":
			u.Window, err = d.Int64()
		case "requests":
			var counts map[string]int
			counts, err = decodeCounts(d)
			for account, n := range counts {
				u.Counts = append(u.Counts, courier.AccountCount{Account: account, Requests: n})
			}
		default:
			err = d.Skip()
		}
		return err
	})
	return u, err
}

func malformed(err error) error {
	if err == nil {
		return nil
	}
	return coder.Wrap(coder.Internal, err, "malformed usage row")
}
