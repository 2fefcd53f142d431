package generator

import (
	"context"
	"errors"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/engine/speaker"
	"foxtailflow.example/foxtailflow/internal/front/decoder"
)

const (
	// bytesPerToken is the mean that the decoder's estimate uses as well.
	bytesPerToken = 4
	pieceTokens   = speaker.BlockBytes / bytesPerToken
	// chunk is the number of prompt tokens read before another prompt may be
	// read for a chunk.
	chunk = 512
	// sharedCost is the factor on both phases while an engine does both at
	// once: each halves the other, and the mixed batches lose a tenth.
	sharedCost = 2.2
	// offRoleCost is the factor on the phase that is not the engine's role.
	offRoleCost = 4.0
	// keptRuns and keptFor bound what can be resumed or exported.
	keptRuns = 1024
	keptFor  = 30 * time.Second
)

// keptRun is what stays of a request for a while, so that its stream can be
// resumed and its cache exported.
type keptRun struct {
	prompt decoder.CompletionRequest
	encode encodePiece
	total  int
	pieces []uint64
	at     time.Time
}

var errChanging = errors.New("the engine is changing")

// begin takes a request in; the function returned ends it.
func (e *Engine) begin(ctx context.Context, j job) (context.Context, func(), error) {
	ctx, cancel := context.WithCancel(ctx)
	names := speaker.BlockHashes(j.prompt.RawPrompt)
	r := &run{cancel: cancel, pieces: names}
	need := min((j.prompt.EstimateTokens()+j.total)/pieceTokens+1, max(e.Settings.Pieces, 1))
	e.mu.Lock()
	if e.state.Phase == phaseChanging {
		e.mu.Unlock()
		cancel()
		return ctx, nil, errChanging
	}
	e.running[j.id] = r
	e.keepLocked(j, names)
	e.mu.Unlock()
	forget := func() {
		cancel()
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.running[j.id] == r {
			delete(e.running, j.id)
		}
	}
	if err := e.admission.enter(ctx, j.priority, need); err != nil {
		forget()
		return ctx, nil, err
	}
	free := e.admission.free()
	e.mu.Lock()
	r.admitted = true
	e.cache.shrink(e.Clock.Now(), free)
	e.mu.Unlock()
	return ctx, func() {
		forget()
		e.admission.leave(need)
	}, nil
}

func (e *Engine) keepLocked(j job, pieces []uint64) {
	now := e.Clock.Now()
	if _, ok := e.kept[j.id]; !ok {
		e.keptOrder = append(e.keptOrder, j.id)
	}
	e.kept[j.id] = keptRun{prompt: j.prompt, encode: j.encode, total: j.total, pieces: pieces, at: now}
	for len(e.keptOrder) > 0 {
		oldest := e.keptOrder[0]
		if k, ok := e.kept[oldest]; ok && len(e.kept) <= keptRuns && now.Sub(k.at) < keptFor {
			return
		}
		delete(e.kept, oldest)
		e.keptOrder = e.keptOrder[1:]
	}
}

// resumable returns what is kept of a request.
func (e *Engine) resumable(id string) (keptRun, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	k, ok := e.kept[id]
	return k, ok && e.Clock.Now().Sub(k.at) < keptFor
}

// prefill waits as long as the engine reads what the cache does not have of
// the prompt, and returns the number of cached tokens.
func (e *Engine) prefill(ctx context.Context, j job) (cached int, err error) {
	names := speaker.BlockHashes(j.prompt.RawPrompt)
	e.mu.Lock()
	cached = min(e.cache.match(names)*pieceTokens, j.prompt.EstimateTokens()-1)
	left := j.prompt.EstimateTokens() - cached
	e.backlog += left
	e.mu.Unlock()
	for left > 0 && err == nil {
		n := min(left, chunk)
		err = e.read(ctx, j.priority, n)
		if err != nil {
			n = left
		}
		left -= n
		e.mu.Lock()
		e.backlog -= n
		e.mu.Unlock()
	}
	if err != nil {
		return cached, err
	}
	free := e.admission.free()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.add(e.Clock.Now(), names, free)
	return cached, nil
}

// read reads one chunk of a prompt.
func (e *Engine) read(ctx context.Context, priority, tokens int) error {
	if err := e.reading.enter(ctx, priority, 0); err != nil {
		return err
	}
	defer e.reading.leave(0)
	e.mu.Lock()
	e.prefilling++
	factor := cost(e.state.Role, rolePrefill, e.decoding > 0)
	e.mu.Unlock()
	err := e.Clock.Sleep(ctx, perToken(e.Settings.PrefillRate, factor*float64(tokens)))
	e.mu.Lock()
	e.prefilling--
	e.mu.Unlock()
	return err
}

// decode counts a request among those that write tokens.
func (e *Engine) decode(change int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.decoding += change
}

// step waits as long as one token takes beside the others that write.
func (e *Engine) step(ctx context.Context) error {
	e.mu.Lock()
	factor := cost(e.state.Role, roleDecode, e.prefilling > 0)
	n := max(e.decoding, 1)
	e.mu.Unlock()
	d := perToken(e.Settings.DecodeRate, float64(n))
	return e.Clock.Sleep(ctx, time.Duration(factor*float64(max(d, e.Settings.StepMin))))
}

// cost is the factor on a phase for an engine's role; busy says that the
// engine does the other phase at the same time.
func cost(role, phase string, busy bool) float64 {
	switch {
	case role == phase:
		return 1
	case role != roleBoth:
		return offRoleCost
	case busy:
		return sharedCost
	}
	return 1
}

func perToken(rate int, tokens float64) time.Duration {
	return time.Duration(tokens * float64(time.Second) / float64(max(rate, 1)))
}

// transfer waits as long as handing over pieces takes.
func (e *Engine) transfer(ctx context.Context, pieces int) error {
	return e.Clock.Sleep(ctx, time.Duration(pieces)*e.Settings.PieceTransfer)
}

// notRun is the refusal of a request that the engine has not begun.
func notRun(err error) coder.Error {
	return coder.Refuse(coder.EndpointRefused, "not run").WithCause(err)
}
