package reporter

import (
	"strconv"
	"strings"

	"github.com/go-faster/jx"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/inner/courier"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

// windowPrefix is the key prefix of the rows of closed windows, openPrefix that of
// the rows with the counts of open windows, and leftPrefix that of the rows with the
// counts of nodes that have left.
const (
	windowPrefix = "usage-window/"
	openPrefix   = "usage-open/"
	leftPrefix   = "usage-left/"
	// newestClosedKey is the key of the row with the newest closed window.
	newestClosedKey = "usage-head/newest"
)

func encodeNewestClosed(window int64) []byte { return strconv.AppendInt(nil, window, 10) }

func decodeNewestClosed(data []byte) (int64, error) {
	window, err := strconv.ParseInt(string(data), 10, 64)
	return window, malformed(err)
}

func openKey(chunk int) string { return openPrefix + strconv.Itoa(chunk) }

// leftKey returns the key of a row with the counts of a start of a node.
func leftKey(node string, chunk int) string { return leftPrefix + node + "/" + strconv.Itoa(chunk) }

func windowKey(window int64) string { return windowPrefix + strconv.FormatInt(window, 10) }

func encodeWindow(counts map[courier.Meter]int) []byte {
	var e jx.Encoder
	e.Arr(func(e *jx.Encoder) {
		for m, n := range counts {
			e.Arr(func(e *jx.Encoder) {
				encodeMeter(e, m)
				e.Int(n)
			})
		}
	})
	return e.Bytes()
}

func encodeMeter(e *jx.Encoder, m courier.Meter) {
	e.Arr(func(e *jx.Encoder) {
		e.Str(m.Account)
		e.Str(m.Model)
		e.Str(string(m.Unit))
	})
}

func decodeMeter(d *jx.Decoder) (m courier.Meter, err error) {
	var parts []string
	err = d.Arr(func(d *jx.Decoder) error {
		s, err := d.Str()
		parts = append(parts, s)
		return err
	})
	if err == nil && len(parts) != 3 {
		err = coder.New(coder.Internal, "meter has %d fields, want account, model and unit", len(parts))
	}
	if err != nil {
		return m, err
	}
	return courier.Meter{Account: parts[0], Model: parts[1], Unit: courier.Unit(parts[2])}, nil
}

func decodeCounts(d *jx.Decoder) (map[courier.Meter]int, error) {
	counts := make(map[courier.Meter]int)
	err := d.Arr(func(d *jx.Decoder) error {
		var m courier.Meter
		index := 0
		return d.Arr(func(d *jx.Decoder) (err error) {
			if index++; index == 1 {
				m, err = decodeMeter(d)
				return err
			}
			counts[m], err = d.Int()
			return err
		})
	})
	return counts, err
}

func decodeWindow(row transactor.Row) (int64, map[courier.Meter]int, error) {
	window, err := strconv.ParseInt(strings.TrimPrefix(row.Key, windowPrefix), 10, 64)
	if err != nil {
		return 0, nil, malformed(err)
	}
	counts, err := decodeCounts(jx.DecodeBytes(row.Value))
	return window, counts, malformed(err)
}

// openCounts has the counts of open windows, and the windows that were reported.
type openCounts struct {
	counts   []courier.NodeUsage
	reported []int64
}

const (
	// defaultRowBytes is the row size that the known platforms accept.
	defaultRowBytes = 64 << 10
	// countBytes is the greatest encoded size of a count without its meter,
	// meterBytes that of a meter without its names, nodeBytes that of a node without
	// its counts and name.
	countBytes = 20
	meterBytes = 12
	nodeBytes  = 64
)

// split divides the counts into chunks that each fit into a row. The first chunk
// has the windows that were reported.
func (o openCounts) split(rowBytes int) []openCounts {
	if rowBytes <= 0 {
		rowBytes = defaultRowBytes
	}
	chunks := []openCounts{{reported: o.reported}}
	size := countBytes * len(o.reported)
	meters := make(map[courier.Meter]bool)
	for _, u := range o.counts {
		added := nodeBytes + len(u.Node) + countBytes*len(u.Counts)
		for _, c := range u.Counts {
			if !meters[c.Meter] {
				added += meterBytes + len(c.Meter.Account) + len(c.Meter.Model) + len(c.Meter.Unit)
			}
		}
		if size+added > rowBytes && len(chunks[len(chunks)-1].counts) > 0 {
			chunks, size = append(chunks, openCounts{}), 0
			clear(meters)
		}
		last := &chunks[len(chunks)-1]
		last.counts = append(last.counts, u)
		for _, c := range u.Counts {
			meters[c.Meter] = true
		}
		size += added
	}
	return chunks
}

// encodeOpen encodes each meter once and refers to it by its index.
func encodeOpen(o openCounts) []byte {
	indexes := make(map[courier.Meter]int)
	var meters []courier.Meter
	for _, u := range o.counts {
		for _, c := range u.Counts {
			if _, ok := indexes[c.Meter]; !ok {
				indexes[c.Meter] = len(meters)
				meters = append(meters, c.Meter)
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
		e.Field("meters", func(e *jx.Encoder) {
			e.Arr(func(e *jx.Encoder) {
				for _, m := range meters {
					encodeMeter(e, m)
				}
			})
		})
		e.Field("counts", func(e *jx.Encoder) {
			e.Arr(func(e *jx.Encoder) {
				for _, u := range o.counts {
					encodeUsage(e, u, indexes)
				}
			})
		})
	})
	return e.Bytes()
}

// encodeUsage encodes the counts of a node as pairs of a meter's index and a count.
func encodeUsage(e *jx.Encoder, u courier.NodeUsage, indexes map[courier.Meter]int) {
	e.Obj(func(e *jx.Encoder) {
		e.Field("node", func(e *jx.Encoder) { e.Str(u.Node) })
		e.Field("window", func(e *jx.Encoder) { e.Int64(u.Window) })
		e.Field("pairs", func(e *jx.Encoder) {
			e.Arr(func(e *jx.Encoder) {
				for _, c := range u.Counts {
					e.Int(indexes[c.Meter])
					e.Int(c.Count)
				}
			})
		})
	})
}

func decodeOpen(data []byte) (o openCounts, err error) {
	var meters []courier.Meter
	err = jx.DecodeBytes(data).Obj(func(d *jx.Decoder, name string) error {
		switch name {
		case "reported":
			return d.Arr(func(d *jx.Decoder) error {
				w, err := d.Int64()
				o.reported = append(o.reported, w)
				return err
			})
		case "meters":
			return d.Arr(func(d *jx.Decoder) error {
				m, err := decodeMeter(d)
				meters = append(meters, m)
				return err
			})
		case "counts":
			return d.Arr(func(d *jx.Decoder) error {
				u, err := decodeUsage(d, meters)
				o.counts = append(o.counts, u)
				return err
			})
		}
		return d.Skip()
	})
	return o, malformed(err)
}

func decodeUsage(d *jx.Decoder, meters []courier.Meter) (u courier.NodeUsage, err error) {
	err = d.Obj(func(d *jx.Decoder, name string) (err error) {
		switch name {
		case "node":
			u.Node, err = d.Str()
		case "window":
			u.Window, err = d.Int64()
		case "pairs":
			u.Counts, err = decodePairs(d, meters)
		default:
			err = d.Skip()
		}
		return err
	})
	return u, err
}

func decodePairs(d *jx.Decoder, meters []courier.Meter) (counts []courier.MeterCount, err error) {
	meter := -1
	err = d.Arr(func(d *jx.Decoder) error {
		n, err := d.Int()
		switch {
		case err != nil:
			return err
		case meter >= 0:
			counts = append(counts, courier.MeterCount{Meter: meters[meter], Count: n})
			meter = -1
		case n < 0 || n >= len(meters):
			return coder.New(coder.Internal, "meter index %d out of range", n)
		default:
			meter = n
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
