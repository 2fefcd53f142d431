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

// cmdFinish waits until the answer of a request in the background has a text a
// number of times: finish FILE TEXT [COUNT].
func cmdFinish(ts *testscript.TestScript, _ bool, args []string) {
	least := 1
	if len(args) > 2 {
		n, err := strconv.Atoi(args[2])
		ts.Check(err)
		least = n
	}
	var data []byte
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		data, _ = os.ReadFile(ts.MkAbs(args[0]))
		if strings.Count(string(data), args[1]) >= least {
			return
		}
	}
	ts.Fatalf("not %d times %q in %s", least, args[1], data)
}

// cmdStream sends a request in the background and writes the answer to a file
// as it comes: stream FILE URL BODY-FILE.
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

// cmdServing waits until one of two engines has a request and sets variables to
// its name and to the port of the other: serving NAME PORT.
func cmdServing(ts *testscript.TestScript, _ bool, args []string) {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for i, other := range []string{"ENGINE2", "ENGINE1"} {
			state, err := send([]string{"GET", fmt.Sprintf("http://127.0.0.1:%s/engine/state", ts.Getenv(fmt.Sprintf("ENGINE%d", i+1)))})
			if err == nil && strings.Contains(state, `"in-flight":1`) {
				ts.Setenv(args[0], fmt.Sprintf("engine%d", i+1))
				ts.Setenv(args[1], ts.Getenv(other))
				return
			}
		}
	}
	ts.Fatalf("no engine has a request")
}

var contents = regexp.MustCompile(`"delta":\{"role":"assistant","content":"[^"]*"`)

// cmdSameText checks that two streams have the same text: same-text FILE FILE.
func cmdSameText(ts *testscript.TestScript, _ bool, args []string) {
	a := contents.FindAllString(ts.ReadFile(args[0]), -1)
	b := contents.FindAllString(ts.ReadFile(args[1]), -1)
	if len(a) == 0 || !slices.Equal(a, b) {
		ts.Fatalf("the texts differ:\n%v\n%v", a, b)
	}
}

// cmdReported waits until the reports that the platform received sum up to a
// number of requests, at least or exactly: reported DURATION LEAST MOST. No
// window may have two sets of figures, nor may more be reported.
func cmdReported(ts *testscript.TestScript, _ bool, args []string) {
	limit, err := time.ParseDuration(args[0])
	ts.Check(err)
	least, err := strconv.ParseInt(args[1], 10, 64)
	ts.Check(err)
	most, err := strconv.ParseInt(args[2], 10, 64)
	ts.Check(err)
	began, sum := time.Now(), int64(0)
	for time.Since(began) < limit {
		record, err := send([]string{"GET", "http://127.0.0.1:" + ts.Getenv("PLATFORM") + "/lab/record"})
		ts.Check(err)
		if strings.Contains(record, "different-figures") {
			ts.Fatalf("a window has two sets of figures:\n%s", record)
		}
		if sum = reportedRequests(record); sum > most {
			ts.Fatalf("%d requests are reported, not %d:\n%s", sum, most, record)
		}
		if sum >= least {
			ts.Logf("%d requests reported after %v", sum, time.Since(began).Round(100*time.Millisecond))
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	ts.Fatalf("%d requests are reported within %v, not %d", sum, limit, least)
}

// reportedRequests adds up the requests of the windows in a platform's record.
func reportedRequests(record string) (sum int64) {
	type line struct{ id, account, model string }
	requests := make(map[line]int64)
	for text := range strings.Lines(record) {
		var l line
		var token uint64
		var n int64
		if found, _ := fmt.Sscanf(text, "report id=%s fencing-token=%d client-account=%s model=%s requests=%d", &l.id, &token, &l.account, &l.model, &n); found == 5 {
			requests[l] = n
		}
	}
	for _, n := range requests {
		sum += n
	}
	return sum
}
