package decoder_test

import (
	"bytes"
	"testing"

	"github.com/go-faster/jx"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/front/decoder"
)

// FuzzChat guards against bodies that break the parser or are altered when forwarded:
// each is refused as not run, or re-encoded with the usage event requested and no
// other change.
func FuzzChat(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[]}`))
	f.Fuzz(func(t *testing.T, body []byte) { check(t, body, decoder.DecodeChat) })
}

// FuzzCompletion guards against the same for completion requests.
func FuzzCompletion(f *testing.F) {
	f.Add([]byte(`{"model":"m","prompt":"p"}`))
	f.Fuzz(func(t *testing.T, body []byte) { check(t, body, decoder.DecodeCompletion) })
}

func check(t *testing.T, body []byte, decode func([]byte) (decoder.CompletionRequest, error)) {
	p, err := decode(body)
	if err != nil {
		if f := coder.FromError(err); f.Outcome() != coder.NotRun || f.Code() != coder.MalformedBody {
			t.Fatalf("refused with %d %s", f.Code(), f.Outcome())
		}
		return
	}
	if p.Model == "" || p.EstimateTokens() < 1 || p.MaxTokens < 0 {
		t.Fatalf("accepted with model %q, %d tokens, at most %d", p.Model, p.EstimateTokens(), p.MaxTokens)
	}
	sent := p.BodyWithUsage()
	if !jx.Valid(sent) {
		t.Fatalf("forwarded as %q, which is not valid JSON", sent)
	}
	again, err := decode(sent)
	if err != nil {
		t.Fatalf("forwarded as %q: %v", sent, err)
	}
	if again.Model != p.Model || again.Stream != p.Stream || again.MaxTokens != p.MaxTokens || !again.IncludeUsage || !bytes.Equal(again.RawPrompt, p.RawPrompt) {
		t.Fatalf("forwarded as %q, which decodes to a different request", sent)
	}
}
