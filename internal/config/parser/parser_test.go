package parser_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"foxtailflow.example/foxtailflow/internal/config/parser"
)

// TestParse guards against values that differ from the text of the file, and
// against errors without the right line number.
func TestParse(t *testing.T) {
	datadriven.RunTest(t, "testdata/files", func(t *testing.T, d *datadriven.TestData) string {
		name := "a.ini"
		d.MaybeScanArgs(t, "name", &name)
		data := strings.NewReplacer(`\t`, "\t", `\xff`, "\xff", `\r`, "\r").Replace(d.Input)
		settings, err := parser.Parse(parser.File{Name: name, Data: []byte(data)})
		var b strings.Builder
		for _, s := range settings {
			fmt.Fprintf(&b, "%d [%s] %s = %q\n", s.Line, s.Section, s.Key, s.Value)
		}
		if err != nil {
			fmt.Fprintln(&b, err)
		}
		return b.String()
	})
}

func Example() {
	settings, err := parser.Parse(parser.File{Name: "accounts.ini", Data: []byte(`
# This client account has a double share.
[client-account "baden"]
share = 2
`)})
	for _, s := range settings {
		fmt.Printf("%s:%d [%s] %s=%s\n", s.File, s.Line, s.Section, s.Key, s.Value)
	}
	fmt.Println(err)
	// Output:
	// accounts.ini:3 [client-account "baden"] =
	// accounts.ini:4 [client-account "baden"] share=2
	// <nil>
}
