// Package dispatcher takes a request from its arrival to the end of its answer.
//
// Requests wait in a queue, and a fixed pool of workers takes them out. The
// worker that has a request takes its claim if it needs one, chooses an
// endpoint and makes an attempt. The state machine of the attempt says what
// may have happened; from that follow the outcome and whether another attempt
// is allowed. The shared tables hold what the workers know of endpoints and of
// retry budgets; no lock is held while an attempt runs.
package dispatcher

import (
	"context"
	"expvar"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/keeper"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/decision/picker"
	"foxtailflow.example/foxtailflow/internal/request/attempter"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
	"foxtailflow.example/foxtailflow/internal/request/claimer"
	"foxtailflow.example/foxtailflow/internal/request/forwarder"
	"foxtailflow.example/foxtailflow/internal/request/retrier"
	"foxtailflow.example/foxtailflow/internal/usage/biller"
)

// Configs tells the configuration in force.
type Configs interface {
	Config() (definer.Config, error)
	// Current fails with ViewNotCurrent if the configuration may be outdated.
	Current() error
}

// Chooser chooses endpoints.
type Chooser interface {
	// Choose returns where the next step of a request goes.
	Choose(r carrier.Request, p carrier.Progress) picker.Plan
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
	// Read notes that the endpoint has read the prompt of the request.
	Read(id string, work int)
	// Done notes its end and what that tells of the endpoint.
	Done(id string, work int, sign picker.Sign, rule definer.Rule)
	// Report notes the endpoint's own account of its load.
	Report(id string, l carrier.Load)
}

// Forwarder makes attempts.
type Forwarder interface {
	// Forward has an endpoint answer the request.
	Forward(ctx context.Context, a forwarder.Attempt, reply carrier.Reply) forwarder.Report
	// Read has an endpoint read the prompt of the request and keep it.
	Read(ctx context.Context, a forwarder.Attempt) (carrier.Handle, forwarder.Report)
}

// Claims holds the claims of idempotency keys.
type Claims interface {
	// Take claims a key, or returns the recorded answer.
	Take(ctx context.Context, a claimer.Ask) (claimer.Taken, error)
	// Finish records the whole answer, Lose that there is none.
	Finish(h claimer.Held, a claimer.Answer)
	Lose(ctx context.Context, h claimer.Held)
	// Release gives the claim of a request back that did not run.
	Release(ctx context.Context, h claimer.Held)
}

// Usage counts what answers have used.
type Usage interface {
	// Count adds the figures of one answer.
	Count(f biller.Figures)
}

// Engines tells engines what a request no longer needs.
type Engines interface {
	// Cancel tells the engine at address to stop working on a request.
	Cancel(ctx context.Context, address, requestID string) error
	// Release tells an engine that nobody will take a prompt that it keeps.
	Release(ctx context.Context, h carrier.Handle) error
}

// Job is a request in the queue.
type Job struct {
	// ctx ends with the deadline and, but for a request with a claim, when the
	// caller leaves: what a claimed request did is recorded for its repeat.
	ctx     context.Context
	caller  context.Context
	request carrier.Request
	reply   carrier.Reply
	done    chan carrier.Result
	// left are the addresses of engines that may still work on the request.
	left []string
	// began says that an endpoint has begun to answer.
	began bool
}

// Request returns the request of the job.
func (j *Job) Request() carrier.Request { return j.request }

// Dispatcher answers requests.
type Dispatcher struct {
	Clock     timekeeper.Clock
	Log       zerolog.Logger
	Configs   Configs
	Chooser   Chooser
	Endpoints Endpoints
	Forwarder Forwarder
	Queue     Queue
	Claims    Claims
	// Usage counts what answers have used; nil means that nothing is counted.
	Usage   Usage
	Engines Engines
	// Random returns a random number in [0, 1).
	Random func() float64
	// Begun is called when a request has begun to run, once for each; nil means
	// nothing.
	Begun func(r carrier.Request)
	// Nodes returns the number of nodes that share the retry budgets and the
	// connections to endpoints; nil means 1.
	Nodes func() int
	// Budgets are the retry budgets of the deployments.
	Budgets keeper.Table[string, retrier.Bucket]
}

var (
	answered = expvar.NewInt("requests-answered")
	refused  = expvar.NewInt("requests-refused")
	failed   = expvar.NewInt("requests-failed")
	repeated = expvar.NewInt("attempts-repeated")
	resumed  = expvar.NewInt("streams-resumed")
	overrun  = expvar.NewInt("retry-budget-spent")
)

// Do answers a request through reply and returns once that is done.
func (d *Dispatcher) Do(ctx context.Context, r carrier.Request, reply carrier.Reply) carrier.Result {
	run, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	timer := d.Clock.AfterFunc(r.Deadline.Sub(d.Clock.Now()), cancel)
	defer timer.Stop()
	if !r.NeedsClaim() {
		defer context.AfterFunc(ctx, cancel)()
	}
	job := &Job{ctx: run, caller: ctx, request: r, reply: reply, done: make(chan carrier.Result, 1)}
	if err := d.Queue.Add(job); err != nil {
		refused.Add(1)
		return carrier.Result{Err: err}
	}
	// The worker always sends a result, and the reply is not used after it.
	return <-job.done
}

// Handle answers the request of one job; the worker pool calls it.
func (d *Dispatcher) Handle(ctx context.Context, job *Job) {
	result := d.guarded(job)
	count(result)
	d.count(job.request, result)
	d.Queue.Done(job, result)
	job.done <- result
	d.cancelLeft(ctx, job)
}

// guarded answers a job; a fault of the program ends one request and no worker.
func (d *Dispatcher) guarded(job *Job) (result carrier.Result) {
	defer func() {
		if p := recover(); p != nil {
			d.Log.Error().Str("request", job.request.ID).Interface("panic", p).Bytes("stack", debug.Stack()).Msg("request failed by a fault of the program")
			result = carrier.Result{Begun: true, Err: coder.New(coder.Internal, "a fault of the program")}
		}
	}()
	return d.answer(job)
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

// count counts the usage of a request, once, by what the endpoint reported.
//
// An answer without figures of an engine uses nothing, nor does a recorded one
// or one by which a plain service refused. A caller that left is billed if the
// engine had already given its figures.
func (d *Dispatcher) count(r carrier.Request, result carrier.Result) {
	f := biller.Figures{Account: r.Account, Model: r.Route.Model, Requests: 1}
	switch {
	case result.Replayed, d.Usage == nil:
		return
	case r.Route.Kind == definer.Plain:
		// A service gives no figures: an answer that the recorder has whole
		// counts, also when the caller has left.
		if !result.Whole || result.Status >= http.StatusBadRequest {
			return
		}
		f.Model = r.Route.Deployment
	case !result.Usage.Reported:
		return
	default:
		f.PromptTokens, f.OutputTokens = result.Usage.PromptTokens, result.Usage.OutputTokens
	}
	d.Usage.Count(f)
}

// cancelWait bounds a message that only saves an engine work.
const cancelWait = 500 * time.Millisecond

// cancelLeft tells the engines that have not ended the request to stop.
func (d *Dispatcher) cancelLeft(ctx context.Context, job *Job) {
	for _, address := range job.left {
		ctx, cancel := context.WithTimeout(ctx, cancelWait)
		_ = d.Engines.Cancel(ctx, address, job.request.ID)
		cancel()
	}
}

func (d *Dispatcher) answer(job *Job) carrier.Result {
	if err := d.recheck(job); err != nil {
		return carrier.Result{Err: err}
	}
	cfg, err := d.Configs.Config()
	if err != nil {
		return carrier.Result{Err: err}
	}
	rule := cfg.Rule(job.request.Route.Deployment)
	if job.request.NeedsClaim() {
		return d.claimed(job, rule, cfg.Limits())
	}
	return d.run(job, job.reply, rule, attempter.Attempt{})
}

// recheck refuses a request that may no longer run when its turn comes.
func (d *Dispatcher) recheck(job *Job) error {
	r := job.request
	if job.caller.Err() != nil {
		return coder.Refuse(coder.CallerGone, "the caller left while the request waited")
	}
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
