// Package runner runs work on a bounded number of goroutines.
//
// A Pool has a fixed number of workers that take jobs from one source, such as
// a shared queue table. A worker that finds no job blocks in the source until
// there is one. Periodic repeats a task with a random variation of the delay,
// so that nodes that were started at the same time do not all act at once.
package runner

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
)

// Source supplies jobs.
type Source[J any] interface {
	// Next blocks until there is a job; false means that no more jobs follow.
	Next(ctx context.Context) (J, bool)
}

// Pool runs a handler over the jobs of a source on a fixed number of workers.
type Pool[J any] struct {
	// Workers is the number of goroutines; 0 means 1.
	Workers int
	// Source supplies the jobs.
	Source Source[J]
	// Handle runs one job.
	Handle func(ctx context.Context, job J)
}

// Run runs jobs until the source ends or ctx is done, and returns when the last
// job has finished.
func (p Pool[J]) Run(ctx context.Context) {
	var wg conc.WaitGroup
	for range max(p.Workers, 1) {
		wg.Go(func() { p.work(ctx) })
	}
	wg.Wait()
}

func (p Pool[J]) work(ctx context.Context) {
	for {
		job, ok := p.Source.Next(ctx)
		if !ok {
			return
		}
		p.Handle(ctx, job)
	}
}

// Periodic is a task that is repeated.
type Periodic struct {
	// Name identifies the task in the log line of a failure.
	Name string
	// Interval is the mean delay after a run.
	Interval time.Duration
	// RetryInterval is the mean delay after a run that failed; 0 means Interval.
	RetryInterval time.Duration
	// Jitter is the fraction by which a delay varies; 0.2 means ±20%.
	Jitter float64
	// Task does one run; its error is logged.
	Task func(ctx context.Context) error
}

// Run runs the task until ctx is done.
func (p Periodic) Run(ctx context.Context, clock timekeeper.Clock, log zerolog.Logger) {
	for {
		delay := p.Interval
		if err := p.Task(ctx); err != nil && ctx.Err() == nil {
			log.Warn().Str("task", p.Name).Err(err).Msg("periodic task failed")
			if p.RetryInterval > 0 {
				delay = p.RetryInterval
			}
		}
		if clock.Sleep(ctx, p.jittered(delay)) != nil {
			return
		}
	}
}

func (p Periodic) jittered(d time.Duration) time.Duration {
	f := 1 + p.Jitter*(2*rand.Float64()-1)
	return time.Duration(float64(d) * f)
}
