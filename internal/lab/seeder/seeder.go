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

// EnvVariable names the environment variable that sets the seed.
const EnvVariable = "FOXTAILFLOW_SEED"

const defaultSeed = 1

// Seed returns the seed of this run.
func Seed() uint64 {
	if n, err := strconv.ParseUint(os.Getenv(EnvVariable), 10, 64); err == nil && n > 0 {
		return n
	}
	return defaultSeed
}

// SetRapidSeed sets the seed of property tests, unless the command line has set one.
func SetRapidSeed() {
	f := flag.Lookup("rapid.seed")
	if f != nil && f.Value.String() == "0" {
		_ = f.Value.Set(strconv.FormatUint(Seed(), 10))
	}
}
