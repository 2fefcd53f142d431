package provider

import (
	"context"
	"slices"
	"strings"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/fleet/supplier"
)

// Order accepts an order for endpoints, which are delivered after OrderDelay.
//
// A repeated identifier has no second effect. PlatformRefused: the tier is
// currently not available.
func (m *Memory) Order(ctx context.Context, o supplier.EndpointOrder) error {
	if err := m.admit(ctx, opFleetWrite); err != nil {
		return err
	}
	if err := m.acceptOrder(o); err != nil {
		return err
	}
	return m.simulateLostResponse(ctx)
}

func (m *Memory) acceptOrder(o supplier.EndpointOrder) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordLockedf("order id=%s fencing-token=%d deployment=%s data-centre=%s tier=%s add=%d withdraw=%s",
		o.ID, o.FencingToken, o.Deployment, o.DataCentre, o.Tier, o.Add, strings.Join(o.Withdraw, ","))
	if err := m.checkFencingLocked("order/"+o.Deployment, o.FencingToken); err != nil {
		return err
	}
	if previous, ok := m.orders[o.ID]; ok {
		if !sameOrder(previous, o) {
			m.recordLockedf("different-order id=%s", o.ID)
		}
		return nil
	}
	if o.Add > 0 && m.faults.unavailable(o.Tier, o.DataCentre) {
		m.recordLockedf("unavailable id=%s tier=%s data-centre=%s", o.ID, o.Tier, o.DataCentre)
		return coder.Refuse(coder.PlatformRefused, "the tier %s is not available in %s", o.Tier, o.DataCentre)
	}
	if m.orders == nil {
		m.orders = make(map[string]supplier.EndpointOrder)
	}
	m.orders[o.ID] = o
	m.withdrawLocked(o.Withdraw)
	if o.Add > 0 {
		m.afterLocked(m.OrderDelay, func() { m.deliverLocked(o) })
	}
	return nil
}

// sameOrder reports whether two orders request the same endpoints. The fencing
// token is not compared: it rises when a new holder repeats an order.
func sameOrder(a, b supplier.EndpointOrder) bool {
	return a.Deployment == b.Deployment && a.DataCentre == b.DataCentre && a.Tier == b.Tier &&
		a.Add == b.Add && slices.Equal(a.Withdraw, b.Withdraw)
}

// afterLocked runs f under the lock after d, or immediately for 0.
func (m *Memory) afterLocked(d time.Duration, f func()) {
	if d <= 0 {
		f()
		return
	}
	m.Clock.AfterFunc(d, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		f()
	})
}

// deliverLocked lists ordered endpoints. They come from SpareVMs, which are
// stand-ins that already run: the platform starts no process.
func (m *Memory) deliverLocked(o supplier.EndpointOrder) {
	vms := slices.Clone(m.vms)
	delivered := 0
	m.SpareVMs = slices.DeleteFunc(m.SpareVMs, func(v supplier.VM) bool {
		fits := v.Deployment == o.Deployment && v.DataCentre == o.DataCentre && v.Tier == o.Tier
		if !fits || delivered == o.Add {
			return false
		}
		delivered++
		v.State = supplier.Live
		vms = append(vms, v)
		return true
	})
	m.recordLockedf("delivered id=%s count=%d of=%d", o.ID, delivered, o.Add)
	m.setVMsLocked(vms)
}

// withdrawLocked lists VMs as leaving, and removes them after NoticePeriod.
func (m *Memory) withdrawLocked(ids []string) {
	if len(ids) == 0 {
		return
	}
	vms := slices.Clone(m.vms)
	for i, v := range vms {
		if slices.Contains(ids, v.ID) {
			vms[i].State = supplier.Leaving
		}
	}
	m.setVMsLocked(vms)
	m.afterLocked(m.NoticePeriod, func() { m.delistLocked(ids) })
}

// delistLocked removes VMs from the list and returns them to SpareVMs.
func (m *Memory) delistLocked(ids []string) {
	var remaining []supplier.VM
	for _, v := range m.vms {
		if slices.Contains(ids, v.ID) {
			m.SpareVMs = append(m.SpareVMs, v)
			m.recordLockedf("dropped vm=%s", v.ID)
			continue
		}
		remaining = append(remaining, v)
	}
	m.setVMsLocked(remaining)
}

// Reclaim withdraws every live VM of a tier in a data centre, as the platform
// does with its cheaper tier, and returns their number.
func (m *Memory) Reclaim(tier definer.Tier, dataCentre string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	var ids []string
	for _, v := range m.vms {
		if v.Tier == tier && v.DataCentre == dataCentre && v.State == supplier.Live {
			ids = append(ids, v.ID)
		}
	}
	m.recordLockedf("reclaim tier=%s data-centre=%s count=%d", tier, dataCentre, len(ids))
	m.withdrawLocked(ids)
	return len(ids)
}

// checkFencingLocked records a token older than the newest one of the subject,
// and refuses it if RefuseStale is set.
func (m *Memory) checkFencingLocked(subject string, token uint64) error {
	if m.fencingTokens == nil {
		m.fencingTokens = make(map[string]uint64)
	}
	if token < m.fencingTokens[subject] {
		m.recordLockedf("stale subject=%s fencing-token=%d newest=%d", subject, token, m.fencingTokens[subject])
		if m.RefuseStale {
			return coder.Refuse(coder.StaleFencing, "fencing token %d is older than %d", token, m.fencingTokens[subject])
		}
		return nil
	}
	m.fencingTokens[subject] = token
	return nil
}

// Received reports whether the order was received.
func (m *Memory) Received(ctx context.Context, id string) (bool, error) {
	if err := m.admit(ctx, opFleetRead); err != nil {
		return false, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.orders[id]
	return ok, nil
}

// Orders returns the orders received, in no particular order.
func (m *Memory) Orders() []supplier.EndpointOrder {
	m.mu.Lock()
	defer m.mu.Unlock()
	var orders []supplier.EndpointOrder
	for _, o := range m.orders {
		orders = append(orders, o)
	}
	return orders
}
