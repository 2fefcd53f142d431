package composer

import (
	"slices"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/roundtripper"
	"foxtailflow.example/foxtailflow/internal/fleet/excluder"
	"foxtailflow.example/foxtailflow/internal/fleet/pacer"
	"foxtailflow.example/foxtailflow/internal/fleet/verifier"
)

// buildGates builds what holds back requests to endpoints: by the list, if they leave or the
// list is too old to tell, and by what they say of their limits, that they leave, and for
// how long they want none.
func (n *Node) buildGates() {
	n.verifier = &verifier.Verifier{
		Endpoint: n.observer.Table.Get,
		List:     n.freshness(&n.appliedList, n.settings.EndpointNotice, coder.ListOutdated),
	}
	n.pacer = &pacer.Pacer{
		Clock: n.clock, Log: n.log, Node: n.settings.ID, Nodes: n.nodeNames, Decode: n.ports.DecodeRateLimit,
		EndpointAt: n.observer.IDAt, OnLimit: n.observer.SetLimit,
	}
	n.excluder = &excluder.Excluder{
		Clock: n.clock, Log: n.log, Decode: n.ports.DecodeAnnouncement, OnMark: n.markEndpoint,
		Listed: func(endpoint string) bool { _, ok := n.observer.Table.Get(endpoint); return ok },
	}
	gates := roundtripper.Gates{n.verifier}
	if n.ports.DecodeAnnouncement != nil {
		gates = append(gates, n.excluder)
	}
	if n.ports.DecodeRateLimit != nil {
		// Last, since it counts what it admits.
		gates = append(gates, n.pacer)
	}
	n.ports.EndpointTransport.Gate = gates
}

// markEndpoint records in the endpoint table what an endpoint has said.
func (n *Node) markEndpoint(endpoint string, m excluder.Mark) {
	if m.Leaving {
		n.observer.SetAnnounced(endpoint)
	}
	n.observer.SetPauseRequested(endpoint, m.PausedUntil)
}

// nodeNames returns the names of all nodes that may send requests: those with rows, and
// this one.
func (n *Node) nodeNames() []string {
	names := []string{n.settings.ID}
	for _, node := range n.members.registrar.Nodes() {
		names = append(names, node.ID)
	}
	slices.Sort(names)
	return slices.Compact(names)
}
