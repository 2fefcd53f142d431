package merger_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"golang.org/x/tools/txtar"

	"foxtailflow.example/foxtailflow/internal/config/merger"
	"foxtailflow.example/foxtailflow/internal/config/parser"
)

func parseFiles(text string) []parser.File {
	var fs []parser.File
	for _, f := range txtar.Parse([]byte(text)).Files {
		fs = append(fs, parser.File{Name: f.Name, Data: f.Data})
	}
	return fs
}

// TestMerge guards against an error that is accepted, reported without its file
// and line, or reported without the other errors, and against a value from the
// wrong file.
func TestMerge(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string {
			fs := parseFiles(d.Input)
			// The result must not depend on the order of the input files.
			slices.Reverse(fs)
			result, err := merger.Merge(fs)
			if err != nil {
				return err.Error() + "\n"
			}
			var b strings.Builder
			for _, s := range result.Settings {
				fmt.Fprintf(&b, "[%s] %s = %s (%s:%d)\n", s.Section, s.Key, s.Value, s.File, s.Line)
			}
			return b.String()
		})
	})
}

func Example() {
	result, err := merger.Merge(parseFiles(`
-- 10-accounts.ini --
[client-account "baden"]
share = 2
[client-account "olten"]
-- 90-launch.ini --
[client-account "baden"]
share = 5
`))
	for _, a := range result.Config.Accounts() {
		fmt.Println(a.Name, a.Share)
	}
	for _, s := range result.Settings {
		fmt.Printf("%s %s from %s:%d\n", s.Section, s.Key, s.File, s.Line)
	}
	fmt.Println(err)
	// Output:
	// baden 5
	// olten 1
	// client-account "baden" share from 90-launch.ini:2
	// client-account "olten"  from 10-accounts.ini:3
	// <nil>
}

func Example_error() {
	_, err := merger.Merge(parseFiles(`
-- keys.ini --
[key "till"]
client-account = bade
hash = sha256:61de55ba3388aec4fdf6ecfc6eef846fb0f1b13e28cc8381270c27ffa313aee5
`))
	fmt.Println(err)
	// Output:
	// 304: file keys.ini, line 2, section [key "till"], key client-account: there is no client-account bade
}
