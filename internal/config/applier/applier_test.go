package applier_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/config/applier"
	"foxtailflow.example/foxtailflow/internal/lab/provider"
	"foxtailflow.example/foxtailflow/internal/lab/seeder"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

// TestScripts guards against a change that undoes another operator's, takes
// effect twice after a lost answer, or is stored although the whole is not valid.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		memory := &provider.Memory{Clock: timekeeper.System{}}
		w := &world{lossy: &lossy{Table: memory}}
		w.applier = applier.Applier{Clock: timekeeper.System{}, Table: w.lossy}
		datadriven.RunTest(t, path, w.do)
	})
}

// lossy is a table of which the answers of commits can be lost.
type lossy struct {
	transactor.Table
	// lose is the number of answers to lose, before has a commit done first.
	lose   int
	before func()
}

// Commit runs a transaction.
func (l *lossy) Commit(ctx context.Context, tx transactor.Tx) (uint64, error) {
	if l.before != nil {
		before := l.before
		l.before = nil
		before()
	}
	version, err := l.Table.Commit(ctx, tx)
	if err == nil && l.lose > 0 {
		l.lose--
		return 0, coder.New(coder.PlatformUnsure, "the answer was lost")
	}
	return version, err
}

type world struct {
	lossy   *lossy
	applier applier.Applier
}

func (w *world) do(t *testing.T, d *datadriven.TestData) string {
	var seen uint64
	d.MaybeScanArgs(t, "seen", &seen)
	d.MaybeScanArgs(t, "lose", &w.lossy.lose)
	c := applier.Change{Data: []byte(d.Input), Removed: d.Cmd == "remove"}
	if len(d.CmdArgs) > 0 {
		c.File = d.CmdArgs[0].Key
	}
	if d.HasArg("after-other") {
		w.lossy.before = func() {
			if _, err := w.applier.Propose(t.Context(), applier.Change{File: "other.ini", Data: []byte("[client-account \"other\"]")}, 0); err != nil {
				t.Fatal(err)
			}
		}
	}
	switch d.Cmd {
	case "put", "remove":
		version, err := w.applier.Propose(t.Context(), c, seen)
		if err != nil {
			f := coder.Of(err)
			return fmt.Sprintf("%d %s: %s\n", f.Code(), f.Outcome(), f.Message())
		}
		return fmt.Sprintf("version %d\n", version)
	case "files":
		f, err := w.applier.Load(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		var out strings.Builder
		fmt.Fprintf(&out, "version %d\n", f.Version())
		for _, file := range f.List() {
			fmt.Fprintf(&out, "%s at %d: %s\n", file.Name, file.ChangedAt, strings.Join(strings.Fields(string(file.Data)), " "))
		}
		return out.String()
	}
	t.Fatalf("unknown command %s", d.Cmd)
	return ""
}

// TestRace guards against versions that are given twice and changes that are lost
// when operators race and answers are lost.
func TestRace(t *testing.T) {
	seeder.Rapid()
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		l := &lossy{Table: &provider.Memory{Clock: timekeeper.System{}}}
		a := applier.Applier{Clock: timekeeper.NewFake(time.Unix(0, 0)), Table: l}
		want := make(map[string]string)
		accepted := uint64(0)
		for i, n := range rapid.SliceOfN(rapid.IntRange(0, 3), 1, 12).Draw(t, "changes") {
			name, text := fmt.Sprintf("f%d.ini", n), fmt.Sprintf("[client-account \"a%d-%d\"]\n", n, i)
			before, err := a.Load(context.Background())
			is.NoErr(err)
			l.lose = rapid.IntRange(0, 1).Draw(t, "lost")
			version, err := a.Propose(context.Background(), applier.Change{File: name, Data: []byte(text)}, before.ChangedAt(name))
			is.NoErr(err)
			is.Equal(version, accepted+1)
			accepted, want[name] = version, text
		}
		f, err := a.Load(context.Background())
		is.NoErr(err)
		is.Equal(f.Version(), accepted)
		for _, file := range f.List() {
			is.Equal(string(file.Data), want[file.Name])
		}
		is.Equal(len(f.List()), len(want))
	})
}
