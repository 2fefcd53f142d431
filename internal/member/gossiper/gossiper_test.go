package gossiper_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/inner/messenger"
	"foxtailflow.example/foxtailflow/internal/member/gossiper"
)

// TestSpread runs rounds of many nodes over a fake clock; the file says which
// failure each part guards against.
func TestSpread(t *testing.T) {
	n := &network{clock: timekeeper.NewFake(time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC))}
	datadriven.RunTest(t, "testdata/spread.txt", n.run)
}

type network struct {
	clock *timekeeper.Fake
	nodes []*gossiper.Gossiper
	down  []bool
	// most is the largest number of states in an answer, other than a first one.
	most atomic.Int64
}

// Pull answers in place of the node with the index that is the address.
func (n *network) Pull(_ context.Context, address string, p messenger.Pull) ([]messenger.State, error) {
	i := 0
	if _, err := fmt.Sscanf(address, "%d", &i); err != nil || n.down[i] {
		return nil, coder.New(coder.NodeNotReached, "down")
	}
	states := n.nodes[i].Answer(p)
	for size := int64(len(states)); !p.Empty; {
		most := n.most.Load()
		if size <= most || n.most.CompareAndSwap(most, size) {
			break
		}
	}
	return states, nil
}

// Forget forgets nothing.
func (*network) Forget(string) {}

func (n *network) add() {
	i := len(n.nodes)
	id := fmt.Sprintf("n%02d", i)
	n.nodes = append(n.nodes, &gossiper.Gossiper{
		Clock: n.clock, Transport: n, Seeds: []string{"0"},
		Self: messenger.State{ID: id, PeersAddress: fmt.Sprint(i), DataCentre: fmt.Sprintf("dc-%d", i%2), Incarnation: uint64(n.clock.Now().UnixMilli())},
		Fill: func(s messenger.State) messenger.State {
			for a := range 300 {
				s.Work = append(s.Work, messenger.AccountWork{Account: fmt.Sprint(a), Done: uint64(a)})
			}
			return s
		},
	})
	n.down = append(n.down, false)
}

func (n *network) run(t *testing.T, d *datadriven.TestData) string {
	i := 0
	switch d.Cmd {
	case "add":
		d.ScanArgs(t, "count", &i)
		for range i {
			n.add()
		}
	case "rounds":
		d.ScanArgs(t, "count", &i)
		for range i {
			n.clock.Advance(time.Second)
			for j, g := range n.nodes {
				if !n.down[j] {
					_ = g.Round(context.Background())
				}
			}
		}
	case "kill", "leave", "drain":
		d.ScanArgs(t, "node", &i)
		switch d.Cmd {
		case "drain":
			n.nodes[i].Drain()
		case "leave":
			n.nodes[i].Leave(context.Background())
			n.down[i] = true
		default:
			n.down[i] = true
		}
	case "rows":
		// As after a reading of the node rows.
		for _, g := range n.nodes {
			for j, other := range n.nodes {
				if other != g && !n.down[j] {
					g.Introduce(other.Self)
				}
			}
		}
	case "show":
		return n.show()
	case "restart":
		d.ScanArgs(t, "node", &i)
		last := len(n.nodes)
		n.add()
		n.nodes[last].Self.ID, n.nodes[last].Self.PeersAddress = n.nodes[i].Self.ID, fmt.Sprint(i)
		n.nodes[i], n.down[i] = n.nodes[last], false
		n.nodes, n.down = n.nodes[:last], n.down[:last]
	}
	return ""
}

// show sums up what the running nodes know.
func (n *network) show() string {
	least, greatest, draining, work, readers := len(n.nodes)+1, 0, 0, 0, 0
	for i, g := range n.nodes {
		if n.down[i] {
			continue
		}
		live := g.Live()
		least, greatest = min(least, len(live)), max(greatest, len(live))
		for _, m := range live {
			work = max(work, len(m.Work))
			if m.Draining {
				draining++
			}
		}
		if g.Reader() {
			readers++
		}
	}
	return fmt.Sprintf("live %d to %d, seen draining %d times, accounts %d, readers %d, states in an answer at most %d",
		least, greatest, draining, work, readers, n.most.Load())
}
