package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// client keeps one connection open for its requests, as long as the node keeps it.
type client struct {
	world  *world
	name   string
	number int
	// pinned is the node to which new connections go while it is in rotation.
	pinned int
	// body is the body of its POST requests.
	body string

	conn   net.Conn
	reader *bufio.Reader
	node   *node
	kept   bool
	last   time.Time
}

// idleLimit is how long a client reuses an idle connection: four fifths of the
// idleTimeoutMs of the configuration.
const idleLimit = 12 * time.Second

// attempt is one request of a client.
type attempt struct {
	id, path string
	node     *node
	kept     bool
	sent     time.Time
	ended    time.Time
	deadline time.Duration
	// status is 0 if there was no answer. complete means that the answer was whole,
	// events is the number of events received.
	status   int
	complete bool
	events   int
	err      error
}

// connect opens a connection through the balancer.
func (c *client) connect() error {
	var candidates []*node
	for _, n := range c.world.nodes {
		if n.misses.Load() < 2 {
			candidates = append(candidates, n)
		}
	}
	if len(candidates) == 0 {
		candidates = c.world.nodes
	}
	c.node = candidates[c.pinned%len(candidates)]
	if n := c.world.nodes[c.pinned%len(c.world.nodes)]; n.misses.Load() < 2 {
		c.node = n
	}
	conn, err := net.DialTimeout("tcp", c.node.front, time.Second)
	if err != nil {
		return err
	}
	c.conn, c.reader, c.kept = conn, bufio.NewReader(conn), false
	return nil
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send sends a request and waits for its answer.
func (c *client) send(method, path string, deadline time.Duration) *attempt {
	c.number++
	a := &attempt{id: fmt.Sprintf("%s-%d", c.name, c.number), path: path, deadline: deadline}
	if c.conn != nil && time.Since(c.last) > idleLimit {
		c.close()
	}
	if c.conn == nil {
		if a.err = c.connect(); a.err != nil {
			a.sent = time.Now()
			a.ended = a.sent
			a.node = c.node
			c.world.rec.add("client %s cannot connect to %s: %v", a.id, c.node.name, a.err)
			return a
		}
	}
	a.node, a.kept = c.node, c.kept
	a.sent = time.Now()
	c.world.rec.addAt(a.sent, "client sends %s %s %s to %s, kept connection %v", a.id, method, path, a.node.name, a.kept)
	_ = c.conn.SetDeadline(a.sent.Add(deadline))
	length := ""
	if method == http.MethodPost {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(c.body))
	}
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: svc.example\r\n%s: %s\r\n%s: %d\r\nAuthorization: Bearer key-1\r\n%s\r\n", method, path, headerID, a.id, headerDeadline, deadline.Milliseconds(), length)
	_, a.err = io.WriteString(c.conn, text)
	if a.err == nil && length != "" {
		_, a.err = io.WriteString(c.conn, c.body)
	}
	if a.err == nil {
		a.err = c.receive(a)
	}
	a.ended = time.Now()
	c.last = a.ended
	if a.err != nil {
		c.close()
	}
	c.world.rec.addAt(a.ended, "client has %s: status %d, complete %v, %d events, after %.3f s, error %v", a.id, a.status, a.complete, a.events, a.ended.Sub(a.sent).Seconds(), a.err)
	return a
}

func (c *client) receive(a *attempt) error {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	a.status = resp.StatusCode
	body, err := io.ReadAll(resp.Body)
	a.events = strings.Count(string(body), "data: ")
	if err != nil {
		return err
	}
	a.complete = true
	c.kept = true
	if resp.Close {
		c.close()
	}
	return nil
}

// attempts collects the requests of all clients.
type attempts struct {
	mu   sync.Mutex
	list []*attempt
}

func (l *attempts) add(a *attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, a)
}

// between returns a random duration of a range.
func between(from, to time.Duration) time.Duration {
	return from + time.Duration(rand.Int64N(int64(to-from)))
}
