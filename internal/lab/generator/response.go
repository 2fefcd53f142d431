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
	"foxtailflow.example/foxtailflow/internal/engine/controller"
	"foxtailflow.example/foxtailflow/internal/front/decoder"
)

// defaultTokens is the length of a response to a request without max_tokens.
const defaultTokens = 24

// job is one request in progress.
type job struct {
	engine       *Engine
	id           string
	prompt       decoder.CompletionRequest
	encode       choiceEncoder
	priority     int
	resumeFrom   int
	totalTokens  int
	cachedTokens int
	// resumed means that the prompt has been prefilled already.
	resumed bool
	faults  Faults
}

// choiceEncoder writes one choice of a response or an event; last means that
// the text ends the response.
type choiceEncoder func(e *jx.Encoder, text string, last bool)

func (e *Engine) serve(decode func([]byte) (decoder.CompletionRequest, error), encode choiceEncoder) httprouter.Handle {
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
		id := r.Header.Get(controller.HeaderRequestID)
		from, _ := strconv.Atoi(r.Header.Get(controller.HeaderResumeFrom))
		priority, _ := strconv.Atoi(r.Header.Get(controller.HeaderPriority))
		e.mu.Lock()
		e.recordLockedf("request id=%s from=%d authorization=%t leaving=%t", id, from, r.Header.Get("Authorization") != "", e.leaving)
		j := job{engine: e, id: id, prompt: p, encode: encode, priority: priority, resumeFrom: from, totalTokens: p.MaxTokens, faults: e.faults}
		e.mu.Unlock()
		if j.totalTokens == 0 {
			j.totalTokens = defaultTokens
		}
		j.respond(w, r)
	}
}

// resume continues a stream that this engine started.
func (e *Engine) resume(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
	id := ps.ByName("id")
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	k, ok := e.findRetained(id)
	e.recordf("resume id=%s from=%d found=%t", id, from, ok)
	if err != nil || !ok {
		http.Error(w, "no stream to resume for this request", http.StatusNotFound)
		return
	}
	// The engine may not have detected the broken connection yet.
	e.mu.Lock()
	if old, ok := e.active[id]; ok {
		old.cancel()
	}
	j := job{engine: e, id: id, prompt: k.prompt, encode: k.encode, resumeFrom: from, totalTokens: k.totalTokens, resumed: true, faults: e.faults}
	e.mu.Unlock()
	j.respond(w, r)
}

// swappedID replaces a request's identifier under the faults SwapID and SwapIDAfter.
const swappedID = "req-of-another"

func (j job) respond(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(controller.HeaderRequestID, j.id)
	if j.faults.SwapID {
		w.Header().Set(controller.HeaderRequestID, swappedID)
	}
	ctx, end, err := j.engine.start(r.Context(), j)
	if err != nil {
		// The request was not started: the engine began a change first, or the
		// request was cancelled.
		w.Header().Set("Foxtailflow-Outcome", coder.NotRun.String())
		http.Error(w, notRunError(err).Error(), http.StatusServiceUnavailable)
		return
	}
	defer end()
	ctx, stop := j.untilDeadline(ctx, r)
	defer stop()
	if j.engine.Clock.Sleep(ctx, j.faults.Delay) != nil {
		panic(http.ErrAbortHandler)
	}
	if !j.resumed {
		if j.cachedTokens, err = j.engine.prefill(ctx, j); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
	j.engine.addDecoding(1)
	defer j.engine.addDecoding(-1)
	if j.prompt.Stream {
		j.stream(ctx, w)
		return
	}
	j.respondComplete(ctx, w)
}

// untilDeadline returns a context that is cancelled at the request's deadline.
func (j job) untilDeadline(ctx context.Context, r *http.Request) (context.Context, func()) {
	ms, err := strconv.Atoi(r.Header.Get(controller.HeaderDeadline))
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

func (j job) respondComplete(ctx context.Context, w http.ResponseWriter) {
	text := ""
	for i := range j.totalTokens {
		if j.engine.decodeStep(ctx) != nil {
			panic(http.ErrAbortHandler)
		}
		text += " " + word(j.prompt.RawPrompt, i)
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(j.message(0, func(e *jx.Encoder) { j.encode(e, text, true) }, true))
}

// stream sends an event for each token, then an event with the usage if the
// request asks for it, then the end marker.
func (j job) stream(ctx context.Context, w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/event-stream")
	if j.resumeFrom > 0 {
		w.Header().Set(controller.HeaderResumeFrom, strconv.Itoa(j.resumeFrom))
	}
	control := http.NewResponseController(w)
	for i := j.resumeFrom; i < j.totalTokens; i++ {
		if j.engine.decodeStep(ctx) != nil {
			panic(http.ErrAbortHandler)
		}
		if j.faults.CutAfter > 0 && i-j.resumeFrom >= j.faults.CutAfter {
			panic(http.ErrAbortHandler)
		}
		text := " " + word(j.prompt.RawPrompt, i)
		j.writeEvent(w, j.message(i, func(e *jx.Encoder) { j.encode(e, text, i == j.totalTokens-1) }, false))
		_ = control.Flush()
	}
	// A stream resumed after the usage event has only the end marker left.
	if j.prompt.IncludeUsage && j.resumeFrom <= j.totalTokens {
		j.writeEvent(w, j.message(j.totalTokens, nil, true))
	}
	j.writeEvent(w, []byte("[DONE]"))
	_ = control.Flush()
}

func (j job) writeEvent(w io.Writer, data []byte) {
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
}

// message encodes a complete response or the event at a position; a nil choice
// leaves the list of choices empty.
func (j job) message(position int, choice func(*jx.Encoder), usage bool) []byte {
	id := j.id
	if j.faults.SwapID || j.faults.SwapIDAfter > 0 && position >= j.faults.SwapIDAfter {
		id = swappedID
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
		e.Field("completion_tokens", func(e *jx.Encoder) { e.Int(j.totalTokens) })
		e.Field("prompt_tokens_details", func(e *jx.Encoder) {
			e.Obj(func(e *jx.Encoder) {
				e.Field("cached_tokens", func(e *jx.Encoder) { e.Int(j.cachedTokens) })
			})
		})
		e.Field("total_tokens", func(e *jx.Encoder) { e.Int(j.prompt.EstimateTokens() + j.totalTokens) })
	})
}

// encodeChat writes a choice with both the message and the delta, so that the
// same encoding serves complete responses and events.
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
