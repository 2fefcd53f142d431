package messenger

import (
	"math"
	"time"

	"foxtailflow.example/foxtailflow/internal/usage/counter"
)

// milliseconds rounds up, so that an age never arrives younger than it is.
func milliseconds(d time.Duration) uint32 {
	ms := (d + time.Millisecond - 1) / time.Millisecond
	return uint32(min(max(int64(ms), 0), math.MaxUint32))
}

func duration(ms uint32) time.Duration {
	return time.Duration(ms) * time.Millisecond
}

func encodeState(s State) *NodeState {
	m := &NodeState{
		Id:                    s.ID,
		PeersAddress:          s.PeersAddress,
		OperatorsAddress:      s.OperatorsAddress,
		DataCentre:            s.DataCentre,
		Incarnation:           s.Incarnation,
		Heartbeat:             s.Heartbeat,
		ConfigVersion:         s.ConfigVersion,
		EvidenceAgeMs:         milliseconds(s.EvidenceAge),
		HasEvidence:           s.HasEvidence,
		StoreUnreachable:      s.StoreUnreachable,
		StoreUnreachableAgeMs: milliseconds(s.StoreUnreachableAge),
		RosterVersion:         s.RosterVersion,
		Draining:              s.Draining,
		Left:                  s.Left,
		IdHash:                uint64(s.Hash),
		StatedAgeMs:           milliseconds(s.StatedAge),
	}
	for _, w := range s.Work {
		m.Work = append(m.Work, &WorkOfAccount{Account: w.Account, Done: w.Done, Waiting: w.Waiting, Running: w.Running})
	}
	return m
}

func decodeState(m *NodeState) State {
	s := State{
		ID:                  m.GetId(),
		PeersAddress:        m.GetPeersAddress(),
		OperatorsAddress:    m.GetOperatorsAddress(),
		DataCentre:          m.GetDataCentre(),
		Incarnation:         m.GetIncarnation(),
		Heartbeat:           m.GetHeartbeat(),
		ConfigVersion:       m.GetConfigVersion(),
		EvidenceAge:         duration(m.GetEvidenceAgeMs()),
		HasEvidence:         m.GetHasEvidence(),
		StoreUnreachable:    m.GetStoreUnreachable(),
		StoreUnreachableAge: duration(m.GetStoreUnreachableAgeMs()),
		RosterVersion:       m.GetRosterVersion(),
		Draining:            m.GetDraining(),
		Left:                m.GetLeft(),
		Hash:                Hash(m.GetIdHash()),
		StatedAge:           duration(m.GetStatedAgeMs()),
	}
	for _, w := range m.GetWork() {
		s.Work = append(s.Work, AccountWork{Account: w.GetAccount(), Done: w.GetDone(), Waiting: w.GetWaiting(), Running: w.GetRunning()})
	}
	return s
}

func encodeStates(states []State) []*NodeState {
	ms := make([]*NodeState, 0, len(states))
	for _, s := range states {
		ms = append(ms, encodeState(s))
	}
	return ms
}

func decodeStates(ms []*NodeState) []State {
	states := make([]State, 0, len(ms))
	for _, m := range ms {
		states = append(states, decodeState(m))
	}
	return states
}

func encodePull(p Pull) *PullRequest {
	m := &PullRequest{Empty: p.Empty}
	if p.Own != nil {
		m.Own = encodeState(*p.Own)
	}
	for _, k := range p.Known {
		m.Known = append(m.Known, &KnownNode{IdHash: uint64(k.Hash), Incarnation: k.Incarnation, Heartbeat: k.Heartbeat})
	}
	return m
}

func decodePull(m *PullRequest) Pull {
	p := Pull{Empty: m.GetEmpty()}
	if m.GetOwn() != nil {
		own := decodeState(m.GetOwn())
		p.Own = &own
	}
	for _, k := range m.GetKnown() {
		p.Known = append(p.Known, Known{Hash: Hash(k.GetIdHash()), Incarnation: k.GetIncarnation(), Heartbeat: k.GetHeartbeat()})
	}
	return p
}

func encodeRoster(r *Roster) *RosterMessage {
	if r == nil {
		return nil
	}
	return &RosterMessage{Version: r.Version, Floor: r.Floor, Members: r.Members, Added: r.Added, Removed: r.Removed, Forgotten: r.Forgotten}
}

func decodeRoster(m *RosterMessage) *Roster {
	if m == nil {
		return nil
	}
	return &Roster{Version: m.GetVersion(), Floor: m.GetFloor(), Members: m.GetMembers(), Added: m.GetAdded(), Removed: m.GetRemoved(), Forgotten: m.GetForgotten()}
}

func encodeChanges(changes []Change) []*ConfigChange {
	ms := make([]*ConfigChange, 0, len(changes))
	for _, c := range changes {
		ms = append(ms, &ConfigChange{Version: c.Version, File: c.File, Data: c.Data, Removed: c.Removed, Proposal: c.Proposal})
	}
	return ms
}

func decodeChanges(ms []*ConfigChange) []Change {
	changes := make([]Change, 0, len(ms))
	for _, m := range ms {
		changes = append(changes, Change{Version: m.GetVersion(), File: m.GetFile(), Data: m.GetData(), Removed: m.GetRemoved(), Proposal: m.GetProposal()})
	}
	return changes
}

func encodeUsage(u UsageCopy) *KeepUsageRequest {
	m := &KeepUsageRequest{Node: u.Node, Sequence: u.Sequence, Sealed: u.Sealed}
	for _, f := range u.Figures {
		m.Figures = append(m.Figures, &UsageFigures{
			Account:      f.Account,
			Model:        f.Model,
			Requests:     f.Requests,
			PromptTokens: f.PromptTokens,
			OutputTokens: f.OutputTokens,
		})
	}
	return m
}

func decodeUsage(m *KeepUsageRequest) UsageCopy {
	u := UsageCopy{Node: m.GetNode(), Sequence: m.GetSequence(), Sealed: m.GetSealed()}
	for _, f := range m.GetFigures() {
		u.Figures = append(u.Figures, counter.Figures{
			Account:      f.GetAccount(),
			Model:        f.GetModel(),
			Requests:     f.GetRequests(),
			PromptTokens: f.GetPromptTokens(),
			OutputTokens: f.GetOutputTokens(),
		})
	}
	return u
}
