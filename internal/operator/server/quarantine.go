package server

import (
	"net/http"

	"github.com/go-faster/jx"
	"github.com/julienschmidt/httprouter"

	"foxtailflow.example/foxtailflow/internal/request/quarantiner"
)

// listQuarantine lists the prompt patterns that are refused because they crash
// endpoints.
func (s Server) listQuarantine(*http.Request, httprouter.Params) (response, error) {
	return ok(encodeQuarantine(s.Node.Quarantined()))
}

// releaseQuarantine takes a pattern out of force.
func (s Server) releaseQuarantine(r *http.Request, ps httprouter.Params) (response, error) {
	if err := s.Node.ReleaseQuarantined(r.Context(), ps.ByName("id")); err != nil {
		return response{}, err
	}
	return ok([]byte("{}"))
}

func encodeQuarantine(entries []quarantiner.Entry) []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("patterns", func(e *jx.Encoder) {
			e.Arr(func(e *jx.Encoder) {
				for _, p := range entries {
					e.Obj(func(e *jx.Encoder) {
						e.Field("id", func(e *jx.Encoder) { e.Str(p.Key) })
						e.Field("parts", func(e *jx.Encoder) { encodeStrings(e, p.Parts) })
						e.Field("endpoints", func(e *jx.Encoder) { encodeStrings(e, p.Endpoints) })
					})
				}
			})
		})
	})
	return e.Bytes()
}
