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

// TestOutcomes guards against orders that run twice, orders that are reported as
// not run but ran or as placed but did not run, incomplete or mismatched
// responses that are passed on as complete, requests that a planned stop of a
// node interrupts, and usage reports repeated with different figures. It is a
// short run of the measurement: one round of all faults, then each node is
// stopped in turn.
func TestOutcomes(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	seed := seeder.Seed()
	o := measurer.Outcomes{Out: os.Stdout, Clock: timekeeper.System{}, Seed: seed, CalmRequests: 60, FaultyRequests: 1000, StopRequests: 600, Rate: 150}
	is.New(t).NoErr(o.Run(ctx))
}
