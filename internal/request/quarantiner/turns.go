package quarantiner

import (
	"context"
	"slices"
	"sync"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
)

// turnTimeout bounds how long a request waits for another one with the same suspect: an
// endpoint may be slow to begin.
const turnTimeout = time.Second

// turns lets requests with a part in common go one at a time.
type turns struct {
	mu   sync.Mutex
	busy map[string]int
	// freed is closed when a turn ends.
	freed chan struct{}
}

// take waits until no other request has one of the parts, but not longer than
// turnTimeout, and returns the function that ends the turn.
func (t *turns) take(ctx context.Context, clock timekeeper.Clock, parts []string) (done func()) {
	timeout := clock.After(turnTimeout)
	for waiting := true; ; {
		freed := t.tryTake(parts, !waiting)
		if freed == nil {
			return sync.OnceFunc(func() { t.end(parts) })
		}
		select {
		case <-freed:
		case <-timeout:
			waiting = false
		case <-ctx.Done():
			waiting = false
		}
	}
}

// tryTake takes a turn if all parts are free, or in any case if force is set. Else it
// returns a channel that is closed when another turn ends.
func (t *turns) tryTake(parts []string, force bool) <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !force && slices.ContainsFunc(parts, func(p string) bool { return t.busy[p] > 0 }) {
		if t.freed == nil {
			t.freed = make(chan struct{})
		}
		return t.freed
	}
	if t.busy == nil {
		t.busy = make(map[string]int)
	}
	for _, p := range parts {
		t.busy[p]++
	}
	return nil
}

func (t *turns) end(parts []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range parts {
		if t.busy[p]--; t.busy[p] <= 0 {
			delete(t.busy, p)
		}
	}
	if t.freed != nil {
		close(t.freed)
		t.freed = nil
	}
}
