package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// The deployment of all cases: two machines of arrlon-relay that are left of its seven.
const (
	zone   = "ikeja"
	host   = "case.example"
	apiKey = "key-of-a"
	// memoryMB is the memory of a machine.
	memoryMB = 284
	// restartDelay is the short delay after which the platform restarts a process.
	restartDelay = 500 * time.Millisecond
	// maxEnds is the number of ends of processes on a machine that break the rule Fault.
	maxEnds = 3
)

// The classes of arrlon-relay, with the rates, deadlines and timeouts of its sheet.
func playlistSuggest() *class {
	return &class{name: "playlist-suggest", method: http.MethodPost, path: "/stream/playlist/", perSecond: 21.1, timeout: 6 * time.Second, deadline: 6 * time.Second}
}

func dedicationRewrite() *class {
	return &class{name: "dedication-rewrite", method: http.MethodPost, path: "/stream/dedication/", perSecond: 170, timeout: 3 * time.Second, deadline: 3 * time.Second}
}

func shoutoutBook() *class {
	return &class{name: "shoutout-book", method: http.MethodPost, path: "/book/", perSecond: 47.9, timeout: 800 * time.Millisecond, deadline: 1500 * time.Millisecond}
}

func requestLookup() *class {
	return &class{name: "request-lookup", method: http.MethodGet, path: "/lookup/", perSecond: 19.1, timeout: 800 * time.Millisecond, deadline: 1500 * time.Millisecond}
}

// configure writes the configuration; with engine, the workers of presenter-lm are engines
// that prefill or decode.
func (w *world) configure(engine bool) {
	lm := map[string]any{"name": "presenter-lm", "healthPath": "/health", "maxConnections": 360}
	if engine {
		lm["engine"] = map[string]any{
			"slots": 64, "kvTokens": 465460, "kvTokenBytes": 163840, "linkMbps": 1500000.0, "handleTtlS": 5.0, "switchS": 3.0,
			"models": []any{map[string]any{"name": "m"}},
		}
	}
	w.store.put("op", "config", map[string]any{
		"version": 1,
		"routes": []any{
			map[string]any{"name": "playlist", "host": host, "pathPrefix": "/stream/playlist/", "kind": "stream", "timeoutMs": 6000, "targetLatencyMs": 600, "gapAimMs": 200, "priority": 1, "service": "presenter-lm", "maxAttempts": 1, "public": false, "sticky": engine, "resumable": false},
			map[string]any{"name": "dedication", "host": host, "pathPrefix": "/stream/dedication/", "kind": "stream", "timeoutMs": 3000, "targetLatencyMs": 300, "gapAimMs": 200, "priority": 0, "service": "presenter-lm", "maxAttempts": 2, "public": false, "sticky": engine, "resumable": true},
			map[string]any{"name": "book", "host": host, "pathPrefix": "/book/", "kind": "non_idempotent", "timeoutMs": 800, "targetLatencyMs": 150, "priority": 2, "service": "requestdesk", "maxAttempts": 1, "public": false},
			map[string]any{"name": "lookup", "host": host, "pathPrefix": "/lookup/", "kind": "idempotent", "timeoutMs": 800, "targetLatencyMs": 150, "priority": 2, "service": "requestdesk", "maxAttempts": 2, "public": false},
		},
		"services": []any{lm, map[string]any{"name": "requestdesk", "healthPath": "/health", "maxConnections": 100}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "a", "apiKeys": []string{apiKey}}},
	})
}

// addWorkers starts the workers: twelve of presenter-lm, which are returned, and three of
// requestdesk.
func (w *world) addWorkers(engine bool, work time.Duration) (lm []*worker, err error) {
	for i := range 12 {
		stage := ""
		if engine {
			stage = [...]string{"prefill", "prefill", "decode"}[i%3]
		}
		x, err := w.addWorker(fmt.Sprintf("i-lm%d", i), "presenter-lm", stage, work)
		if err != nil {
			return nil, err
		}
		lm = append(lm, x)
	}
	for i := range 3 {
		if _, err := w.addWorker(fmt.Sprintf("i-desk%d", i), "requestdesk", "", 30*time.Millisecond); err != nil {
			return nil, err
		}
	}
	return lm, nil
}

// startNodes starts two nodes and waits until they are ready.
func (w *world) startNodes() error {
	for i := range 2 {
		if err := w.addNode(fmt.Sprintf("front-%s-%d", zone, i+1)); err != nil {
			return err
		}
	}
	for _, n := range w.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	for _, n := range w.nodes {
		if !n.awaitReady(15 * time.Second) {
			return fmt.Errorf("node %s is not ready", n.name)
		}
	}
	return nil
}

// memoryWatch is what the platform has seen of the memory of the nodes.
type memoryWatch struct {
	// mostMB and ends are by node.
	mostMB, ends []int
}

// broken reports whether processes have ended so often that the rule Fault is broken: three
// times on a tenth of the machines, two at least.
func (m memoryWatch) broken() bool {
	machines := 0
	for _, n := range m.ends {
		if n >= maxEnds {
			machines++
		}
	}
	return machines >= 2
}

// watchMemory does what the platform does: it ends a process that exceeds its memory, and
// starts it again after a short delay. The result is valid when wg is done.
func (w *world) watchMemory(ctx context.Context, wg *sync.WaitGroup) *memoryWatch {
	m := &memoryWatch{mostMB: make([]int, len(w.nodes)), ends: make([]int, len(w.nodes))}
	for i, n := range w.nodes {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for ; ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
				mb := n.residentMB()
				m.mostMB[i] = max(m.mostMB[i], mb)
				if mb <= memoryMB {
					continue
				}
				m.ends[i]++
				w.rec.say("platform: node %s has %d MB resident, more than its %d MB: killed, for the %d. time", n.name, mb, memoryMB, m.ends[i])
				n.signal(syscall.SIGKILL)
				<-n.exited
				time.Sleep(restartDelay)
				if err := n.start(); err != nil {
					w.rec.say("node %s does not start: %v", n.name, err)
				}
			}
		}()
	}
	return m
}

// reportMemory writes what the platform has seen.
func (w *world) reportMemory(m *memoryWatch) {
	for i, n := range w.nodes {
		w.rec.say("node %s: at most %d MB of %d MB resident, killed %d times", n.name, m.mostMB[i], memoryMB, m.ends[i])
	}
}
