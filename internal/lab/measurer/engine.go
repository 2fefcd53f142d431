package measurer

import (
	"slices"
	"time"

	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/decision/picker"
)

// The parameters of the modelled engine, which equal the defaults of a
// deployment.
const (
	prefillRate = 8000.0
	decodeRate  = 1500.0
	// maxSequenceRate is the maximum decode rate of one request, in tokens per
	// second.
	maxSequenceRate = 60.0
	slotsPerEngine  = 25
	memoryBlocks    = 1000
	blockTokens     = 256
	// cacheSize is the number of prefixes that an engine caches; cachedShare is
	// the share of a prompt that a cached prefix covers.
	cacheSize   = 6
	cachedShare = 0.4
	roleChange  = 8 * time.Second
	reportLag   = 2 * time.Second
)

// engine is a model of one engine.
type engine struct {
	id          string
	dataCentre  string
	tier        definer.Tier
	role        picker.Role
	availableAt time.Duration
	crashed     bool
	removed     bool
	leaving     bool
	// target is the role to which the engine changes, or empty; changeEnds is
	// when the change ends, or 0 while the engine drains.
	target     picker.Role
	changeEnds time.Duration
	changedAt  time.Duration

	prefill []*job
	decode  []*job
	cache   []uint64
	reports []timedReport
}

type timedReport struct {
	at     time.Duration
	report picker.Report
}

func (e *engine) present(t time.Duration) bool { return !e.removed && t >= e.availableAt }

func (e *engine) serving(t time.Duration) bool {
	return e.present(t) && !e.crashed && e.target == "" && !e.leaving
}

func (e *engine) inFlight() int { return len(e.prefill) + len(e.decode) }

// accept starts a phase of a job.
func (e *engine) accept(j *job) {
	j.engine = e
	if j.decoding {
		e.decode = append(e.decode, j)
		return
	}
	j.remainingPrompt = float64(j.prompt)
	if i := slices.Index(e.cache, j.prefix); i >= 0 {
		j.remainingPrompt *= 1 - cachedShare
		e.cache = slices.Delete(e.cache, i, i+1)
	}
	e.cache = append(e.cache, j.prefix)
	if len(e.cache) > cacheSize {
		e.cache = e.cache[1:]
	}
	e.prefill = append(e.prefill, j)
}

// remove removes a job from the engine.
func (e *engine) remove(j *job) {
	is := func(o *job) bool { return o == j }
	e.prefill = slices.DeleteFunc(e.prefill, is)
	e.decode = slices.DeleteFunc(e.decode, is)
}

// step simulates the engine for dt and returns the jobs whose phase has ended.
func (e *engine) step(dt time.Duration) (ended []*job) {
	budget := prefillRate * dt.Seconds()
	for len(e.prefill) > 0 && budget > 0 {
		j := e.prefill[0]
		used := min(budget, j.remainingPrompt)
		j.remainingPrompt -= used
		budget -= used
		if j.remainingPrompt > 0 {
			break
		}
		e.prefill = e.prefill[1:]
		ended = append(ended, j)
	}
	n := min(len(e.decode), slotsPerEngine)
	if n == 0 {
		return ended
	}
	perRequest := min(maxSequenceRate, decodeRate/float64(n)) * dt.Seconds()
	remaining := e.decode[:0]
	for i, j := range e.decode {
		if i < n {
			j.produced += perRequest
		}
		if j.produced >= float64(j.output) {
			ended = append(ended, j)
			continue
		}
		remaining = append(remaining, j)
	}
	e.decode = remaining
	return ended
}

// recordReport makes a load report, which is delivered after reportLag.
func (e *engine) recordReport(t time.Duration) {
	r := picker.Report{InFlight: min(len(e.decode), slotsPerEngine), FreeBlocks: memoryBlocks, Role: e.role}
	r.Queued = e.inFlight() - r.InFlight
	for _, j := range e.prefill {
		r.Backlog += int(j.remainingPrompt)
		r.FreeBlocks -= j.prompt / blockTokens
	}
	for _, j := range e.decode {
		r.FreeBlocks -= (j.prompt + j.output) / blockTokens
	}
	r.FreeBlocks = max(r.FreeBlocks, 0)
	r.Changing = e.changeEnds > 0
	e.reports = append(e.reports, timedReport{at: t, report: r})
}

// takeReport returns the newest report that has been delivered since the last
// call, if there is one.
func (e *engine) takeReport(t time.Duration) (picker.Report, bool) {
	var out picker.Report
	found := false
	for len(e.reports) > 0 && t-e.reports[0].at >= reportLag {
		out, found = e.reports[0].report, true
		e.reports = e.reports[1:]
	}
	return out, found
}
