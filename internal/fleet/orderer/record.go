package orderer

import (
	"time"

	"github.com/go-faster/jx"

	"foxtailflow.example/foxtailflow/internal/authority/leaser"
	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/engine/controller"
	"foxtailflow.example/foxtailflow/internal/fleet/supplier"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

// The key prefixes of the rows that orders are recorded in.
const (
	enginePrefix = "order/"
	fleetPrefix  = "fleet-order/"
	headPrefix   = "fleet-order-head/"
)

// Record is the row order/ENGINE, which has the last order for an engine.
type Record struct {
	Deployment string
	// Order has the fencing token of the holder that recorded it.
	Order controller.Order
	// Done says that the order has taken effect.
	Done bool
}

// WithDone returns a copy that is marked as done.
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
	// version is the version of the row; 0 means that there is no row.
	version transactor.Version
	state   controller.State
	stateAt time.Time
	// lastSent is the ID of the order that this process started to send last.
	lastSent string
	// failures counts the failed sends of the recorded order.
	failures int
	// lostResponseAt is when the last send without a response failed.
	lostResponseAt time.Time
	// missingSince is when the engine was first missing in the endpoint table.
	missingSince time.Time
	// replacing says that another engine is to be ordered in its place.
	replacing bool
}

func (st engineStatus) pending() bool { return st.version > 0 && !st.record.Done }

// neverSent reports whether the recorded order was recorded under the given grant
// and has not been sent yet.
func (st engineStatus) neverSent(g leaser.Grant) bool {
	return st.record.Order.FencingToken == g.Token && st.lastSent != st.record.Order.ID
}

func (st engineStatus) withRecord(r Record, version transactor.Version) engineStatus {
	if r.Order.ID != st.record.Order.ID {
		st.failures = 0
	}
	st.record, st.version = r, version
	return st
}

func (st engineStatus) withState(s controller.State, at time.Time) engineStatus {
	st.state, st.stateAt = s, at
	return st
}

func (st engineStatus) withoutState() engineStatus {
	st.stateAt = time.Time{}
	return st
}

func (st engineStatus) withDeployment(name string) engineStatus {
	st.record.Deployment = name
	return st
}

func (st engineStatus) withReplacing() engineStatus {
	st.replacing = true
	return st
}

func (st engineStatus) withSent(id string) engineStatus {
	st.lastSent = id
	return st
}

func (st engineStatus) withFailure(at time.Time) engineStatus {
	st.failures++
	st.lostResponseAt = at
	return st
}

func (st engineStatus) withMissing(at time.Time) engineStatus {
	st.missingSince = at
	return st
}

func encodeRecord(r Record) []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("deployment", func(e *jx.Encoder) { e.Str(r.Deployment) })
		e.Field("order", func(e *jx.Encoder) { e.Raw(controller.EncodeOrder(r.Order)) })
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
				r.Order, err = controller.DecodeOrder(raw)
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
	// expect is the number of endpoints after the ordered ones have arrived.
	expect int
	done   bool
	// version is the version of the row, doneAt the time at which this node first
	// saw it done.
	version transactor.Version
	doneAt  time.Time
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
