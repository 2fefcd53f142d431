package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// calmTime is how long all is sound at the beginning of a case.
	calmTime = 6 * time.Second
	// headTime is the length of the case.
	headTime = 34 * time.Second
	// headBytes are the bytes of a head that come at once; the rest comes slowly.
	headBytes = 60_000
)

// runHeads lets the workers of one service send a head that does not end.
func runHeads(w *world) (broken bool, err error) {
	w.configure(false)
	lm, err := w.addWorkers(false, 100*time.Millisecond)
	if err != nil {
		return false, err
	}
	if err := w.startNodes(); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), headTime)
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
		w.rec.say("the workers of presenter-lm send heads without an end from now on")
		for _, x := range lm {
			x.setAnswer(endlessHead)
		}
	}
	wg.Wait()
	for _, c := range classes {
		w.rec.say("%s", c.summary())
	}
	w.reportMemory(memory)
	return memory.broken(), nil
}

// endlessHead sends fields until the caller closes: many at once, then one now and then.
func endlessHead(c net.Conn, _ *http.Request) bool {
	if _, err := c.Write([]byte("HTTP/1.1 200 OK\r\n" + shortFields(headBytes))); err != nil {
		return false
	}
	closed := make(chan struct{})
	go func() {
		_, _ = c.Read(make([]byte, 1))
		close(closed)
	}()
	for i := 0; ; i++ {
		select {
		case <-closed:
			return false
		case <-time.After(500 * time.Millisecond):
		}
		if _, err := fmt.Fprintf(c, "more-%d:\r\n", i); err != nil {
			return false
		}
	}
}

// shortFields returns header fields with names of three characters, all different.
func shortFields(size int) string {
	const digits = "abcdefghijklmnopqrstuvwxyz0123456789"
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		b.WriteString(string([]byte{digits[i%36], digits[i/36%36], digits[i/1296%36]}) + ":\r\n")
	}
	return b.String()
}
