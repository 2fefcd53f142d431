package requester

import (
	"errors"
	"strconv"

	"github.com/go-faster/jx"

	"foxtailflow.example/foxtailflow/internal/base/coder"
)

// File describes a configuration file.
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

// ChangedAt returns the version that last set a file, 0 if there is no such file.
func (fs Files) ChangedAt(name string) uint64 {
	for _, f := range fs.Files {
		if f.Name == name {
			return f.ChangedAt
		}
	}
	return 0
}

// Setting is a value in force, with the file and line that it came from.
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
	// InForce is set if no node serves requests by an older version.
	InForce bool
}

// Key is a new key of a client account.
type Key struct {
	Change  Change
	ID      string
	Account string
	File    string
	// Secret is the credential that callers send; it is returned once.
	Secret string
}

// Node is a registered node.
type Node struct {
	ID               string
	DataCentre       string
	PeersAddress     string
	OperatorsAddress string
}

// VersionNodes is the number of nodes on which a configuration version is in
// force.
type VersionNodes struct {
	Version uint64
	Nodes   int
}

// Status is the status of a node and of the other nodes it knows.
type Status struct {
	Node    string
	Version uint64
	// Current is set if the node serves requests with keys, StoreReachable if it can
	// reach the store.
	Current        bool
	StoreReachable bool
	Nodes          []Node
	Versions       []VersionNodes
	Duties         []string
}

// Pattern is a set of prompt parts; prompts that have all of them are refused.
type Pattern struct {
	ID    string
	Parts []string
	// Endpoints are those that have crashed under such prompts.
	Endpoints []string
}

// decodeObject decodes the given fields of a JSON object and skips the others.
func decodeObject(d *jx.Decoder, fields map[string]func(*jx.Decoder) error) error {
	return d.Obj(func(d *jx.Decoder, name string) error {
		if decode, ok := fields[name]; ok {
			return decode(d)
		}
		return d.Skip()
	})
}

func stringDecoder(s *string) func(*jx.Decoder) error {
	return func(d *jx.Decoder) (err error) {
		*s, err = d.Str()
		return err
	}
}

func uintDecoder(n *uint64) func(*jx.Decoder) error {
	return func(d *jx.Decoder) (err error) {
		*n, err = d.UInt64()
		return err
	}
}

// listDecoder returns a decoder that appends the objects of an array to items;
// fields returns the field decoders of one item.
func listDecoder[T any](items *[]T, fields func(*T) map[string]func(*jx.Decoder) error) func(*jx.Decoder) error {
	return func(d *jx.Decoder) error {
		return d.Arr(func(d *jx.Decoder) error {
			var item T
			err := decodeObject(d, fields(&item))
			*items = append(*items, item)
			return err
		})
	}
}

func boolDecoder(b *bool) func(*jx.Decoder) error {
	return func(d *jx.Decoder) (err error) {
		*b, err = d.Bool()
		return err
	}
}

func intDecoder(n *int) func(*jx.Decoder) error {
	return func(d *jx.Decoder) (err error) {
		*n, err = d.Int()
		return err
	}
}

func stringsDecoder(items *[]string) func(*jx.Decoder) error {
	return func(d *jx.Decoder) error {
		return d.Arr(func(d *jx.Decoder) error {
			s, err := d.Str()
			*items = append(*items, s)
			return err
		})
	}
}

// changeFields returns the field decoders of a change. A change without the field
// in-force is in force.
func changeFields(c *Change) map[string]func(*jx.Decoder) error {
	c.InForce = true
	return map[string]func(*jx.Decoder) error{
		"version":  uintDecoder(&c.Version),
		"in-force": boolDecoder(&c.InForce),
	}
}

func decodeChange(data []byte) (c Change, err error) {
	err = decodeObject(jx.DecodeBytes(data), changeFields(&c))
	return c, changeDecodingError(c, err)
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
	fields["id"], fields["client-account"] = stringDecoder(&k.ID), stringDecoder(&k.Account)
	fields["file"], fields["secret"] = stringDecoder(&k.File), stringDecoder(&k.Secret)
	err = decodeObject(jx.DecodeBytes(data), fields)
	return k, changeDecodingError(k.Change, err)
}

func decodeStatus(data []byte) (s Status, err error) {
	err = decodeObject(jx.DecodeBytes(data), map[string]func(*jx.Decoder) error{
		"node":            stringDecoder(&s.Node),
		"version":         uintDecoder(&s.Version),
		"current":         boolDecoder(&s.Current),
		"store-reachable": boolDecoder(&s.StoreReachable),
		"duties":          stringsDecoder(&s.Duties),
		"nodes": listDecoder(&s.Nodes, func(n *Node) map[string]func(*jx.Decoder) error {
			return map[string]func(*jx.Decoder) error{
				"id": stringDecoder(&n.ID), "data-centre": stringDecoder(&n.DataCentre),
				"peers-address": stringDecoder(&n.PeersAddress), "operators-address": stringDecoder(&n.OperatorsAddress),
			}
		}),
		"versions": listDecoder(&s.Versions, func(v *VersionNodes) map[string]func(*jx.Decoder) error {
			return map[string]func(*jx.Decoder) error{"version": uintDecoder(&v.Version), "nodes": intDecoder(&v.Nodes)}
		}),
	})
	return s, decodingError(err)
}

func decodeFiles(data []byte) (fs Files, err error) {
	err = decodeObject(jx.DecodeBytes(data), map[string]func(*jx.Decoder) error{
		"version": uintDecoder(&fs.Version),
		"files": listDecoder(&fs.Files, func(f *File) map[string]func(*jx.Decoder) error {
			return map[string]func(*jx.Decoder) error{"file": stringDecoder(&f.Name), "changed-at": uintDecoder(&f.ChangedAt)}
		}),
	})
	return fs, decodingError(err)
}

// DecodeMerged decodes the configuration in force, as Merged receives it and the command
// config show prints it.
func DecodeMerged(data []byte) (m Merged, err error) {
	err = decodeObject(jx.DecodeBytes(data), map[string]func(*jx.Decoder) error{
		"version": uintDecoder(&m.Version),
		"settings": listDecoder(&m.Settings, func(s *Setting) map[string]func(*jx.Decoder) error {
			return map[string]func(*jx.Decoder) error{
				"section": stringDecoder(&s.Section),
				"key":     stringDecoder(&s.Key),
				"value":   stringDecoder(&s.Value),
				"file":    stringDecoder(&s.File),
				"line":    intDecoder(&s.Line),
			}
		}),
	})
	return m, err
}

func decodePatterns(data []byte) (patterns []Pattern, err error) {
	err = decodeObject(jx.DecodeBytes(data), map[string]func(*jx.Decoder) error{
		"patterns": listDecoder(&patterns, func(p *Pattern) map[string]func(*jx.Decoder) error {
			return map[string]func(*jx.Decoder) error{
				"id": stringDecoder(&p.ID), "parts": stringsDecoder(&p.Parts), "endpoints": stringsDecoder(&p.Endpoints),
			}
		}),
	})
	return patterns, decodingError(err)
}

// decodeRefusal decodes the body of an error response. A body without a numeric
// code does not come from a node.
func decodeRefusal(status int, data []byte) error {
	var message, code, outcome string
	err := decodeObject(jx.DecodeBytes(data), map[string]func(*jx.Decoder) error{
		"error": func(d *jx.Decoder) error {
			return decodeObject(d, map[string]func(*jx.Decoder) error{
				"message": stringDecoder(&message), "code": stringDecoder(&code), "outcome": stringDecoder(&outcome),
			})
		},
	})
	n, convertErr := strconv.Atoi(code)
	if err != nil || convertErr != nil {
		return coder.New(coder.NodeNotReached, "the response with status %d does not come from a node", status)
	}
	f := coder.New(coder.Code(n), "%s", message)
	if outcome == coder.NotRun.String() {
		f = f.WithOutcome(coder.NotRun)
	}
	return f
}

// changeDecodingError returns the error of decoding a change, which has a version.
func changeDecodingError(c Change, err error) error {
	if err == nil && c.Version == 0 {
		err = errors.New("there is no version")
	}
	return decodingError(err)
}

func decodingError(err error) error {
	if err == nil {
		return nil
	}
	return coder.Wrap(coder.NodeNotReached, err, "the response of the node cannot be decoded")
}
