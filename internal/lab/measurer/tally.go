package measurer

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// order is what a caller has observed of one order over all its attempts.
type order struct {
	name  string
	keyed bool
	// succeeded, notRun and unknown are set by the outcomes of the attempts.
	succeeded bool
	notRun    bool
	unknown   bool
	// mismatched means that a complete response was not that of this order.
	mismatched bool
	// interruptedByStop means that a planned stop of a node left the outcome
	// unknown.
	interruptedByStop bool
}

func (o order) with(r response, phase string) order {
	switch {
	case r.succeeded():
		o.succeeded = true
		o.mismatched = o.mismatched || r.body != "placed "+o.name+"\n"
	case r.notRun():
		o.notRun = true
	default:
		o.unknown = true
		// A complete response to a repeat whose first attempt is in progress is
		// no interruption.
		o.interruptedByStop = o.interruptedByStop || phase == "stops" && !r.complete
	}
	return o
}

// phaseCount counts the requests of one phase of the load.
type phaseCount struct{ ended, inTime int }

// tally collects what all callers observe.
type tally struct {
	mu                     *sync.Mutex
	orders                 []order
	phases                 map[string]phaseCount
	latencies              map[string]*hdrhistogram.Histogram
	faults                 map[string]int
	chats                  int
	chatsComplete          int
	chatsMismatched        int
	chatsInterrupted       int
	chatsInterruptedByStop int
}

func newTally() tally {
	return tally{
		mu:        &sync.Mutex{},
		phases:    make(map[string]phaseCount),
		latencies: make(map[string]*hdrhistogram.Histogram),
		faults:    make(map[string]int),
	}
}

func (t *tally) locked(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f()
}

func (t *tally) order(o order) { t.locked(func() { t.orders = append(t.orders, o) }) }

func (t *tally) fault(name string) { t.locked(func() { t.faults[name]++ }) }

func (t *tally) end(name string, inTime bool) {
	t.locked(func() {
		p := t.phases[name]
		p.ended++
		if inTime {
			p.inTime++
		}
		t.phases[name] = p
	})
}

func (t *tally) latency(name string, d time.Duration) {
	t.locked(func() {
		if t.latencies[name] == nil {
			t.latencies[name] = newHistogram()
		}
		_ = t.latencies[name].RecordValue(d.Microseconds())
	})
}

func (t *tally) chat(phase string, r response, matches bool) {
	t.locked(func() {
		t.chats++
		switch {
		case r.succeeded() && matches:
			t.chatsComplete++
		case r.succeeded():
			t.chatsMismatched++
		case !r.notRun():
			t.chatsInterrupted++
			if phase == "stops" {
				t.chatsInterruptedByStop++
			}
		}
	})
}

// comparison counts the differences between the callers' record and the runs.
type comparison struct {
	orders, ranTwice, falseNotRun, notPlaced, mismatched, interruptedByStops int
	unknown, unknownRan                                                      int
}

// compare compares the callers' record with the counts of runs.
func (t *tally) compare(runs map[string]int) comparison {
	v := comparison{orders: len(t.orders), interruptedByStops: t.chatsInterruptedByStop}
	for _, o := range t.orders {
		n := runs[o.name]
		v.ranTwice += boolToInt(n > 1)
		v.falseNotRun += boolToInt(n > 0 && !o.succeeded && !o.unknown)
		v.notPlaced += boolToInt(n == 0 && o.succeeded)
		v.mismatched += boolToInt(o.mismatched)
		v.interruptedByStops += boolToInt(o.interruptedByStop)
		v.unknown += boolToInt(o.unknown && !o.succeeded)
		v.unknownRan += boolToInt(o.unknown && !o.succeeded && n > 0)
	}
	return v
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// usageTotals sums up the usage reports that the platform received.
type usageTotals struct {
	windows, differing int
	requests           int64
}

func (o *Outcomes) receivedUsage() usageTotals {
	var u usageTotals
	type line struct{ id, account, model string }
	requests := make(map[line]int64)
	windows := make(map[string]bool)
	for _, text := range o.cluster.Platform.Record() {
		var l line
		var token uint64
		var n int64
		if strings.HasPrefix(text, "different-figures") {
			u.differing++
		}
		if found, _ := fmt.Sscanf(text, "report id=%s fencing-token=%d client-account=%s model=%s requests=%d", &l.id, &token, &l.account, &l.model, &n); found == 5 {
			requests[l], windows[l.id] = n, true
		}
	}
	for _, n := range requests {
		u.requests += n
	}
	u.windows = len(windows)
	return u
}

const (
	// reportTimeout bounds the wait for the reports of the last usage windows.
	reportTimeout      = 45 * time.Second
	reportPollInterval = 100 * time.Millisecond
)

// awaitReports waits until at least minRequests are reported, and returns the
// time that it took.
func (o *Outcomes) awaitReports(ctx context.Context, minRequests int64) time.Duration {
	began := o.Clock.Now()
	for o.Clock.Now().Sub(began) < reportTimeout && o.receivedUsage().requests < minRequests {
		if o.Clock.Sleep(ctx, reportPollInterval) != nil {
			break
		}
	}
	return o.Clock.Now().Sub(began)
}

// report compares the records, prints the result, and fails if a count that must
// be 0 is not.
func (o *Outcomes) report(ctx context.Context) error {
	runs := make(map[string]int)
	for _, s := range o.cluster.Services {
		for _, ord := range o.tally.orders {
			runs[ord.name] += s.Runs(ord.name)
		}
	}
	t := &o.tally
	v := t.compare(runs)
	responses, uncertain := int64(t.chatsComplete+t.chatsMismatched), int64(t.chatsInterrupted)
	for _, ord := range t.orders {
		responses += int64(boolToInt(ord.succeeded))
		uncertain += int64(boolToInt(ord.unknown && !ord.succeeded))
	}
	reportDelay := o.awaitReports(ctx, responses)
	u := o.receivedUsage()
	p := func(format string, args ...any) { _, _ = fmt.Fprintf(o.Out, format+"\n", args...) }
	p("requests sent: %d orders, %d model requests; faults set: %s", v.orders, t.chats, describeFaults(t.faults))
	p("orders run twice: %d", v.ranTwice)
	p("reported as not run, but ran: %d", v.falseNotRun)
	p("reported as placed, but did not run: %d", v.notPlaced)
	p("incomplete or mismatched responses passed on as complete: %d", v.mismatched+t.chatsMismatched)
	p("interrupted by planned stops: %d", v.interruptedByStops)
	p("orders with unknown outcome: %d, of which ran: %d; model responses interrupted and shown as incomplete: %d", v.unknown, v.unknownRan, t.chatsInterrupted)
	for _, name := range []string{"calm", "faults", "stops"} {
		counts := t.phases[name]
		p("completed in time, %s: %d of %d (%.2f%%)", name, counts.inTime, counts.ended, 100*float64(counts.inTime)/float64(max(counts.ended, 1)))
	}
	p("usage: %d responses received complete and at most %d incomplete; reported %d in %d windows, %d with different figures, %v after the load",
		responses, uncertain, u.requests, u.windows, u.differing, reportDelay.Round(100*time.Millisecond))
	p("usage lost: %d, reported in excess of all responses: %d", max(responses-u.requests, 0), max(u.requests-responses-uncertain, 0))
	o.printClaimLatency(p)
	if v.ranTwice+v.falseNotRun+v.notPlaced+v.mismatched+t.chatsMismatched+v.interruptedByStops+u.differing > 0 {
		return fmt.Errorf("a count that must be 0 is not 0")
	}
	return nil
}

// printClaimLatency prints the latency of orders with and without a claim.
func (o *Outcomes) printClaimLatency(p func(string, ...any)) {
	keyed, without := o.tally.latencies["calm/keyed"], o.tally.latencies["calm/without-key"]
	if keyed == nil || without == nil {
		return
	}
	at := func(h *hdrhistogram.Histogram, q float64) time.Duration {
		return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
	}
	p("order with a claim: median %v, 99%% %v; without: median %v, 99%% %v; a claim adds %v and %v",
		at(keyed, 50), at(keyed, 99), at(without, 50), at(without, 99),
		at(keyed, 50)-at(without, 50), at(keyed, 99)-at(without, 99))
}

func describeFaults(counts map[string]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %d times", name, counts[name]))
	}
	return strings.Join(parts, ", ")
}

// samples holds the latencies of one kind of call.
type samples struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
	failed    int
}

func newSamples() *samples { return &samples{histogram: newHistogram()} }

// add records the time of a call, which is negative if the call failed.
func (s *samples) add(d time.Duration, counted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case d < 0:
		s.failed++
	case counted:
		_ = s.histogram.RecordValue(d.Microseconds())
	}
}
