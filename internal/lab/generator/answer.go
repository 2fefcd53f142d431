package generator

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/jx"
	"github.com/julienschmidt/httprouter"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/engine/speaker"
	"foxtailflow.example/foxtailflow/internal/front/decoder"
)

// defaultTokens is the length of an answer without a bound.
const defaultTokens = 24

// job is one request in work.
type job struct {
	engine   *Engine
	id       string
	prompt   decoder.CompletionRequest
	encode   encodePiece
	priority int
	from     int
	total    int
	cached   int
	// resumed says that the engine has read the prompt already.
	resumed bool
	faults  Faults
}

type encodePiece func(e *jx.Encoder, text string, last bool)

func (e *Engine) serve(decode func([]byte) (decoder.CompletionRequest, error), encode encodePiece) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		body, err := io.ReadAll(io.LimitReader(r.Body, maxRequest))
		if err != nil {
			return
		}
		p, err := decode(body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		id := r.Header.Get(speaker.HeaderRequestID)
		from, _ := strconv.Atoi(r.Header.Get(speaker.HeaderResumeFrom))
		priority, _ := strconv.Atoi(r.Header.Get(speaker.HeaderPriority))
		e.mu.Lock()
		e.noteLocked("request id=%s from=%d authorization=%t leaving=%t", id, from, r.Header.Get("Authorization") != "", e.leaving)
		j := job{engine: e, id: id, prompt: p, encode: encode, priority: priority, from: from, total: p.MaxTokens, faults: e.faults}
		e.mu.Unlock()
		if j.total == 0 {
			j.total = defaultTokens
		}
		j.answer(w, r)
	}
}

// resume continues a stream that this engine began.
func (e *Engine) resume(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
	id := ps.ByName("id")
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	k, ok := e.resumable(id)
	e.note("resume id=%s from=%d found=%t", id, from, ok)
	if err != nil || !ok {
		http.Error(w, "there is no such stream", http.StatusNotFound)
		return
	}
	// The broken connection may not have been noticed yet.
	e.mu.Lock()
	if old, ok := e.running[id]; ok {
		old.cancel()
	}
	j := job{engine: e, id: id, prompt: k.prompt, encode: k.encode, from: from, total: k.total, resumed: true, faults: e.faults}
	e.mu.Unlock()
	j.answer(w, r)
}

// swapped stands in the place of a request's identifier by a fault.
const swapped = "req-of-another"

func (j job) answer(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(speaker.HeaderRequestID, j.id)
	if j.faults.Swap {
		w.Header().Set(speaker.HeaderRequestID, swapped)
	}
	ctx, end, err := j.engine.begin(r.Context(), j)
	if err != nil {
		// Nothing was begun: a change came first, or the request was cancelled.
		w.Header().Set("Foxtailflow-Outcome", coder.NotRun.String())
		http.Error(w, notRun(err).Error(), http.StatusServiceUnavailable)
		return
	}
	defer end()
	ctx, stop := j.untilDeadline(ctx, r)
	defer stop()
	if j.engine.Clock.Sleep(ctx, j.faults.Delay) != nil {
		panic(http.ErrAbortHandler)
	}
	if !j.resumed {
		if j.cached, err = j.engine.prefill(ctx, j); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
	j.engine.decode(1)
	defer j.engine.decode(-1)
	if j.prompt.Stream {
		j.stream(ctx, w)
		return
	}
	j.whole(ctx, w)
}

// untilDeadline ends the work on a request whose answer comes too late.
func (j job) untilDeadline(ctx context.Context, r *http.Request) (context.Context, func()) {
	ms, err := strconv.Atoi(r.Header.Get(speaker.HeaderDeadline))
	if err != nil {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	timer := j.engine.Clock.AfterFunc(time.Duration(ms)*time.Millisecond, cancel)
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}

func (j job) whole(ctx context.Context, w http.ResponseWriter) {
	text := ""
	for i := range j.total {
		if j.engine.step(ctx) != nil {
			panic(http.ErrAbortHandler)
		}
		text += " " + word(j.prompt.RawPrompt, i)
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(j.message(0, func(e *jx.Encoder) { j.encode(e, text, true) }, true))
}

// stream sends an event for each token, one with the usage, and the end mark.
func (j job) stream(ctx context.Context, w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/event-stream")
	if j.from > 0 {
		w.Header().Set(speaker.HeaderResumeFrom, strconv.Itoa(j.from))
	}
	control := http.NewResponseController(w)
	for i := j.from; i < j.total; i++ {
		if j.engine.step(ctx) != nil {
			panic(http.ErrAbortHandler)
		}
		if j.faults.CutAfter > 0 && i-j.from >= j.faults.CutAfter {
			panic(http.ErrAbortHandler)
		}
		text := " " + word(j.prompt.RawPrompt, i)
		j.event(w, j.message(i, func(e *jx.Encoder) { j.encode(e, text, i == j.total-1) }, false))
		_ = control.Flush()
	}
	// A stream resumed after the usage event has only the end mark left.
	if j.prompt.IncludeUsage && j.from <= j.total {
		j.event(w, j.message(j.total, nil, true))
	}
	j.event(w, []byte("[DONE]"))
	_ = control.Flush()
}

func (j job) event(w io.Writer, data []byte) {
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
}

// message encodes an answer or the event at a position; a nil choice encodes
// none.
func (j job) message(position int, choice func(*jx.Encoder), usage bool) []byte {
	id := j.id
	if j.faults.Swap || j.faults.SwapAfter > 0 && position >= j.faults.SwapAfter {
		id = swapped
	}
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("id", func(e *jx.Encoder) { e.Str("chatcmpl-" + id) })
		e.Field("object", func(e *jx.Encoder) { e.Str(j.object()) })
		e.Field("created", func(e *jx.Encoder) { e.Int(0) })
		e.Field("model", func(e *jx.Encoder) { e.Str(j.prompt.Model) })
		e.Field("choices", func(e *jx.Encoder) {
			e.Arr(func(e *jx.Encoder) {
				if choice != nil {
					choice(e)
				}
			})
		})
		if usage {
			e.Field("usage", j.usage)
		}
	})
	return e.Bytes()
}

func (j job) object() string {
	if j.prompt.Stream {
		return "chat.completion.chunk"
	}
	return "chat.completion"
}

func (j job) usage(e *jx.Encoder) {
	e.Obj(func(e *jx.Encoder) {
		e.Field("prompt_tokens", func(e *jx.Encoder) { e.Int(j.prompt.EstimateTokens()) })
		e.Field("completion_tokens", func(e *jx.Encoder) { e.Int(j.total) })
		e.Field("prompt_tokens_details", func(e *jx.Encoder) {
			e.Obj(func(e *jx.Encoder) {
				e.Field("cached_tokens", func(e *jx.Encoder) { e.Int(j.cached) })
			})
		})
		e.Field("total_tokens", func(e *jx.Encoder) { e.Int(j.prompt.EstimateTokens() + j.total) })
	})
}

// encodeChat writes a choice with both the message and the delta, so that one
// encoding serves plain answers and events.
func encodeChat(e *jx.Encoder, text string, last bool) {
	content := func(e *jx.Encoder) {
		e.Obj(func(e *jx.Encoder) {
			e.Field("role", func(e *jx.Encoder) { e.Str("assistant") })
			e.Field("content", func(e *jx.Encoder) { e.Str(text) })
		})
	}
	encodeChoice(e, last, func(e *jx.Encoder) {
		e.Field("message", content)
		e.Field("delta", content)
	})
}

func encodeText(e *jx.Encoder, text string, last bool) {
	encodeChoice(e, last, func(e *jx.Encoder) {
		e.Field("text", func(e *jx.Encoder) { e.Str(text) })
	})
}

func encodeChoice(e *jx.Encoder, last bool, content func(*jx.Encoder)) {
	e.Obj(func(e *jx.Encoder) {
		e.Field("index", func(e *jx.Encoder) { e.Int(0) })
		content(e)
		e.Field("finish_reason", func(e *jx.Encoder) {
			if last {
				e.Str("stop")
				return
			}
			e.Null()
		})
	})
}
