package starter_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/jx"
	"github.com/rogpeppe/go-internal/testscript"

	"foxtailflow.example/foxtailflow/internal/platform/connector"
)

// cmdHolder waits until a duty has a holder other than the node in the variable
// and sets the variable to it: holder VARIABLE DUTY. It prints how long that
// took.
func cmdHolder(ts *testscript.TestScript, _ bool, args []string) {
	c := connector.Client{BaseURL: "http://127.0.0.1:" + ts.Getenv("PLATFORM")}
	start, before := time.Now(), ts.Getenv(args[0])
	for time.Since(start) < 30*time.Second {
		row, err := c.Get(context.Background(), "lease/"+args[1])
		if node, _, ok := strings.Cut(holderOf(row.Value), "."); err == nil && ok && node != before {
			ts.Setenv(args[0], node)
			ts.Logf("%s holds %s after %v", node, args[1], time.Since(start).Round(10*time.Millisecond))
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	ts.Fatalf("%s has no new holder", args[1])
}

func holderOf(data []byte) (holder string) {
	_ = jx.DecodeBytes(data).Obj(func(d *jx.Decoder, name string) (err error) {
		if name == "holder" {
			holder, err = d.Str()
			return err
		}
		return d.Skip()
	})
	return holder
}

// cmdJudge fails if an engine or the platform received a conflicting or stale
// order: judge URL... It prints the number of orders and of violations.
func cmdJudge(ts *testscript.TestScript, _ bool, args []string) {
	for _, url := range args {
		text, err := send([]string{"GET", url + "/lab/record"})
		ts.Check(err)
		orders, violations := findViolations(text)
		ts.Logf("%s: %d orders received, %d conflicting or stale", url, orders, len(violations))
		if len(violations) > 0 {
			ts.Fatalf("%s\n%s", strings.Join(violations, "\n"), text)
		}
	}
}

// findViolations counts the orders in a record and returns the lines that break
// a rule: fencing tokens do not decrease, an order takes effect once, and an
// order is not repeated after a different later one.
func findViolations(record string) (orders int, violations []string) {
	var seen, applied []string
	newest := 0
	for line := range strings.Lines(record) {
		var id string
		var token int
		switch {
		case strings.HasPrefix(line, "stale "):
			violations = append(violations, line)
		case strings.HasPrefix(line, "applied "):
			if slices.Contains(applied, line) {
				violations = append(violations, "twice: "+line)
			}
			applied = append(applied, line)
		case strings.HasPrefix(line, "order "):
			_, _ = fmt.Sscanf(line, "order id=%s fencing-token=%d", &id, &token)
			orders++
			if i := slices.Index(seen, id); i >= 0 && i != len(seen)-1 || token < newest {
				violations = append(violations, "late: "+line)
			}
			if !slices.Contains(seen, id) {
				seen = append(seen, id)
			}
			newest = max(newest, token)
		}
	}
	return orders, violations
}
