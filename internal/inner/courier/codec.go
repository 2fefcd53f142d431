package courier

import (
	"math"
	"time"

	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

// convertAll returns a slice with each element converted.
func convertAll[A, B any](as []A, convert func(A) B) []B {
	if len(as) == 0 {
		return nil
	}
	bs := make([]B, len(as))
	for i, a := range as {
		bs[i] = convert(a)
	}
	return bs
}

// toUint32 returns n limited to the range of uint32.
func toUint32(n int) uint32 { return uint32(min(max(n, 0), math.MaxUint32)) }

func milliseconds(d time.Duration) uint32 { return toUint32(int(d.Milliseconds())) }

func duration(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

func encodeNodeUpdate(u NodeUpdate) *StatementMessage {
	return &StatementMessage{
		Node:        u.Node,
		Incarnation: u.Incarnation,
		DataCentre:  u.DataCentre,
		Number:      u.Number,
		Hub:         u.Hub,
		Nodes:       toUint32(u.Nodes),
		Work:        encodeWork(u.Work),
		Beginnings:  convertAll(u.Prefixes, encodePrefixReport),
		Usage:       convertAll(u.Usage, encodeUsage),
		Crashes:     convertAll(u.Crashes, encodeCrash),
	}
}

func decodeNodeUpdate(m *StatementMessage) NodeUpdate {
	return NodeUpdate{
		Node:        m.GetNode(),
		Incarnation: m.GetIncarnation(),
		DataCentre:  m.GetDataCentre(),
		Number:      m.GetNumber(),
		Hub:         m.GetHub(),
		Nodes:       int(m.GetNodes()),
		Work:        decodeWork(m.GetWork()),
		Prefixes:    convertAll(m.GetBeginnings(), decodePrefixReport),
		Usage:       convertAll(m.GetUsage(), decodeUsage),
		Crashes:     convertAll(m.GetCrashes(), decodeCrash),
	}
}

func encodeSummary(s Summary) *SummaryMessage {
	m := &SummaryMessage{
		Number:     s.Number,
		Nodes:      toUint32(s.Nodes),
		Work:       encodeWork(s.Work),
		Beginnings: convertAll(s.Prefixes, encodePrefixReport),
		Crashes:    convertAll(s.Crashes, encodeCrash),
	}
	if s.ConfigFreshness.Age >= 0 {
		m.Evidence = &EvidenceMessage{Version: s.ConfigFreshness.Version, AgeMs: milliseconds(s.ConfigFreshness.Age)}
	}
	return m
}

func decodeSummary(m *SummaryMessage) Summary {
	s := Summary{
		Number:          m.GetNumber(),
		Nodes:           int(m.GetNodes()),
		Work:            decodeWork(m.GetWork()),
		Prefixes:        convertAll(m.GetBeginnings(), decodePrefixReport),
		Crashes:         convertAll(m.GetCrashes(), decodeCrash),
		ConfigFreshness: ConfigFreshness{Age: -1},
	}
	if e := m.GetEvidence(); e != nil {
		s.ConfigFreshness = ConfigFreshness{Version: e.GetVersion(), Age: duration(e.GetAgeMs())}
	}
	return s
}

func encodeWork(w Work) *WorkMessage {
	return &WorkMessage{
		Engines: convertAll(w.Engines, encodeEngine),
		Accounts: convertAll(w.Accounts, func(a AccountWork) *AccountMessage {
			return &AccountMessage{
				Account: a.Account, Done: uint64(max(a.DoneLastSecond, 0)), Waiting: uint64(max(a.Queued, 0)), Running: toUint32(a.Running),
				Admitted: float32(max(a.AdmittedRate, 0)), Active: toUint32(a.ActiveNodes),
			}
		}),
		Configs: convertAll(w.Configs, func(c ConfigNodes) *ConfigMessage {
			return &ConfigMessage{Version: c.Version, Nodes: toUint32(c.Nodes)}
		}),
		Away: toUint32(w.StoreUnavailable),
		Deployments: convertAll(w.Deployments, func(d DeploymentWork) *DeploymentMessage {
			return &DeploymentMessage{Deployment: d.Deployment, Offered: toUint32(d.Offered), Served: toUint32(d.Served)}
		}),
	}
}

func decodeWork(m *WorkMessage) Work {
	return Work{
		Engines: convertAll(m.GetEngines(), decodeEngine),
		Accounts: convertAll(m.GetAccounts(), func(a *AccountMessage) AccountWork {
			return AccountWork{
				Account: a.GetAccount(), DoneLastSecond: int(a.GetDone()), Queued: int(a.GetWaiting()), Running: int(a.GetRunning()),
				AdmittedRate: float64(a.GetAdmitted()), ActiveNodes: int(a.GetActive()),
			}
		}),
		Configs: convertAll(m.GetConfigs(), func(c *ConfigMessage) ConfigNodes {
			return ConfigNodes{Version: c.GetVersion(), Nodes: int(c.GetNodes())}
		}),
		StoreUnavailable: int(m.GetAway()),
		Deployments: convertAll(m.GetDeployments(), func(d *DeploymentMessage) DeploymentWork {
			return DeploymentWork{Deployment: d.GetDeployment(), Offered: int(d.GetOffered()), Served: int(d.GetServed())}
		}),
	}
}

func encodeEngine(e EngineWork) *EngineMessage {
	m := &EngineMessage{Engine: uint32(e.Engine), Reading: toUint32(e.PrefillTokens), Requests: toUint32(e.Requests), Changing: e.RoleChanging}
	if e.Limit.Told {
		age := milliseconds(e.Limit.Age)
		m.LimitAgeMs = &age
	}
	if e.Limit.Limited {
		m.PerSecond = &e.Limit.PerSecond
	}
	m.Prefilled, m.PrefillTime = toUint32((e.Speed.Tokens+speedTokens/2)/speedTokens), toUint32(int((e.Speed.Time+speedTime/2)/speedTime))
	if e.Slowdown.Factor > 0 {
		percent, age := toUint32(int(math.Round(e.Slowdown.Factor*100))), milliseconds(e.Slowdown.Age)
		m.Slowdown, m.SlowdownAgeMs = &percent, &age
	}
	return m
}

// The units in which measurements of engines are sent, rounded to the nearest: summed over many
// nodes, figures that are rounded down would make an engine look slower.
const (
	speedTokens = 1000
	speedTime   = 10 * time.Millisecond
)

func decodeEngine(m *EngineMessage) EngineWork {
	return EngineWork{
		Engine: EngineHash(m.GetEngine()), PrefillTokens: int(m.GetReading()), Requests: int(m.GetRequests()), RoleChanging: m.GetChanging(),
		Limit:    LimitReport{Told: m.LimitAgeMs != nil, Limited: m.PerSecond != nil, PerSecond: m.GetPerSecond(), Age: duration(m.GetLimitAgeMs())},
		Speed:    SpeedReport{Tokens: int(m.GetPrefilled()) * speedTokens, Time: time.Duration(m.GetPrefillTime()) * speedTime},
		Slowdown: SlowdownReport{Factor: float64(m.GetSlowdown()) / 100, Age: duration(m.GetSlowdownAgeMs())},
	}
}

func encodePrefixReport(b PrefixReport) *BeginningMessage {
	return &BeginningMessage{Engine: uint32(b.Engine), Keys: b.Keys, AgeMs: milliseconds(b.Age), Tokens: toUint32(b.Tokens / tokenUnit)}
}

func decodePrefixReport(m *BeginningMessage) PrefixReport {
	return PrefixReport{Engine: EngineHash(m.GetEngine()), Keys: m.GetKeys(), Age: duration(m.GetAgeMs()), Tokens: int(m.GetTokens()) * tokenUnit}
}

// tokenUnit is the unit in which the tokens of prefixes are sent.
const tokenUnit = 128

func encodeCrash(c CrashReport) *CrashMessage {
	return &CrashMessage{Endpoint: c.Endpoint, AgeMs: milliseconds(c.Age), Suspects: c.Suspects, Known: c.Known, Cleared: c.Cleared, Refuted: c.Refuted}
}

func decodeCrash(m *CrashMessage) CrashReport {
	return CrashReport{Endpoint: m.GetEndpoint(), Age: duration(m.GetAgeMs()), Suspects: m.GetSuspects(), Known: m.GetKnown(), Cleared: m.GetCleared(), Refuted: m.GetRefuted()}
}

func encodeUsage(u NodeUsage) *UsageMessage {
	return &UsageMessage{Node: u.Node, Window: u.Window, Counts: convertAll(u.Counts, func(c MeterCount) *CountMessage {
		return &CountMessage{Account: c.Meter.Account, Model: c.Meter.Model, Unit: string(c.Meter.Unit), Count: uint64(max(c.Count, 0))}
	})}
}

func decodeUsage(m *UsageMessage) NodeUsage {
	return NodeUsage{Node: m.GetNode(), Window: m.GetWindow(), Counts: convertAll(m.GetCounts(), func(c *CountMessage) MeterCount {
		return MeterCount{Meter: Meter{Account: c.GetAccount(), Model: c.GetModel(), Unit: Unit(c.GetUnit())}, Count: int(c.GetCount())}
	})}
}

func encodeContent(c TableContent) *ContentMessage {
	return &ContentMessage{
		Whole:   c.Complete,
		Version: uint64(c.Version),
		Changed: uint64(c.ChangedVersion),
		Rows: convertAll(c.Rows, func(r transactor.Row) *RowMessage {
			return &RowMessage{Key: r.Key, Value: r.Value, Version: uint64(r.Version), Deleted: r.Deleted}
		}),
		AgeMs:     milliseconds(c.Age),
		ResumedMs: milliseconds(c.SinceOutage),
		ElapsedMs: milliseconds(c.Elapsed),
	}
}

func decodeContent(m *ContentMessage) TableContent {
	return TableContent{
		Complete:       m.GetWhole(),
		Version:        transactor.Version(m.GetVersion()),
		ChangedVersion: transactor.Version(m.GetChanged()),
		Rows: convertAll(m.GetRows(), func(r *RowMessage) transactor.Row {
			return transactor.Row{Key: r.GetKey(), Value: r.GetValue(), Version: transactor.Version(r.GetVersion()), Deleted: r.GetDeleted()}
		}),
		Age:         duration(m.GetAgeMs()),
		SinceOutage: duration(m.GetResumedMs()),
		Elapsed:     duration(m.GetElapsedMs()),
	}
}
