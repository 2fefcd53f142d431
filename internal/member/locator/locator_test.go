package locator_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"foxtailflow.example/foxtailflow/internal/member/locator"
	"foxtailflow.example/foxtailflow/internal/member/registrar"
)

// TestScripts guards against a node that selects itself as a source, or that
// retries the same nodes and skips others while the store is unavailable: it would
// start without a configuration although another node has one.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var nodes []registrar.Node
		var seeds []string
		hub := ""
		tables := make(map[string]*locator.Locator)
		of := func(table string) *locator.Locator {
			if tables[table] == nil {
				tables[table] = &locator.Locator{
					Self:  registrar.Node{ID: "n1", Address: "a1", DataCentre: "east"},
					Nodes: func() []registrar.Node { return nodes },
					Hub:   func() string { return hub }, SeedAddresses: seeds,
				}
			}
			return tables[table]
		}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "nodes":
				nodes = nil
				for _, line := range strings.Fields(d.Input) {
					id, dc, _ := strings.Cut(line, "@")
					nodes = append(nodes, registrar.Node{ID: id, Address: "a" + id[1:], DataCentre: dc})
				}
			case "seeds":
				seeds = strings.Fields(d.Input)
			case "hub":
				hub = strings.TrimSpace(d.Input)
			case "source":
				l := of(d.CmdArgs[0].Key)
				return fmt.Sprintf("%q\n", l.Source(d.HasArg("away")))
			case "fails":
				l := of(d.CmdArgs[0].Key)
				l.MarkFailed(l.Source(true))
			default:
				t.Fatalf("unknown command %s", d.Cmd)
			}
			return ""
		})
	})
}
