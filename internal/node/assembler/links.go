package assembler

import (
	"foxtailflow.example/foxtailflow/internal/decision/admitter"
	"foxtailflow.example/foxtailflow/internal/inner/messenger"
	"foxtailflow.example/foxtailflow/internal/member/gossiper"
)

// link connects the groups of parts that need each other, once all are built.
func (n *Node) link() {
	n.live = liveNodes{gossiper: n.membership.gossiper}
	n.queue.Peers = otherNodes{gossiper: n.membership.gossiper}
	n.membership.duties = n.heldDuties
	n.membership.work = n.accountWork
}

// liveNodes names the nodes that share the duties.
type liveNodes struct {
	gossiper *gossiper.Gossiper
}

// Live returns the running nodes that do not leave, and always this one.
func (l liveNodes) Live() []string {
	var names []string
	for _, m := range l.gossiper.Live() {
		if m.Self || !m.Draining {
			names = append(names, m.ID)
		}
	}
	return names
}

// otherNodes tells the admission what the other nodes do.
type otherNodes struct {
	gossiper *gossiper.Gossiper
}

// Elsewhere returns the number of nodes in service, with this one, and the
// work of each client account on the others.
func (o otherNodes) Elsewhere() (nodes int, work map[string]admitter.Elsewhere) {
	nodes, work = 1, make(map[string]admitter.Elsewhere)
	for _, s := range o.gossiper.Statements() {
		if !o.gossiper.Running(s) {
			continue
		}
		// A node that drains gets no new requests, but its running ones count.
		if !s.Draining {
			nodes++
		}
		for _, w := range s.Work {
			work[w.Account] = work[w.Account].Add(admitter.Elsewhere{
				Done:    float64(w.Done),
				Waiting: float64(w.Waiting),
				Running: int(w.Running),
			})
		}
	}
	return nodes, work
}

func (n *Node) heldDuties() []string {
	var duties []string
	for _, g := range n.leaser.Held() {
		duties = append(duties, g.Duty)
	}
	return duties
}

func (n *Node) accountWork() []messenger.AccountWork {
	var work []messenger.AccountWork
	for _, w := range n.queue.Work() {
		work = append(work, messenger.AccountWork{
			Account: w.Account,
			Done:    uint64(w.Done),
			Waiting: uint64(w.Waiting),
			Running: uint32(max(w.Running, 0)),
		})
	}
	return work
}
