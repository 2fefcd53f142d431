package commander

import (
	"net/http"
	"slices"
	"strings"

	"github.com/julienschmidt/httprouter"

	"foxtailflow.example/foxtailflow/internal/config/applier"
	"foxtailflow.example/foxtailflow/internal/inner/messenger"
)

// nodeStatus is what this node knows of a node.
type nodeStatus struct {
	state messenger.State
	// silent marks a member of the roster that was never heard of.
	silent bool
	live   bool
	member bool
	fresh  bool
}

func (c Commander) status(*http.Request, httprouter.Params) (answer, error) {
	own := c.Nodes.Own()
	roster := c.Applier.Roster()
	add := func(nodes []nodeStatus, s messenger.State, live bool) []nodeStatus {
		return append(nodes, nodeStatus{
			state:  s,
			live:   live,
			member: roster.Has(s.Member()),
			fresh:  live && s.HasEvidence && s.EvidenceAge <= applier.FreshFor,
		})
	}
	nodes := add(nil, own, true)
	for _, s := range c.Nodes.Statements() {
		nodes = add(nodes, s, c.Nodes.Running(s))
	}
	for _, m := range roster.Members() {
		id := applier.NodeOf(m)
		if !slices.ContainsFunc(nodes, func(n nodeStatus) bool { return n.state.ID == id }) {
			nodes = append(nodes, nodeStatus{state: messenger.State{ID: id}, silent: true, member: true})
		}
	}
	slices.SortFunc(nodes, func(a, b nodeStatus) int { return strings.Compare(a.state.ID, b.state.ID) })
	return ok(encodeStatus(own, roster, nodes, c.Duties()))
}

func (c Commander) forgetNode(r *http.Request, ps httprouter.Params) (answer, error) {
	roster, err := c.Applier.Forget(r.Context(), ps.ByName("id"))
	if err != nil {
		return answer{}, err
	}
	c.Log.Warn().Str("lost", ps.ByName("id")).Uint64("roster", roster.Version()).Msg("node forgotten on an operator's word")
	return ok(encodeForgotten(roster))
}
