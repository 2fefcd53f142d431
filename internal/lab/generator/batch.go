package generator

import (
	"context"
	"errors"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/engine/controller"
	"foxtailflow.example/foxtailflow/internal/front/decoder"
)

const (
	// bytesPerToken is the mean number of bytes in a token; the decoder's
	// estimate uses the same value.
	bytesPerToken = 4
	blockTokens   = controller.BlockBytes / bytesPerToken
	// chunkTokens is the number of prompt tokens that are prefilled before
	// another prompt may prefill a chunk.
	chunkTokens = 512
	// mixedPhaseFactor multiplies the time of both phases while an engine runs
	// both at once: each phase halves the other's rate, and mixed batches cost
	// another tenth.
	mixedPhaseFactor = 2.2
	// offRoleFactor multiplies the time of the phase that is not the engine's
	// role.
	offRoleFactor = 4.0
	// maxRetained and retention bound the requests that can be resumed or
	// exported, by number and by age.
	maxRetained = 1024
	retention   = 30 * time.Second
)

// retainedRequest is the part of a request that is retained for a limited time,
// so that its stream can be resumed and its cache blocks exported.
type retainedRequest struct {
	prompt      decoder.CompletionRequest
	encode      choiceEncoder
	totalTokens int
	blocks      []uint64
	retainedAt  time.Time
}

var errChanging = errors.New("the engine is changing its role, model or version")

// start registers a request and waits until it is admitted. The returned
// function ends the request and releases its slot and blocks.
func (e *Engine) start(ctx context.Context, j job) (context.Context, func(), error) {
	ctx, cancel := context.WithCancel(ctx)
	blocks := controller.BlockHashes(j.prompt.RawPrompt)
	r := &activeRequest{cancel: cancel, blocks: blocks}
	requiredBlocks := min((j.prompt.EstimateTokens()+j.totalTokens)/blockTokens+1, max(e.Settings.Blocks, 1))
	e.mu.Lock()
	if e.state.Phase == phaseChanging {
		e.mu.Unlock()
		cancel()
		return ctx, nil, errChanging
	}
	e.active[j.id] = r
	e.retainLocked(j, blocks)
	e.mu.Unlock()
	remove := func() {
		cancel()
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.active[j.id] == r {
			delete(e.active, j.id)
		}
	}
	if err := e.admission.acquire(ctx, j.priority, requiredBlocks); err != nil {
		remove()
		return ctx, nil, err
	}
	free := e.admission.freeBlocks()
	e.mu.Lock()
	r.admitted = true
	e.cache.evict(e.Clock.Now(), free)
	e.mu.Unlock()
	return ctx, func() {
		remove()
		e.admission.release(requiredBlocks)
	}, nil
}

func (e *Engine) retainLocked(j job, blocks []uint64) {
	now := e.Clock.Now()
	if _, ok := e.retained[j.id]; !ok {
		e.retainedOrder = append(e.retainedOrder, j.id)
	}
	e.retained[j.id] = retainedRequest{prompt: j.prompt, encode: j.encode, totalTokens: j.totalTokens, blocks: blocks, retainedAt: now}
	for len(e.retainedOrder) > 0 {
		oldest := e.retainedOrder[0]
		if k, ok := e.retained[oldest]; ok && len(e.retained) <= maxRetained && now.Sub(k.retainedAt) < retention {
			return
		}
		delete(e.retained, oldest)
		e.retainedOrder = e.retainedOrder[1:]
	}
}

// findRetained returns a retained request; false means that there is none or
// that its retention has expired.
func (e *Engine) findRetained(id string) (retainedRequest, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	k, ok := e.retained[id]
	return k, ok && e.Clock.Now().Sub(k.retainedAt) < retention
}

// prefill takes the time to prefill the prompt tokens that are not in the
// prefix cache, and returns the number of cached tokens.
func (e *Engine) prefill(ctx context.Context, j job) (cached int, err error) {
	blocks := controller.BlockHashes(j.prompt.RawPrompt)
	e.mu.Lock()
	cached = min(e.cache.match(blocks)*blockTokens, j.prompt.EstimateTokens()-1)
	remaining := j.prompt.EstimateTokens() - cached
	e.prefillBacklog += remaining
	e.mu.Unlock()
	for remaining > 0 && err == nil {
		n := min(remaining, chunkTokens)
		err = e.prefillChunk(ctx, j.priority, n)
		if err != nil {
			n = remaining
		}
		remaining -= n
		e.mu.Lock()
		e.prefillBacklog -= n
		e.mu.Unlock()
	}
	if err != nil {
		return cached, err
	}
	free := e.admission.freeBlocks()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.add(e.Clock.Now(), blocks, free)
	return cached, nil
}

// prefillChunk takes the time to prefill one chunk of a prompt.
func (e *Engine) prefillChunk(ctx context.Context, priority, tokens int) error {
	if err := e.prefillTurn.acquire(ctx, priority, 0); err != nil {
		return err
	}
	defer e.prefillTurn.release(0)
	e.mu.Lock()
	e.prefilling++
	factor := phaseFactor(e.state.Role, rolePrefill, e.decoding > 0)
	e.mu.Unlock()
	err := e.Clock.Sleep(ctx, tokenTime(e.Settings.PrefillRate, factor*float64(tokens)))
	e.mu.Lock()
	e.prefilling--
	e.mu.Unlock()
	return err
}

// addDecoding changes the number of requests in the decode phase.
func (e *Engine) addDecoding(delta int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.decoding += delta
}

// decodeStep takes the time of one token, which depends on the number of
// requests in the decode phase.
func (e *Engine) decodeStep(ctx context.Context) error {
	e.mu.Lock()
	factor := phaseFactor(e.state.Role, roleDecode, e.prefilling > 0)
	n := max(e.decoding, 1)
	e.mu.Unlock()
	d := tokenTime(e.Settings.DecodeRate, float64(n))
	return e.Clock.Sleep(ctx, time.Duration(factor*float64(max(d, e.Settings.MinStepTime))))
}

// phaseFactor returns the factor on the time of a phase for an engine's role.
// busy means that the engine runs the other phase at the same time.
func phaseFactor(role, phase string, busy bool) float64 {
	switch {
	case role == phase:
		return 1
	case role != roleBoth:
		return offRoleFactor
	case busy:
		return mixedPhaseFactor
	}
	return 1
}

func tokenTime(rate int, tokens float64) time.Duration {
	return time.Duration(tokens * float64(time.Second) / float64(max(rate, 1)))
}

// transfer takes the time to export or import blocks.
func (e *Engine) transfer(ctx context.Context, blocks int) error {
	return e.Clock.Sleep(ctx, time.Duration(blocks)*e.Settings.BlockTransferTime)
}

// notRunError returns the refusal of a request that the engine has not started.
func notRunError(err error) coder.Error {
	return coder.Refuse(coder.EndpointRefused, "not run").WithCause(err)
}
