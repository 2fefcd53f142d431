package generator

import (
	"context"

	"foxtailflow.example/foxtailflow/internal/engine/speaker"
)

// Order takes an order and returns once it has taken effect; false means that
// its fencing token was refused.
func (e *Engine) Order(ctx context.Context, o speaker.Order) bool {
	accepted, again := e.beginOrder(o)
	if !accepted || again {
		return accepted
	}
	_ = e.Clock.Sleep(context.WithoutCancel(ctx), e.Settings.RoleChange)
	e.take(o)
	return true
}

func (e *Engine) beginOrder(o speaker.Order) (accepted, again bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.noteLocked("order id=%s fencing-token=%d action=%s value=%s", o.ID, o.FencingToken, o.Action, o.Value)
	if o.FencingToken < e.state.FencingToken {
		e.noteLocked("stale id=%s fencing-token=%d newest=%d", o.ID, o.FencingToken, e.state.FencingToken)
		if e.Settings.CheckFencing {
			return false, false
		}
	}
	e.state.FencingToken = max(e.state.FencingToken, o.FencingToken)
	if e.state.LastOrderID == o.ID {
		return true, true
	}
	if e.state.Phase == phaseChanging {
		e.noteLocked("conflict id=%s", o.ID)
	}
	// An adapter is loaded beside the running work.
	if o.Action != speaker.LoadAdapter {
		e.state.Phase = phaseChanging
		e.cutLocked(o.ID)
	}
	return true, false
}

// cutLocked ends what runs; what only waits is refused as not run.
func (e *Engine) cutLocked(orderID string) {
	for id, r := range e.running {
		if r.admitted {
			e.noteLocked("cut id=%s order=%s", id, orderID)
		}
		r.cancel()
	}
	clear(e.kept)
	e.keptOrder = nil
	e.cache.shrink(e.Clock.Now(), 0)
}

func (e *Engine) take(o speaker.Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch o.Action {
	case speaker.SetRole:
		e.state.Role = o.Value
	case speaker.LoadModel:
		e.state.Models = append(e.state.Models, o.Value)
	case speaker.LoadAdapter:
		e.state.Adapters = append(e.state.Adapters, o.Value)
	case speaker.SetVersion:
		e.state.Version = o.Value
	}
	e.state.LastOrderID = o.ID
	e.state.Phase = phaseServing
	e.noteLocked("applied id=%s", o.ID)
}

// ExportKV returns the cached pieces of a request's prompt; false means that
// the engine does not have them.
func (e *Engine) ExportKV(ctx context.Context, id string) (speaker.KV, bool) {
	e.mu.Lock()
	k, ok := e.kept[id]
	n := e.cache.match(k.pieces)
	e.noteLocked("export id=%s pieces=%d", id, n)
	e.mu.Unlock()
	if !ok || e.transfer(ctx, n) != nil {
		return speaker.KV{}, false
	}
	return speaker.KV{RequestID: id, Blocks: k.pieces[:n]}, true
}

// ImportKV puts pieces into the prefix cache.
func (e *Engine) ImportKV(ctx context.Context, kv speaker.KV) error {
	if err := e.transfer(ctx, len(kv.Blocks)); err != nil {
		return err
	}
	free := e.admission.free()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.noteLocked("import id=%s pieces=%d", kv.RequestID, len(kv.Blocks))
	e.cache.add(e.Clock.Now(), kv.Blocks, free)
	return nil
}
