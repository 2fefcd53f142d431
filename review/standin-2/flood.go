package main

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	floodTime = 34 * time.Second
	// floodBytes are the bytes a second of one stream. The streams of a node together take
	// less than its link of 1,000 Mbit/s.
	floodBytes = 250_000
	floodTick  = 20 * time.Millisecond
	// minPending is the number of requests from which on the rule is judged.
	minPending = 20
)

// runFlood lets the workers of one service send comments without an end in place of events.
func runFlood(w *world) (broken bool, err error) {
	w.configure(false)
	lm, err := w.addWorkers(false, 100*time.Millisecond)
	if err != nil {
		return false, err
	}
	if err := w.startNodes(); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), floodTime)
	defer cancel()
	classes := []*class{playlistSuggest(), dedicationRewrite(), shoutoutBook(), requestLookup()}
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
	if w.trouble {
		w.rec.say("the workers of presenter-lm send comments without an end from now on")
		for _, x := range lm {
			x.setAnswer(endlessComments)
		}
	}
	wg.Wait()
	pending, unanswered := 0, 0
	for _, c := range classes {
		w.rec.say("%s", c.summary())
		// The clients of the other routes leave at the route's timeout.
		if c.deadline >= c.timeout+halfSecond {
			pending, unanswered = pending+c.pending, unanswered+c.unanswered
		}
	}
	w.reportMemory(memory)
	w.rec.say("requests to requestdesk without an answer at their route's timeout: %d; of these, without one half a second later: %d", pending, unanswered)
	return pending >= minPending && 2*unanswered > pending, nil
}

// endlessComments begins a stream and sends comments until the caller closes.
func endlessComments(c net.Conn, r *http.Request) bool {
	if !beginStream(c, r.Header.Get("X-Foxtailflow-Request-Id")) {
		return false
	}
	const comment = ":\n\n"
	part := strings.Repeat(comment, int(floodBytes*floodTick.Seconds())/len(comment))
	for chunk(c, part) {
		time.Sleep(floodTick)
	}
	return false
}
