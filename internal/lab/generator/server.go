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

	"foxtailflow.example/foxtailflow/internal/engine/speaker"
	"foxtailflow.example/foxtailflow/internal/front/decoder"
)

// maxRequest bounds the body of one request, in bytes.
const maxRequest = 16 << 20

// defaultTokens is the length of an answer without a bound.
const defaultTokens = 24

// Handler returns the engine's HTTP interface and the controls of the stand-in.
func (e *Engine) Handler() http.Handler {
	r := httprouter.New()
	r.POST("/v1/chat/completions", e.serve(decoder.DecodeChat, encodeChat))
	r.POST("/v1/completions", e.serve(decoder.DecodeCompletion, encodeText))
	r.GET("/engine/load", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		_, _ = w.Write(speaker.EncodeLoad(e.Load()))
	})
	r.GET("/engine/state", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		_, _ = w.Write(speaker.EncodeState(e.State()))
	})
	r.POST("/engine/orders", e.order)
	r.POST("/engine/cancel/:id", func(_ http.ResponseWriter, _ *http.Request, ps httprouter.Params) {
		e.Cancel(ps.ByName("id"))
	})
	r.POST("/engine/resume/:id", e.resume)
	r.POST("/lab/faults", e.setFaults)
	r.GET("/lab/record", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		for _, line := range e.Record() {
			_, _ = fmt.Fprintln(w, line)
		}
	})
	return r
}

// Server returns a server with the engine's connection limit.
func (e *Engine) Server() *http.Server {
	return &http.Server{Handler: e.Handler(), ReadHeaderTimeout: e.Settings.OrderConnectionLimit}
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxRequest))
	if err != nil {
		return
	}
	o, err := speaker.DecodeOrder(data)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.Order(r.Context(), o) {
		w.WriteHeader(http.StatusConflict)
	}
}

func (e *Engine) setFaults(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	q := r.URL.Query()
	var f Faults
	f.CutAfter, _ = strconv.Atoi(q.Get("cut-after"))
	f.Delay, _ = time.ParseDuration(q.Get("delay"))
	f.Swap, _ = strconv.ParseBool(q.Get("swap"))
	f.SwapAfter, _ = strconv.Atoi(q.Get("swap-after"))
	e.SetFaults(f)
	if leaving := q.Get("leaving"); leaving != "" {
		on, err := strconv.ParseBool(leaving)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		e.SetLeaving(on)
	}
}

// job is one request in work.
type job struct {
	engine *Engine
	id     string
	prompt decoder.Prompt
	encode encodePiece
	from   int
	total  int
	faults Faults
}

type encodePiece func(e *jx.Encoder, text string, last bool)

func (e *Engine) serve(decode func([]byte) (decoder.Prompt, error), encode encodePiece) httprouter.Handle {
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
		e.note("request id=%s from=%d authorization=%t", id, from, r.Header.Get("Authorization") != "")
		e.mu.Lock()
		j := job{engine: e, id: id, prompt: p, encode: encode, from: from, total: p.MaxTokens, faults: e.faults}
		e.mu.Unlock()
		if j.total == 0 {
			j.total = defaultTokens
		}
		j.answer(w, r)
	}
}

// swapped stands in the place of a request's identifier by a fault.
const swapped = "req-of-another"

func (j job) answer(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	if j.faults.Swap {
		w.Header().Set(speaker.HeaderRequestID, swapped)
	} else {
		w.Header().Set(speaker.HeaderRequestID, j.id)
	}
	own := &run{job: j, cancel: cancel, parked: make(chan struct{})}
	if err := j.engine.enter(ctx, own, j.prompt.Tokens()); err != nil {
		return
	}
	if j.engine.Clock.Sleep(ctx, j.faults.Delay) != nil || j.engine.prefill(ctx, j.prompt.Tokens()) != nil {
		j.engine.leave(own)
		return
	}
	if j.prompt.Stream {
		own.serve(ctx, w)
		return
	}
	defer j.engine.leave(own)
	j.whole(ctx, w)
}

// serve streams to one connection and parks the run if that is lost.
func (r *run) serve(ctx context.Context, w http.ResponseWriter) {
	e := r.job.engine
	if r.job.stream(ctx, w) || !e.park(r) {
		e.leave(r)
		return
	}
	panic(http.ErrAbortHandler)
}

// resume continues a stream of this engine on a new connection.
func (e *Engine) resume(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
	id := ps.ByName("id")
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	own := e.take(r.Context(), id)
	e.note("resume id=%s from=%d found=%t", id, from, own != nil)
	if err != nil || own == nil {
		http.Error(w, "there is no such stream", http.StatusNotFound)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	e.mu.Lock()
	own.cancel = cancel
	own.job.from, own.job.faults = from, e.faults
	e.mu.Unlock()
	w.Header().Set(speaker.HeaderRequestID, id)
	own.serve(ctx, w)
}

func (j job) whole(ctx context.Context, w http.ResponseWriter) {
	text := ""
	for i := range j.total {
		if j.engine.step(ctx) != nil {
			return
		}
		text += " " + word(j.prompt.Text, i)
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(j.message(0, func(e *jx.Encoder) { j.encode(e, text, true) }, true))
}

// stream sends an event for each token, one with the usage, and the end mark,
// and reports whether it sent all of them.
func (j job) stream(ctx context.Context, w http.ResponseWriter) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	if j.from > 0 {
		w.Header().Set(speaker.HeaderResumeFrom, strconv.Itoa(j.from))
	}
	control := http.NewResponseController(w)
	for i := j.from; i < j.total; i++ {
		if j.engine.step(ctx) != nil {
			return false
		}
		if j.faults.CutAfter > 0 && i-j.from >= j.faults.CutAfter {
			return false
		}
		text := " " + word(j.prompt.Text, i)
		j.event(w, j.message(i, func(e *jx.Encoder) { j.encode(e, text, i == j.total-1) }, false))
		_ = control.Flush()
	}
	// A stream resumed after the usage event has only the end mark left.
	if j.prompt.IncludeUsage && j.from <= j.total {
		j.event(w, j.message(j.total, nil, true))
	}
	j.event(w, []byte("[DONE]"))
	return control.Flush() == nil
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
		e.Field("prompt_tokens", func(e *jx.Encoder) { e.Int(j.prompt.Tokens()) })
		e.Field("completion_tokens", func(e *jx.Encoder) { e.Int(j.total) })
		e.Field("total_tokens", func(e *jx.Encoder) { e.Int(j.prompt.Tokens() + j.total) })
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
