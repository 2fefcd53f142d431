// Package dispatcher takes a request from its arrival to the end of its
// response.
//
// Requests are queued, and a fixed pool of workers takes them from the queue.
// The worker that has a request takes its claim if it needs one, chooses an
// endpoint and makes an attempt. The state machine of the attempt determines
// what may have happened; the outcome, and whether another attempt is allowed,
// follow from that. Shared tables hold what the workers know of endpoints and
// of retry budgets; no lock is held while an attempt runs.
package dispatcher

import (
	"context"
	"expvar"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

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

// ConfigSource provides the configuration in force.
type ConfigSource interface {
	Config() (definer.Config, error)
	// CheckCurrent fails with ViewNotCurrent if the configuration may be outdated.
	CheckCurrent() error
}

// Chooser chooses endpoints.
type Chooser interface {
	// Choose returns where the next step of a request goes.
	Choose(r carrier.Request, p carrier.Progress) picker.Plan
}

// EndpointList tells whether the list of endpoints is young enough to choose from.
type EndpointList interface {
	// Await waits a short time until it is, and fails with ListOutdated if it is not by
	// then.
	Await(ctx context.Context) error
}

// Queue holds the jobs queued for a worker.
type Queue interface {
	// Add queues a job, or refuses it; a refused job has not run.
	Add(job *Job) error
	// Next blocks until there is a job for a worker; it returns false if there
	// will be no more.
	Next(ctx context.Context) (*Job, bool)
	// Done records that a worker has finished a job.
	Done(job *Job, result carrier.Result)
}

// Endpoints records what happens at endpoints.
type Endpoints interface {
	// RecordSent records that a request of the given work is sent to an endpoint.
	RecordSent(id string, work int)
	// RecordPrefilled records that the endpoint has prefilled the prompt of the
	// request.
	RecordPrefilled(id string, work int)
	// RecordPrefillTime records that the endpoint prefilled the given number of prompt
	// tokens, those queued there before included, in the given time.
	RecordPrefillTime(id string, tokens int, elapsed time.Duration)
	// RecordDone records the end of the request and what it implies for the
	// endpoint.
	RecordDone(id string, work int, result picker.AttemptResult, rule definer.Rule)
	// RecordLoad records the load that the endpoint reports.
	RecordLoad(id string, l carrier.Load)
	// RecordServiceTime records how long a complete request was at the endpoint.
	RecordServiceTime(id string, elapsed time.Duration)
	// RecordSlowdown records what the endpoint says of its speed.
	RecordSlowdown(id string, s picker.Slowdown)
}

// Forwarder makes attempts.
type Forwarder interface {
	// Forward has an endpoint respond to the request.
	Forward(ctx context.Context, a forwarder.Attempt, w carrier.ResponseWriter) forwarder.Report
	// Prefill has an endpoint prefill the prompt of the request and keep it.
	Prefill(ctx context.Context, a forwarder.Attempt) (carrier.PromptHandle, forwarder.Report)
}

// Claims holds the claims of idempotency keys.
type Claims interface {
	// Take claims a key, or returns the recorded response.
	Take(ctx context.Context, a claimer.ClaimParams) (claimer.TakeResult, error)
	// RecordResponse records the complete response, RecordUnknown that there is
	// none.
	RecordResponse(h claimer.HeldClaim, a claimer.Response)
	RecordUnknown(ctx context.Context, h claimer.HeldClaim)
	// Release gives up the claim of a request that did not run.
	Release(ctx context.Context, h claimer.HeldClaim)
}

// Usage counts the usage of responses.
type Usage interface {
	// Count adds the figures of one response.
	Count(f biller.Figures)
}

// Engines notifies engines of work and prompts that a request no longer needs.
type Engines interface {
	// Cancel orders the engine at address to stop working on a request.
	Cancel(ctx context.Context, address, requestID string) error
	// Release tells an engine that the prompt it keeps will not be fetched.
	Release(ctx context.Context, h carrier.PromptHandle) error
}

// Quarantine keeps prompts that crash endpoints away from them.
type Quarantine interface {
	// Check refuses a request that must not be sent to an endpoint.
	Check(r carrier.Request) error
	// Suspects reports whether a request may crash an endpoint.
	Suspects(r carrier.Request) bool
	// Enter waits until a request that may crash an endpoint is the only one of its
	// kind; done ends that. It fails if the request must not be sent any more.
	Enter(ctx context.Context, r carrier.Request) (done func(), err error)
	// MayRepeat reports whether a request that was at an endpoint when that ended may
	// be sent to another one.
	MayRepeat(r carrier.Request) bool
	// RecordBroken records that the connection of a request broke before the endpoint
	// had begun to respond.
	RecordBroken(endpoint string, r carrier.Request)
	// RecordResponse records that an endpoint has responded to a request sent at a time.
	RecordResponse(endpoint string, sentAt time.Time)
	// RecordAnswered records that a request was answered completely.
	RecordAnswered(r carrier.Request)
}

// Job is a request in the queue.
type Job struct {
	// ctx ends at the deadline. For a request without a claim it also ends when
	// the caller disconnects; a claimed request goes on, because its response
	// is recorded for repeats.
	ctx     context.Context
	caller  context.Context
	request carrier.Request
	writer  carrier.ResponseWriter
	done    chan carrier.Result
	// unfinished holds the addresses of engines that may still work on the
	// request.
	unfinished []string
	// stopping has the orders to engines, in progress, to stop an attempt whose response is
	// not used. The caller does not wait for them.
	stopping conc.WaitGroup
	// begunReported says that the start of the request has been reported.
	begunReported atomic.Bool
	// claimed is set by the worker that begins the request, or by its caller, who does not
	// wait for one any more.
	claimed atomic.Bool
}

// claim claims the job, and reports whether it was unclaimed.
func (j *Job) claim() bool { return j.claimed.CompareAndSwap(false, true) }

// Request returns the request of the job.
func (j *Job) Request() carrier.Request { return j.request }

// Dispatcher serves requests.
type Dispatcher struct {
	Clock     timekeeper.Clock
	Log       zerolog.Logger
	Configs   ConfigSource
	Chooser   Chooser
	Endpoints Endpoints
	// List may be nil: then requests are sent on a list of any age.
	List      EndpointList
	Forwarder Forwarder
	Queue     Queue
	Claims    Claims
	// Usage counts the usage of responses; nil means that nothing is counted.
	Usage   Usage
	Engines Engines
	// Quarantine may be nil: then no prompt is kept away from endpoints.
	Quarantine Quarantine
	// Random returns a random number in [0, 1).
	Random func() float64
	// OnBegun is called once for each request, when it has begun to run; it may
	// be nil.
	OnBegun func(r carrier.Request)
	// Nodes returns the number of nodes that share the retry budgets and the
	// connections to endpoints; nil means 1.
	Nodes func() int
	// Budgets holds the retry budget of each deployment.
	Budgets keeper.Table[string, retrier.Bucket]
	// durations has how long complete requests took, by route.
	durations keeper.Table[string, durations]
	seconds   secondTables
	stop      stop
}

var (
	completed   = expvar.NewInt("requests-answered")
	refused     = expvar.NewInt("requests-refused")
	failed      = expvar.NewInt("requests-failed")
	repeated    = expvar.NewInt("attempts-repeated")
	resumed     = expvar.NewInt("streams-resumed")
	budgetSpent = expvar.NewInt("retry-budget-spent")
)

// Do serves a request through w and returns when that is done.
func (d *Dispatcher) Do(ctx context.Context, r carrier.Request, w carrier.ResponseWriter) carrier.Result {
	r, err := d.fitToStop(r)
	if err != nil {
		refused.Add(1)
		return carrier.Result{Err: err}
	}
	parent := ctx
	if r.NeedsClaim() {
		parent = context.WithoutCancel(ctx)
	}
	run, cancel := context.WithCancel(parent)
	defer cancel()
	defer context.AfterFunc(d.stop.context(), cancel)()
	timer := d.Clock.AfterFunc(r.Deadline.Sub(d.Clock.Now()), cancel)
	defer timer.Stop()
	if err := d.checkPrompt(r); err != nil {
		refused.Add(1)
		return carrier.Result{Err: err}
	}
	job := &Job{ctx: run, caller: ctx, request: r, writer: w, done: make(chan carrier.Result, 1)}
	if err := d.Queue.Add(job); err != nil {
		refused.Add(1)
		return carrier.Result{Err: err}
	}
	select {
	case result := <-job.done:
		return result
	case <-run.Done():
	}
	if job.claim() {
		refused.Add(1)
		return carrier.Result{Err: d.endReason(job, run.Err()).WithOutcome(coder.NotRun)}
	}
	// The worker always sends a result, and the writer is not used after it.
	return <-job.done
}

// Handle serves the request of one job; the worker pool calls it.
func (d *Dispatcher) Handle(ctx context.Context, job *Job) {
	if !job.claim() {
		d.Queue.Done(job, carrier.Result{Err: coder.Refuse(coder.DeadlinePassed, "the request has ended before a worker was free")})
		return
	}
	result := d.runRecovered(job)
	countOutcome(result)
	d.recordDuration(job.request, result)
	d.countUsage(job.request, result)
	d.Queue.Done(job, result)
	job.done <- result
	d.cancelUnfinished(ctx, job)
}

// runRecovered serves a job; a panic ends one request but no worker.
func (d *Dispatcher) runRecovered(job *Job) (result carrier.Result) {
	defer func() {
		if p := recover(); p != nil {
			d.Log.Error().Str("request", job.request.ID).Interface("panic", p).Bytes("stack", debug.Stack()).Msg("panic while serving the request")
			result = carrier.Result{ResponseBegun: true, Err: coder.New(coder.Internal, "internal error: panic")}
		}
	}()
	return d.runChecked(job)
}

// recordDuration records how long a request with a complete response took.
func (d *Dispatcher) recordDuration(r carrier.Request, result carrier.Result) {
	if result.Err != nil || !result.Complete {
		return
	}
	took := d.Clock.Now().Sub(r.Arrived)
	d.durations.Update(r.Route.Name, func(e durations, _ bool) (durations, bool) { return e.With(took), true })
}

func countOutcome(r carrier.Result) {
	switch {
	case r.Err == nil:
		completed.Add(1)
	case coder.FromError(r.Err).Outcome() == coder.NotRun:
		refused.Add(1)
	default:
		failed.Add(1)
	}
}

// countUsage counts the usage of a request, once, by the figures that the
// endpoint reported.
//
// A response for which an engine reported no figures counts nothing, nor does a
// replayed one or one by which a plain service refused. A request whose caller
// disconnected is billed if the engine had already reported its figures.
func (d *Dispatcher) countUsage(r carrier.Request, result carrier.Result) {
	f := biller.Figures{Account: r.Account, Model: r.Route.Model, Requests: 1}
	switch {
	case result.Replayed, d.Usage == nil:
		return
	case r.Route.Kind == definer.Plain:
		// A service reports no figures: a response that the recorder has
		// completely counts, even if the caller has disconnected.
		if !result.Complete || result.Status >= http.StatusBadRequest {
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

// cancelTimeout bounds a message that only saves an engine work.
const cancelTimeout = 500 * time.Millisecond

// cancelUnfinished orders the engines that may still work on the request to
// stop.
func (d *Dispatcher) cancelUnfinished(ctx context.Context, job *Job) {
	for _, address := range job.unfinished {
		d.cancelAt(ctx, job, address)
	}
	job.stopping.Wait()
}

// cancelAt orders the engine at an address to stop working on the request.
func (d *Dispatcher) cancelAt(ctx context.Context, job *Job, address string) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	_ = d.Engines.Cancel(ctx, address, job.request.ID)
}

func (d *Dispatcher) runChecked(job *Job) carrier.Result {
	if err := d.recheck(job); err != nil {
		return carrier.Result{Err: err}
	}
	cfg, err := d.Configs.Config()
	if err != nil {
		return carrier.Result{Err: err}
	}
	rule := cfg.Rule(job.request.Route.Deployment)
	if job.request.NeedsClaim() {
		return d.runClaimed(job, rule, cfg.Limits())
	}
	return d.run(job, job.writer, rule, attempter.Attempt{})
}

// recheck refuses a request that may no longer run when a worker gets it, or whose caller
// does not wait for it any more.
func (d *Dispatcher) recheck(job *Job) error {
	if _, closed := job.request.CallerClosedAt(); closed || job.caller.Err() != nil {
		return coder.Refuse(coder.CallerGone, "the caller disconnected before the request was sent")
	}
	return d.checkAllowed(job)
}

// checkAllowed refuses a request that may no longer run. The process may have been late or
// paused since the request was accepted.
func (d *Dispatcher) checkAllowed(job *Job) error {
	r := job.request
	if d.stop.context().Err() != nil {
		return coder.Refuse(coder.ShuttingDown, "the node stopped before the request was sent")
	}
	if job.ctx.Err() != nil || !d.Clock.Now().Before(r.Deadline) {
		return coder.Refuse(coder.DeadlinePassed, "the deadline passed before the request was sent")
	}
	if r.KeyID == "" {
		return nil
	}
	cfg, err := d.Configs.Config()
	if err != nil {
		return err
	}
	if key, ok := cfg.Key(r.KeyID); !ok || key.Account != r.Account {
		return coder.Refuse(coder.KeyUnknown, "the key was withdrawn before the request was sent")
	}
	return d.Configs.CheckCurrent()
}

// checkAttempt refuses a further attempt at a request. It is asked before the endpoints are
// chosen and once more before the first byte, as any of what it asks may have changed while
// the request waited. A request with a claim runs even if its caller has left, for its
// repeat.
func (d *Dispatcher) checkAttempt(c *execution) error {
	check := d.recheck
	if c.job.request.NeedsClaim() {
		check = d.checkAllowed
	}
	if err := check(c.job); err != nil {
		return err
	}
	return d.checkPrompt(c.job.request)
}
