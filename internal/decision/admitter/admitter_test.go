package admitter_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/decision/admitter"
)

var start = time.Unix(1000, 0)

// TestScripts guards against an account that gets more than its share by
// flooding, by low estimates or by pausing, and against requests that are
// admitted although they would miss their deadline.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		f := &admitter.FairQueue[string]{}
		var l admitter.Ledger
		var p admitter.Throughput
		a := definer.Account{Name: "baden", Share: 1}
		now := start
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			var wait float64
			td.MaybeScanArgs(t, "after", &wait)
			now = now.Add(time.Duration(wait * float64(time.Second)))
			switch td.Cmd {
			case "add":
				return addScript(t, td, f, now)
			case "next":
				return nextScript(t, td, f)
			case "expire":
				return fmt.Sprintln(names(f.Expire(now)), f.Len())
			case "charge":
				account, work, most := td.CmdArgs[0].Key, 0.0, 1e9
				td.ScanArgs(t, "work", &work)
				td.MaybeScanArgs(t, "most", &most)
				f.Charge(account, work, most)
				return ""
			case "ahead":
				share, priority := 1.0, 5
				td.MaybeScanArgs(t, "share", &share)
				td.MaybeScanArgs(t, "priority", &priority)
				return fmt.Sprintf("%.0f\n", f.WorkAhead(td.CmdArgs[0].Key, share, priority))
			case "account":
				a = definer.Account{Name: "baden", Share: 1}
				l = admitter.Ledger{}
				td.MaybeScanArgs(t, "max-concurrent", &a.MaxConcurrent)
				td.MaybeScanArgs(t, "requests-per-second", &a.RequestsPerSecond)
				td.MaybeScanArgs(t, "tokens-per-second", &a.TokensPerSecond)
				return ""
			case "elsewhere":
				var e admitter.RemoteLoad
				td.MaybeScanArgs(t, "done", &e.RecentWork)
				td.MaybeScanArgs(t, "running", &e.Requests)
				l = l.WithRemoteLoad(e)
				return ""
			case "admit":
				return admitScript(t, td, &l, a, now)
			case "pace":
				return throughputScript(t, td, &p, &now)
			}
			td.Fatalf(t, "unknown command %s", td.Cmd)
			return ""
		})
	})
}

// addScript adds the items of lines "NAME ACCOUNT WORK [share=N] [priority=N] [deadline=SECONDS] [times=N]".
func addScript(t *testing.T, td *datadriven.TestData, f *admitter.FairQueue[string], now time.Time) string {
	for line := range strings.Lines(td.Input) {
		words := strings.Fields(line)
		it := admitter.Item[string]{Account: words[1], Share: 1, Priority: 5, Deadline: now.Add(time.Hour)}
		_, _ = fmt.Sscan(words[2], &it.Work)
		times := 1
		for _, w := range words[3:] {
			key, value, _ := strings.Cut(w, "=")
			n := 0
			if _, err := fmt.Sscan(value, &n); err != nil {
				td.Fatalf(t, "%v", err)
			}
			switch key {
			case "share":
				it.Share = float64(n)
			case "priority":
				it.Priority = n
			case "deadline":
				it.Deadline = now.Add(time.Duration(n) * time.Second)
			case "times":
				times = n
			}
		}
		for i := range times {
			it.Value = words[0]
			if times > 1 {
				it.Value = fmt.Sprintf("%s%d", words[0], i+1)
			}
			f.Add(it)
		}
	}
	return fmt.Sprintf("%d queued, work %.0f, shares %.0f\n", f.Len(), f.Work(), f.Shares())
}

// nextScript removes items and shows their order, or the sum of work by account.
func nextScript(t *testing.T, td *datadriven.TestData, f *admitter.FairQueue[string]) string {
	count := 1
	td.MaybeScanArgs(t, "count", &count)
	sums := make(map[string]float64)
	var order []string
	for range count {
		it, ok := f.Next()
		if !ok {
			order = append(order, "-")
			continue
		}
		order = append(order, it.Value)
		sums[it.Account] += it.Work
	}
	if !td.HasArg("sums") {
		return strings.Join(order, " ") + "\n"
	}
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(sums)) {
		_, _ = fmt.Fprintf(&b, "%s %.0f\n", name, sums[name])
	}
	return b.String()
}

func names(items []admitter.Item[string]) (out []string) {
	for _, it := range items {
		out = append(out, it.Value)
	}
	return out
}

// admitScript requests several admissions and shows how many requests were
// admitted and the first refusal.
func admitScript(t *testing.T, td *datadriven.TestData, l *admitter.Ledger, a definer.Account, now time.Time) string {
	count, tokens, left := 1, 100.0, 60.0
	var waitFor, service float64
	in := admitter.Input{QueueLimit: 100, Share: 1, Nodes: 1}
	td.MaybeScanArgs(t, "count", &count)
	td.MaybeScanArgs(t, "tokens", &tokens)
	td.MaybeScanArgs(t, "left", &left)
	td.MaybeScanArgs(t, "wait", &waitFor)
	td.MaybeScanArgs(t, "service", &service)
	td.MaybeScanArgs(t, "waiting", &in.Queued)
	td.MaybeScanArgs(t, "share", &in.Share)
	td.MaybeScanArgs(t, "nodes", &in.Nodes)
	seconds := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	in.Now, in.Deadline, in.QueueingDelay, in.ServiceTime, in.Account = now, now.Add(seconds(left)), seconds(waitFor), seconds(service), a
	admitted, refusal := 0, ""
	for range count {
		*l = l.WithTime(now).WithLimits(now, a, in.Nodes)
		in.Ledger = *l
		f, refused := admitter.Decide(in)
		if refused {
			refusal = fmt.Sprintf("; %v, %s, retry after %v", f, f.Outcome(), f.RetryAfter().Round(time.Millisecond))
			break
		}
		admitted++
		*l = l.WithAdmitted(tokens, tokens)
		if td.HasArg("end") {
			*l = l.WithStarted(now, tokens).WithEnded(now, 0, 0, 0)
		}
	}
	return fmt.Sprintf("%d admitted%s\n", admitted, refusal)
}

// throughputScript ends requests at equal intervals and shows the measured values.
func throughputScript(t *testing.T, td *datadriven.TestData, p *admitter.Throughput, now *time.Time) string {
	count, work, every, service, output := 0, 100.0, 0.1, 1.0, 100.0
	td.ScanArgs(t, "count", &count)
	td.MaybeScanArgs(t, "work", &work)
	td.MaybeScanArgs(t, "every", &every)
	td.MaybeScanArgs(t, "output", &output)
	td.MaybeScanArgs(t, "service", &service)
	for range count {
		*now = now.Add(time.Duration(every * float64(time.Second)))
		*p = p.WithWorkDone(*now, work, !td.HasArg("slack")).WithServiceTime(output, time.Duration(service*float64(time.Second)), !td.HasArg("given-up"))
	}
	return fmt.Sprintf("rate %.0f, queueing delay behind 1000 %v, service %v\n", p.Rate(), p.QueueingDelay(1000).Round(time.Millisecond), p.ServiceTime(output).Round(time.Millisecond))
}
