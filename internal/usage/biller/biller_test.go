package biller_test

import (
	"maps"
	"testing"

	"github.com/matryer/is"

	"foxtailflow.example/foxtailflow/internal/inner/courier"
	"foxtailflow.example/foxtailflow/internal/usage/biller"
)

// TestSum guards against quantities that are lost, or billed to another client
// account or model, by the conversion to meters and back.
func TestSum(t *testing.T) {
	is := is.New(t)
	counts := make(map[courier.Meter]int)
	figures := []biller.Figures{
		{Account: "baden", Model: "ladentisch", Requests: 3},
		{Account: "baden", Model: "wichse-llm", Requests: 2, PromptTokens: 900, OutputTokens: 40},
		{Account: "zug", Model: "wichse-llm", Requests: 1, PromptTokens: 5},
	}
	for _, f := range figures {
		maps.Copy(counts, f.Meters())
	}
	is.Equal(biller.FromMeters(counts), figures)
	data := biller.EncodeReport(biller.Report{ID: "7", FencingToken: 2, Figures: figures})
	r, err := biller.DecodeReport(data)
	is.NoErr(err)
	is.Equal(r.Figures, figures)
}
