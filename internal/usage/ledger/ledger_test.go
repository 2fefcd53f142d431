package ledger_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"foxtailflow.example/foxtailflow/internal/inner/courier"
	"foxtailflow.example/foxtailflow/internal/usage/ledger"
)

// TestScripts guards against requests that are counted twice or lost when nodes
// exchange their counts. Each command is a count, a message between two ledgers,
// or the loss of one.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		c := cluster{ledgers: make(map[string]*ledger.Ledger), sentRevision: make(map[string]uint64)}
		datadriven.RunTest(t, path, c.run)
	})
}

// cluster has the ledgers of nodes; the first letter of a node's name is its data
// centre.
type cluster struct {
	ledgers      map[string]*ledger.Ledger
	sentRevision map[string]uint64
}

func (c cluster) ledger(node string) *ledger.Ledger {
	l, ok := c.ledgers[node]
	if !ok {
		l = &ledger.Ledger{Self: node}
		c.ledgers[node] = l
	}
	return l
}

func (c cluster) run(t *testing.T, d *datadriven.TestData) string {
	arg := func(i int) string { return d.CmdArgs[i].Key }
	window := func(i int) int64 {
		n, err := strconv.ParseInt(arg(i), 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
	switch d.Cmd {
	case "count":
		for _, account := range d.CmdArgs[2:] {
			c.ledger(arg(0)).Count(window(1), courier.Meter{Account: account.Key, Unit: courier.Requests}, 1)
		}
		return ""
	case "send":
		from, to := arg(0), arg(1)
		counts, revision := c.ledger(from).ChangedSince(c.sentRevision[from+to], d.HasArg("own"))
		c.sentRevision[from+to] = revision
		c.ledger(to).Merge(counts, from[0] == to[0])
		return fmt.Sprintf("%d rows\n", len(counts))
	case "restart":
		delete(c.ledgers, arg(0))
		for pair := range c.sentRevision {
			if strings.HasPrefix(pair, arg(0)) {
				delete(c.sentRevision, pair)
			}
		}
		return ""
	case "saved":
		c.ledger(arg(1)).Merge(c.ledger(arg(0)).Window(window(2)), false)
		return ""
	case "forget":
		c.ledger(arg(0)).DropBefore(window(1))
		return fmt.Sprintln(c.ledger(arg(0)).Windows())
	case "total":
		return fmt.Sprintln(requests(c.ledger(arg(0)).Total(window(1))))
	}
	t.Fatalf("unknown command %s", d.Cmd)
	return ""
}

// requests returns the requests of each client account.
func requests(counts map[courier.Meter]int) map[string]int {
	by := make(map[string]int)
	for m, n := range counts {
		by[m.Account] = n
	}
	return by
}
