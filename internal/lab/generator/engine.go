// Package generator is a stand-in for a model engine.
//
// It answers the OpenAI paths with text that is a function of the prompt, so
// that a stream continued elsewhere goes on with the same words. Reading a
// prompt and writing tokens take time by different rates, and the more
// requests run, the slower each token comes. It reports its load with a lag
// and takes orders; by setting it refuses an old fencing token or ignores it.
package generator

import (
	"context"
	"fmt"
	"hash/fnv"
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
	// Slots is the number of requests in work at once.
	Slots int
	// Pieces is the size of the prefix cache.
	Pieces int
	// ReportLag is the age of load reports.
	ReportLag time.Duration
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

	mu       sync.Mutex
	state    speaker.State
	running  map[string]*run
	waiting  int
	backlog  int
	slots    chan struct{}
	leaving  bool
	reports  []stamped
	record   []string
	faults   Faults
	answered int
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

type stamped struct {
	at   time.Time
	load speaker.Load
}

// New returns an engine that serves both phases.
func New(clock timekeeper.Clock, s Settings) *Engine {
	return &Engine{
		Clock:    clock,
		Settings: s,
		state:    speaker.State{Role: "both", Models: []string{s.Model}, Phase: "serving"},
		running:  make(map[string]*run),
		slots:    make(chan struct{}, max(s.Slots, 1)),
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
	e.record = append(e.record, fmt.Sprintf(format, args...))
}

// prefill waits as long as the engine reads the prompt.
func (e *Engine) prefill(ctx context.Context, promptTokens int) error {
	d := time.Duration(promptTokens) * time.Second / time.Duration(max(e.Settings.PrefillRate, 1))
	err := e.Clock.Sleep(ctx, d)
	e.mu.Lock()
	e.backlog -= promptTokens
	e.mu.Unlock()
	return err
}

// step waits as long as one token takes beside the requests in work.
func (e *Engine) step(ctx context.Context) error {
	e.mu.Lock()
	n := len(e.running)
	e.mu.Unlock()
	d := time.Duration(max(n, 1)) * time.Second / time.Duration(max(e.Settings.DecodeRate, 1))
	return e.Clock.Sleep(ctx, d)
}

// Load returns a load report as old as the lag.
func (e *Engine) Load() speaker.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Clock.Now()
	e.reports = append(e.reports, stamped{at: now, load: e.loadNow()})
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

func (e *Engine) loadNow() speaker.Load {
	return speaker.Load{
		InFlight:   len(e.running),
		Queued:     e.waiting,
		Backlog:    e.backlog,
		FreePieces: max(e.Settings.Pieces-len(e.running), 0),
		Role:       e.state.Role,
		Changing:   e.state.Phase == "changing",
	}
}

// State returns the engine's state.
func (e *Engine) State() speaker.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.state
	s.InFlight = len(e.running)
	return s
}

// Order takes an order; false means that its fencing token was refused.
func (e *Engine) Order(ctx context.Context, o speaker.Order) bool {
	e.note("order id=%s fencing-token=%d action=%s value=%s", o.ID, o.FencingToken, o.Action, o.Value)
	e.mu.Lock()
	if o.FencingToken < e.state.FencingToken {
		e.record = append(e.record, fmt.Sprintf("stale id=%s fencing-token=%d newest=%d", o.ID, o.FencingToken, e.state.FencingToken))
		if e.Settings.CheckFencing {
			e.mu.Unlock()
			return false
		}
	}
	again := e.state.LastOrder == o.ID
	e.state.FencingToken = max(e.state.FencingToken, o.FencingToken)
	if !again {
		e.state.Phase = "changing"
	}
	e.mu.Unlock()
	if again {
		return true
	}
	_ = e.Clock.Sleep(context.WithoutCancel(ctx), e.Settings.RoleChange)
	e.apply(o)
	return true
}

func (e *Engine) apply(o speaker.Order) {
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
	e.state.LastOrder = o.ID
	e.state.Phase = "serving"
	e.record = append(e.record, fmt.Sprintf("applied id=%s", o.ID))
}

var words = []string{"amber", "cedar", "clove", "comb", "resin", "wax", "pine", "soft", "firm", "damp", "hold", "warm"}

// word returns the word at a position of the answer to a prompt.
func word(prompt []byte, position int) string {
	h := fnv.New64a()
	_, _ = h.Write(prompt)
	_, _ = fmt.Fprintf(h, "/%d", position)
	return words[h.Sum64()%uint64(len(words))]
}
