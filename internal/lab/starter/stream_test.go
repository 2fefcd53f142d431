package starter_test

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// cmdFinish waits until the response to a background request contains a text at
// least COUNT times, by default once: finish FILE TEXT [COUNT].
func cmdFinish(ts *testscript.TestScript, _ bool, args []string) {
	minimum := 1
	if len(args) > 2 {
		n, err := strconv.Atoi(args[2])
		ts.Check(err)
		minimum = n
	}
	var data []byte
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		data, _ = os.ReadFile(ts.MkAbs(args[0]))
		if strings.Count(string(data), args[1]) >= minimum {
			return
		}
	}
	ts.Fatalf("fewer than %d times %q in %s", minimum, args[1], data)
}

// cmdStream sends a request in the background and writes the response to a file
// as it arrives: stream FILE URL BODY-FILE. A failure adds a line "cut: ERROR".
func cmdStream(ts *testscript.TestScript, _ bool, args []string) {
	f, err := os.Create(ts.MkAbs(args[0]))
	ts.Check(err)
	req, err := http.NewRequest(http.MethodPost, args[1], strings.NewReader(ts.ReadFile(args[2])))
	ts.Check(err)
	req.Header.Set("Authorization", "Bearer caller")
	client := sender{}.client()
	done := make(chan struct{})
	go func() {
		defer close(done)
		resp, err := client.Do(req)
		if err == nil {
			_, err = io.Copy(f, resp.Body)
			_ = resp.Body.Close()
		}
		if err != nil {
			_, _ = fmt.Fprintf(f, "cut: %v\n", err)
		}
		_ = f.Close()
	}()
	ts.Defer(func() { <-done })
}

// cmdServing waits until one of two engines has a request in flight and sets
// variables to its name and to the port of the other: serving NAME PORT.
func cmdServing(ts *testscript.TestScript, _ bool, args []string) {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for i, other := range []string{"ENGINE2", "ENGINE1"} {
			state, err := send([]string{"GET", fmt.Sprintf("http://127.0.0.1:%s/engine/state", ts.Getenv(fmt.Sprintf("ENGINE%d", i+1)))})
			if err == nil && inFlightPattern.MatchString(state) {
				ts.Setenv(args[0], fmt.Sprintf("engine%d", i+1))
				ts.Setenv(args[1], ts.Getenv(other))
				return
			}
		}
	}
	ts.Fatalf("no engine has a request in flight")
}

var contentPattern = regexp.MustCompile(`"delta":\{"role":"assistant","content":"[^"]*"`)

// inFlightPattern matches the state of an engine with one request.
var inFlightPattern = regexp.MustCompile(`"in-flight":1\b`)

// cmdSameText checks that two streams have the same text: same-text FILE FILE.
func cmdSameText(ts *testscript.TestScript, _ bool, args []string) {
	a := contentPattern.FindAllString(ts.ReadFile(args[0]), -1)
	b := contentPattern.FindAllString(ts.ReadFile(args[1]), -1)
	if len(a) == 0 || !slices.Equal(a, b) {
		ts.Fatalf("the texts differ:\n%v\n%v", a, b)
	}
}

// cmdReported waits until the platform has received reports of at least LEAST
// requests in total: reported DURATION LEAST MOST. It fails if more than MOST
// are reported or if a window is reported with different counts.
func cmdReported(ts *testscript.TestScript, _ bool, args []string) {
	limit, err := time.ParseDuration(args[0])
	ts.Check(err)
	minimum, err := strconv.ParseInt(args[1], 10, 64)
	ts.Check(err)
	maximum, err := strconv.ParseInt(args[2], 10, 64)
	ts.Check(err)
	start, sum := time.Now(), int64(0)
	for time.Since(start) < limit {
		record, err := send([]string{"GET", "http://127.0.0.1:" + ts.Getenv("PLATFORM") + "/lab/record"})
		ts.Check(err)
		if strings.Contains(record, "different-figures") {
			ts.Fatalf("a window was reported with different counts:\n%s", record)
		}
		if sum = reportedRequests(record); sum > maximum {
			ts.Fatalf("%d requests are reported, more than %d:\n%s", sum, maximum, record)
		}
		if sum >= minimum {
			ts.Logf("%d requests reported after %v", sum, time.Since(start).Round(100*time.Millisecond))
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	ts.Fatalf("%d requests are reported within %v, fewer than %d", sum, limit, minimum)
}

// reportedRequests adds up the requests of the windows in a platform's record.
func reportedRequests(record string) (sum int64) {
	type usageKey struct{ id, account, model string }
	requests := make(map[usageKey]int64)
	for text := range strings.Lines(record) {
		var key usageKey
		var token uint64
		var n int64
		if scanned, _ := fmt.Sscanf(text, "report id=%s fencing-token=%d client-account=%s model=%s requests=%d", &key.id, &token, &key.account, &key.model, &n); scanned == 5 {
			requests[key] = n
		}
	}
	for _, n := range requests {
		sum += n
	}
	return sum
}
