package starter

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"unicode/utf8"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/config/merger"
	"foxtailflow.example/foxtailflow/internal/config/parser"
	"foxtailflow.example/foxtailflow/internal/operator/requester"
)

// readVersion reads a version of the configuration: a folder of files, or the output of
// config show. It returns the number of files. The version of a folder, and of output in
// text form, is 0: not known.
func readVersion(path string) (merger.Result, int, error) {
	info, err := os.Stat(path)
	if err == nil && !info.IsDir() {
		return readShown(path)
	}
	files, err := readFolder(path)
	if err != nil {
		return merger.Result{}, 0, err
	}
	merged, err := merger.Merge(files)
	return merged, len(files), err
}

// readShown reads the output of config show.
func readShown(path string) (merger.Result, int, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return merger.Result{}, 0, coder.Refuse(coder.ConfigFileUnknown, "the file cannot be read").WithCause(err)
	}
	fail := func(text string) error {
		return parser.Fault{Code: coder.ConfigSyntax, At: parser.Setting{File: filepath.Base(path)}, Text: text}
	}
	if !utf8.Valid(data) {
		return merger.Result{}, 0, fail("not valid UTF-8")
	}
	var m requester.Merged
	var ok bool
	if bytes.HasPrefix(bytes.TrimSpace(data), []byte("{")) {
		m, err = requester.DecodeMerged(data)
		ok = err == nil && m.Version > 0 && len(m.Settings) > 0
	} else {
		m.Settings, ok = parseTable(string(data))
	}
	if !ok {
		return merger.Result{}, 0, fail("neither a folder nor the output of config show")
	}
	merged, err := mergeShown(m)
	return merged, countFiles(m), err
}

// readFromNode gets the version in force from a node.
func readFromNode(ctx context.Context, c requester.Client) (merger.Result, error) {
	m, err := c.Merged(ctx)
	if err != nil {
		return merger.Result{}, err
	}
	merged, err := mergeShown(m)
	if err != nil {
		// The node may have another version of the program, with other checks.
		return merged, versionError("version "+strconv.FormatUint(m.Version, 10)+" of the node", err)
	}
	return merged, nil
}

// mergeShown returns the configuration of settings that a node has shown.
func mergeShown(m requester.Merged) (merger.Result, error) {
	settings := make([]parser.Setting, 0, len(m.Settings))
	for _, s := range m.Settings {
		section, ok := parser.ParseSection(s.Section)
		if !ok {
			return merger.Result{}, parser.Fault{Code: coder.ConfigSyntax, At: parser.Setting{File: s.File, Line: s.Line}, Text: "section [" + s.Section + "] cannot be read"}
		}
		settings = append(settings, parser.Setting{Section: section, Key: s.Key, Value: s.Value, File: s.File, Line: s.Line})
	}
	merged, err := merger.FromSettings(settings)
	merged.Config = merged.Config.WithVersion(m.Version)
	return merged, err
}

func countFiles(m requester.Merged) int {
	files := make(map[string]bool)
	for _, s := range m.Settings {
		files[s.File] = true
	}
	return len(files)
}

// shownColumns are the headings of the text form of config show.
var shownColumns = []string{"SECTION", "KEY", "VALUE", "FROM"}

// parseTable parses the text form of config show: columns that begin where their headings
// do.
func parseTable(text string) ([]requester.Setting, bool) {
	heading, rows, _ := strings.Cut(strings.TrimSuffix(text, "\n"), "\n")
	if strings.Join(strings.Fields(heading), " ") != strings.Join(shownColumns, " ") {
		return nil, false
	}
	begins := make([]int, 0, len(shownColumns))
	for _, c := range shownColumns {
		begins = append(begins, strings.Index(heading, c))
	}
	var settings []requester.Setting
	for row := range strings.Lines(rows) {
		// Columns are aligned by characters, not by bytes.
		line := []rune(strings.TrimSuffix(row, "\n"))
		if len(line) <= begins[3] {
			return nil, false
		}
		cell := func(i int) string { return strings.TrimRight(string(line[begins[i]:begins[i+1]]), " ") }
		section := strings.TrimSuffix(strings.TrimPrefix(cell(0), "["), "]")
		file, number, ok := strings.Cut(string(line[begins[3]:]), ":")
		n, err := strconv.Atoi(number)
		// A value with a tab shifts the columns; the name of a file has no blanks.
		if !ok || err != nil || strings.ContainsAny(file, " \t") {
			return nil, false
		}
		settings = append(settings, requester.Setting{Section: section, Key: cell(1), Value: cell(2), File: file, Line: n})
	}
	return settings, true
}
