package encoder_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/front/encoder"
)

// codesInSource returns the names of the result codes by number.
func codesInSource(is *is.I) map[int]string {
	file, err := parser.ParseFile(token.NewFileSet(), "../../base/coder/code.go", nil, 0)
	is.NoErr(err)
	codes := make(map[int]string)
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 {
			return true
		}
		number, err := strconv.Atoi(spec.Values[0].(*ast.BasicLit).Value)
		is.NoErr(err)
		is.Equal(codes[number], "") // each number has one name
		codes[number] = spec.Names[0].Name
		return true
	})
	delete(codes, int(coder.OK))
	return codes
}

// TestPage guards against a documented table of result codes that lacks a code, or
// gives another name or HTTP status than the source.
func TestPage(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("../../../docs/result-codes.md")
	is.NoErr(err)
	codes := codesInSource(is)
	last := 0
	for line := range strings.SplitSeq(string(data), "\n") {
		cells := strings.Split(line, "|")
		if len(cells) != 8 {
			continue
		}
		for i, c := range cells {
			cells[i] = strings.TrimSpace(c)
		}
		number, err := strconv.Atoi(cells[1])
		if err != nil {
			continue
		}
		if number <= last || codes[number] != cells[2] {
			t.Errorf("%d %s: the source has %q; rows must be ordered by number", number, cells[2], codes[number])
		}
		if status := strconv.Itoa(encoder.Status(coder.Code(number))); status != cells[3] {
			t.Errorf("%d %s: the status is %s, not %s", number, cells[2], status, cells[3])
		}
		if !slices.Contains([]string{"not-run", "unknown", "either"}, cells[4]) || cells[5] == "" {
			t.Errorf("%d %s: the outcome or the meaning is missing", number, cells[2])
		}
		last = number
		delete(codes, number)
	}
	is.Equal(len(codes), 0) // the page has all codes
}
