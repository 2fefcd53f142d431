// Package generator is a stand-in for a model engine.
//
// It answers the OpenAI paths with text that is a function of the prompt, so
// that a stream continued elsewhere goes on with the same words. Requests are
// batched continuously: each is let in by priority when there are a slot and
// memory for it, its prompt is read in chunks, one chunk of the engine at a
// time, and then a token is written in each step, which takes longer the more
// requests write. The beginnings of prompts stay in a bounded cache, whose
// events come late and with gaps. The engine reports its load with a lag and
// takes orders; by setting it refuses an old fencing token or ignores it. An
// order that takes the engine out of service cuts what still runs, so that a
// change without a drain shows.
package generator

import (
	"context"
	"fmt"
	"hash/fnv"
	"math"
	"sync"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/engine/speaker"
)

// Settings are the properties of an engine.
type Settings struct {
	Model string
	// PrefillRate and DecodeRate are tokens a second.
	PrefillRate int
	DecodeRate  int
	// StepMin is the least time of one decode step: a small batch is no faster.
	StepMin time.Duration
	// Slots is the number of requests in work at once.
	Slots int
	// Pieces is the engine memory, for requests in work and the prefix cache.
	Pieces int
	// PieceTransfer is the time to export or import one piece.
	PieceTransfer time.Duration
	// ReportLag is the age of load reports, EventLag that of cache events.
	ReportLag time.Duration
	EventLag  time.Duration
	// EventLoss is the share of cache events that are lost.
	EventLoss float64
	// RoleChange is how long a change of role takes.
	RoleChange time.Duration
	// CheckFencing makes the engine refuse an order with an old token.
	CheckFencing bool
	// OrderConnectionLimit closes a connection without a whole order.
	OrderConnectionLimit time.Duration
}

// Engine is a stand-in for a model engine.
type Engine struct {
	Clock    timekeeper.Clock
	Settings Settings

	// admission holds the slots and memory; reading lets one prompt be read.
	admission gate
	reading   gate

	mu         sync.Mutex
	state      speaker.State
	running    map[string]*run
	kept       map[string]keptRun
	keptOrder  []string
	backlog    int
	prefilling int
	decoding   int
	leaving    bool
	cache      cache
	reports    []stamped
	record     []string
	faults     Faults
}

// Faults are the failures that the engine shows at present.
type Faults struct {
	// CutAfter cuts each answer after this many events; 0 means never.
	CutAfter int
	// Delay is added before each answer.
	Delay time.Duration
	// Swap answers with the identifier of another request.
	Swap bool
	// SwapAfter gives each event after this many the identifier of another
	// request; 0 means never.
	SwapAfter int
}

// run is a request that the engine has.
type run struct {
	cancel context.CancelFunc
	// admitted says that the work on it has begun.
	admitted bool
	pieces   []uint64
}

type stamped struct {
	at   time.Time
	load speaker.Load
}

// The roles and phases of an engine.
const (
	roleBoth    = "both"
	rolePrefill = "prefill"
	roleDecode  = "decode"

	phaseServing  = "serving"
	phaseChanging = "changing"
)

// New returns an engine that serves both phases.
func New(clock timekeeper.Clock, s Settings) *Engine {
	return &Engine{
		Clock:     clock,
		Settings:  s,
		admission: gate{slots: max(s.Slots, 1), pieces: max(s.Pieces, 1)},
		reading:   gate{slots: 1, pieces: math.MaxInt},
		state:     speaker.State{Role: roleBoth, Models: []string{s.Model}, Phase: phaseServing},
		running:   make(map[string]*run),
		kept:      make(map[string]keptRun),
		cache:     cache{loss: s.EventLoss},
	}
}

// Record returns a line for each order and request that the engine received.
func (e *Engine) Record() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.record...)
}

// SetFaults replaces the failures.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// SetLeaving sets the engine's own signal that it will stop.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

func (e *Engine) note(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.noteLocked(format, args...)
}

func (e *Engine) noteLocked(format string, args ...any) {
	e.record = append(e.record, fmt.Sprintf(format, args...))
}

// Cancel stops the work on a request; false means that there is none.
func (e *Engine) Cancel(id string) bool {
	e.mu.Lock()
	r, running := e.running[id]
	_, kept := e.kept[id]
	delete(e.kept, id)
	// A stream whose connection is lost can be resumed until it is cancelled.
	e.noteLocked("cancel id=%s running=%t", id, running || kept)
	e.mu.Unlock()
	if running {
		r.cancel()
	}
	return running || kept
}

// Load returns a load report as old as the lag.
func (e *Engine) Load() speaker.Load {
	free := e.admission.free()
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Clock.Now()
	e.reports = append(e.reports, stamped{at: now, load: e.loadLocked(free)})
	shown := e.reports[0].load
	keep := 0
	for i, r := range e.reports {
		if now.Sub(r.at) >= e.Settings.ReportLag {
			shown, keep = r.load, i
		}
	}
	e.reports = e.reports[keep:]
	shown.Leaving = e.leaving
	return shown
}

func (e *Engine) loadLocked(free int) speaker.Load {
	admitted := 0
	for _, r := range e.running {
		if r.admitted {
			admitted++
		}
	}
	return speaker.Load{
		InFlight:   admitted,
		Queued:     len(e.running) - admitted,
		Backlog:    e.backlog,
		FreeBlocks: free,
		Role:       e.state.Role,
		Changing:   e.state.Phase == phaseChanging,
	}
}

// State returns the engine's state; requests that wait are in flight too.
func (e *Engine) State() speaker.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.state
	s.InFlight = len(e.running)
	return s
}

// CacheEvents returns the events of the prefix cache after a sequence number,
// but for those that are younger than the lag.
func (e *Engine) CacheEvents(after uint64) []speaker.CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.after(after, e.Clock.Now().Add(-e.Settings.EventLag))
}

var words = []string{"amber", "cedar", "clove", "comb", "resin", "wax", "pine", "soft", "firm", "damp", "hold", "warm"}

// word returns the word at a position of the answer to a prompt.
func word(prompt []byte, position int) string {
	h := fnv.New64a()
	_, _ = h.Write(prompt)
	_, _ = fmt.Fprintf(h, "/%d", position)
	return words[h.Sum64()%uint64(len(words))]
}
