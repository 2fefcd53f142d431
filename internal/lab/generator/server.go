package generator

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"foxtailflow.example/foxtailflow/internal/engine/controller"
	"foxtailflow.example/foxtailflow/internal/front/decoder"
)

// maxRequest bounds the body of one request, in bytes.
const maxRequest = 16 << 20

// Handler returns the engine's HTTP interface and the controls of the stand-in.
func (e *Engine) Handler() http.Handler {
	r := httprouter.New()
	r.POST("/v1/chat/completions", e.serve(decoder.DecodeChat, encodeChat))
	r.POST("/v1/completions", e.serve(decoder.DecodeCompletion, encodeText))
	r.GET("/engine/load", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		_, _ = w.Write(controller.EncodeLoad(e.Load()))
	})
	r.GET("/engine/state", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		_, _ = w.Write(controller.EncodeState(e.State()))
	})
	r.POST("/engine/orders", e.order)
	r.POST("/engine/resume/:id", e.resume)
	r.POST("/engine/kv/export", e.exportKV)
	r.POST("/engine/kv/import", e.importKV)
	r.GET("/engine/cache-events", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
		_, _ = w.Write(controller.EncodeCacheEvents(e.CacheEvents(after)))
	})
	r.POST("/engine/cancel/:id", func(_ http.ResponseWriter, _ *http.Request, ps httprouter.Params) {
		e.Cancel(ps.ByName("id"))
	})
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
	o, err := controller.DecodeOrder(data)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.Order(r.Context(), o) {
		w.WriteHeader(http.StatusConflict)
	}
}

func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	query, err := readKV(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	kv, ok := e.ExportKV(r.Context(), query.RequestID)
	if !ok {
		http.Error(w, "no cached prompt for this request", http.StatusNotFound)
		return
	}
	_, _ = w.Write(controller.EncodeKV(kv))
}

func (e *Engine) importKV(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	kv, err := readKV(r)
	if err == nil {
		err = e.ImportKV(r.Context(), kv)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

func readKV(r *http.Request) (controller.KV, error) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxRequest))
	if err != nil {
		return controller.KV{}, err
	}
	return controller.DecodeKV(data)
}

func (e *Engine) setFaults(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	q := r.URL.Query()
	var f Faults
	f.CutAfter, _ = strconv.Atoi(q.Get("cut-after"))
	f.Delay, _ = time.ParseDuration(q.Get("delay"))
	f.SwapID, _ = strconv.ParseBool(q.Get("swap"))
	f.SwapIDAfter, _ = strconv.Atoi(q.Get("swap-after"))
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
