package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// class is a kind of request of ordinary clients, with its rate.
type class struct {
	name, method, path string
	perSecond          float64
	// timeout is the route's timeoutMs, deadline the time that the client waits.
	timeout, deadline time.Duration

	mu   sync.Mutex
	sent int
	// ends counts the ends of the requests: a status, or why there was no answer.
	ends map[string]int
	// pending counts the requests without an answer at the route's timeout, unanswered those
	// of them that have none half a second later.
	pending, unanswered int
}

// halfSecond is the time after a route's timeout within which a final answer is due.
const halfSecond = 500 * time.Millisecond

// load sends the requests of a class at its rate to the nodes in turn until ctx is done. Each
// request is one attempt.
func (w *world) load(ctx context.Context, c *class, wg *sync.WaitGroup) {
	transports := make([]*http.Transport, len(w.nodes))
	for i := range transports {
		transports[i] = &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableCompression: true, MaxIdleConnsPerHost: 200, IdleConnTimeout: 10 * time.Second}
		defer transports[i].CloseIdleConnections()
	}
	c.ends = make(map[string]int)
	interval, next := time.Duration(float64(time.Second)/c.perSecond), time.Now()
	var requests sync.WaitGroup
	defer requests.Wait()
	for i := 0; ctx.Err() == nil; i++ {
		next = next.Add(interval)
		time.Sleep(time.Until(next))
		n, t, id := w.nodes[i%len(w.nodes)], transports[i%len(w.nodes)], fmt.Sprintf("%s-%d", c.name, i)
		requests.Add(1)
		go func() {
			defer requests.Done()
			w.send(c, n, t, id)
		}()
	}
}

// send sends one request and records its end.
func (w *world) send(c *class, n *node, t *http.Transport, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
	defer cancel()
	var body io.Reader
	if c.method == http.MethodPost {
		body = strings.NewReader("{}")
	}
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+n.front+c.path+id, body)
	if err != nil {
		panic(err)
	}
	// The client of the standard library must not send the request again by itself.
	req.GetBody = nil
	req.Host = host
	req.Header.Set("X-Foxtailflow-Request-Id", id)
	req.Header.Set("X-Foxtailflow-Deadline-Ms", fmt.Sprint(c.deadline.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+apiKey)
	begin := time.Now()
	end := exchange(ctx, t, req, id)
	took := time.Since(begin)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	c.ends[end]++
	if took > c.timeout {
		c.pending++
		if took > c.timeout+halfSecond {
			c.unanswered++
		}
	}
	w.rec.line("client: %s to %s: %s after %d ms", id, n.name, end, took.Milliseconds())
}

// exchange sends a request and returns its end.
func exchange(ctx context.Context, t *http.Transport, req *http.Request, id string) string {
	resp, err := t.RoundTrip(req)
	if err != nil {
		return reason(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		return fmt.Sprintf("%d, then %s", resp.StatusCode, reason(ctx, err))
	case resp.StatusCode == http.StatusOK && !strings.Contains(string(data), id):
		return "200 with other bytes"
	}
	return fmt.Sprint(resp.StatusCode)
}

// reason names the end of a request without a complete answer.
func reason(ctx context.Context, err error) string {
	switch {
	case ctx.Err() != nil:
		return "no answer by the client's deadline"
	case strings.Contains(err.Error(), "refused"):
		return "connection refused"
	}
	return "connection ended without an answer"
}

// summary returns the numbers of a class.
func (c *class) summary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := fmt.Sprintf("%s: %d sent", c.name, c.sent)
	var ends []string
	for end := range c.ends {
		ends = append(ends, end)
	}
	sort.Strings(ends)
	for _, end := range ends {
		s += fmt.Sprintf("; %s: %d", end, c.ends[end])
	}
	return s + fmt.Sprintf("; unanswered at the route's timeout: %d, and half a second later: %d", c.pending, c.unanswered)
}
