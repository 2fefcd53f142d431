package forwarder

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/linker"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/request/attempter"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
)

// relay takes one answer and passes it on.
type relay struct {
	forwarder Forwarder
	attempt   Attempt
	report    *Report
	note      func(attempter.Event)
	watch     watchdog
	answer    *linker.Answer
	head      carrier.Head
}

const (
	pieceSize = 32 << 10
	// maxEvent bounds one event of a stream, in bytes.
	maxEvent = 1 << 20
	// maxWhole bounds an answer that is held whole, in bytes.
	maxWhole = 16 << 20
	// drainWait and drainLimit bound the wait for the end of a stream after its
	// last event, and for the rest of an answer that is not passed on. Without
	// that end the connection cannot be kept, and the next request has to dial.
	drainWait  = 20 * time.Millisecond
	drainLimit = 4 << 10
)

func (x *relay) close() { _ = x.answer.Body.Close() }

// discard reads the rest of an answer that is not passed on.
func (x *relay) discard() {
	_ = x.answer.SetReadDeadline(x.forwarder.Clock.Now().Add(drainWait))
	_, _ = io.CopyN(io.Discard, x.answer.Body, drainLimit)
	_ = x.answer.SetReadDeadline(time.Time{})
	x.close()
}

// pass passes the answer on to the caller.
func (x *relay) pass(ctx context.Context, reply carrier.Reply) error {
	mode := x.forwarder.Dialect.Mode(x.attempt, x.head)
	if mode == Events {
		return x.events(ctx, reply)
	}
	x.watch.start(x.attempt.IdleTimeout, errIdle)
	if mode == Pieces {
		return x.pieces(ctx, reply)
	}
	return x.whole(ctx, reply)
}

func (x *relay) begin(ctx context.Context, reply carrier.Reply) error {
	if x.report.Begun {
		return nil
	}
	x.report.Begun, x.report.Status = true, x.head.Status
	return reply.Begin(ctx, x.head)
}

// write passes a piece on. While the caller is slow to take it, the endpoint is
// not blamed for making no progress.
func (x *relay) write(ctx context.Context, reply carrier.Reply, p []byte) error {
	x.watch.stop()
	defer x.watch.progress()
	return reply.Write(ctx, p)
}

// handle reads the answer to a request that only has its prompt read.
func (x *relay) handle(ctx context.Context) (carrier.Handle, error) {
	x.watch.start(x.attempt.IdleTimeout, errIdle)
	data, err := x.readAll(ctx)
	if err != nil {
		return carrier.Handle{}, err
	}
	if x.head.Status != http.StatusOK {
		return carrier.Handle{}, coder.New(coder.EndpointFailed, "the endpoint answered %d to a prompt", x.head.Status)
	}
	return x.forwarder.Dialect.Handle(data)
}

func (x *relay) readAll(ctx context.Context) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(x.answer.Body, maxWhole+1))
	if err != nil {
		return nil, cut(ctx, err)
	}
	if len(data) > maxWhole {
		return nil, coder.New(coder.EndpointFailed, "the answer is larger than %d bytes", maxWhole)
	}
	// A caller that is slow to take the answer does not hold the connection.
	x.close()
	return data, nil
}

func (x *relay) whole(ctx context.Context, reply carrier.Reply) error {
	data, err := x.readAll(ctx)
	if err != nil {
		return err
	}
	x.report.Usage, err = x.forwarder.Dialect.Answer(x.attempt, x.head, data)
	if err != nil {
		return err
	}
	r := x.attempt.Request
	if x.head.Status >= http.StatusInternalServerError && r.MayRepeat() && !x.report.Begun {
		x.report.Held = carrier.Answer{Head: x.head, Body: data}
		return coder.New(coder.EndpointFailed, "the endpoint answered %d", x.head.Status)
	}
	x.first()
	if err := x.begin(ctx, reply); err != nil {
		return err
	}
	if len(data) == 0 {
		return nil
	}
	return x.write(ctx, reply, data)
}

// first notes that a good answer has begun.
func (x *relay) first() {
	if x.attempt.OnFirst != nil {
		x.attempt.OnFirst()
	}
}

func (x *relay) pieces(ctx context.Context, reply carrier.Reply) error {
	x.first()
	if err := x.begin(ctx, reply); err != nil {
		return err
	}
	buf := make([]byte, pieceSize)
	for {
		n, err := x.answer.Body.Read(buf)
		x.watch.progress()
		if errors.Is(err, io.EOF) {
			// The connection is free before the caller has the end of the answer, so
			// that its next request finds it.
			x.close()
		}
		if n > 0 {
			if err := x.write(ctx, reply, buf[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return cut(ctx, err)
		}
	}
}

// events passes on an event stream. An event that is cut never reaches the
// caller, so the stream can be continued elsewhere after the last whole one.
func (x *relay) events(ctx context.Context, reply carrier.Reply) error {
	r := bufio.NewReader(x.answer.Body)
	for first := true; ; first = false {
		block, err := readEvent(r)
		if errors.Is(err, io.EOF) && !x.forwarder.Dialect.MarksEnd() {
			return x.begin(ctx, reply)
		}
		if err != nil {
			return cut(ctx, err)
		}
		x.watch.progress()
		if first {
			x.first()
			x.watch.start(x.attempt.IdleTimeout, errIdle)
		}
		last, err := x.event(ctx, reply, block)
		if last {
			x.discard()
		}
		if last || err != nil {
			return err
		}
	}
}

func (x *relay) event(ctx context.Context, reply carrier.Reply, block []byte) (last bool, err error) {
	e, err := x.forwarder.Dialect.Event(x.attempt, block)
	if err != nil {
		return false, err
	}
	if e.Usage.Reported {
		x.report.Usage = e.Usage
	}
	if len(e.Data) > 0 {
		if err := x.begin(ctx, reply); err != nil {
			return false, err
		}
		if err := x.write(ctx, reply, e.Data); err != nil {
			return false, err
		}
	}
	// An event that is not passed on counts too: the endpoint has numbered it.
	x.report.Events++
	if e.ID != "" {
		x.report.Last = e.ID
	}
	return e.Last, nil
}

// readEvent returns the next event with the blank line that ends it. The end of
// the stream is io.EOF only between two events.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		if errors.Is(err, io.EOF) && len(event) > 0 {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
		if len(event) > maxEvent {
			return nil, coder.New(coder.EndpointFailed, "an event has more than %d bytes", maxEvent)
		}
		if err == nil && len(bytes.TrimRight(line, "\r\n")) == 0 && len(event) > len(line) {
			return event, nil
		}
		if err == nil && len(event) == len(line) && len(bytes.TrimRight(line, "\r\n")) == 0 {
			event = event[:0]
		}
	}
}

func cut(ctx context.Context, err error) error {
	var known coder.Error
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	switch {
	case errors.As(err, &known):
		return known
	case errors.Is(err, context.DeadlineExceeded):
		return coder.Wrap(coder.DeadlinePassed, err, "the deadline has passed")
	}
	return coder.Wrap(coder.AnswerCut, err, "the answer was cut")
}

// watchdog cancels an attempt that makes no progress.
type watchdog struct {
	clock  timekeeper.Clock
	cancel context.CancelCauseFunc
	timer  timekeeper.Timer
	limit  time.Duration
}

var (
	errIdle = coder.New(coder.AnswerCut, "the endpoint made no progress")
	errLate = coder.New(coder.AnswerLate, "the endpoint did not begin its answer in time")
)

// start begins to watch in place of what was watched before; a limit of 0
// watches nothing.
func (w *watchdog) start(limit time.Duration, reason error) {
	w.stop()
	w.timer, w.limit = nil, limit
	if limit > 0 {
		w.timer = w.clock.AfterFunc(limit, func() { w.cancel(reason) })
	}
}

func (w *watchdog) progress() {
	if w.timer != nil {
		w.timer.Reset(w.limit)
	}
}

func (w *watchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}
