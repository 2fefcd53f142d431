package measurer

import (
	"slices"
	"time"

	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/decision/picker"
)

// The model of an engine, as the defaults of a deployment have it.
const (
	prefillRate = 8000.0
	decodeRate  = 1500.0
	// sequenceRate is the most that one answer gets.
	sequenceRate = 60.0
	slotsEach    = 25
	pieces       = 1000
	pieceTokens  = 256
	// cached is how many beginnings an engine keeps, savedShare what a known
	// one saves of a prompt.
	cached     = 6
	savedShare = 0.4
	roleChange = 8 * time.Second
	reportLag  = 2 * time.Second
)

// engine is a model of one engine.
type engine struct {
	id         string
	dataCentre string
	tier       definer.Tier
	role       picker.Role
	arrives    time.Duration
	crashed    bool
	gone       bool
	leaving    bool
	// target is the role to which it changes; ready when that is done.
	target  picker.Role
	ready   time.Duration
	changed time.Duration

	prefill []*job
	decode  []*job
	cache   []uint64
	reports []stamped
}

type stamped struct {
	at     time.Duration
	report picker.Report
}

func (e *engine) present(t time.Duration) bool { return !e.gone && t >= e.arrives }

func (e *engine) serving(t time.Duration) bool {
	return e.present(t) && !e.crashed && e.target == "" && !e.leaving
}

func (e *engine) inFlight() int { return len(e.prefill) + len(e.decode) }

// accept begins a phase of a job.
func (e *engine) accept(j *job) {
	j.at = e
	if j.decoding {
		e.decode = append(e.decode, j)
		return
	}
	j.left = float64(j.prompt)
	if i := slices.Index(e.cache, j.group); i >= 0 {
		j.left *= 1 - savedShare
		e.cache = slices.Delete(e.cache, i, i+1)
	}
	e.cache = append(e.cache, j.group)
	if len(e.cache) > cached {
		e.cache = e.cache[1:]
	}
	e.prefill = append(e.prefill, j)
}

// drop takes a job off the engine.
func (e *engine) drop(j *job) {
	is := func(o *job) bool { return o == j }
	e.prefill = slices.DeleteFunc(e.prefill, is)
	e.decode = slices.DeleteFunc(e.decode, is)
}

// step works for a while and returns the jobs whose phase has ended.
func (e *engine) step(dt time.Duration) (ended []*job) {
	budget := prefillRate * dt.Seconds()
	for len(e.prefill) > 0 && budget > 0 {
		j := e.prefill[0]
		use := min(budget, j.left)
		j.left -= use
		budget -= use
		if j.left > 0 {
			break
		}
		e.prefill = e.prefill[1:]
		ended = append(ended, j)
	}
	n := min(len(e.decode), slotsEach)
	if n == 0 {
		return ended
	}
	each := min(sequenceRate, decodeRate/float64(n)) * dt.Seconds()
	kept := e.decode[:0]
	for i, j := range e.decode {
		if i < n {
			j.produced += each
		}
		if j.produced >= float64(j.output) {
			ended = append(ended, j)
			continue
		}
		kept = append(kept, j)
	}
	e.decode = kept
	return ended
}

// note makes a load report, which is delivered later.
func (e *engine) note(t time.Duration) {
	r := picker.Report{InFlight: min(len(e.decode), slotsEach), FreeBlocks: pieces, Role: e.role}
	r.Queued = e.inFlight() - r.InFlight
	for _, j := range e.prefill {
		r.Backlog += int(j.left)
		r.FreeBlocks -= j.prompt / pieceTokens
	}
	for _, j := range e.decode {
		r.FreeBlocks -= (j.prompt + j.output) / pieceTokens
	}
	r.FreeBlocks = max(r.FreeBlocks, 0)
	r.Changing = e.ready > 0
	e.reports = append(e.reports, stamped{at: t, report: r})
}

// report returns the report that arrives now, if there is one.
func (e *engine) report(t time.Duration) (picker.Report, bool) {
	var out picker.Report
	found := false
	for len(e.reports) > 0 && t-e.reports[0].at >= reportLag {
		out, found = e.reports[0].report, true
		e.reports = e.reports[1:]
	}
	return out, found
}
