// Package dispatcher takes a request from its arrival to the end of its answer.
//
// Requests wait in a queue, and a fixed pool of workers takes them out. The
// worker that has a request chooses an endpoint, makes an attempt, and decides
// by how far the attempt came whether another is allowed. The shared tables
// hold what the workers know of endpoints; no lock is held while an attempt
// runs.
package dispatcher

import (
	"context"
	"expvar"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/decision/picker"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
	"foxtailflow.example/foxtailflow/internal/request/forwarder"
)

// Configs tells the configuration in force.
type Configs interface {
	Config() (definer.Config, error)
	// Current fails with ViewNotCurrent if the configuration may be outdated.
	Current() error
}

// Chooser chooses endpoints.
type Chooser interface {
	// Choose returns the endpoint for the next attempt; tried names those that
	// have failed the request.
	Choose(r carrier.Request, tried []string) picker.Choice
}

// Queue holds the jobs that wait for a worker.
type Queue interface {
	// Add puts a job into the queue, or refuses it; a refused job has not run.
	Add(job *Job) error
	// Next blocks until there is a job for a worker; false means there is no more.
	Next(ctx context.Context) (*Job, bool)
	// Done notes that a worker has finished a job.
	Done(job *Job, result carrier.Result)
}

// Endpoints takes note of what happens at endpoints.
type Endpoints interface {
	// Sent notes that a request of the given work goes to an endpoint.
	Sent(id string, work int)
	// Done notes its end; ok is false if the endpoint failed.
	Done(id string, work int, ok bool, rule definer.Rule)
}

// Job is a request in the queue.
type Job struct {
	ctx     context.Context
	request carrier.Request
	reply   carrier.Reply
	done    chan carrier.Result
}

// Request returns the request of the job.
func (j *Job) Request() carrier.Request { return j.request }

// Dispatcher answers requests.
type Dispatcher struct {
	Clock     timekeeper.Clock
	Configs   Configs
	Chooser   Chooser
	Endpoints Endpoints
	Forwarder forwarder.Forwarder
	Queue     Queue
}

var (
	answered = expvar.NewInt("requests-answered")
	refused  = expvar.NewInt("requests-refused")
	failed   = expvar.NewInt("requests-failed")
	repeated = expvar.NewInt("attempts-repeated")
)

// Do answers a request through reply and returns once that is done.
func (d *Dispatcher) Do(ctx context.Context, r carrier.Request, reply carrier.Reply) carrier.Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := d.Clock.AfterFunc(r.Deadline.Sub(d.Clock.Now()), cancel)
	defer timer.Stop()
	job := &Job{ctx: ctx, request: r, reply: reply, done: make(chan carrier.Result, 1)}
	if err := d.Queue.Add(job); err != nil {
		refused.Add(1)
		return carrier.Result{Err: err}
	}
	// The worker always sends a result, and the reply is not used after it.
	return <-job.done
}

// Handle answers the request of one job; the worker pool calls it.
func (d *Dispatcher) Handle(_ context.Context, job *Job) {
	result := d.answer(job)
	count(result)
	d.Queue.Done(job, result)
	job.done <- result
}

func count(r carrier.Result) {
	switch {
	case r.Err == nil:
		answered.Add(1)
	case coder.Of(r.Err).Outcome() == coder.NotRun:
		refused.Add(1)
	default:
		failed.Add(1)
	}
}

func (d *Dispatcher) answer(job *Job) carrier.Result {
	r := job.request
	if err := d.recheck(job); err != nil {
		return carrier.Result{Err: err}
	}
	cfg, err := d.Configs.Config()
	if err != nil {
		return carrier.Result{Err: err}
	}
	rule := cfg.Rule(r.Route.Deployment)
	var result carrier.Result
	var tried []string
	events := 0
	for n := 1; ; n++ {
		choice := d.Chooser.Choose(r, tried)
		if !choice.OK {
			if result.Err == nil {
				result.Err = coder.Refuse(coder.NoEndpoint, "no endpoint can take the request").WithRetryAfter(rule.Backoff)
			}
			return result
		}
		rep := d.attempt(job, choice.Endpoint, rule, events)
		events = rep.Events
		tried = append(tried, choice.Endpoint.ID)
		result.Begun = result.Begun || rep.Begun
		result.Endpoint = choice.Endpoint.ID
		result.Usage = rep.Usage
		result.Err = d.outcome(job, rep, result.Err)
		if rep.Err == nil || n >= rule.Attempts || !mayTryAgain(job, rep, result) {
			return result
		}
		repeated.Add(1)
		if d.Clock.Sleep(job.ctx, rule.Backoff) != nil {
			return result
		}
	}
}

// recheck refuses a request that may no longer run when its turn comes.
func (d *Dispatcher) recheck(job *Job) error {
	r := job.request
	if job.ctx.Err() != nil || !d.Clock.Now().Before(r.Deadline) {
		return coder.Refuse(coder.DeadlinePassed, "the deadline passed while the request waited")
	}
	if r.KeyID == "" {
		return nil
	}
	cfg, err := d.Configs.Config()
	if err != nil {
		return err
	}
	if key, ok := cfg.Key(r.KeyID); !ok || key.Account != r.Account {
		return coder.Refuse(coder.KeyUnknown, "the key was withdrawn while the request waited")
	}
	// The process may have been paused since the request was accepted.
	return d.Configs.Current()
}

func (d *Dispatcher) attempt(job *Job, e picker.Endpoint, rule definer.Rule, events int) forwarder.Report {
	w := job.request.Work()
	d.Endpoints.Sent(e.ID, w)
	rep := d.Forwarder.Forward(job.ctx, forwarder.Attempt{
		Request:     job.request,
		Address:     e.Address,
		From:        events,
		IdleTimeout: rule.IdleTimeout,
	}, job.reply)
	blame := rep.Err != nil && job.ctx.Err() == nil && !coder.Is(rep.Err, coder.CallerGone)
	d.Endpoints.Done(e.ID, w, !blame, rule)
	return rep
}

// outcome says what is known after an attempt: once one attempt may have run,
// no later one makes the request "not run" again.
func (d *Dispatcher) outcome(job *Job, rep forwarder.Report, before error) error {
	if rep.Err == nil {
		return nil
	}
	f := coder.Of(rep.Err)
	if job.ctx.Err() != nil && !d.Clock.Now().Before(job.request.Deadline) {
		f = coder.Wrap(coder.DeadlinePassed, rep.Err, "the deadline has passed").WithOutcome(f.Outcome())
	}
	if before != nil && coder.Of(before).Outcome() == coder.Unknown {
		f = f.WithOutcome(coder.Unknown)
	}
	return f
}

// mayTryAgain reports whether another attempt is allowed after a failed one.
func mayTryAgain(job *Job, rep forwarder.Report, result carrier.Result) bool {
	switch {
	case job.ctx.Err() != nil || coder.Is(rep.Err, coder.CallerGone):
		return false
	case result.Begun:
		// Only the event stream of an engine can be continued.
		return job.request.Stream && job.request.MayRepeat()
	case coder.Of(rep.Err).Outcome() == coder.NotRun:
		return job.request.Body.Repeatable()
	}
	return job.request.MayRepeat()
}
