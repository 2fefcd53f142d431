package generator

import (
	"context"

	"foxtailflow.example/foxtailflow/internal/engine/controller"
)

// Order applies an order and returns once it has taken effect; false means that
// its fencing token was refused.
func (e *Engine) Order(ctx context.Context, o controller.Order) bool {
	accepted, repeated := e.acceptOrder(o)
	if !accepted || repeated {
		return accepted
	}
	_ = e.Clock.Sleep(context.WithoutCancel(ctx), e.Settings.OrderTime)
	e.apply(o)
	return true
}

func (e *Engine) acceptOrder(o controller.Order) (accepted, repeated bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordLockedf("order id=%s fencing-token=%d action=%s value=%s", o.ID, o.FencingToken, o.Action, o.Value)
	if o.FencingToken < e.state.FencingToken {
		e.recordLockedf("stale id=%s fencing-token=%d newest=%d", o.ID, o.FencingToken, e.state.FencingToken)
		if e.Settings.CheckFencing {
			return false, false
		}
	}
	e.state.FencingToken = max(e.state.FencingToken, o.FencingToken)
	if e.state.LastOrderID == o.ID {
		return true, true
	}
	if e.state.Phase == phaseChanging {
		e.recordLockedf("conflict id=%s", o.ID)
	}
	// An adapter is loaded while requests run.
	if o.Action != controller.LoadAdapter {
		e.state.Phase = phaseChanging
		e.abortLocked(o.ID)
	}
	return true, false
}

// abortLocked cancels all requests: admitted ones are aborted, and queued ones
// are refused as not run.
func (e *Engine) abortLocked(orderID string) {
	for id, r := range e.active {
		if r.admitted {
			e.recordLockedf("cut id=%s order=%s", id, orderID)
		}
		r.cancel()
	}
	clear(e.retained)
	e.retainedOrder = nil
	e.cache.evict(e.Clock.Now(), 0)
}

func (e *Engine) apply(o controller.Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch o.Action {
	case controller.SetRole:
		e.state.Role = o.Value
	case controller.LoadModel:
		e.state.Models = append(e.state.Models, o.Value)
	case controller.LoadAdapter:
		e.state.Adapters = append(e.state.Adapters, o.Value)
	case controller.SetVersion:
		e.state.Version = o.Value
	}
	e.state.LastOrderID = o.ID
	e.state.Phase = phaseServing
	e.recordLockedf("applied id=%s", o.ID)
}

// ExportKV returns the cached blocks of a request's prompt; false means that the
// request is not retained or that ctx ended first.
func (e *Engine) ExportKV(ctx context.Context, id string) (controller.KV, bool) {
	e.mu.Lock()
	k, ok := e.retained[id]
	n := e.cache.match(k.blocks)
	e.recordLockedf("export id=%s pieces=%d", id, n)
	e.mu.Unlock()
	if !ok || e.transfer(ctx, n) != nil {
		return controller.KV{}, false
	}
	return controller.KV{RequestID: id, Blocks: k.blocks[:n]}, true
}

// ImportKV inserts blocks into the prefix cache.
func (e *Engine) ImportKV(ctx context.Context, kv controller.KV) error {
	if err := e.transfer(ctx, len(kv.Blocks)); err != nil {
		return err
	}
	free := e.admission.freeBlocks()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordLockedf("import id=%s pieces=%d", kv.RequestID, len(kv.Blocks))
	e.cache.add(e.Clock.Now(), kv.Blocks, free)
	return nil
}
