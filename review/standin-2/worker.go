package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// worker stands in for a worker of a service: it runs requests and answers with a seal.
type worker struct {
	w                           *world
	id, service, address, stage string
	zone                        string
	work                        time.Duration
	listener                    net.Listener
	born                        int64
	sequence                    int
	handles                     atomic.Int64

	mu sync.Mutex
	// answer, if set, answers a request on the connection; false closes it.
	answer answerFunc
}

// answerFunc answers a request on a connection; false closes it.
type answerFunc func(c net.Conn, r *http.Request) bool

// addWorker starts a worker and registers it; stage is empty for a plain service.
func (w *world) addWorker(id, service, stage string, work time.Duration) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	x := &worker{w: w, id: id, service: service, stage: stage, zone: zone, address: l.Addr().String(), work: work, listener: l, born: time.Now().UnixMilli()}
	go x.accept()
	x.register()
	return x, nil
}

// register writes the entry of the worker.
func (x *worker) register() {
	x.sequence++
	entry := map[string]any{
		"service": x.service, "address": x.address, "zone": x.zone, "version": "v1", "slots": 64, "state": "ready",
		"coldRemainingMs": 0, "sequence": x.sequence, "born": x.born,
	}
	if x.stage != "" {
		entry["stage"] = x.stage
	}
	x.w.store.put("servers", x.id, entry)
}

// setAnswer sets how the worker answers.
func (x *worker) setAnswer(f answerFunc) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.answer = f
}

func (x *worker) accept() {
	for {
		c, err := x.listener.Accept()
		if err != nil {
			return
		}
		go x.serve(c)
	}
}

func (x *worker) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if !x.respond(c, req) {
			return
		}
	}
}

func (x *worker) respond(c net.Conn, req *http.Request) bool {
	id := req.Header.Get("X-Foxtailflow-Request-Id")
	if expected := req.Header.Get("X-Foxtailflow-Expect-Instance"); expected != "" && expected != x.id {
		return write(c, 421, id, "", "")
	}
	if strings.HasPrefix(req.URL.Path, "/-/") {
		// Of the worker's own calls, nodes use the report and the release of a handle.
		return write(c, 200, "", "", `{"sequence":0}`)
	}
	x.w.rec.line("worker %s gets %s", x.id, id)
	x.mu.Lock()
	answer := x.answer
	x.mu.Unlock()
	if answer != nil {
		return answer(c, req)
	}
	time.Sleep(x.work)
	switch {
	case req.Header.Get("X-Foxtailflow-Serving-Stage") == "prefill":
		return write(c, 200, id, "", fmt.Sprintf(`{"handle":"%s-%d","tokens":1,"version":1}`, x.id, x.handles.Add(1)))
	case strings.HasPrefix(req.URL.Path, "/stream/"):
		return beginStream(c, id) && chunk(c, "id: 1\ndata: "+id+"\n\n") && chunk(c, "")
	}
	return write(c, 200, id, "seal-"+id, id)
}

// write writes an answer of known length.
func write(c net.Conn, status int, id, seal, body string) bool {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	if id != "" {
		head += "X-Foxtailflow-Request-Id: " + id + "\r\n"
	}
	if seal != "" {
		head += "X-Foxtailflow-Response-Seal: " + seal + "\r\n"
	}
	_, err := io.WriteString(c, head+"\r\n"+body)
	return err == nil
}

// beginStream writes the head of a stream of events in chunks.
func beginStream(c net.Conn, id string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Foxtailflow-Request-Id: %s\r\nX-Foxtailflow-Response-Seal: seal-%s\r\nTransfer-Encoding: chunked\r\n\r\n", id, id)
	return err == nil
}

// chunk writes one chunk; an empty one ends the body.
func chunk(c net.Conn, data string) bool {
	_, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(data), data)
	return err == nil
}
