package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// cases are the cases by name.
var cases = map[string]func(*world) (broken bool, err error){
	"heads": runHeads,
	"parts": runParts,
	"flood": runFlood,
}

// main plays a case. It exits with 1 if the rule was broken, 0 if it held and 2 if the case
// could not run.
func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE REPOSITORY RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, root, path string) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	root, err = filepath.Abs(root)
	if err != nil {
		rec.say("the case cannot run: %v", err)
		return 2
	}
	w, err := newWorld(rec, root, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.say("the case cannot run: %v", err)
		return 2
	}
	defer w.close()
	broken, err := cases[name](w)
	switch {
	case err != nil:
		rec.say("the case cannot run: %v", err)
		return 2
	case broken:
		rec.say("the rule was broken")
		return 1
	}
	rec.say("the rule held")
	return 0
}
