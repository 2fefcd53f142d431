package provider

import (
	"context"
	"slices"
	"time"

	"foxtailflow.example/foxtailflow/internal/fleet/supplier"
	"foxtailflow.example/foxtailflow/internal/usage/counter"
)

// SetVMs replaces the VM list; List shows the change after the lag.
func (m *Memory) SetVMs(vms []supplier.VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.setVMsLocked(vms)
}

// setVMsLocked adds a listing and drops those that no List can show any more.
func (m *Memory) setVMsLocked(vms []supplier.VM) {
	now := m.Clock.Now()
	shown := 0
	for i, l := range m.vms {
		if now.Sub(l.at) >= m.Lag {
			shown = i
		}
	}
	m.vms = append(slices.Clone(m.vms[shown:]), listing{at: now, vms: slices.Clone(vms)})
}

// VMsNow returns the VM list without its lag.
func (m *Memory) VMsNow() []supplier.VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.vmsNowLocked())
}

func (m *Memory) vmsNowLocked() []supplier.VM {
	if len(m.vms) == 0 {
		return nil
	}
	return m.vms[len(m.vms)-1].vms
}

// List returns the newest VM list that is at least as old as the lag.
//
// Before any list is that old, it returns the first one.
func (m *Memory) List(ctx context.Context) ([]supplier.VM, time.Duration, error) {
	if err := m.admit(ctx, opList); err != nil {
		return nil, 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.vms) == 0 {
		return nil, m.Lag, nil
	}
	shown := m.vms[0]
	for _, l := range m.vms {
		if m.Clock.Now().Sub(l.at) >= m.Lag {
			shown = l
		}
	}
	return slices.Clone(shown.vms), m.Lag, nil
}

// Report takes a usage report and records its figures.
func (m *Memory) Report(ctx context.Context, r counter.UsageReport) error {
	if err := m.admit(ctx, opOrder); err != nil {
		return err
	}
	if err := m.takeReport(r); err != nil {
		return err
	}
	return m.answer(ctx)
}

func (m *Memory) takeReport(r counter.UsageReport) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, f := range r.Figures {
		m.note("report id=%s fencing-token=%d client-account=%s model=%s requests=%d prompt-tokens=%d output-tokens=%d",
			r.ID, r.FencingToken, f.Account, f.Model, f.Requests, f.PromptTokens, f.OutputTokens)
	}
	if old, ok := m.reports[r.ID]; ok && !slices.Equal(old.Figures, r.Figures) {
		m.note("different-figures id=%s", r.ID)
	}
	if m.reports == nil {
		m.reports = make(map[string]counter.UsageReport)
	}
	m.reports[r.ID] = r
	return nil
}

// Reports returns the usage reports received, in no order.
func (m *Memory) Reports() []counter.UsageReport {
	m.mu.Lock()
	defer m.mu.Unlock()
	reports := make([]counter.UsageReport, 0, len(m.reports))
	for _, r := range m.reports {
		reports = append(reports, r)
	}
	return reports
}

// Reported reports whether the window was received.
func (m *Memory) Reported(ctx context.Context, id string) (bool, error) {
	if err := m.admit(ctx, opList); err != nil {
		return false, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.reports[id]
	return ok, nil
}

// weightsSize is the size of each named set of weights in the stand-in.
const weightsSize = 1 << 30

// Fetch waits as long as the rate of the weight store makes it.
//
// All fetches share the rate: each is read after those that came before it.
func (m *Memory) Fetch(ctx context.Context, name string) (int64, error) {
	if err := m.admit(ctx, opList); err != nil {
		return 0, err
	}
	m.mu.Lock()
	now := m.Clock.Now()
	wait := m.faults.WeightsDelay
	if m.WeightsRate > 0 {
		begin := now
		if m.weightsFree.After(now) {
			begin = m.weightsFree
		}
		m.weightsFree = begin.Add(time.Duration(float64(weightsSize) / float64(m.WeightsRate) * float64(time.Second)))
		wait += m.weightsFree.Sub(now)
	}
	m.note("fetch weights=%s wait=%v", name, wait)
	m.mu.Unlock()
	if err := m.Clock.Sleep(ctx, wait); err != nil {
		return 0, err
	}
	return weightsSize, nil
}
