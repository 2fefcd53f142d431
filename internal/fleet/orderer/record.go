package orderer

import (
	"time"

	"github.com/go-faster/jx"

	"foxtailflow.example/foxtailflow/internal/authority/leaser"
	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/engine/speaker"
	"foxtailflow.example/foxtailflow/internal/fleet/supplier"
)

// The prefixes of the rows that orders are recorded in.
const (
	enginePrefix = "order/"
	fleetPrefix  = "fleet-order/"
	headPrefix   = "fleet-order-head/"
)

// Record is the row order/ENGINE: the last order that an engine was to get.
type Record struct {
	Deployment string
	// Order has the fencing token of the holder that recorded it.
	Order speaker.Order
	// Done says that the order is known to have taken effect.
	Done bool
}

// WithDone returns a copy that is known to have taken effect.
func (r Record) WithDone() Record {
	r.Done = true
	return r
}

// book is what the holder knows of one engine.
//
// It is an immutable value; the with methods return changed copies.
type book struct {
	engine string
	record Record
	// version is that of the row; 0 means that there is none.
	version uint64
	state   speaker.State
	stateAt time.Time
	// sent is the order that this process has begun to send last.
	sent string
	// failures counts sendings of the recorded order without effect.
	failures int
	// unsureAt is when an order was sent last whose answer was lost.
	unsureAt time.Time
	// goneAt is when the engine was first missing in the endpoint table.
	goneAt time.Time
	// replacing says that another engine is ordered in its place.
	replacing bool
}

func (b book) pending() bool { return b.version > 0 && !b.record.Done }

// neverSent reports whether the recorded order is this tenure's own and not
// sent yet.
func (b book) neverSent(g leaser.Grant) bool {
	return b.record.Order.FencingToken == g.Token && b.sent != b.record.Order.ID
}

func (b book) withRecord(r Record, version uint64) book {
	if r.Order.ID != b.record.Order.ID {
		b.failures = 0
	}
	b.record, b.version = r, version
	return b
}

func (b book) withState(s speaker.State, at time.Time) book {
	b.state, b.stateAt = s, at
	return b
}

func (b book) withoutState() book {
	b.stateAt = time.Time{}
	return b
}

func (b book) withDeployment(name string) book {
	b.record.Deployment = name
	return b
}

func (b book) withReplacing() book {
	b.replacing = true
	return b
}

func (b book) withSent(id string) book {
	b.sent = id
	return b
}

func (b book) withFailure(at time.Time) book {
	b.failures++
	b.unsureAt = at
	return b
}

func (b book) withGone(at time.Time) book {
	b.goneAt = at
	return b
}

func encodeRecord(r Record) []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("deployment", func(e *jx.Encoder) { e.Str(r.Deployment) })
		e.Field("order", func(e *jx.Encoder) { e.Raw(speaker.EncodeOrder(r.Order)) })
		e.Field("done", func(e *jx.Encoder) { e.Bool(r.Done) })
	})
	return e.Bytes()
}

func decodeRecord(data []byte) (r Record, err error) {
	err = jx.DecodeBytes(data).Obj(func(d *jx.Decoder, name string) (err error) {
		switch name {
		case "deployment":
			r.Deployment, err = d.Str()
		case "order":
			var raw jx.Raw
			if raw, err = d.Raw(); err == nil {
				r.Order, err = speaker.DecodeOrder(raw)
			}
		case "done":
			r.Done, err = d.Bool()
		default:
			err = d.Skip()
		}
		return err
	})
	return r, malformed(err)
}

// fleetRecord is a row fleet-order/DEPLOYMENT/ID.
type fleetRecord struct {
	order supplier.EndpointOrder
	// expect is the number of endpoints once those ordered have arrived.
	expect int
	done   bool
	// version is that of the row, seen is when this node first saw it done.
	version uint64
	seen    time.Time
}

func encodeFleet(f fleetRecord) []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("order-id", func(e *jx.Encoder) { e.Str(f.order.ID) })
		e.Field("fencing-token", func(e *jx.Encoder) { e.UInt64(f.order.FencingToken) })
		e.Field("data-centre", func(e *jx.Encoder) { e.Str(f.order.DataCentre) })
		e.Field("deployment", func(e *jx.Encoder) { e.Str(f.order.Deployment) })
		e.Field("kind", func(e *jx.Encoder) { e.Str(string(f.order.Tier)) })
		e.Field("add", func(e *jx.Encoder) { e.Int(f.order.Add) })
		e.Field("withdraw", func(e *jx.Encoder) {
			e.Arr(func(e *jx.Encoder) {
				for _, id := range f.order.Withdraw {
					e.Str(id)
				}
			})
		})
		e.Field("expect", func(e *jx.Encoder) { e.Int(f.expect) })
		e.Field("done", func(e *jx.Encoder) { e.Bool(f.done) })
	})
	return e.Bytes()
}

func decodeFleet(data []byte) (f fleetRecord, err error) {
	err = jx.DecodeBytes(data).Obj(func(d *jx.Decoder, name string) (err error) {
		switch name {
		case "order-id":
			f.order.ID, err = d.Str()
		case "fencing-token":
			f.order.FencingToken, err = d.UInt64()
		case "data-centre":
			f.order.DataCentre, err = d.Str()
		case "deployment":
			f.order.Deployment, err = d.Str()
		case "kind":
			var s string
			s, err = d.Str()
			f.order.Tier = definer.Tier(s)
		case "add":
			f.order.Add, err = d.Int()
		case "withdraw":
			err = d.Arr(func(d *jx.Decoder) error {
				id, err := d.Str()
				f.order.Withdraw = append(f.order.Withdraw, id)
				return err
			})
		case "expect":
			f.expect, err = d.Int()
		case "done":
			f.done, err = d.Bool()
		default:
			err = d.Skip()
		}
		return err
	})
	return f, malformed(err)
}

func malformed(err error) error {
	if err == nil {
		return nil
	}
	return coder.Wrap(coder.Internal, err, "malformed order row")
}
