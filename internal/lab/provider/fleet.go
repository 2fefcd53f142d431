package provider

import (
	"context"
	"slices"
	"strings"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/platform/transactor"
)

// SetVMs replaces the VM list; List shows the change after the lag.
func (m *Memory) SetVMs(vms []transactor.VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.vms = append(m.vms, listing{at: m.Clock.Now(), vms: slices.Clone(vms)})
}

// VMsNow returns the VM list without its lag.
func (m *Memory) VMsNow() []transactor.VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.vms) == 0 {
		return nil
	}
	return slices.Clone(m.vms[len(m.vms)-1].vms)
}

// List returns the newest VM list that is at least as old as the lag.
//
// Before any list is that old, it returns the first one.
func (m *Memory) List(ctx context.Context) ([]transactor.VM, time.Duration, error) {
	if err := m.admit(ctx, opFleet); err != nil {
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

// Order takes an order for endpoints and records it.
func (m *Memory) Order(ctx context.Context, o transactor.EndpointOrder) error {
	if err := m.admit(ctx, opFleet); err != nil {
		return err
	}
	if err := m.takeOrder(o); err != nil {
		return err
	}
	return m.answer(ctx, opFleet)
}

func (m *Memory) takeOrder(o transactor.EndpointOrder) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.note("order id=%s fencing-token=%d deployment=%s data-centre=%s tier=%s add=%d withdraw=%s",
		o.ID, o.FencingToken, o.Deployment, o.DataCentre, o.Tier, o.Add, strings.Join(o.Withdraw, ","))
	if err := m.fence("order/"+o.Deployment, o.FencingToken); err != nil {
		return err
	}
	if m.orders == nil {
		m.orders = make(map[string]transactor.EndpointOrder)
	}
	m.orders[o.ID] = o
	return nil
}

// fence refuses a token older than the newest one seen for the subject.
func (m *Memory) fence(subject string, token uint64) error {
	if m.fencing == nil {
		m.fencing = make(map[string]uint64)
	}
	if token < m.fencing[subject] {
		m.note("stale subject=%s fencing-token=%d newest=%d", subject, token, m.fencing[subject])
		if m.RefuseStale {
			return coder.Refuse(coder.StaleFencing, "fencing token %d is older than %d", token, m.fencing[subject])
		}
		return nil
	}
	m.fencing[subject] = token
	return nil
}

// Ordered reports whether the order was received.
func (m *Memory) Ordered(ctx context.Context, id string) (bool, error) {
	if err := m.admit(ctx, opFleet); err != nil {
		return false, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.orders[id]
	return ok, nil
}

// Orders returns the orders received, in no order.
func (m *Memory) Orders() []transactor.EndpointOrder {
	m.mu.Lock()
	defer m.mu.Unlock()
	var os []transactor.EndpointOrder
	for _, o := range m.orders {
		os = append(os, o)
	}
	return os
}

// Report takes a usage report and records its figures.
func (m *Memory) Report(ctx context.Context, r transactor.UsageReport) error {
	if err := m.admit(ctx, opFleet); err != nil {
		return err
	}
	if err := m.takeReport(r); err != nil {
		return err
	}
	return m.answer(ctx, opFleet)
}

func (m *Memory) takeReport(r transactor.UsageReport) error {
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
		m.reports = make(map[string]transactor.UsageReport)
	}
	m.reports[r.ID] = r
	return nil
}

// Reported reports whether the window was received.
func (m *Memory) Reported(ctx context.Context, id string) (bool, error) {
	if err := m.admit(ctx, opFleet); err != nil {
		return false, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.reports[id]
	return ok, nil
}

// weightsSize is the size of each named set of weights in the stand-in.
const weightsSize = 1 << 30

// Fetch waits as long as the rate limit of the weight store makes it.
func (m *Memory) Fetch(ctx context.Context, _ string) (int64, error) {
	if err := m.admit(ctx, opFleet); err != nil {
		return 0, err
	}
	m.mu.Lock()
	d := m.faults.WeightsDelay
	m.mu.Unlock()
	return weightsSize, m.Clock.Sleep(ctx, d)
}
