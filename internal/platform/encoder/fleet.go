package encoder

import (
	"github.com/go-faster/jx"

	"foxtailflow.example/foxtailflow/internal/platform/transactor"
)

// EncodeVMs encodes a VM list.
func EncodeVMs(vms []transactor.VM) []byte {
	var e jx.Encoder
	e.Arr(func(e *jx.Encoder) {
		for _, v := range vms {
			e.Obj(func(e *jx.Encoder) {
				e.Field("id", func(e *jx.Encoder) { e.Str(v.ID) })
				e.Field("address", func(e *jx.Encoder) { e.Str(v.Address) })
				e.Field("data-centre", func(e *jx.Encoder) { e.Str(v.DataCentre) })
				e.Field("deployment", func(e *jx.Encoder) { e.Str(v.Deployment) })
				e.Field("kind", func(e *jx.Encoder) { e.Str(string(v.Tier)) })
				e.Field("state", func(e *jx.Encoder) { e.Str(string(v.State)) })
			})
		}
	})
	return e.Bytes()
}

// DecodeVMs decodes a VM list.
func DecodeVMs(data []byte) ([]transactor.VM, error) {
	var vms []transactor.VM
	err := jx.DecodeBytes(data).Arr(func(d *jx.Decoder) error {
		v, err := decodeVM(d)
		vms = append(vms, v)
		return err
	})
	return vms, malformed(err)
}

func decodeVM(d *jx.Decoder) (v transactor.VM, err error) {
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
			v.Tier = transactor.Tier(s)
		case "state":
			v.State = transactor.VMState(s)
		}
		return err
	})
	return v, err
}

// EncodeOrder encodes an order for endpoints.
func EncodeOrder(o transactor.EndpointOrder) []byte {
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
func DecodeOrder(data []byte) (transactor.EndpointOrder, error) {
	var o transactor.EndpointOrder
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
			o.Tier = transactor.Tier(s)
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

// EncodeReport encodes a usage report.
func EncodeReport(r transactor.UsageReport) []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("report-id", func(e *jx.Encoder) { e.Str(r.ID) })
		e.Field("fencing-token", func(e *jx.Encoder) { e.UInt64(r.FencingToken) })
		e.Field("figures", func(e *jx.Encoder) { EncodeFigures(e, r.Figures) })
	})
	return e.Bytes()
}

// EncodeFigures encodes billed quantities as an array.
func EncodeFigures(e *jx.Encoder, figures []transactor.Figures) {
	e.Arr(func(e *jx.Encoder) {
		for _, f := range figures {
			e.Obj(func(e *jx.Encoder) {
				e.Field("client-account", func(e *jx.Encoder) { e.Str(f.Account) })
				e.Field("model", func(e *jx.Encoder) { e.Str(f.Model) })
				e.Field("requests", func(e *jx.Encoder) { e.Int64(f.Requests) })
				e.Field("prompt-tokens", func(e *jx.Encoder) { e.Int64(f.PromptTokens) })
				e.Field("output-tokens", func(e *jx.Encoder) { e.Int64(f.OutputTokens) })
			})
		}
	})
}

// DecodeReport decodes a usage report.
func DecodeReport(data []byte) (transactor.UsageReport, error) {
	var r transactor.UsageReport
	err := jx.DecodeBytes(data).Obj(func(d *jx.Decoder, name string) (err error) {
		switch name {
		case "report-id":
			r.ID, err = d.Str()
		case "fencing-token":
			r.FencingToken, err = d.UInt64()
		case "figures":
			r.Figures, err = DecodeFigures(d)
		default:
			err = d.Skip()
		}
		return err
	})
	return r, malformed(err)
}

// DecodeFigures decodes an array of billed quantities.
func DecodeFigures(d *jx.Decoder) (figures []transactor.Figures, err error) {
	err = d.Arr(func(d *jx.Decoder) error {
		f, err := decodeFigure(d)
		figures = append(figures, f)
		return err
	})
	return figures, err
}

func decodeFigure(d *jx.Decoder) (f transactor.Figures, err error) {
	err = d.Obj(func(d *jx.Decoder, name string) (err error) {
		switch name {
		case "client-account":
			f.Account, err = d.Str()
		case "model":
			f.Model, err = d.Str()
		case "requests":
			f.Requests, err = d.Int64()
		case "prompt-tokens":
			f.PromptTokens, err = d.Int64()
		case "output-tokens":
			f.OutputTokens, err = d.Int64()
		default:
			err = d.Skip()
		}
		return err
	})
	return f, err
}
