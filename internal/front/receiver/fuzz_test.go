package receiver

import (
	"net/http"
	"testing"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/front/encoder"
)

// FuzzTimeout guards against a timeout header that extends the deadline or moves it
// into the past: a caller can only shorten it.
func FuzzTimeout(f *testing.F) {
	f.Add("2s")
	f.Fuzz(func(t *testing.T, text string) {
		now, route := time.Unix(1, 0), definer.Route{Deadline: 10 * time.Second}
		until, err := deadline(now, route, http.Header{encoder.HeaderTimeout: {text}})
		switch {
		case err != nil:
			if f := coder.FromError(err); f.Outcome() != coder.NotRun || f.Code() != coder.MalformedHeader {
				t.Fatalf("%q: refused with %d %s", text, f.Code(), f.Outcome())
			}
		case !until.After(now) || until.After(now.Add(route.Deadline)):
			t.Fatalf("%q: the deadline is %v after arrival", text, until.Sub(now))
		}
	})
}

// FuzzIdempotencyKey guards against keys that are dropped or altered: each is used
// unchanged or refused as not run.
func FuzzIdempotencyKey(f *testing.F) {
	f.Add("k", "")
	f.Fuzz(func(t *testing.T, first, second string) {
		h := http.Header{encoder.HeaderIdempotencyKey: {first}}
		if second != "" {
			h.Add(encoder.HeaderIdempotencyKey, second)
		}
		key, err := idempotencyKey(h)
		switch {
		case err != nil:
			if f := coder.FromError(err); f.Outcome() != coder.NotRun || f.Code() != coder.ClaimKeyMalformed {
				t.Fatalf("refused with %d %s", f.Code(), f.Outcome())
			}
		case key == "" || key != first || second != "":
			t.Fatalf("%q, %q: used as %q", first, second, key)
		}
	})
}
