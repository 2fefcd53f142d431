package measurer_test

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/lab/measurer"
	"foxtailflow.example/foxtailflow/internal/lab/seeder"
)

// TestOutcomes guards H6 to H9 and H11 in a short run of the measurement: one
// round of all faults, then stops of nodes in turn. It fails if a count that must
// be 0 is not.
func TestOutcomes(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	seed := seeder.Seed()
	o := measurer.Outcomes{Out: os.Stdout, Clock: timekeeper.System{}, Seed: seed, Calm: 60, Faulty: 1000, Stops: 600, Rate: 150}
	is.New(t).NoErr(o.Run(ctx))
}
