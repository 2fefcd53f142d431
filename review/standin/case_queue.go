package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// queueConfig has a stream route and a route of a plain service, with the times of
// arrlon-relay's playlist-suggest and request-lookup.
const queueConfig = `{"version":7,"routes":[
{"name":"r-stream","host":"svc.example","pathPrefix":"/song/","kind":"stream","timeoutMs":6000,"targetLatencyMs":600,"priority":1,"service":"lm","maxAttempts":1,"public":false,"sticky":false,"resumable":false,"gapAimMs":200},
{"name":"r-lookup","host":"svc.example","pathPrefix":"/lookup/","kind":"idempotent","timeoutMs":800,"targetLatencyMs":150,"priority":2,"service":"desk","maxAttempts":2,"public":false,"sticky":false,"resumable":false}],
"services":[{"name":"lm","healthPath":"/health","maxConnections":360,"protocol":"h1","tls":false},{"name":"desk","healthPath":"/health","maxConnections":100,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"station","apiKeys":["key-1"],"priority":1}]}`

// clientPool reuses the connections of clients to one node.
type clientPool struct {
	world  *world
	pinned int
	mu     sync.Mutex
	idle   []*client
	made   int
}

func (p *clientPool) take() *client {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		return c
	}
	p.made++
	return &client{world: p.world, name: fmt.Sprintf("n%dc%d", p.pinned, p.made), pinned: p.pinned}
}

func (p *clientPool) put(c *client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, c)
}

// arrivals sends requests at a rate that may change, until ctx is done.
func arrivals(ctx context.Context, wg *sync.WaitGroup, rate func() float64, send func()) {
	next := time.Now()
	for ctx.Err() == nil {
		next = next.Add(time.Duration(float64(time.Second) / rate() * (0.5 + between(0, time.Second).Seconds())))
		time.Sleep(time.Until(next))
		wg.Go(send)
	}
}

const (
	streamRate   = 70.0
	lookupRate   = 25.0
	streamLength = 3 * time.Second
	burstFactor  = 1.9
	burstLength  = 5 * time.Second
	lookupLimit  = 800 * time.Millisecond
	streamLimit  = 6 * time.Second
	answerSlack  = 500 * time.Millisecond
)

// playQueue lets many users come at once to a route of streams, whose workers have
// room, and checks the answers to the requests for another service.
func playQueue(ctx context.Context, root, dir string, rec *record, trouble bool) (int, error) {
	w, err := newWorld(root, dir, rec, 2)
	if err != nil {
		return 0, err
	}
	defer w.end()
	w.store.put("op", "config", []byte(queueConfig))
	var workers []*worker
	for _, s := range []struct {
		service      string
		count, slots int
	}{{"lm", 16, 64}, {"desk", 3, 6}} {
		for range s.count {
			x, err := w.addWorker(s.service, s.slots)
			if err != nil {
				return 0, err
			}
			workers = append(workers, x)
		}
	}
	if err := w.run(ctx); err != nil {
		return 0, err
	}
	playing, stopPlaying := context.WithCancel(ctx)
	defer stopPlaying()
	var burstFrom, burstUntil time.Time
	var mu sync.Mutex
	streams := func() float64 {
		mu.Lock()
		defer mu.Unlock()
		if now := time.Now(); now.After(burstFrom) && now.Before(burstUntil) {
			return streamRate * burstFactor
		}
		return streamRate
	}
	all := &attempts{}
	var wg sync.WaitGroup
	for i := range w.nodes {
		pool := &clientPool{world: w, pinned: i}
		send := func(method, path string, deadline time.Duration) func() {
			return func() {
				c := pool.take()
				all.add(c.send(method, path, deadline))
				pool.put(c)
			}
		}
		wg.Go(func() {
			arrivals(playing, &wg, streams, send(http.MethodPost, fmt.Sprintf("/song/stream/%d", streamLength.Milliseconds()), streamLimit))
		})
		wg.Go(func() {
			arrivals(playing, &wg, func() float64 { return lookupRate }, send(http.MethodGet, "/lookup/work/30", 1500*time.Millisecond))
		})
	}
	time.Sleep(8 * time.Second)
	mu.Lock()
	if trouble {
		burstFrom = time.Now()
		burstUntil = burstFrom.Add(burstLength)
		rec.add("burst begins")
	}
	mu.Unlock()
	time.Sleep(burstLength + 6*time.Second)
	stopPlaying()
	wg.Wait()
	return judgeQueue(rec, all.list, workers), nil
}

// judgeQueue counts the requests that are unanswered at the timeout of their route, and
// those of them that have no answer half a second later.
func judgeQueue(rec *record, list []*attempt, workers []*worker) int {
	type count struct{ sent, good, unanswered, without, offered int }
	counts := map[string]*count{"stream": {}, "lookup": {}}
	for _, a := range list {
		c, limit := counts["stream"], streamLimit
		if a.path[1] == 'l' {
			c, limit = counts["lookup"], lookupLimit
		}
		c.sent++
		if a.complete && a.status == http.StatusOK {
			c.good++
		}
		// A connection that is closed ends the request as well.
		took := a.ended.Sub(a.sent)
		if took > limit {
			c.unanswered++
		}
		if took > limit+answerSlack {
			c.without++
			if len(runsOf(workers, a.id)) > 0 {
				c.offered++
			}
		}
	}
	unanswered, without := 0, 0
	for _, name := range []string{"stream", "lookup"} {
		c := counts[name]
		rec.say("%s: %d sent, %d answered well, %d unanswered at their route's timeoutMs, %d of them without an answer half a second later (%d of these had reached a worker)",
			name, c.sent, c.good, c.unanswered, c.without, c.offered)
		unanswered += c.unanswered
		without += c.without
	}
	rec.say("%d of %d requests that were unanswered at their route's timeoutMs had no answer half a second later", without, unanswered)
	if without >= 8 && 2*without > unanswered {
		return without
	}
	return 0
}
