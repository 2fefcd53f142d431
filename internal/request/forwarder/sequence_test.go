package forwarder_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/request/forwarder"
)

// TestSequence guards against an event that is passed on though it is not the one after
// the last.
func TestSequence(t *testing.T) {
	datadriven.RunTest(t, "testdata/sequences", func(t *testing.T, d *datadriven.TestData) string {
		var last, limit uint64
		d.MaybeScanArgs(t, "last", &last)
		d.MaybeScanArgs(t, "limit", &limit)
		s := forwarder.NewSequence(last, limit)
		var out strings.Builder
		for _, text := range strings.Fields(d.Input) {
			e := forwarder.Event{}
			if text != "unnumbered" {
				n, ok := forwarder.ParseEventNumber(text)
				if !ok {
					_, _ = fmt.Fprintf(&out, "%s is no number\n", text)
					continue
				}
				e.Number = n
			}
			next, err := s.With(e)
			if err != nil {
				_, _ = fmt.Fprintf(&out, "%s in place of %d: %s\n", text, s.Next(), coder.FromError(err).Message())
				continue
			}
			s = next
			_, _ = fmt.Fprintf(&out, "%s is %d\n", text, s.Last())
		}
		return out.String()
	})
}
