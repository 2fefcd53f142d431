package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	partsTime = 70 * time.Second
	// crowd is the number of clients at each node.
	crowd = 1000
	// parts is the number of short parts of a prompt; with them the head of a request has
	// about 16,060 bytes, of 16,384 allowed.
	parts = 3950
	// patience is how long a client waits for its answer, pause how long it waits until its
	// next request.
	patience = 8 * time.Second
	pause    = 300 * time.Millisecond
)

// partsName is the name of the header with the parts of a prompt.
const partsName = "X-Foxtailflow-Prompt-Prefix"

// runParts lets a crowd send requests that are legal in size and name very many short parts
// of a prompt.
func runParts(w *world) (broken bool, err error) {
	w.configure(true)
	if _, err := w.addWorkers(true, 2500*time.Millisecond); err != nil {
		return false, err
	}
	if err := w.startNodes(); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), partsTime)
	defer cancel()
	classes := []*class{shoutoutBook(), requestLookup()}
	var wg sync.WaitGroup
	for _, c := range classes {
		wg.Add(1)
		go func() {
			defer wg.Done()
			w.load(ctx, c, &wg)
		}()
	}
	memory := w.watchMemory(ctx, &wg)
	time.Sleep(calmTime)
	// Without the disruption, the same crowd names one part each.
	count := 1
	if w.trouble {
		count = parts
	}
	w.rec.say("%d clients at each node, each with %d parts of a prompt", crowd, count)
	var statuses [600]atomic.Int64
	for i := range crowd * len(w.nodes) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(i) * 2 * time.Millisecond)
			w.visit(ctx, w.nodes[i%len(w.nodes)], i, count, &statuses)
		}()
	}
	wg.Wait()
	for status := range statuses {
		if n := statuses[status].Load(); n > 0 {
			w.rec.say("crowd: %d times %d (0: no answer)", n, status)
		}
	}
	for _, c := range classes {
		w.rec.say("%s", c.summary())
	}
	w.reportMemory(memory)
	return memory.broken(), nil
}

// visit sends requests of one client of the crowd, one after the other.
func (w *world) visit(ctx context.Context, n *node, client, count int, statuses *[600]atomic.Int64) {
	rest := strings.Repeat(",a:1", count-1)
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("crowd-%d-%d", client, i)
		head := fmt.Sprintf("POST /stream/playlist/%s HTTP/1.1\r\nHost: %s\r\nX-Foxtailflow-Request-Id: %s\r\nX-Foxtailflow-Model: m\r\nX-Foxtailflow-Token-Count: 3950,20\r\n"+
			"%s: %x:1%s\r\nAuthorization: Bearer %s\r\nContent-Length: 0\r\n\r\n", id, host, id, partsName, client<<8+i, rest, apiKey)
		status := ask(n.front, head)
		statuses[status].Add(1)
		w.rec.line("crowd: %s to %s, head of %d bytes: %d", id, n.name, len(head), status)
		time.Sleep(pause)
	}
}

// ask sends a request and returns the status of its answer, 0 for none.
func ask(address, head string) int {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(patience))
	if _, err := io.WriteString(c, head); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}
