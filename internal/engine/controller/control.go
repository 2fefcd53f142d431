// Package controller implements the engines' control protocol.
//
// Engines serve requests on the OpenAI paths. Under /engine they also report
// their state and load, accept orders, and cancel or resume streams. This
// package has the messages, their codec, and a client that sends each message
// once.
package controller

import (
	"errors"
	"net/url"
	"strconv"

	"github.com/go-faster/jx"

	"foxtailflow.example/foxtailflow/internal/base/coder"
)

// The headers of requests and responses between a node and an engine.
const (
	HeaderRequestID  = "Engine-Request-Id"
	HeaderPriority   = "Engine-Priority"
	HeaderDeadline   = "Engine-Deadline-Ms"
	HeaderResumeFrom = "Engine-Resume-From"
)

// ResumePath returns the path at which an engine continues the stream of a
// request after a number of events. The header Engine-Resume-From of the
// response has the same number.
func ResumePath(requestID string, from int) string {
	return "/engine/resume/" + url.PathEscape(requestID) + "?from=" + strconv.Itoa(from)
}

// Action is what an order asks an engine to do.
type Action string

// The actions of an order.
const (
	SetRole     Action = "set-role"
	LoadModel   Action = "load-model"
	LoadAdapter Action = "load-adapter"
	SetVersion  Action = "set-version"
)

// Order asks an engine to change its role, models, adapters or version.
type Order struct {
	ID           string
	FencingToken uint64
	Action       Action
	Value        string
}

// State is the state that an engine reports.
type State struct {
	Role     string
	Models   []string
	Adapters []string
	Version  string
	// LastOrderID is the identifier of the order that took effect last.
	LastOrderID  string
	FencingToken uint64
	// Phase is "serving", "draining" or "changing".
	Phase    string
	InFlight int
}

// Load is the load report of an engine or service.
type Load struct {
	InFlight int
	Queued   int
	// Backlog is the number of prompt tokens still to be prefilled.
	Backlog int
	// FreeBlocks is the engine memory not in use, in cache blocks.
	FreeBlocks int
	Role       string
	// Leaving says that the endpoint will stop.
	Leaving bool
	// Changing says that the endpoint is unavailable for a change.
	Changing bool
}

// EncodeLoad encodes a load report.
func EncodeLoad(l Load) []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("in-flight", func(e *jx.Encoder) { e.Int(l.InFlight) })
		e.Field("queued", func(e *jx.Encoder) { e.Int(l.Queued) })
		e.Field("backlog", func(e *jx.Encoder) { e.Int(l.Backlog) })
		e.Field("free-pieces", func(e *jx.Encoder) { e.Int(l.FreeBlocks) })
		e.Field("role", func(e *jx.Encoder) { e.Str(l.Role) })
		e.Field("leaving", func(e *jx.Encoder) { e.Bool(l.Leaving) })
		e.Field("changing", func(e *jx.Encoder) { e.Bool(l.Changing) })
	})
	return e.Bytes()
}

// DecodeLoad decodes a load report, which counts the running requests at least.
func DecodeLoad(data []byte) (l Load, err error) {
	counted := false
	err = jx.DecodeBytes(data).Obj(func(d *jx.Decoder, name string) (err error) {
		switch name {
		case "in-flight":
			counted = true
			l.InFlight, err = d.Int()
		case "queued":
			l.Queued, err = d.Int()
		case "backlog":
			l.Backlog, err = d.Int()
		case "free-pieces":
			l.FreeBlocks, err = d.Int()
		case "role":
			l.Role, err = d.Str()
		case "leaving":
			l.Leaving, err = d.Bool()
		case "changing":
			l.Changing, err = d.Bool()
		default:
			err = d.Skip()
		}
		return err
	})
	if err == nil && (!counted || min(l.InFlight, l.Queued, l.Backlog, l.FreeBlocks) < 0) {
		err = errors.New("the numbers of requests are missing or negative")
	}
	return l, wrapMalformed(err)
}

// EncodeOrder encodes an order.
func EncodeOrder(o Order) []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("order-id", func(e *jx.Encoder) { e.Str(o.ID) })
		e.Field("fencing-token", func(e *jx.Encoder) { e.UInt64(o.FencingToken) })
		e.Field("action", func(e *jx.Encoder) { e.Str(string(o.Action)) })
		e.Field("value", func(e *jx.Encoder) { e.Str(o.Value) })
	})
	return e.Bytes()
}

// DecodeOrder decodes an order.
func DecodeOrder(data []byte) (o Order, err error) {
	err = jx.DecodeBytes(data).Obj(func(d *jx.Decoder, name string) (err error) {
		switch name {
		case "order-id":
			o.ID, err = d.Str()
		case "fencing-token":
			o.FencingToken, err = d.UInt64()
		case "action":
			var s string
			s, err = d.Str()
			o.Action = Action(s)
		case "value":
			o.Value, err = d.Str()
		default:
			err = d.Skip()
		}
		return err
	})
	return o, wrapMalformed(err)
}

// EncodeState encodes an engine's state.
func EncodeState(s State) []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("role", func(e *jx.Encoder) { e.Str(s.Role) })
		e.Field("models", func(e *jx.Encoder) { encodeStrings(e, s.Models) })
		e.Field("adapters", func(e *jx.Encoder) { encodeStrings(e, s.Adapters) })
		e.Field("version", func(e *jx.Encoder) { e.Str(s.Version) })
		e.Field("last-order-id", func(e *jx.Encoder) { e.Str(s.LastOrderID) })
		e.Field("fencing-token", func(e *jx.Encoder) { e.UInt64(s.FencingToken) })
		e.Field("phase", func(e *jx.Encoder) { e.Str(s.Phase) })
		e.Field("in-flight", func(e *jx.Encoder) { e.Int(s.InFlight) })
	})
	return e.Bytes()
}

// DecodeState decodes an engine's state.
func DecodeState(data []byte) (s State, err error) {
	err = jx.DecodeBytes(data).Obj(func(d *jx.Decoder, name string) (err error) {
		switch name {
		case "role":
			s.Role, err = d.Str()
		case "models":
			s.Models, err = decodeStrings(d)
		case "adapters":
			s.Adapters, err = decodeStrings(d)
		case "version":
			s.Version, err = d.Str()
		case "last-order-id":
			s.LastOrderID, err = d.Str()
		case "fencing-token":
			s.FencingToken, err = d.UInt64()
		case "phase":
			s.Phase, err = d.Str()
		case "in-flight":
			s.InFlight, err = d.Int()
		default:
			err = d.Skip()
		}
		return err
	})
	return s, wrapMalformed(err)
}

func encodeStrings(e *jx.Encoder, items []string) {
	e.Arr(func(e *jx.Encoder) {
		for _, s := range items {
			e.Str(s)
		}
	})
}

func decodeStrings(d *jx.Decoder) (items []string, err error) {
	err = d.Arr(func(d *jx.Decoder) error {
		s, err := d.Str()
		items = append(items, s)
		return err
	})
	return items, err
}

func wrapMalformed(err error) error {
	if err == nil {
		return nil
	}
	return coder.Wrap(coder.EndpointFailed, err, "malformed message from an endpoint")
}
