package closer

import (
	"strconv"
	"strings"

	"github.com/go-faster/jx"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/inner/courier"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

// windowPrefix begins the rows of closed windows, openPrefix those of the counts
// of open ones.
const (
	windowPrefix = "usage-window/"
	openPrefix   = "usage-open/"
)

func openKey(piece int) string { return openPrefix + strconv.Itoa(piece) }

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

const (
	// defaultRowBytes is the size of a row that the platforms known so far take.
	defaultRowBytes = 64 << 10
	// countBytes is the most that a count takes up beside the name of its client
	// account, nodeBytes that of a node beside its counts and name.
	countBytes = 20
	nodeBytes  = 64
)

// pieces divides the counts into parts that each fit into a row. The first has
// the windows that were reported.
func (o open) pieces(rowBytes int) []open {
	if rowBytes <= 0 {
		rowBytes = defaultRowBytes
	}
	parts := []open{{reported: o.reported}}
	size := countBytes * len(o.reported)
	names := make(map[string]bool)
	for _, u := range o.counts {
		more := nodeBytes + len(u.Node) + countBytes*len(u.Counts)
		for _, c := range u.Counts {
			if !names[c.Account] {
				more += len(c.Account)
			}
		}
		if size+more > rowBytes && len(parts[len(parts)-1].counts) > 0 {
			parts, size = append(parts, open{}), 0
			clear(names)
		}
		last := &parts[len(parts)-1]
		last.counts = append(last.counts, u)
		for _, c := range u.Counts {
			names[c.Account] = true
		}
		size += more
	}
	return parts
}

// encodeOpen names each client account once and refers to it by its place.
func encodeOpen(o open) []byte {
	places := make(map[string]int)
	var accounts []string
	for _, u := range o.counts {
		for _, c := range u.Counts {
			if _, ok := places[c.Account]; !ok {
				places[c.Account] = len(accounts)
				accounts = append(accounts, c.Account)
			}
		}
	}
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("reported", func(e *jx.Encoder) {
			e.Arr(func(e *jx.Encoder) {
				for _, w := range o.reported {
					e.Int64(w)
				}
			})
		})
		e.Field("client-accounts", func(e *jx.Encoder) {
			e.Arr(func(e *jx.Encoder) {
				for _, a := range accounts {
					e.Str(a)
				}
			})
		})
		e.Field("counts", func(e *jx.Encoder) {
			e.Arr(func(e *jx.Encoder) {
				for _, u := range o.counts {
					encodeUsage(e, u, places)
				}
			})
		})
	})
	return e.Bytes()
}

// encodeUsage writes the counts of a node as pairs of a place and a number.
func encodeUsage(e *jx.Encoder, u courier.NodeUsage, places map[string]int) {
	e.Obj(func(e *jx.Encoder) {
		e.Field("node", func(e *jx.Encoder) { e.Str(u.Node) })
		e.Field("window", func(e *jx.Encoder) { e.Int64(u.Window) })
		e.Field("requests", func(e *jx.Encoder) {
			e.Arr(func(e *jx.Encoder) {
				for _, c := range u.Counts {
					e.Int(places[c.Account])
					e.Int(c.Requests)
				}
			})
		})
	})
}

func decodeOpen(data []byte) (o open, err error) {
	var accounts []string
	err = jx.DecodeBytes(data).Obj(func(d *jx.Decoder, name string) error {
		switch name {
		case "reported":
			return d.Arr(func(d *jx.Decoder) error {
				w, err := d.Int64()
				o.reported = append(o.reported, w)
				return err
			})
		case "client-accounts":
			return d.Arr(func(d *jx.Decoder) error {
				a, err := d.Str()
				accounts = append(accounts, a)
				return err
			})
		case "counts":
			return d.Arr(func(d *jx.Decoder) error {
				u, err := decodeUsage(d, accounts)
				o.counts = append(o.counts, u)
				return err
			})
		}
		return d.Skip()
	})
	return o, malformed(err)
}

func decodeUsage(d *jx.Decoder, accounts []string) (u courier.NodeUsage, err error) {
	err = d.Obj(func(d *jx.Decoder, name string) (err error) {
		switch name {
		case "node":
			u.Node, err = d.Str()
		case "window":
			u.Window, err = d.Int64()
		case "requests":
			u.Counts, err = decodePairs(d, accounts)
		default:
			err = d.Skip()
		}
		return err
	})
	return u, err
}

func decodePairs(d *jx.Decoder, accounts []string) (counts []courier.AccountCount, err error) {
	place := -1
	err = d.Arr(func(d *jx.Decoder) error {
		n, err := d.Int()
		switch {
		case err != nil:
			return err
		case place >= 0:
			counts = append(counts, courier.AccountCount{Account: accounts[place], Requests: n})
			place = -1
		case n < 0 || n >= len(accounts):
			return coder.New(coder.Internal, "there is no client account %d", n)
		default:
			place = n
		}
		return nil
	})
	return counts, err
}

func malformed(err error) error {
	if err == nil {
		return nil
	}
	return coder.Wrap(coder.Internal, err, "malformed usage row")
}
