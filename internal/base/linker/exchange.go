package linker

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"foxtailflow.example/foxtailflow/internal/base/coder"
)

// Message is a request as it goes over the wire.
type Message struct {
	Method string
	// Target is the path with its query.
	Target string
	// Host is the value of the Host field; empty means the address.
	Host   string
	Header http.Header
	Body   []byte
	// Stream yields the body once in place of Body; Length is its number of
	// bytes, or -1 where that is not known.
	Stream io.Reader
	Length int64
}

// Options bound one exchange.
type Options struct {
	// Connections bounds the connections to the address; 0 means no bound.
	Connections int
	// Fresh has the request sent on a new connection, and the kept ones to the
	// address closed: what has broken one has often broken all.
	Fresh bool
	// Guard is asked between the opening of the connection and the sending; if
	// it fails, nothing is sent. Nil allows all.
	Guard func() error
	// OnSend is called once a byte of the request may leave; nil means nothing.
	OnSend func()
	// Accept reports whether the head of an answer belongs to the request. An
	// answer that does not is read to its end and left out: a faulty server may
	// answer an earlier request twice. Nil accepts all.
	Accept func(status int, h http.Header) bool
}

// Answer is the answer to one request. Body must be closed; after the whole
// body was read, the connection is kept for the next request.
type Answer struct {
	Status int
	Header http.Header
	// Length is the number of bytes of the body, -1 where the head does not
	// tell.
	Length int64
	// Delimited says that the end of the body can be told from a cut.
	Delimited bool
	Body      io.ReadCloser
}

// Send sends a request once and returns when the head of the answer is there.
//
// The error has the outcome NotRun if no byte of the request can have left.
// When ctx ends before Body is closed, the connection is closed at once.
func (l *Linker) Send(ctx context.Context, address string, m Message, o Options) (*Answer, error) {
	head, err := m.encode(address)
	if err != nil {
		return nil, err
	}
	if o.Fresh {
		l.Forget(address)
	}
	c, err := l.connect(ctx, address, o.Connections)
	if err != nil {
		return nil, err
	}
	if ctx.Err() != nil {
		l.close(c)
		return nil, coder.Wrap(coder.EndpointUnreachable, ctx.Err(), "gave up before sending to %s", address).WithOutcome(coder.NotRun)
	}
	if o.Guard != nil {
		if err := o.Guard(); err != nil {
			l.keep(c, l.KeepFor)
			return nil, err
		}
	}
	if o.OnSend != nil {
		o.OnSend()
	}
	x := &exchange{linker: l, link: c, stop: context.AfterFunc(ctx, func() { _ = c.conn.Close() })}
	a, err := x.run(m, head, o)
	if err != nil {
		x.end(false)
		if broke := x.broke.Load(); broke != nil {
			err = *broke
		}
		return nil, failure(ctx, address, c.used, err)
	}
	return a, nil
}

// failure names why an exchange broke after a byte may have left.
//
// A kept connection may have been closed by the other side in the same moment,
// which says nothing against the server.
func failure(ctx context.Context, address string, kept bool, err error) error {
	if ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	var known coder.Error
	if errors.As(err, &known) {
		return known
	}
	code := coder.EndpointFailed
	if kept {
		code = coder.ConnectionLost
	}
	return coder.Wrap(code, err, "the connection to %s broke before an answer", address)
}

// exchange is one request and its answer on a connection.
type exchange struct {
	linker *Linker
	link   *link
	stop   func() bool
	// writing is the sending of a long body beside the reading of the answer.
	writing *conc.WaitGroup
	wrote   chan error
	// broke is why the body failed on its way.
	broke    atomic.Pointer[error]
	keepFor  time.Duration
	reusable bool
	ended    bool
}

// inlineBody is the size up to which a body is written before the answer is
// read. A longer one is written beside, as a server may answer first and read
// on later.
const inlineBody = 8 << 10

func (x *exchange) run(m Message, head []byte, o Options) (*Answer, error) {
	if err := x.write(m, append(head, m.Body...)); err != nil {
		// The server may have answered and closed before it has read all.
		if a, rerr := x.read(m.Method, o); rerr == nil {
			x.reusable = false
			return a, nil
		}
		return nil, err
	}
	return x.read(m.Method, o)
}

func (x *exchange) write(m Message, data []byte) error {
	if len(m.Body) <= inlineBody && m.Stream == nil {
		_, err := x.link.conn.Write(data)
		return err
	}
	x.writing, x.wrote = &conc.WaitGroup{}, make(chan error, 1)
	x.writing.Go(func() {
		_, err := x.link.conn.Write(data)
		if err == nil && m.Stream != nil {
			err = x.writeStream(m)
		}
		x.wrote <- err
	})
	return nil
}

// writeStream sends a body as it comes. A body that fails on its way breaks the
// connection, as the server must not take it for whole.
func (x *exchange) writeStream(m Message) error {
	if m.Length >= 0 {
		n, err := io.Copy(x.link.conn, io.LimitReader(m.Stream, m.Length))
		if err == nil && n < m.Length {
			err = io.ErrUnexpectedEOF
		}
		return x.breakOff(err)
	}
	w := httputil.NewChunkedWriter(x.link.conn)
	if _, err := io.Copy(w, m.Stream); err != nil {
		return x.breakOff(err)
	}
	if err := w.Close(); err != nil {
		return err
	}
	_, err := io.WriteString(x.link.conn, "\r\n")
	return err
}

// breakOff closes the connection if the body failed.
func (x *exchange) breakOff(err error) error {
	if err != nil {
		x.broke.Store(&err)
		_ = x.link.conn.Close()
	}
	return err
}

// sent reports whether the whole request has left.
func (x *exchange) sent() bool {
	if x.wrote == nil {
		return true
	}
	select {
	case err := <-x.wrote:
		x.wrote = nil
		return err == nil
	default:
		return false
	}
}

// maxForeign is how many answers that belong to other requests are left out.
const maxForeign = 2

func (x *exchange) read(method string, o Options) (*Answer, error) {
	for range maxForeign + 1 {
		resp, err := x.readHead(method) //nolint:bodyclose // The caller closes the body of the answer.
		if err != nil {
			return nil, err
		}
		if o.Accept == nil || o.Accept(resp.StatusCode, resp.Header) {
			return x.answer(resp), nil
		}
		if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			break
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, err
		}
	}
	return nil, coder.New(coder.AnswerCrossed, "the answers belong to other requests")
}

// readHead reads the head of a final answer.
func (x *exchange) readHead(method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(x.link.r, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("the server switched protocols unasked")
		}
	}
}

func (x *exchange) answer(resp *http.Response) *Answer {
	chunked := len(resp.TransferEncoding) > 0
	a := &Answer{
		Status:    resp.StatusCode,
		Header:    resp.Header,
		Length:    resp.ContentLength,
		Delimited: chunked || resp.ContentLength >= 0,
	}
	x.keepFor = x.linker.keepFor(resp.Header)
	x.reusable = a.Delimited && !resp.Close
	b := &body{exchange: x, r: resp.Body, whole: resp.ContentLength == 0}
	a.Body = b
	return a
}

// keepShare is the part of the other side's idle timeout for which a connection
// is kept, so that it is not closed there while a request is on its way.
const keepShare = 0.8

// keepFor returns how long a connection may be kept by an answer's header.
func (l *Linker) keepFor(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil {
			return min(time.Duration(keepShare*float64(n)*float64(time.Second)), l.KeepFor)
		}
	}
	return l.KeepFor
}

// end gives the connection back, or closes it.
func (x *exchange) end(whole bool) {
	if x.ended {
		return
	}
	x.ended = true
	// A context that has ended has closed the connection.
	alive := x.stop()
	if alive && whole && x.reusable && x.sent() && x.link.r.Buffered() == 0 {
		x.link.used = true
		x.linker.keep(x.link, x.keepFor)
		return
	}
	x.linker.close(x.link)
	if x.writing != nil {
		x.writing.Wait()
	}
}

// body is the body of an answer; its end gives the connection back.
type body struct {
	exchange *exchange
	r        io.ReadCloser
	whole    bool
}

// Read reads of the body.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if errors.Is(err, io.EOF) {
		b.whole = true
	}
	return n, err
}

// Close ends the exchange; a body that was not read to its end costs the
// connection.
func (b *body) Close() error {
	b.exchange.end(b.whole)
	return nil
}

// SetReadDeadline bounds the next reads of a body.
func (a *Answer) SetReadDeadline(t time.Time) error {
	b, ok := a.Body.(*body)
	if !ok {
		return nil
	}
	return b.exchange.link.conn.SetReadDeadline(t)
}

// encode returns the head of the message.
func (m Message) encode(address string) ([]byte, error) {
	host := m.Host
	if host == "" {
		host = address
	}
	b := make([]byte, 0, headSize+len(m.Body))
	b = append(b, m.Method+" "+m.Target+" HTTP/1.1\r\nHost: "+host+"\r\n"...)
	for name, values := range m.Header {
		for _, v := range values {
			if !valid(name) || !valid(v) {
				return nil, coder.Refuse(coder.MalformedHeader, "header field %q cannot be passed on", name)
			}
			b = append(b, name+": "+v+"\r\n"...)
		}
	}
	length := int64(len(m.Body))
	if m.Stream != nil {
		length = m.Length
	}
	switch {
	case length < 0:
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	case length > 0 || m.Method == http.MethodPost || m.Method == http.MethodPut:
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, length, 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...), nil
}

// headSize is enough for the head of nearly all requests.
const headSize = 768

// valid reports whether a name or value of a header field keeps to its line.
func valid(s string) bool { return !strings.ContainsAny(s, "\r\n\x00") }
