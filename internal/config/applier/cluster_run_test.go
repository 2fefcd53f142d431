package applier_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"foxtailflow.example/foxtailflow/internal/lab/provider"
)

// run runs one command of a script.
func (c *cluster) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "start":
		for _, a := range d.CmdArgs {
			c.start(a.Key)
		}
	case "tick":
		c.tick(duration(t, d.CmdArgs[0].Key))
	case "pause", "resume":
		c.nodes[d.CmdArgs[0].Key].paused.Store(d.Cmd == "pause")
	case "kill":
		c.mu.Lock()
		delete(c.nodes, d.CmdArgs[0].Key)
		c.mu.Unlock()
	case "leave":
		n := c.nodes[d.CmdArgs[0].Key]
		c.drive(func() {
			ctx := context.Background()
			if err := errors.Join(n.applier.Leave(ctx), n.rows.Leave(ctx)); err != nil {
				t.Error(err)
			}
			n.gossip.Leave(ctx)
		})
		c.mu.Lock()
		delete(c.nodes, n.id)
		c.mu.Unlock()
	case "cut", "heal":
		c.mu.Lock()
		c.cut[d.CmdArgs[0].Key+" "+d.CmdArgs[1].Key] = d.Cmd == "cut"
		c.mu.Unlock()
	case "store":
		c.store.SetFaults(provider.Faults{TableDown: d.HasArg("down"), LoseAnswers: map[bool]float64{true: 1}[d.HasArg("lose-answers")]})
	case "put", "remove":
		return c.put(t, d)
	case "race":
		return c.race(t, d)
	case "forget":
		_, err := c.nodes[d.CmdArgs[0].Key].applier.Forget(context.Background(), d.CmdArgs[1].Key)
		return fmt.Sprintf("error: %v", err)
	case "await":
		return c.await(t, d)
	case "show":
		return c.show()
	case "rows":
		return c.rowsWith(t, d.CmdArgs[0].Key)
	case "key":
		return c.key(d.CmdArgs[0].Key)
	default:
		d.Fatalf(t, "there is no command %s", d.Cmd)
	}
	return ""
}

func duration(t *testing.T, text string) time.Duration {
	v, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// put proposes a change: put NODE FILE seen=N [count=N] [lost-for=D]; count
// repeats it.
//
// The answer says whether it came at once, or only after the nodes that were
// not reached had lost their evidence.
func (c *cluster) put(t *testing.T, d *datadriven.TestData) string {
	seen, count := 0, 1
	d.ScanArgs(t, "seen", &seen)
	d.MaybeScanArgs(t, "count", &count)
	lostFor := ""
	d.MaybeScanArgs(t, "lost-for", &lostFor)
	if lostFor != "" {
		c.store.SetFaults(provider.Faults{LoseAnswers: 1})
		timer := c.clock.AfterFunc(duration(t, lostFor), func() { c.store.SetFaults(provider.Faults{}) })
		defer timer.Stop()
	}
	result := ""
	took := c.drive(func() {
		for range count {
			result = c.propose(d.CmdArgs[0].Key, d.CmdArgs[1].Key, d.Input, uint64(seen))
			_, _ = fmt.Sscanf(result, "version %d", &seen)
		}
	})
	switch {
	case !strings.HasPrefix(result, "version") || count > 1 || lostFor != "":
		return result
	case took < 3*time.Second:
		return result + ", at once"
	case took < 9*time.Second:
		return result + ", within 9 s"
	}
	return result + fmt.Sprintf(", after %v", took)
}

// race proposes changes of one file from several nodes at the same moment.
func (c *cluster) race(t *testing.T, d *datadriven.TestData) string {
	seen := 0
	d.ScanArgs(t, "seen", &seen)
	var mu sync.Mutex
	var results []string
	c.drive(func() {
		var wg sync.WaitGroup
		for _, a := range d.CmdArgs[2:] {
			wg.Go(func() {
				result := c.propose(a.Key, d.CmdArgs[0].Key, d.Input, uint64(seen))
				mu.Lock()
				defer mu.Unlock()
				results = append(results, result)
			})
		}
		wg.Wait()
	})
	slices.Sort(results)
	return strings.Join(results, "\n")
}

// await moves the clock until the line of every node has the text, for at most a
// time; $ stands for the end of the line.
func (c *cluster) await(t *testing.T, d *datadriven.TestData) string {
	for end := c.clock.Now().Add(duration(t, d.CmdArgs[0].Key)); c.clock.Now().Before(end); {
		lines := strings.Split(strings.TrimSpace(c.show()), "\n")
		if !slices.ContainsFunc(lines, func(l string) bool { return !strings.Contains(l+"$", strings.TrimSpace(d.Input)) }) {
			return "as awaited"
		}
		c.tick(100 * time.Millisecond)
	}
	return c.show()
}

func (c *cluster) rowsWith(t *testing.T, prefix string) string {
	rows, err := c.store.Scan(context.Background(), prefix, "", 0)
	if err != nil {
		t.Fatal(err)
	}
	names, err := c.store.Store().List(context.Background(), prefix)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("%d rows, objects %v", len(rows), names)
}

// key says what a node would do with a request with the key k.
func (c *cluster) key(id string) string {
	n := c.nodes[id]
	cfg, err := n.applier.Config()
	if err != nil {
		return err.Error()
	}
	if err := n.applier.Current(); err != nil {
		return err.Error()
	}
	_, ok := cfg.Key("k")
	return fmt.Sprintf("version %d, key known %t", cfg.Version(), ok)
}
