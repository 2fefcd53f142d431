// Package registrar maintains the rows of the store by which nodes find each
// other.
//
// Each node writes one row when it starts and deletes it on an orderly shutdown.
// The row of a killed node stays until the node restarts or another node removes
// it, so a row gives an address to try and does not mean that the node runs. The
// versions of the rows rank the nodes of a data centre in the same order on all
// nodes.
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

// KeyPrefix is the key prefix of the node rows.
const KeyPrefix = "node/"

// Node is the content of a node's row.
type Node struct {
	ID string
	// Address is the address for other nodes, OperatorsAddress the one for
	// operators, which may be empty.
	Address          string
	OperatorsAddress string
	DataCentre       string
	Incarnation      uint64
	// ClockOffset is the node's time of day at its first reading of the store's
	// clock, less that reading.
	ClockOffset time.Duration
	// RowVersion is the version of the row.
	RowVersion transactor.Version
}

// Registrar writes this node's row and holds those of all nodes.
type Registrar struct {
	Log   zerolog.Logger
	Table transactor.Table
	Self  Node
	// ClockOffset returns this node's clock offset; false while it is not known.
	ClockOffset func() (time.Duration, bool)

	nodes      keeper.Cell[[]Node]
	registered keeper.Cell[bool]
	// listed has the newest start of each node whose row was ever read.
	listed keeper.Table[string, uint64]
}

// Register writes this node's row unless it is already there, or the clock offset
// is not known yet; a task repeats it.
func (r *Registrar) Register(ctx context.Context) error {
	offset, ok := r.ClockOffset()
	if r.registered.Get() || !ok {
		return nil
	}
	self := r.Self
	self.ClockOffset = offset
	if _, err := r.Table.Commit(ctx, transactor.Tx{}.WithPut(KeyPrefix+self.ID, encode(self))); err != nil {
		return err
	}
	r.registered.Update(func(bool) (bool, bool) { return true, true })
	return nil
}

// Deregister deletes this node's row.
func (r *Registrar) Deregister(ctx context.Context) error {
	_, err := r.Table.Commit(ctx, transactor.Tx{}.WithDelete(KeyPrefix+r.Self.ID))
	return err
}

// Apply takes the rows of a snapshot.
func (r *Registrar) Apply(s follower.Snapshot) {
	var nodes []Node
	own := false
	for _, row := range s.Rows() {
		n, err := decode(row)
		if err != nil {
			r.Log.Warn().Str("key", row.Key).Err(err).Msg("malformed node row")
			continue
		}
		own = own || n.ID == r.Self.ID && n.Incarnation == r.Self.Incarnation
		nodes = append(nodes, n)
		r.listed.Update(n.ID, func(start uint64, _ bool) (uint64, bool) { return max(start, n.Incarnation), true })
	}
	slices.SortFunc(nodes, func(a, b Node) int { return cmp.Compare(a.RowVersion, b.RowVersion) })
	r.nodes.Update(func([]Node) ([]Node, bool) { return nodes, true })
	if s.Loaded() && !own {
		r.registered.Update(func(bool) (bool, bool) { return false, true })
	}
}

// Nodes returns the nodes in the order of their rows' versions.
func (r *Registrar) Nodes() []Node { return r.nodes.Get() }

// WasListed reports whether a row of this start of a node, or of a later one, was
// ever read.
func (r *Registrar) WasListed(id string, incarnation uint64) bool {
	start, ok := r.listed.Get(id)
	return ok && start >= incarnation
}

// ClockOffsets returns the clock offsets of all nodes.
func (r *Registrar) ClockOffsets() []time.Duration {
	nodes := r.nodes.Get()
	offsets := make([]time.Duration, len(nodes))
	for i, n := range nodes {
		offsets[i] = n.ClockOffset
	}
	return offsets
}

// InDataCentre returns the nodes of a data centre in the order of their rows'
// versions.
func (r *Registrar) InDataCentre(dataCentre string) []Node {
	var matching []Node
	for _, n := range r.nodes.Get() {
		if n.DataCentre == dataCentre {
			matching = append(matching, n)
		}
	}
	return matching
}

// DataCentres returns the data centres that have nodes, sorted by name.
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
		if n.OperatorsAddress != "" {
			e.Field("operators-address", func(e *jx.Encoder) { e.Str(n.OperatorsAddress) })
		}
		e.Field("data-centre", func(e *jx.Encoder) { e.Str(n.DataCentre) })
		e.Field("clock-offset-ms", func(e *jx.Encoder) { e.Int64(n.ClockOffset.Milliseconds()) })
		e.Field("incarnation", func(e *jx.Encoder) { e.UInt64(n.Incarnation) })
	})
	return e.Bytes()
}

func decode(row transactor.Row) (Node, error) {
	n := Node{ID: strings.TrimPrefix(row.Key, KeyPrefix), RowVersion: row.Version}
	err := jx.DecodeBytes(row.Value).Obj(func(d *jx.Decoder, name string) (err error) {
		switch name {
		case "address":
			n.Address, err = d.Str()
		case "operators-address":
			n.OperatorsAddress, err = d.Str()
		case "data-centre":
			n.DataCentre, err = d.Str()
		case "clock-offset-ms":
			var ms int64
			ms, err = d.Int64()
			n.ClockOffset = time.Duration(ms) * time.Millisecond
		case "incarnation":
			n.Incarnation, err = d.UInt64()
		default:
			err = d.Skip()
		}
		return err
	})
	if err != nil {
		return Node{}, coder.Wrap(coder.PlatformUnavailable, err, "malformed node row")
	}
	return n, nil
}
