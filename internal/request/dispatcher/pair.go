package dispatcher

import (
	"context"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/keeper"
	"foxtailflow.example/foxtailflow/internal/decision/explainer"
	"foxtailflow.example/foxtailflow/internal/decision/hedger"
	"foxtailflow.example/foxtailflow/internal/decision/picker"
	"foxtailflow.example/foxtailflow/internal/request/attempter"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
	"foxtailflow.example/foxtailflow/internal/request/forwarder"
)

// errOtherUsed ends an attempt whose response is not used.
var errOtherUsed = coder.New(coder.OtherAttemptUsed, "the other attempt has responded earlier")

// contender is one of the two attempts of a pair.
type contender struct {
	plan      picker.Plan
	try       *try
	ctx       context.Context
	cancel    context.CancelCauseFunc
	startedAt time.Time
	report    forwarder.Report
}

// pair is an attempt at a request that may be joined by a second one.
//
// Each attempt runs on a goroutine of its own. The worker starts them, records their ends
// and is the only one that uses the execution, except that the attempt whose response is
// used records its first data.
type pair struct {
	dispatcher *Dispatcher
	execution  *execution
	endTurn    func()
	race       keeper.Cell[hedger.Race]
	// contenders are indexed by hedger.Attempt.
	contenders [hedger.Second + 1]contender
	running    conc.WaitGroup
	// ended receives the attempts that have ended; order has them in that order.
	ended chan hedger.Attempt
	order []hedger.Attempt
	// late says that the first attempt was late.
	late bool
}

// attemptTwice makes an attempt, and a second one at another endpoint if the response is
// slow. It returns the attempt whose response was used, or else the last one that failed.
func (d *Dispatcher) attemptTwice(c *execution, plan picker.Plan, endTurn func()) (picker.Plan, forwarder.Report) {
	p := &pair{dispatcher: d, execution: c, endTurn: endTurn, ended: make(chan hedger.Attempt, hedger.Second)}
	p.race.Rank = keeper.RankAttempts
	for a := hedger.First; a <= hedger.Second; a++ {
		p.contenders[a].ctx, p.contenders[a].cancel = context.WithCancelCause(c.job.ctx)
		defer p.contenders[a].cancel(nil)
	}
	p.start(hedger.First, plan, c.prefilled.handle)
	p.await()
	// An attempt that has panicked panics here.
	p.running.Wait()
	return p.finish()
}

// await waits until all attempts have ended, and starts the second one when it is due.
func (p *pair) await() {
	due := make(chan struct{}, 1)
	due <- struct{}{}
	timer := p.dispatcher.Clock.AfterFunc(time.Hour, func() { due <- struct{}{} })
	timer.Stop()
	defer timer.Stop()
	for running := 1; running > 0; {
		select {
		case a := <-p.ended:
			running--
			p.end(a)
		case <-due:
			started, again := p.ask()
			if started {
				running++
			}
			if !again.IsZero() {
				timer.Reset(again.Sub(p.dispatcher.Clock.Now()))
			}
		}
	}
}

// ask starts the second attempt if the decision is to, or returns when to ask again; the zero
// time means never.
func (p *pair) ask() (started bool, again time.Time) {
	d, c, first := p.dispatcher, p.execution, &p.contenders[hedger.First]
	if !p.race.Get().InProgress(hedger.First) || p.race.Get().Winner() != hedger.Neither {
		return false, time.Time{}
	}
	plan, decision := d.decideSecond(c, first.plan.Run.Endpoint, first.startedAt)
	countRefused(decision.Reason)
	if decision.Reason == hedger.NotLate || decision.Reason != hedger.Sent && decision.At.IsZero() {
		return false, decision.At
	}
	if !p.late {
		p.late = true
		d.recordOverdue(first.plan.Run.Endpoint.ID, 1)
	}
	if decision.Reason != hedger.Sent {
		return false, decision.At
	}
	p.race.Update(func(r hedger.Race) (hedger.Race, bool) { return r.With(hedger.SecondSent{}), true })
	if !p.race.Get().InProgress(hedger.Second) {
		// The first attempt has just responded.
		return false, time.Time{}
	}
	c.secondSent = true
	secondsSent.Add(1)
	repeated.Add(1)
	c.chosenAt = d.Clock.Now()
	p.log(hedger.Sent, plan.Run.Endpoint.ID)
	p.start(hedger.Second, plan, carrier.PromptHandle{})
	return true, time.Time{}
}

// start starts an attempt.
func (p *pair) start(a hedger.Attempt, plan picker.Plan, source carrier.PromptHandle) {
	d, c, n := p.dispatcher, p.execution, &p.contenders[a]
	n.plan, n.startedAt = plan, d.Clock.Now()
	n.try = d.newTry(c, plan, source, false)
	n.try.attempt.OnFirstData = func() {
		if p.respond(a) {
			d.recordLatency(c.job.request, n.startedAt)
			d.recordFirstData(c, n.try, p.endTurn)
		}
	}
	p.running.Go(func() {
		defer func() { p.ended <- a }()
		n.report = d.send(n.ctx, n.try, gate{pair: p, attempt: a, writer: c.writer})
	})
}

// respond records that an attempt has a response, and reports whether the caller gets it. It
// cancels the other attempt then.
func (p *pair) respond(a hedger.Attempt) (passes bool) {
	p.race.Update(func(r hedger.Race) (hedger.Race, bool) {
		r = r.With(hedger.Responded{Attempt: a})
		passes = r.Passes(a)
		return r, true
	})
	if passes {
		p.contenders[hedger.First+hedger.Second-a].cancel(errOtherUsed)
	}
	return passes
}

// end records the end of an attempt. An engine that may still work on a request whose
// response is not used is told to stop.
func (p *pair) end(a hedger.Attempt) {
	d, c, n := p.dispatcher, p.execution, &p.contenders[a]
	p.order = append(p.order, a)
	err := n.report.Attempt.Err()
	if err != nil {
		ran := n.report.Attempt.Outcome() == coder.Unknown
		p.race.Update(func(r hedger.Race) (hedger.Race, bool) { return r.With(hedger.Failed{Attempt: a, Ran: ran}), true })
	}
	if a == hedger.First && p.late {
		d.recordOverdue(n.plan.Run.Endpoint.ID, -1)
	}
	if !p.race.Get().Passes(a) {
		// The forwarder does not know that the gate has passed nothing on.
		n.report.ResponseBegun, n.report.Status = false, 0
	}
	if a == hedger.First && coder.Is(err, coder.OtherAttemptUsed) {
		d.recordLatency(c.job.request, n.startedAt)
	}
	d.recordTry(c, n.try, n.report)
	if coder.Is(err, coder.OtherAttemptUsed) && c.isModel() && n.report.Attempt.Reached() >= attempter.Sending && d.Engines != nil {
		address := n.try.endpoint.Address
		c.job.stopping.Go(func() { d.cancelAt(context.WithoutCancel(c.job.ctx), c.job, address) })
	}
}

// finish adds the attempts to the history, last the one whose response was used, and returns
// that one.
func (p *pair) finish() (picker.Plan, forwarder.Report) {
	d, c, winner := p.dispatcher, p.execution, p.race.Get().Winner()
	if winner != hedger.Neither {
		p.order = append(slices.DeleteFunc(p.order, func(a hedger.Attempt) bool { return a == winner }), winner)
	}
	for i, a := range p.order {
		n := &p.contenders[a]
		c.history = c.history.WithAttempt(n.report.Attempt, n.report.ResponseBegun)
		if a == winner || winner == hedger.Neither {
			c.apply(d, n.plan.Run.Endpoint, n.report)
		}
		if i < len(p.order)-1 {
			c.progress.Tried = append(c.progress.Tried, n.plan.Run.Endpoint.ID)
			if c.isModel() && n.report.Attempt.Reached() >= attempter.Sending && !coder.Is(n.report.Attempt.Err(), coder.OtherAttemptUsed) {
				c.job.unfinished = append(c.job.unfinished, n.plan.Run.Endpoint.Address)
			}
		}
	}
	if len(p.order) > 1 {
		p.recordWinner(winner)
	}
	last := &p.contenders[p.order[len(p.order)-1]]
	return last.plan, last.report
}

// recordWinner counts and logs which response was used.
func (p *pair) recordWinner(winner hedger.Attempt) {
	reason := hedger.Reason("lost")
	if winner == hedger.Second {
		reason = "won"
		secondsWon.Add(1)
	} else {
		secondsLost.Add(1)
	}
	p.log(reason, p.contenders[hedger.Second].plan.Run.Endpoint.ID)
}

// log logs what has become of the second attempt.
func (p *pair) log(reason hedger.Reason, second string) {
	d, first := p.dispatcher, &p.contenders[hedger.First]
	explainer.LogSecondAttempt(d.Log, p.execution.job.request.ID, first.plan.Run.Endpoint.ID, second, string(reason), d.Clock.Now().Sub(first.startedAt))
}

// gate passes the response of one attempt on to the caller if that is the one that is used.
type gate struct {
	pair    *pair
	attempt hedger.Attempt
	writer  carrier.ResponseWriter
}

// Begin sends the status and header, unless the other attempt has responded.
func (g gate) Begin(ctx context.Context, h carrier.ResponseHead) error {
	if !g.pair.respond(g.attempt) {
		return errOtherUsed
	}
	return g.writer.Begin(ctx, h)
}

// Write sends a chunk of the response that is used.
func (g gate) Write(ctx context.Context, b []byte) error {
	if !g.pair.race.Get().Passes(g.attempt) {
		return errOtherUsed
	}
	return g.writer.Write(ctx, b)
}
