// Package seeder gives random tests their seeds.
//
// A test run must have the same verdict each time, so the seed is fixed unless
// the variable FOXTAILFLOW_SEED sets another: then a search with new seeds, or
// the repetition of a failed run, needs no change of code.
package seeder

import (
	"flag"
	"os"
	"strconv"
)

// Variable names the environment variable that sets the seed.
const Variable = "FOXTAILFLOW_SEED"

const fixed = 1

// Seed returns the seed of this run.
func Seed() uint64 {
	if n, err := strconv.ParseUint(os.Getenv(Variable), 10, 64); err == nil && n > 0 {
		return n
	}
	return fixed
}

// Rapid sets the seed of property tests, unless the command line has set one.
func Rapid() {
	f := flag.Lookup("rapid.seed")
	if f != nil && f.Value.String() == "0" {
		_ = f.Value.Set(strconv.FormatUint(Seed(), 10))
	}
}
