package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	grace     = 8 * time.Second
	lastSixth = grace * 5 / 6
)

// stopConfig has a stream route with the times of arrlon-relay's playlist-suggest.
const stopConfig = `{"version":7,"routes":[
{"name":"r-stream","host":"svc.example","pathPrefix":"/song/","kind":"stream","timeoutMs":6000,"targetLatencyMs":600,"priority":1,"service":"lm","maxAttempts":1,"public":false,"sticky":false,"resumable":false,"gapAimMs":200}],
"services":[{"name":"lm","healthPath":"/health","maxConnections":360,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"station","apiKeys":["key-1"],"priority":1}]}`

// playStop stops one of two nodes with SIGTERM while clients get streams of 4 to
// 4.3 s, and counts the streams that the node took and broke off.
func playStop(ctx context.Context, root, dir string, rec *record, trouble bool) (int, error) {
	w, err := newWorld(root, dir, rec, 2)
	if err != nil {
		return 0, err
	}
	defer w.end()
	w.store.put("op", "config", []byte(stopConfig))
	var workers []*worker
	for range 6 {
		x, err := w.addWorker("lm", 64)
		if err != nil {
			return 0, err
		}
		workers = append(workers, x)
	}
	if err := w.run(ctx); err != nil {
		return 0, err
	}
	// The system and the store are undisturbed for contactMs and more before the stop.
	const settle, clients = 12 * time.Second, 400
	all := &attempts{}
	playing, stopPlaying := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for i := range clients {
		wg.Go(func() {
			c := &client{world: w, name: fmt.Sprintf("c%d", i), pinned: i % 2}
			defer c.close()
			time.Sleep(between(0, 5*time.Second))
			for playing.Err() == nil {
				length := between(4000*time.Millisecond, 4350*time.Millisecond).Truncate(eventGap)
				all.add(c.send(http.MethodPost, fmt.Sprintf("/song/stream/%d", length.Milliseconds()), 6*time.Second))
				time.Sleep(between(0, time.Second))
			}
		})
	}
	time.Sleep(settle)
	stopped := w.nodes[0]
	term := time.Now()
	if trouble {
		w.signal(stopped, syscall.SIGTERM)
	}
	time.Sleep(grace + 2*time.Second)
	if trouble {
		w.signal(stopped, syscall.SIGKILL)
	}
	stopPlaying()
	wg.Wait()
	return judgeStop(rec, all.list, workers, stopped, term), nil
}

// judgeStop counts the requests of which a part or nothing was answered although the
// node had read and passed them on, and for which no excuse of the rule holds.
func judgeStop(rec *record, list []*attempt, workers []*worker, stopped *node, term time.Time) int {
	cut, within, late := 0, 0, 0
	for _, a := range list {
		runs := runsOf(workers, a.id)
		if a.complete || len(runs) == 0 || a.node != stopped || a.ended.Before(term) || a.ended.After(term.Add(grace+time.Second)) {
			continue
		}
		if a.ended.Sub(a.sent) >= a.deadline-10*time.Millisecond {
			continue
		}
		run := runs[len(runs)-1]
		switch {
		case run.complete || run.late:
			// The worker was done, or broke off itself: not counted.
			continue
		case run.done.After(term.Add(lastSixth)):
			late++
			continue
		}
		cut++
		var ms int
		_, _ = fmt.Sscanf(a.path, "/song/stream/%d", &ms)
		end := run.began.Add(time.Duration(ms) * time.Millisecond)
		if end.Before(term.Add(lastSixth)) {
			within++
		}
		rec.say("cut: %s sent %.3f s after SIGTERM, cut %.3f s after it with %d events; its worker needed until %.3f s, last sixth begins at %.3f s",
			a.id, a.sent.Sub(term).Seconds(), a.ended.Sub(term).Seconds(), a.events, end.Sub(term).Seconds(), lastSixth.Seconds())
	}
	rec.say("%d requests; %d streams cut before the last sixth of graceS, of which %d would have been complete before it; %d cut in it", len(list), cut, within, late)
	return cut
}
