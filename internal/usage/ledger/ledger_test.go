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

// TestScripts guards against requests that are counted twice or lost when
// nodes tell each other their counts: each command is a count, a message
// between two ledgers, or a loss of one.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		w := world{ledgers: make(map[string]*ledger.Ledger), sent: make(map[string]uint64)}
		datadriven.RunTest(t, path, w.do)
	})
}

// world has the ledgers of nodes; the first letter of a node's name is its data
// centre.
type world struct {
	ledgers map[string]*ledger.Ledger
	sent    map[string]uint64
}

func (w world) ledger(node string) *ledger.Ledger {
	l, ok := w.ledgers[node]
	if !ok {
		l = &ledger.Ledger{Self: node}
		w.ledgers[node] = l
	}
	return l
}

func (w world) do(t *testing.T, d *datadriven.TestData) string {
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
			w.ledger(arg(0)).Count(window(1), courier.Meter{Account: account.Key, Unit: courier.Requests}, 1)
		}
		return ""
	case "send":
		from, to := arg(0), arg(1)
		counts, revision := w.ledger(from).Since(w.sent[from+to], d.HasArg("own"))
		w.sent[from+to] = revision
		w.ledger(to).Merge(counts, from[0] == to[0])
		return fmt.Sprintf("%d rows\n", len(counts))
	case "restart":
		delete(w.ledgers, arg(0))
		for pair := range w.sent {
			if strings.HasPrefix(pair, arg(0)) {
				delete(w.sent, pair)
			}
		}
		return ""
	case "saved":
		w.ledger(arg(1)).Merge(w.ledger(arg(0)).Window(window(2)), false)
		return ""
	case "forget":
		w.ledger(arg(0)).Forget(window(1))
		return fmt.Sprintln(w.ledger(arg(0)).Windows())
	case "total":
		return fmt.Sprintln(requests(w.ledger(arg(0)).Total(window(1))))
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
