package linker_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/linker"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
)

// TestScripts guards H7, H8 and H9 at their root: a request that is sent a
// second time, an answer that is taken for another request's, and a failure that
// says not run although bytes have left. Each command is a request with what the
// server does to it, the output what the server and the sender have seen.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := newServer(t)
		defer s.close()
		clock := timekeeper.NewFake(time.Unix(1000, 0))
		l := &linker.Linker{Clock: clock, Dial: linker.Dialer{Timeout: time.Second, Silence: time.Second}.Dial, KeepFor: 4 * time.Second}
		w := &world{server: s, clock: clock, linker: l}
		datadriven.RunTest(t, path, w.do)
	})
}

type world struct {
	server *server
	clock  *timekeeper.Fake
	linker *linker.Linker
	held   []*linker.Answer
	// step numbers the commands. Each request bears the number of its own: one
	// that was cut off may arrive while the next command runs.
	step int
}

func (w *world) do(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "send":
		w.step++
		w.server.script(w.step, d.Input)
		out := w.send(t, d)
		if !d.HasArg("failing-body") {
			// Whether a request that is cut off arrives is up to chance.
			out += w.server.told()
		}
		return out + w.stats()
	case "release":
		for _, a := range w.held {
			if _, err := io.ReadAll(a.Body); err != nil {
				t.Fatal(err)
			}
			_ = a.Body.Close()
		}
		w.held = nil
		return w.stats()
	case "pass":
		span, err := time.ParseDuration(d.CmdArgs[0].Key)
		if err != nil {
			t.Fatal(err)
		}
		w.clock.Advance(span)
		_ = w.linker.Sweep(t.Context())
		return w.stats()
	case "settle":
		// The other side's closing has to arrive.
		time.Sleep(50 * time.Millisecond)
		return w.stats()
	}
	t.Fatalf("unknown command %s", d.Cmd)
	return ""
}

func (w *world) stats() string {
	s := w.linker.Stats(w.server.address())
	return fmt.Sprintf("%d open, %d idle\n", s.Open, s.Idle)
}

func (w *world) send(t *testing.T, d *datadriven.TestData) string {
	m := linker.Message{
		Method: http.MethodPost, Target: "/x", Body: []byte("body"),
		Header: http.Header{"Id": {"r1"}, "Step": {strconv.Itoa(w.step)}},
	}
	o := linker.Options{Accept: func(_ int, h http.Header) bool { return h.Get("Id") != "other" }}
	address := w.server.address()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	for _, a := range d.CmdArgs {
		switch a.Key {
		case "connections":
			o.Connections = 1
		case "fresh":
			o.Fresh = true
		case "guarded":
			o.Guard = func() error { return coder.Refuse(coder.LeaseNotHeld, "the lease has ended") }
		case "long":
			m.Body = make([]byte, 16<<20)
		case "bad-header":
			m.Header = http.Header{"Id": {"a\r\nb"}}
		case "failing-body":
			m.Body, m.Stream, m.Length = nil, io.MultiReader(strings.NewReader("half"), failing{}), -1
		case "unreachable":
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			address = l.Addr().String()
			_ = l.Close()
		case "gives-up":
			w.server.onSilence(cancel)
		}
	}
	a, err := w.linker.Send(ctx, address, m, o)
	if err != nil {
		cancel()
		f := coder.Of(err)
		return fmt.Sprintf("%d %s\n", f.Code(), f.Outcome())
	}
	if d.HasArg("hold") {
		w.held = append(w.held, a)
		context.AfterFunc(t.Context(), cancel)
		return fmt.Sprintf("%d\n", a.Status)
	}
	defer cancel()
	data, err := io.ReadAll(a.Body)
	_ = a.Body.Close()
	out := fmt.Sprintf("%d %q, delimited %v", a.Status, data, a.Delimited)
	if err != nil {
		out += ", cut"
	}
	return out + "\n"
}

type failing struct{}

func (failing) Read([]byte) (int, error) { return 0, errors.New("the caller left") }

// server answers each request as the next line of a script says.
type server struct {
	listener net.Listener

	mu       sync.Mutex
	step     string
	steps    []string
	requests int
	accepted int
	// silent is called when a request gets no answer.
	silent func()
}

func (s *server) onSilence(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = f
}

func newServer(t *testing.T) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

func (s *server) address() string { return s.listener.Addr().String() }
func (s *server) close()          { _ = s.listener.Close() }

func (s *server) script(step int, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.step, s.steps, s.requests, s.accepted = strconv.Itoa(step), strings.Fields(text), 0, 0
}

// told returns what has arrived since the script began.
func (s *server) told() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.requests == 0 {
		return "server: nothing\n"
	}
	return fmt.Sprintf("server: %d requests, %d new connections\n", s.requests, s.accepted)
}

// next returns what to do with a request; a request of an earlier command does
// not count.
func (s *server) next(command string, first bool) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if command != s.step {
		return "ok"
	}
	s.requests++
	if first {
		s.accepted++
	}
	if len(s.steps) == 0 {
		return "ok"
	}
	step := s.steps[0]
	s.steps = s.steps[1:]
	return step
}

// answers has what the server sends by the words of a script.
var answers = map[string]string{
	"ok":        "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 2\r\n\r\nok",
	"crossed":   "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nother" + "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 2\r\n\r\nok",
	"extra":     "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n",
	"interim":   "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 2\r\n\r\nok",
	"keep-2":    "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=2\r\nContent-Length: 2\r\n\r\nok",
	"chunked":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"cut-chunk": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
	"short":     "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
	"to-close":  "HTTP/1.1 200 OK\r\n\r\nok",
	"early":     "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n",
	"then-ends": "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"garbled":   "SMTP 7\r\n\r\n",
}

// ends names the steps after which the connection ends.
var ends = map[string]bool{"cut-chunk": true, "short": true, "to-close": true, "then-ends": true, "garbled": true, "cut": true}

func (s *server) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for first := true; ; first = false {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		step := s.next(req.Header.Get("Step"), first)
		if step == "early" {
			_, _ = io.WriteString(c, answers[step])
			// The rest of the body is more than the buffers on the way hold.
			time.Sleep(100 * time.Millisecond)
			_, _ = io.Copy(io.Discard, req.Body)
			continue
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if step == "silence" {
			s.mu.Lock()
			silent := s.silent
			s.mu.Unlock()
			silent()
			_, _ = r.ReadByte()
			return
		}
		_, _ = io.WriteString(c, answers[step])
		if ends[step] {
			return
		}
	}
}
