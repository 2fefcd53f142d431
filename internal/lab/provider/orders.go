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

// Order takes an order for endpoints, which takes effect after the delay.
//
// A repeated identifier has no second effect. PlatformRefused: the tier is not
// available at present.
func (m *Memory) Order(ctx context.Context, o supplier.EndpointOrder) error {
	if err := m.admit(ctx, opOrder); err != nil {
		return err
	}
	if err := m.takeOrder(o); err != nil {
		return err
	}
	return m.answer(ctx)
}

func (m *Memory) takeOrder(o supplier.EndpointOrder) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.note("order id=%s fencing-token=%d deployment=%s data-centre=%s tier=%s add=%d withdraw=%s",
		o.ID, o.FencingToken, o.Deployment, o.DataCentre, o.Tier, o.Add, strings.Join(o.Withdraw, ","))
	if err := m.fence("order/"+o.Deployment, o.FencingToken); err != nil {
		return err
	}
	if old, ok := m.orders[o.ID]; ok {
		if !sameOrder(old, o) {
			m.note("different-order id=%s", o.ID)
		}
		return nil
	}
	if o.Add > 0 && m.faults.unavailable(o.Tier, o.DataCentre) {
		m.note("unavailable id=%s tier=%s data-centre=%s", o.ID, o.Tier, o.DataCentre)
		return coder.Refuse(coder.PlatformRefused, "the tier %s is not available in %s", o.Tier, o.DataCentre)
	}
	if m.orders == nil {
		m.orders = make(map[string]supplier.EndpointOrder)
	}
	m.orders[o.ID] = o
	m.withdrawLocked(o.Withdraw)
	if o.Add > 0 {
		m.laterLocked(m.OrderDelay, func() { m.deliverLocked(o) })
	}
	return nil
}

// sameOrder reports whether two orders ask for the same; the fencing token
// rises when a new holder repeats an order.
func sameOrder(a, b supplier.EndpointOrder) bool {
	return a.Deployment == b.Deployment && a.DataCentre == b.DataCentre && a.Tier == b.Tier &&
		a.Add == b.Add && slices.Equal(a.Withdraw, b.Withdraw)
}

// laterLocked runs f under the lock after d, at once for 0.
func (m *Memory) laterLocked(d time.Duration, f func()) {
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

// deliverLocked lists ordered endpoints. They are taken from the spares, which
// are stand-ins that run already: the platform starts no process.
func (m *Memory) deliverLocked(o supplier.EndpointOrder) {
	vms := slices.Clone(m.vms)
	delivered := 0
	m.Spares = slices.DeleteFunc(m.Spares, func(v supplier.VM) bool {
		fits := v.Deployment == o.Deployment && v.DataCentre == o.DataCentre && v.Tier == o.Tier
		if !fits || delivered == o.Add {
			return false
		}
		delivered++
		v.State = supplier.Live
		vms = append(vms, v)
		return true
	})
	m.note("delivered id=%s count=%d of=%d", o.ID, delivered, o.Add)
	m.setVMsLocked(vms)
}

// withdrawLocked lists VMs as leaving, and drops them after the notice.
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
	m.laterLocked(m.Notice, func() { m.dropLocked(ids) })
}

// dropLocked takes VMs off the list; they are spares again.
func (m *Memory) dropLocked(ids []string) {
	var left []supplier.VM
	for _, v := range m.vms {
		if slices.Contains(ids, v.ID) {
			m.Spares = append(m.Spares, v)
			m.note("dropped vm=%s", v.ID)
			continue
		}
		left = append(left, v)
	}
	m.setVMsLocked(left)
}

// Reclaim withdraws every VM of a tier in a data centre, as the platform does
// with its cheaper tier, and returns how many they were.
func (m *Memory) Reclaim(tier definer.Tier, dataCentre string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	var ids []string
	for _, v := range m.vms {
		if v.Tier == tier && v.DataCentre == dataCentre && v.State == supplier.Live {
			ids = append(ids, v.ID)
		}
	}
	m.note("reclaim tier=%s data-centre=%s count=%d", tier, dataCentre, len(ids))
	m.withdrawLocked(ids)
	return len(ids)
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

// Received reports whether the order was received.
func (m *Memory) Received(ctx context.Context, id string) (bool, error) {
	if err := m.admit(ctx, opList); err != nil {
		return false, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.orders[id]
	return ok, nil
}

// Orders returns the orders received, in no order.
func (m *Memory) Orders() []supplier.EndpointOrder {
	m.mu.Lock()
	defer m.mu.Unlock()
	var os []supplier.EndpointOrder
	for _, o := range m.orders {
		os = append(os, o)
	}
	return os
}
