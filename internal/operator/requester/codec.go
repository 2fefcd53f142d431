package requester

import (
	"strconv"

	"github.com/go-faster/jx"

	"foxtailflow.example/foxtailflow/internal/base/coder"
)

// File is a configuration file by name.
type File struct {
	Name string
	// ChangedAt is the version that last set the file.
	ChangedAt uint64
}

// Files are the configuration files at one version.
type Files struct {
	Version uint64
	Files   []File
}

// Seen returns the version that last set a file, 0 if there is no such file.
func (fs Files) Seen(name string) uint64 {
	for _, f := range fs.Files {
		if f.Name == name {
			return f.ChangedAt
		}
	}
	return 0
}

// Setting is a value in force and where it came from.
type Setting struct {
	Section string
	Key     string
	Value   string
	File    string
	Line    int
}

// Merged is the configuration in force at one version.
type Merged struct {
	Version  uint64
	Settings []Setting
}

// Change is an accepted change.
type Change struct {
	Version uint64
	// InForce says that no node answers by an older version.
	InForce bool
}

// Key is a new key of a client account.
type Key struct {
	Change  Change
	ID      string
	Account string
	File    string
	// Secret is what callers send; it is shown once.
	Secret string
}

// Node is a registered node.
type Node struct {
	ID               string
	DataCentre       string
	PeersAddress     string
	OperatorsAddress string
}

// VersionNodes is the number of nodes on which a version is in force.
type VersionNodes struct {
	Version uint64
	Nodes   int
}

// Status is the system as one node knows it.
type Status struct {
	Node    string
	Version uint64
	// Current says that the node serves requests with keys, StoreReachable that the
	// store answers it.
	Current        bool
	StoreReachable bool
	Nodes          []Node
	Versions       []VersionNodes
	Duties         []string
}

// object decodes a JSON object by the given fields and skips others.
func object(d *jx.Decoder, fields map[string]func(*jx.Decoder) error) error {
	return d.Obj(func(d *jx.Decoder, name string) error {
		if decode, ok := fields[name]; ok {
			return decode(d)
		}
		return d.Skip()
	})
}

func str(s *string) func(*jx.Decoder) error {
	return func(d *jx.Decoder) (err error) {
		*s, err = d.Str()
		return err
	}
}

func number(n *uint64) func(*jx.Decoder) error {
	return func(d *jx.Decoder) (err error) {
		*n, err = d.UInt64()
		return err
	}
}

// list decodes an array, one item at a time.
func list[T any](items *[]T, fields func(*T) map[string]func(*jx.Decoder) error) func(*jx.Decoder) error {
	return func(d *jx.Decoder) error {
		return d.Arr(func(d *jx.Decoder) error {
			var item T
			err := object(d, fields(&item))
			*items = append(*items, item)
			return err
		})
	}
}

func flag(b *bool) func(*jx.Decoder) error {
	return func(d *jx.Decoder) (err error) {
		*b, err = d.Bool()
		return err
	}
}

func integer(n *int) func(*jx.Decoder) error {
	return func(d *jx.Decoder) (err error) {
		*n, err = d.Int()
		return err
	}
}

func texts(items *[]string) func(*jx.Decoder) error {
	return func(d *jx.Decoder) error {
		return d.Arr(func(d *jx.Decoder) error {
			s, err := d.Str()
			*items = append(*items, s)
			return err
		})
	}
}

// changeFields decode a change; without in-force, it is in force.
func changeFields(c *Change) map[string]func(*jx.Decoder) error {
	c.InForce = true
	return map[string]func(*jx.Decoder) error{
		"version":  number(&c.Version),
		"in-force": flag(&c.InForce),
	}
}

func decodeChange(data []byte) (c Change, err error) {
	err = object(jx.DecodeBytes(data), changeFields(&c))
	return c, malformed(err)
}

func encodeAccount(account string) []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("client-account", func(e *jx.Encoder) { e.Str(account) })
	})
	return e.Bytes()
}

func decodeKey(data []byte) (k Key, err error) {
	fields := changeFields(&k.Change)
	fields["id"], fields["client-account"] = str(&k.ID), str(&k.Account)
	fields["file"], fields["secret"] = str(&k.File), str(&k.Secret)
	err = object(jx.DecodeBytes(data), fields)
	return k, malformed(err)
}

func decodeStatus(data []byte) (s Status, err error) {
	err = object(jx.DecodeBytes(data), map[string]func(*jx.Decoder) error{
		"node":            str(&s.Node),
		"version":         number(&s.Version),
		"current":         flag(&s.Current),
		"store-reachable": flag(&s.StoreReachable),
		"duties":          texts(&s.Duties),
		"nodes": list(&s.Nodes, func(n *Node) map[string]func(*jx.Decoder) error {
			return map[string]func(*jx.Decoder) error{
				"id": str(&n.ID), "data-centre": str(&n.DataCentre),
				"peers-address": str(&n.PeersAddress), "operators-address": str(&n.OperatorsAddress),
			}
		}),
		"versions": list(&s.Versions, func(v *VersionNodes) map[string]func(*jx.Decoder) error {
			return map[string]func(*jx.Decoder) error{"version": number(&v.Version), "nodes": integer(&v.Nodes)}
		}),
	})
	return s, malformed(err)
}

func decodeFiles(data []byte) (fs Files, err error) {
	err = object(jx.DecodeBytes(data), map[string]func(*jx.Decoder) error{
		"version": number(&fs.Version),
		"files": list(&fs.Files, func(f *File) map[string]func(*jx.Decoder) error {
			return map[string]func(*jx.Decoder) error{"file": str(&f.Name), "changed-at": number(&f.ChangedAt)}
		}),
	})
	return fs, malformed(err)
}

func decodeMerged(data []byte) (m Merged, err error) {
	err = object(jx.DecodeBytes(data), map[string]func(*jx.Decoder) error{
		"version": number(&m.Version),
		"settings": list(&m.Settings, func(s *Setting) map[string]func(*jx.Decoder) error {
			return map[string]func(*jx.Decoder) error{
				"section": str(&s.Section),
				"key":     str(&s.Key),
				"value":   str(&s.Value),
				"file":    str(&s.File),
				"line":    integer(&s.Line),
			}
		}),
	})
	return m, malformed(err)
}

// decodeRefusal decodes the body of a refusal, which is not a node's if it has
// no numbered code.
func decodeRefusal(status int, data []byte) error {
	var message, code, outcome string
	err := object(jx.DecodeBytes(data), map[string]func(*jx.Decoder) error{
		"error": func(d *jx.Decoder) error {
			return object(d, map[string]func(*jx.Decoder) error{
				"message": str(&message), "code": str(&code), "outcome": str(&outcome),
			})
		},
	})
	n, convertErr := strconv.Atoi(code)
	if err != nil || convertErr != nil {
		return coder.New(coder.NodeNotReached, "the answer has status %d and is not that of a node", status)
	}
	f := coder.New(coder.Code(n), "%s", message)
	if outcome == coder.NotRun.String() {
		f = f.WithOutcome(coder.NotRun)
	}
	return f
}

func malformed(err error) error {
	if err == nil {
		return nil
	}
	return coder.Wrap(coder.NodeNotReached, err, "the answer is not understood")
}
