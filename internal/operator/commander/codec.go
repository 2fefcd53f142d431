package commander

import (
	"github.com/go-faster/jx"

	"foxtailflow.example/foxtailflow/internal/config/applier"
	"foxtailflow.example/foxtailflow/internal/config/parser"
)

func encodeVersion(version uint64) []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("version", func(e *jx.Encoder) { e.UInt64(version) })
	})
	return e.Bytes()
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
