package configurer

import (
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
)

// TestLoad guards against settings that are decoded to other values than the
// file gives, and against errors that name only the first of several faults.
func TestLoad(t *testing.T) {
	datadriven.RunTest(t, "testdata/settings", func(_ *testing.T, d *datadriven.TestData) string {
		s, err := Load("node.ini", []byte(d.Input))
		if err != nil {
			return err.Error() + "\n"
		}
		s.OperatorHash = [32]byte{}
		return fmt.Sprintf("%+v\n", s)
	})
}

const minimalSettings = `[node]
id = node-1
data-centre = dc-1
%s
[callers]
listen = 127.0.0.1:7001
%s
[operators]
listen = 127.0.0.1:7002
credential-hash = sha256:06e55b633481f7bb072957eabcf110c972e86691c3cfedabe088024bffe42f23
%s
[peers]
listen = 127.0.0.1:7003
%s
[platform]
address = http://127.0.0.1:7000
%s
`

// TestPage guards against a settings page that lacks a key, lists an unknown one
// or gives another default than the code.
func TestPage(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("../../../docs/settings.md")
	is.NoErr(err)
	sections := []string{"node", "callers", "operators", "peers", "platform"}
	defaults, err := Load("node.ini", fmt.Appendf(nil, minimalSettings, "", "", "", "", ""))
	is.NoErr(err)
	section := ""
	seen := make(map[string][]string)
	for line := range strings.SplitSeq(string(data), "\n") {
		if head, ok := strings.CutPrefix(line, "### ["); ok {
			section = strings.TrimSuffix(head, "]")
		}
		cells := strings.Split(line, "|")
		if !strings.HasPrefix(line, "| `") || len(cells) != 6 {
			continue
		}
		key, defaultValue := strings.Trim(cells[1], " `"), strings.TrimSpace(cells[3])
		seen[section] = append(seen[section], key)
		if slices.Contains([]string{"required", "none", "computed"}, defaultValue) {
			continue
		}
		extra := []any{"", "", "", "", ""}
		extra[slices.Index(sections, section)] = key + " = " + defaultValue
		s, err := Load("node.ini", fmt.Appendf(nil, minimalSettings, extra...))
		if err != nil || !reflect.DeepEqual(s, defaults) {
			t.Errorf("[%s] %s: %q is not the default, error %v", section, key, defaultValue, err)
		}
	}
	is.Equal(seen, knownKeys)
}
