package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// memoryConfig has a route for reports, with the limits of the platform's example.
const memoryConfig = `{"version":7,"routes":[
{"name":"r-record","host":"svc.example","pathPrefix":"/record/","kind":"non_idempotent","timeoutMs":6000,"targetLatencyMs":3000,"priority":1,"service":"desk","maxAttempts":1,"public":false,"sticky":false,"resumable":false}],
"services":[{"name":"desk","healthPath":"/health","maxConnections":360,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"station","apiKeys":["key-1"],"priority":1}]}`

const (
	// memoryLimit is memoryMb of the settings.
	memoryLimit = 284 << 20
	// bodyBytes is within maxBodyBytes.
	bodyBytes = 4_000_000
	// memoryClients send bodies at any time, and memoryBurst of them in the burst, 1.9 times as many.
	memoryClients = 38
	memoryBurst   = 72
)

// residentMemory returns the resident memory of a process in bytes.
func residentMemory(pid int) (int, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0, fmt.Errorf("statm has %d fields", len(fields))
	}
	pages, err := strconv.Atoi(fields[1])
	return pages * os.Getpagesize(), err
}

// limitMemory kills a node that takes more memory than it has, as the platform does.
// It returns the peak and whether the node was killed.
func (w *world) limitMemory(ctx context.Context, n *node) (peak int, killed bool) {
	for ctx.Err() == nil {
		used, err := residentMemory(n.cmd.Process.Pid)
		if err != nil {
			return peak, killed
		}
		if peak = max(peak, used); used > memoryLimit {
			w.rec.say("platform: node %s has %d MB of memory, more than memoryMb 284; it is killed", n.name, used>>20)
			w.signal(n, syscall.SIGKILL)
			return peak, true
		}
		time.Sleep(5 * time.Millisecond)
	}
	return peak, killed
}

// playMemory lets more clients than usual send long bodies within maxBodyBytes.
func playMemory(ctx context.Context, root, dir string, rec *record, trouble bool) (int, error) {
	w, err := newWorld(root, dir, rec, 1)
	if err != nil {
		return 0, err
	}
	defer w.end()
	w.store.put("op", "config", []byte(memoryConfig))
	var workers []*worker
	for range 4 {
		x, err := w.addWorker("desk", 24)
		if err != nil {
			return 0, err
		}
		workers = append(workers, x)
	}
	if err := w.run(ctx); err != nil {
		return 0, err
	}
	playing, stopPlaying := context.WithCancel(ctx)
	defer stopPlaying()
	all := &attempts{}
	body := strings.Repeat("x", bodyBytes)
	var wg sync.WaitGroup
	join := func(from, count int) {
		for i := range count {
			wg.Go(func() {
				c := &client{world: w, name: fmt.Sprintf("c%d", from+i), body: body}
				defer c.close()
				time.Sleep(between(0, 3*time.Second))
				for playing.Err() == nil {
					a := c.send(http.MethodPost, "/record/work/3000", 6*time.Second)
					all.add(a)
					if a.err != nil && a.status == 0 {
						return
					}
				}
			})
		}
	}
	watching, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	var peak int
	var killed bool
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		peak, killed = w.limitMemory(watching, w.nodes[0])
	}()
	join(0, memoryClients)
	time.Sleep(15 * time.Second)
	if trouble {
		rec.add("burst begins")
		join(memoryClients, memoryBurst-memoryClients)
	}
	time.Sleep(10 * time.Second)
	stopPlaying()
	wg.Wait()
	stopWatching()
	<-watched
	rec.say("the memory of the node was %d MB at most", peak>>20)
	lost := 0
	for _, a := range all.list {
		if a.kept && a.status == 0 && a.err != nil && len(runsOf(workers, a.id)) > 0 && a.ended.Sub(a.sent) < a.deadline-10*time.Millisecond {
			lost++
		}
	}
	rec.say("%d requests; %d from kept connections were passed on to a sound worker and ended without an answer", len(all.list), lost)
	if killed && lost > 3 {
		return lost, nil
	}
	return 0, nil
}
