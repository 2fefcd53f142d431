package merger

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"

	"foxtailflow.example/foxtailflow/internal/config/definer"
)

// row is a line of a table of docs/configuration.md.
type row struct{ key, unit, allowed, defaultValue string }

// readPage returns the rows of each section of the page.
func readPage(is *is.I) map[string][]row {
	data, err := os.ReadFile("../../../docs/configuration.md")
	is.NoErr(err)
	page := make(map[string][]row)
	kind := ""
	for line := range strings.SplitSeq(string(data), "\n") {
		if heading, ok := strings.CutPrefix(line, "### ["); ok {
			kind = strings.TrimSuffix(strings.Fields(heading)[0], "]")
		}
		cells := strings.Split(line, "|")
		if !strings.HasPrefix(line, "| `") || len(cells) != 7 {
			continue
		}
		for i, c := range cells {
			cells[i] = strings.Trim(strings.TrimSpace(c), "`")
		}
		page[kind] = append(page[kind], row{cells[1], cells[2], cells[3], cells[4]})
	}
	return page
}

// TestPage guards against a page whose keys, units, ranges or defaults differ
// from the code.
func TestPage(t *testing.T) {
	is := is.New(t)
	page := readPage(is)
	comparePage(t, page, kindAccount, accountFields, defaultAccount(""))
	comparePage(t, page, kindKey, keyFields, definer.Key{})
	comparePage(t, page, kindRoute, routeFields, defaultRoute(""))
	comparePage(t, page, kindRule, ruleFields, defaultRule(""))
	comparePage(t, page, kindDeployment, deploymentFields, defaultDeployment(""))
	comparePage(t, page, kindPlacement, placementFields, defaultPlacement(""))
	comparePage(t, page, kindLimits, limitsFields, definer.DefaultLimits())
	is.Equal(len(page), 7)
}

func comparePage[T any](t *testing.T, page map[string][]row, kind string, fs fields[T], initial T) {
	t.Helper()
	seen := make(map[string]bool)
	for _, r := range page[kind] {
		f, ok := fs[r.key]
		if !ok || seen[r.key] {
			t.Errorf("[%s] %s: the code has no such key, or the page has it twice", kind, r.key)
			continue
		}
		seen[r.key] = true
		if r.unit != f.unit || r.allowed != f.allowed {
			t.Errorf("[%s] %s: the page has %q, %q; the code %q, %q", kind, r.key, r.unit, r.allowed, f.unit, f.allowed)
		}
		if r.defaultValue == "required" || r.defaultValue == "none" {
			// Only a text, list, hash or choice may have no default.
			if f.unit == "duration" || f.unit == "size" || f.unit == "number" {
				t.Errorf("[%s] %s: the page has no default", kind, r.key)
			}
			continue
		}
		v, err := f.set(initial, r.defaultValue)
		if err != nil || !reflect.DeepEqual(v, initial) {
			t.Errorf("[%s] %s: %q is not the default, error %v", kind, r.key, r.defaultValue, err)
		}
	}
	for key := range fs {
		if !seen[key] {
			t.Errorf("[%s] %s: the page does not have the key", kind, key)
		}
	}
}
