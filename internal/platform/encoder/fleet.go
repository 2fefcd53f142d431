package encoder

import (
	"github.com/go-faster/jx"

	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/fleet/supplier"
)

// EncodeVM encodes the entry of a VM.
func EncodeVM(v supplier.VM) []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("id", func(e *jx.Encoder) { e.Str(v.ID) })
		e.Field("address", func(e *jx.Encoder) { e.Str(v.Address) })
		e.Field("data-centre", func(e *jx.Encoder) { e.Str(v.DataCentre) })
		e.Field("deployment", func(e *jx.Encoder) { e.Str(v.Deployment) })
		e.Field("kind", func(e *jx.Encoder) { e.Str(string(v.Tier)) })
		e.Field("state", func(e *jx.Encoder) { e.Str(string(v.State)) })
	})
	return e.Bytes()
}

// DecodeVM decodes the entry of a VM.
func DecodeVM(data []byte) (supplier.VM, error) {
	v, err := decodeVM(jx.DecodeBytes(data))
	return v, malformed(err)
}

// DecodeVMs decodes a VM list.
func DecodeVMs(data []byte) ([]supplier.VM, error) {
	var vms []supplier.VM
	err := jx.DecodeBytes(data).Arr(func(d *jx.Decoder) error {
		v, err := decodeVM(d)
		vms = append(vms, v)
		return err
	})
	return vms, malformed(err)
}

func decodeVM(d *jx.Decoder) (v supplier.VM, err error) {
	err = d.Obj(func(d *jx.Decoder, name string) error {
		s, err := d.Str()
		switch name {
		case "id":
			v.ID = s
		case "address":
			v.Address = s
		case "data-centre":
			v.DataCentre = s
		case "deployment":
			v.Deployment = s
		case "kind":
			v.Tier = definer.Tier(s)
		case "state":
			v.State = supplier.VMState(s)
		}
		return err
	})
	return v, err
}

// EncodeOrder encodes an order for endpoints.
func EncodeOrder(o supplier.EndpointOrder) []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("order-id", func(e *jx.Encoder) { e.Str(o.ID) })
		e.Field("fencing-token", func(e *jx.Encoder) { e.UInt64(o.FencingToken) })
		e.Field("data-centre", func(e *jx.Encoder) { e.Str(o.DataCentre) })
		e.Field("deployment", func(e *jx.Encoder) { e.Str(o.Deployment) })
		e.Field("kind", func(e *jx.Encoder) { e.Str(string(o.Tier)) })
		e.Field("add", func(e *jx.Encoder) { e.Int(o.Add) })
		e.Field("withdraw", func(e *jx.Encoder) { encodeNames(e, o.Withdraw) })
	})
	return e.Bytes()
}

// DecodeOrder decodes an order for endpoints.
func DecodeOrder(data []byte) (supplier.EndpointOrder, error) {
	var o supplier.EndpointOrder
	err := jx.DecodeBytes(data).Obj(func(d *jx.Decoder, name string) (err error) {
		switch name {
		case "order-id":
			o.ID, err = d.Str()
		case "fencing-token":
			o.FencingToken, err = d.UInt64()
		case "data-centre":
			o.DataCentre, err = d.Str()
		case "deployment":
			o.Deployment, err = d.Str()
		case "kind":
			var s string
			s, err = d.Str()
			o.Tier = definer.Tier(s)
		case "add":
			o.Add, err = d.Int()
		case "withdraw":
			o.Withdraw, err = decodeNames(d)
		default:
			err = d.Skip()
		}
		return err
	})
	return o, malformed(err)
}
