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

// cmdHolder waits until a duty has a holder whose lease is no older than the
// command, other than the one in the variable, and sets the variable to the
// node: holder VARIABLE DUTY. It prints how long that took.
func cmdHolder(ts *testscript.TestScript, _ bool, args []string) {
	c := connector.Client{BaseURL: "http://127.0.0.1:" + ts.Getenv("PLATFORM")}
	began, before := time.Now(), ts.Getenv(args[0])
	for time.Since(began) < 30*time.Second {
		row, err := c.Get(context.Background(), "lease/"+args[1])
		if node, _, ok := strings.Cut(holderOf(row.Value), "."); err == nil && ok && node != before {
			ts.Setenv(args[0], node)
			ts.Logf("%s holds %s after %v", node, args[1], time.Since(began).Round(10*time.Millisecond))
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
// order: judge URL... It prints the numbers.
func cmdJudge(ts *testscript.TestScript, _ bool, args []string) {
	for _, url := range args {
		text, err := send([]string{"GET", url + "/lab/record"})
		ts.Check(err)
		orders, faults := judge(text)
		ts.Logf("%s: %d orders received, %d conflicting or stale", url, orders, len(faults))
		if len(faults) > 0 {
			ts.Fatalf("%s\n%s", strings.Join(faults, "\n"), text)
		}
	}
}

// judge reads a record. A fencing token must not fall, an order must not take
// effect twice, and an order must not come after a different later one.
func judge(record string) (orders int, faults []string) {
	var seen, applied []string
	newest := 0
	for line := range strings.Lines(record) {
		var id string
		var token int
		switch {
		case strings.HasPrefix(line, "stale "):
			faults = append(faults, line)
		case strings.HasPrefix(line, "applied "):
			if slices.Contains(applied, line) {
				faults = append(faults, "twice: "+line)
			}
			applied = append(applied, line)
		case strings.HasPrefix(line, "order "):
			_, _ = fmt.Sscanf(line, "order id=%s fencing-token=%d", &id, &token)
			orders++
			if i := slices.Index(seen, id); i >= 0 && i != len(seen)-1 || token < newest {
				faults = append(faults, "late: "+line)
			}
			if !slices.Contains(seen, id) {
				seen = append(seen, id)
			}
			newest = max(newest, token)
		}
	}
	return orders, faults
}
