package provider

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"time"

	"foxtailflow.example/foxtailflow/internal/fleet/supplier"
	"foxtailflow.example/foxtailflow/internal/platform/encoder"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
	"foxtailflow.example/foxtailflow/internal/usage/biller"
)

// VMPrefix is the key prefix of the rows of VMs.
const VMPrefix = "vm/"

// SetVMs replaces the VMs; their rows change after VMRowLag.
func (m *Memory) SetVMs(vms []supplier.VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.setVMsLocked(vms)
}

func (m *Memory) setVMsLocked(vms []supplier.VM) {
	vms = slices.Clone(vms)
	m.vms = vms
	m.afterLocked(m.VMRowLag, func() { m.writeVMRowsLocked(vms) })
}

// writeVMRowsLocked writes the rows of VMs that have changed.
func (m *Memory) writeVMRowsLocked(vms []supplier.VM) {
	var writes []transactor.Write
	listed := make(map[string]bool)
	for _, v := range vms {
		key, value := VMPrefix+v.ID, encoder.EncodeVM(v)
		listed[key] = true
		if !bytes.Equal(m.rows[key].Value, value) {
			writes = append(writes, transactor.Write{Key: key, Value: value})
		}
	}
	for key := range m.rows {
		if strings.HasPrefix(key, VMPrefix) && !listed[key] {
			writes = append(writes, transactor.Write{Key: key, Delete: true})
		}
	}
	if len(writes) > 0 {
		m.writeLocked(writes)
	}
}

// CurrentVMs returns the current VMs, without the lag of their rows.
func (m *Memory) CurrentVMs() []supplier.VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.vms)
}

// Report accepts a usage report and records its figures.
func (m *Memory) Report(ctx context.Context, r biller.Report) error {
	if err := m.admit(ctx, opFleetWrite); err != nil {
		return err
	}
	if err := m.recordReport(r); err != nil {
		return err
	}
	return m.simulateLostResponse(ctx)
}

func (m *Memory) recordReport(r biller.Report) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, f := range r.Figures {
		m.recordLockedf("report id=%s fencing-token=%d client-account=%s model=%s requests=%d prompt-tokens=%d output-tokens=%d",
			r.ID, r.FencingToken, f.Account, f.Model, f.Requests, f.PromptTokens, f.OutputTokens)
	}
	if previous, ok := m.reports[r.ID]; ok && !slices.Equal(previous.Figures, r.Figures) {
		m.recordLockedf("different-figures id=%s", r.ID)
	}
	if m.reports == nil {
		m.reports = make(map[string]biller.Report)
	}
	m.reports[r.ID] = r
	return nil
}

// Reports returns the usage reports received, in no particular order.
func (m *Memory) Reports() []biller.Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	reports := make([]biller.Report, 0, len(m.reports))
	for _, r := range m.reports {
		reports = append(reports, r)
	}
	return reports
}

// weightsSize is the size in bytes of each named set of weights in the stand-in.
const weightsSize = 1 << 30

// Fetch takes the time to read a set of weights at the rate of the weight store,
// and returns its size in bytes.
//
// All fetches share the rate: each starts after all earlier ones have ended.
func (m *Memory) Fetch(ctx context.Context, name string) (int64, error) {
	if err := m.admit(ctx, opFleetRead); err != nil {
		return 0, err
	}
	m.mu.Lock()
	now := m.Clock.Now()
	wait := m.faults.WeightsDelay
	if m.WeightsRate > 0 {
		start := now
		if m.weightsFreeAt.After(now) {
			start = m.weightsFreeAt
		}
		m.weightsFreeAt = start.Add(time.Duration(float64(weightsSize) / float64(m.WeightsRate) * float64(time.Second)))
		wait += m.weightsFreeAt.Sub(now)
	}
	m.recordLockedf("fetch weights=%s wait=%v", name, wait)
	m.mu.Unlock()
	if err := m.Clock.Sleep(ctx, wait); err != nil {
		return 0, err
	}
	return weightsSize, nil
}
