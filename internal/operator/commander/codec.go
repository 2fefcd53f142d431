package commander

import (
	"slices"
	"strconv"
	"strings"

	"github.com/go-faster/jx"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/config/applier"
	"foxtailflow.example/foxtailflow/internal/config/parser"
	"foxtailflow.example/foxtailflow/internal/inner/messenger"
)

func encodeAccepted(accepted applier.Acceptance, err error, k *createdKey) []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		if k != nil {
			e.Field("id", func(e *jx.Encoder) { e.Str(k.id) })
			e.Field("client-account", func(e *jx.Encoder) { e.Str(k.account) })
			e.Field("file", func(e *jx.Encoder) { e.Str(k.file) })
			e.Field("secret", func(e *jx.Encoder) { e.Str(k.secret) })
		}
		e.Field("version", func(e *jx.Encoder) { e.UInt64(accepted.Version) })
		e.Field("in-force", func(e *jx.Encoder) { e.Bool(accepted.InForce) })
		if err != nil {
			f := coder.Of(err)
			e.Field("code", func(e *jx.Encoder) { e.Str(strconv.Itoa(int(f.Code()))) })
			e.Field("message", func(e *jx.Encoder) { e.Str(f.Message()) })
			e.Field("missing", func(e *jx.Encoder) { encodeMembers(e, accepted.Missing) })
		}
	})
	return e.Bytes()
}

// encodeMembers writes the identifiers of members, each once.
func encodeMembers(e *jx.Encoder, members []string) {
	ids := make([]string, 0, len(members))
	for _, m := range members {
		ids = append(ids, applier.NodeOf(m))
	}
	slices.Sort(ids)
	encodeStrings(e, slices.Compact(ids))
}

func encodeStrings(e *jx.Encoder, items []string) {
	e.Arr(func(e *jx.Encoder) {
		for _, s := range items {
			e.Str(s)
		}
	})
}

func encodeFaults(faults []coder.Error) []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("valid", func(e *jx.Encoder) { e.Bool(len(faults) == 0) })
		e.Field("faults", func(e *jx.Encoder) {
			e.Arr(func(e *jx.Encoder) {
				for _, f := range faults {
					e.Obj(func(e *jx.Encoder) {
						e.Field("code", func(e *jx.Encoder) { e.Str(strconv.Itoa(int(f.Code()))) })
						e.Field("message", func(e *jx.Encoder) { e.Str(f.Message()) })
					})
				}
			})
		})
	})
	return e.Bytes()
}

func encodeStatus(own messenger.State, r applier.Roster, nodes []nodeStatus, duties []string) []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("node", func(e *jx.Encoder) { e.Str(own.ID) })
		e.Field("version", func(e *jx.Encoder) { e.UInt64(own.ConfigVersion) })
		e.Field("roster", func(e *jx.Encoder) {
			e.Obj(func(e *jx.Encoder) {
				e.Field("version", func(e *jx.Encoder) { e.UInt64(r.Version()) })
				e.Field("members", func(e *jx.Encoder) { encodeMembers(e, r.Members()) })
			})
		})
		e.Field("nodes", func(e *jx.Encoder) {
			e.Arr(func(e *jx.Encoder) {
				for _, n := range nodes {
					e.Obj(n.encode)
				}
			})
		})
		e.Field("duties", func(e *jx.Encoder) { encodeStrings(e, duties) })
	})
	return e.Bytes()
}

func (n nodeStatus) encode(e *jx.Encoder) {
	s := n.state
	e.Field("id", func(e *jx.Encoder) { e.Str(s.ID) })
	if !n.silent {
		age := int64(-1)
		if s.HasEvidence {
			age = s.EvidenceAge.Milliseconds()
		}
		e.Field("peers-address", func(e *jx.Encoder) { e.Str(s.PeersAddress) })
		e.Field("operators-address", func(e *jx.Encoder) { e.Str(s.OperatorsAddress) })
		e.Field("data-centre", func(e *jx.Encoder) { e.Str(s.DataCentre) })
		e.Field("version", func(e *jx.Encoder) { e.UInt64(s.ConfigVersion) })
		e.Field("freshness-age-ms", func(e *jx.Encoder) { e.Int64(age) })
		e.Field("draining", func(e *jx.Encoder) { e.Bool(s.Draining) })
		e.Field("store-reachable", func(e *jx.Encoder) { e.Bool(!s.StoreUnreachable) })
		e.Field("stated-age-ms", func(e *jx.Encoder) { e.Int64(s.StatedAge.Milliseconds()) })
	}
	e.Field("live", func(e *jx.Encoder) { e.Bool(n.live) })
	e.Field("member", func(e *jx.Encoder) { e.Bool(n.member) })
	e.Field("fresh", func(e *jx.Encoder) { e.Bool(n.fresh) })
}

func encodeForgotten(r applier.Roster) []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("roster", func(e *jx.Encoder) { e.UInt64(r.Version()) })
		e.Field("members", func(e *jx.Encoder) { encodeMembers(e, r.Members()) })
	})
	return e.Bytes()
}

func decodeKeyRequest(data []byte) (account string, err error) {
	err = jx.DecodeBytes(data).Obj(func(d *jx.Decoder, name string) (err error) {
		if name != "client-account" {
			return d.Skip()
		}
		account, err = d.Str()
		return err
	})
	if err != nil || account == "" || strings.ContainsAny(account, "\r\n") {
		return "", coder.Refuse(coder.MalformedBody, "the body is not an object with client-account").WithCause(err)
	}
	return account, nil
}

func decodeFiles(data []byte) (files []parser.File, err error) {
	err = jx.DecodeBytes(data).Obj(func(d *jx.Decoder, name string) error {
		if name != "files" {
			return d.Skip()
		}
		return d.Arr(func(d *jx.Decoder) error {
			f, err := decodeFile(d)
			files = append(files, f)
			return err
		})
	})
	if err != nil {
		return nil, coder.Refuse(coder.MalformedBody, "the body is not an object with files").WithCause(err)
	}
	return files, nil
}

func decodeFile(d *jx.Decoder) (f parser.File, err error) {
	err = d.Obj(func(d *jx.Decoder, name string) (err error) {
		switch name {
		case "file":
			f.Name, err = d.Str()
		case "data":
			var s string
			s, err = d.Str()
			f.Data = []byte(s)
		default:
			err = d.Skip()
		}
		return err
	})
	return f, err
}

func encodeFiles(version uint64, files []applier.Change) []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("version", func(e *jx.Encoder) { e.UInt64(version) })
		e.Field("files", func(e *jx.Encoder) {
			e.Arr(func(e *jx.Encoder) {
				for _, f := range files {
					e.Obj(func(e *jx.Encoder) {
						e.Field("file", func(e *jx.Encoder) { e.Str(f.File) })
						e.Field("changed-at", func(e *jx.Encoder) { e.UInt64(f.Version) })
					})
				}
			})
		})
	})
	return e.Bytes()
}

func encodeSettings(version uint64, settings []parser.Setting) []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("version", func(e *jx.Encoder) { e.UInt64(version) })
		e.Field("settings", func(e *jx.Encoder) {
			e.Arr(func(e *jx.Encoder) {
				for _, s := range settings {
					encodeSetting(e, s)
				}
			})
		})
	})
	return e.Bytes()
}

func encodeSetting(e *jx.Encoder, s parser.Setting) {
	e.Obj(func(e *jx.Encoder) {
		e.Field("section", func(e *jx.Encoder) { e.Str(s.Section.String()) })
		e.Field("key", func(e *jx.Encoder) { e.Str(s.Key) })
		e.Field("value", func(e *jx.Encoder) { e.Str(s.Value) })
		e.Field("file", func(e *jx.Encoder) { e.Str(s.File) })
		e.Field("line", func(e *jx.Encoder) { e.Int(s.Line) })
	})
}
