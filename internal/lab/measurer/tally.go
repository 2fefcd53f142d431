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

// order is what a caller was told of one order, over all its repeats.
type order struct {
	name  string
	keyed bool
	// answered, notRun and unknown say what the answers were.
	answered bool
	notRun   bool
	unknown  bool
	// crossed says that an answer passed as whole was not this order's.
	crossed bool
	// cutByStop says that a planned stop left the outcome open.
	cutByStop bool
}

func (o order) with(r reply, part string) order {
	switch {
	case r.answered():
		o.answered = true
		o.crossed = o.crossed || r.body != "placed "+o.name+"\n"
	case r.notRun():
		o.notRun = true
	default:
		o.unknown = true
		// A repeat that meets its first attempt in progress cuts nothing.
		o.cutByStop = o.cutByStop || part == "stops" && !r.whole
	}
	return o
}

// part is what is counted of one part of the load.
type part struct{ ended, inTime int }

// tally collects what callers see; it is shared by all of them.
type tally struct {
	mu         *sync.Mutex
	orders     []order
	parts      map[string]part
	latencies  map[string]*hdrhistogram.Histogram
	faults     map[string]int
	chats      int
	chatsWhole int
	chatsWrong int
	chatsCut   int
	stopCuts   int
}

func newTally() tally {
	return tally{
		mu:        &sync.Mutex{},
		parts:     make(map[string]part),
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
		p := t.parts[name]
		p.ended++
		if inTime {
			p.inTime++
		}
		t.parts[name] = p
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

func (t *tally) chat(part string, r reply, right bool) {
	t.locked(func() {
		t.chats++
		switch {
		case r.answered() && right:
			t.chatsWhole++
		case r.answered():
			t.chatsWrong++
		case !r.notRun():
			t.chatsCut++
			if part == "stops" {
				t.stopCuts++
			}
		}
	})
}

// verdict is the comparison of the records.
type verdict struct {
	orders, twice, falseNotRun, notPlaced, crossed, cutByStops int
	unknown, unknownRan                                        int
}

// judge compares what callers were told with the counts of runs.
func (t *tally) judge(runs map[string]int) verdict {
	v := verdict{orders: len(t.orders), cutByStops: t.stopCuts}
	for _, o := range t.orders {
		n := runs[o.name]
		v.twice += one(n > 1)
		v.falseNotRun += one(n > 0 && !o.answered && !o.unknown)
		v.notPlaced += one(n == 0 && o.answered)
		v.crossed += one(o.crossed)
		v.cutByStops += one(o.cutByStop)
		v.unknown += one(o.unknown && !o.answered)
		v.unknownRan += one(o.unknown && !o.answered && n > 0)
	}
	return v
}

func one(b bool) int {
	if b {
		return 1
	}
	return 0
}

// usage is what the platform received of the windows.
type usage struct {
	windows, different int
	requests           int64
}

func (o *Outcomes) received() usage {
	var u usage
	type line struct{ id, account, model string }
	requests := make(map[line]int64)
	windows := make(map[string]bool)
	for _, text := range o.world.Platform.Record() {
		var l line
		var token uint64
		var n int64
		if strings.HasPrefix(text, "different-figures") {
			u.different++
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
	// reportWait bounds the wait for the last windows.
	reportWait  = 45 * time.Second
	reportPause = 100 * time.Millisecond
)

// awaitReports waits until the usage of all answers is reported, and returns
// how long that took.
func (o *Outcomes) awaitReports(ctx context.Context, least int64) time.Duration {
	began := o.Clock.Now()
	for o.Clock.Now().Sub(began) < reportWait && o.received().requests < least {
		if o.Clock.Sleep(ctx, reportPause) != nil {
			break
		}
	}
	return o.Clock.Now().Sub(began)
}

// report compares the records and prints the result.
func (o *Outcomes) report(ctx context.Context) error {
	runs := make(map[string]int)
	for _, s := range o.world.Services {
		for _, ord := range o.tally.orders {
			runs[ord.name] += s.Runs(ord.name)
		}
	}
	t := &o.tally
	v := t.judge(runs)
	answers, unsure := int64(t.chatsWhole+t.chatsWrong), int64(t.chatsCut)
	for _, ord := range t.orders {
		answers += int64(one(ord.answered))
		unsure += int64(one(ord.unknown && !ord.answered))
	}
	late := o.awaitReports(ctx, answers)
	u := o.received()
	p := func(format string, args ...any) { _, _ = fmt.Fprintf(o.Out, format+"\n", args...) }
	p("requests sent: %d orders, %d model requests; faults set: %s", v.orders, t.chats, describe(t.faults))
	p("orders run twice: %d", v.twice)
	p("said not run and ran: %d", v.falseNotRun)
	p("said placed and did not run: %d", v.notPlaced)
	p("cut or crossed passed as whole: %d", v.crossed+t.chatsWrong)
	p("cut by planned stops: %d", v.cutByStops)
	p("orders left unknown: %d, of which ran: %d; model answers cut and shown as cut: %d", v.unknown, v.unknownRan, t.chatsCut)
	for _, name := range []string{"calm", "faults", "stops"} {
		part := t.parts[name]
		p("answered in time, %s: %d of %d (%.2f%%)", name, part.inTime, part.ended, 100*float64(part.inTime)/float64(max(part.ended, 1)))
	}
	p("usage: %d answers seen whole and at most %d not; reported %d in %d windows, %d with different figures, %v after the load",
		answers, unsure, u.requests, u.windows, u.different, late.Round(100*time.Millisecond))
	p("usage lost: %d, reported beyond what can have been answered: %d", max(answers-u.requests, 0), max(u.requests-answers-unsure, 0))
	o.claimTime(p)
	if v.twice+v.falseNotRun+v.notPlaced+v.crossed+t.chatsWrong+v.cutByStops+u.different > 0 {
		return fmt.Errorf("a count that must be 0 is not")
	}
	return nil
}

// claimTime prints the latency of orders with and without a claim.
func (o *Outcomes) claimTime(p func(string, ...any)) {
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

func describe(counts map[string]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %d times", name, counts[name]))
	}
	return strings.Join(parts, ", ")
}

// samples are the times of calls of one kind.
type samples struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
	failed    int
}

func newSamples() *samples { return &samples{histogram: newHistogram()} }

// add takes the time of a call, which is negative if it failed.
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
