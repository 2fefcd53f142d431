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

// engineStatus is what the holder knows of one engine.
//
// It is an immutable value; the with methods return changed copies.
type engineStatus struct {
	engine string
	record Record
	// version is that of the row; 0 means that there is none.
	version uint64
	state   speaker.State
	stateAt time.Time
	// lastSent is the order that this process has begun to send last.
	lastSent string
	// failures counts sendings of the recorded order without effect.
	failures int
	// lostResponseAt is when an order was sent last whose answer was lost.
	lostResponseAt time.Time
	// missingSince is when the engine was first missing in the endpoint table.
	missingSince time.Time
	// replacing says that another engine is ordered in its place.
	replacing bool
}

func (b engineStatus) pending() bool { return b.version > 0 && !b.record.Done }

// neverSent reports whether the recorded order is this tenure's own and not
// sent yet.
func (b engineStatus) neverSent(g leaser.Grant) bool {
	return b.record.Order.FencingToken == g.Token && b.lastSent != b.record.Order.ID
}

func (b engineStatus) withRecord(r Record, version uint64) engineStatus {
	if r.Order.ID != b.record.Order.ID {
		b.failures = 0
	}
	b.record, b.version = r, version
	return b
}

func (b engineStatus) withState(s speaker.State, at time.Time) engineStatus {
	b.state, b.stateAt = s, at
	return b
}

func (b engineStatus) withoutState() engineStatus {
	b.stateAt = time.Time{}
	return b
}

func (b engineStatus) withDeployment(name string) engineStatus {
	b.record.Deployment = name
	return b
}

func (b engineStatus) withReplacing() engineStatus {
	b.replacing = true
	return b
}

func (b engineStatus) withSent(id string) engineStatus {
	b.lastSent = id
	return b
}

func (b engineStatus) withFailure(at time.Time) engineStatus {
	b.failures++
	b.lostResponseAt = at
	return b
}

func (b engineStatus) withMissing(at time.Time) engineStatus {
	b.missingSince = at
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

// fleetOrder is a row fleet-order/DEPLOYMENT/ID.
type fleetOrder struct {
	order supplier.EndpointOrder
	// expect is the number of endpoints once those ordered have arrived.
	expect int
	done   bool
	// version is that of the row, seen is when this node first saw it done.
	version uint64
	doneAt    time.Time
}

func encodeFleetOrder(f fleetOrder) []byte {
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

func decodeFleetOrder(data []byte) (f fleetOrder, err error) {
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
