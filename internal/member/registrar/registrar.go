// Package registrar keeps the rows by which nodes find each other.
//
// Each node writes one row when it starts and takes it away when it leaves in
// good order. The row of a node that was killed stays until the node starts
// again or another one removes it, so a row says where a node can be tried and
// not that it runs. The order of the rows' versions ranks the nodes of a data
// centre in the same way everywhere.
package registrar

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/jx"
	"github.com/rs/zerolog"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/keeper"
	"foxtailflow.example/foxtailflow/internal/store/follower"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

// Prefix begins the keys of the node rows.
const Prefix = "node/"

// Node is a node as its row names it.
type Node struct {
	ID string
	// Address is where other nodes reach it, Operators where operators do; that
	// may be empty.
	Address     string
	Operators   string
	DataCentre  string
	Incarnation uint64
	// Offset is the node's time of day when it started, less the time that the
	// store's clock showed.
	Offset time.Duration
	// Order is the version of the row.
	Order uint64
}

// Registrar writes this node's row and knows those of the others.
type Registrar struct {
	Log   zerolog.Logger
	Table transactor.Table
	Self  Node
	// Offset returns the offset of this node; false while it is not known.
	Offset func() (time.Duration, bool)

	nodes      keeper.Cell[[]Node]
	registered keeper.Cell[bool]
}

// Register writes this node's row unless it stands; a task repeats it.
func (r *Registrar) Register(ctx context.Context) error {
	offset, ok := r.Offset()
	if r.registered.Get() || !ok {
		return nil
	}
	self := r.Self
	self.Offset = offset
	if _, err := r.Table.Commit(ctx, transactor.Tx{}.WithPut(Prefix+self.ID, encode(self))); err != nil {
		return err
	}
	r.registered.Update(func(bool) (bool, bool) { return true, true })
	return nil
}

// Leave removes this node's row.
func (r *Registrar) Leave(ctx context.Context) error {
	_, err := r.Table.Commit(ctx, transactor.Tx{}.WithDelete(Prefix+r.Self.ID))
	return err
}

// Apply takes the rows of a snapshot.
func (r *Registrar) Apply(s follower.Snapshot) {
	var nodes []Node
	own := false
	for _, row := range s.Rows() {
		n, err := decode(row)
		if err != nil {
			r.Log.Warn().Str("key", row.Key).Err(err).Msg("row names no node")
			continue
		}
		own = own || n.ID == r.Self.ID && n.Incarnation == r.Self.Incarnation
		nodes = append(nodes, n)
	}
	slices.SortFunc(nodes, func(a, b Node) int { return cmp.Compare(a.Order, b.Order) })
	r.nodes.Update(func([]Node) ([]Node, bool) { return nodes, true })
	if s.Loaded() && !own {
		r.registered.Update(func(bool) (bool, bool) { return false, true })
	}
}

// Nodes returns the nodes in the order of their rows.
func (r *Registrar) Nodes() []Node { return r.nodes.Get() }

// Offsets returns the offsets of all nodes.
func (r *Registrar) Offsets() []time.Duration {
	nodes := r.nodes.Get()
	offsets := make([]time.Duration, len(nodes))
	for i, n := range nodes {
		offsets[i] = n.Offset
	}
	return offsets
}

// Of returns the nodes of a data centre in their order.
func (r *Registrar) Of(dataCentre string) []Node {
	var of []Node
	for _, n := range r.nodes.Get() {
		if n.DataCentre == dataCentre {
			of = append(of, n)
		}
	}
	return of
}

// DataCentres returns the data centres that have nodes, in order.
func (r *Registrar) DataCentres() []string {
	var names []string
	for _, n := range r.nodes.Get() {
		names = append(names, n.DataCentre)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func encode(n Node) []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("address", func(e *jx.Encoder) { e.Str(n.Address) })
		if n.Operators != "" {
			e.Field("operators-address", func(e *jx.Encoder) { e.Str(n.Operators) })
		}
		e.Field("data-centre", func(e *jx.Encoder) { e.Str(n.DataCentre) })
		e.Field("clock-offset-ms", func(e *jx.Encoder) { e.Int64(n.Offset.Milliseconds()) })
		e.Field("incarnation", func(e *jx.Encoder) { e.UInt64(n.Incarnation) })
	})
	return e.Bytes()
}

func decode(row transactor.Row) (Node, error) {
	n := Node{ID: strings.TrimPrefix(row.Key, Prefix), Order: row.Version}
	err := jx.DecodeBytes(row.Value).Obj(func(d *jx.Decoder, name string) (err error) {
		switch name {
		case "address":
			n.Address, err = d.Str()
		case "operators-address":
			n.Operators, err = d.Str()
		case "data-centre":
			n.DataCentre, err = d.Str()
		case "clock-offset-ms":
			var ms int64
			ms, err = d.Int64()
			n.Offset = time.Duration(ms) * time.Millisecond
		case "incarnation":
			n.Incarnation, err = d.UInt64()
		default:
			err = d.Skip()
		}
		return err
	})
	if err != nil {
		return Node{}, coder.Wrap(coder.PlatformUnavailable, err, "malformed row of a node")
	}
	return n, nil
}
