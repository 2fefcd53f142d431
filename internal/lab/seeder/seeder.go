// Package seeder provides the seeds of randomised tests.
//
// A test run must have the same result each time, so the seed is fixed. The
// environment variable FOXTAILFLOW_SEED overrides it, so that a search with new
// seeds, or the repetition of a failed run, needs no change of code.
package seeder

import (
	"flag"
	"os"
	"strconv"
)

// Variable names the environment variable that sets the seed.
const Variable = "FOXTAILFLOW_SEED"

const defaultSeed = 1

// Seed returns the seed of this run.
func Seed() uint64 {
	if n, err := strconv.ParseUint(os.Getenv(Variable), 10, 64); err == nil && n > 0 {
		return n
	}
	return defaultSeed
}

// Rapid sets the seed of property tests, unless the command line has set one.
func Rapid() {
	f := flag.Lookup("rapid.seed")
	if f != nil && f.Value.String() == "0" {
		_ = f.Value.Set(strconv.FormatUint(Seed(), 10))
	}
}
