// Command standin plays one case of the review: it starts nodes of the system as
// processes and plays the store, the workers and the clients around them.
//
// It exits with 1 if the rule of the case was broken, with 0 if it held, and with 2 if
// the case could not run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"time"
)

// maxLength ends a case that hangs.
const maxLength = 110 * time.Second

// cases are the cases by name. A case returns how often the rule was broken.
var cases = map[string]func(ctx context.Context, root, dir string, rec *record, trouble bool) (int, error){
	"stop":   playStop,
	"queue":  playQueue,
	"memory": playMemory,
}

func main() {
	// The nodes end with the thread that started them, which must be the main one.
	runtime.LockOSThread()
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", "", "root of the repository")
	out := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	os.Exit(play(*name, *root, *out, os.Getenv("TROUBLE") != "0"))
}

func play(name, root, out string, trouble bool) int {
	f, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return 2
	}
	if _, err := os.Stat(filepath.Join(root, "target/foxtailflow")); err != nil {
		fmt.Fprintln(os.Stderr, "the system is not built:", err)
		return 2
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = os.RemoveAll(dir) }()
	rec, err := newRecord(out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	ctx, cancel := context.WithTimeout(context.Background(), maxLength)
	defer cancel()
	broken, err := f(ctx, root, dir, rec, trouble)
	switch {
	case err != nil:
		rec.say("the case could not run: %v", err)
		return 2
	case broken > 0:
		rec.say("the rule was broken")
		return 1
	}
	rec.say("the rule held")
	return 0
}
