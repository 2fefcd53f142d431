package forwarder

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/limiter"
	"foxtailflow.example/foxtailflow/internal/base/reserver"
	"foxtailflow.example/foxtailflow/internal/base/roundtripper"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/request/attempter"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
)

// relay receives one response and passes it on.
type relay struct {
	forwarder Forwarder
	attempt   Attempt
	report    *Report
	record    func(attempter.Event)
	watchdog  watchdog
	response  *roundtripper.Response
	head      carrier.ResponseHead
}

const (
	readBufferSize = 32 << 10
	// maxEvent bounds one event of a stream, maxBuffered a response that is read
	// completely, and maxPrefetch what is read of a response before it is passed on,
	// all in bytes. An endpoint in trouble takes that much for each connection to it.
	maxEvent    = 256 << 10
	maxBuffered = 1 << 20
	maxPrefetch = 256 << 10
	// drainTimeout and drainLimit bound the reading of the end of a stream
	// after its last event, and of the rest of a response that is not passed
	// on. Without that end the connection cannot be kept, and the next request
	// has to dial.
	drainTimeout = 20 * time.Millisecond
	drainLimit   = 4 << 10
)

func (x *relay) close() { _ = x.response.Body.Close() }

// discard reads the rest of a response that is not passed on, and closes it.
func (x *relay) discard() {
	_ = x.response.SetReadDeadline(x.forwarder.Clock.Now().Add(drainTimeout))
	_, _ = io.CopyN(io.Discard, x.response.Body, drainLimit)
	_ = x.response.SetReadDeadline(time.Time{})
	x.close()
}

// passOn passes the response on to the caller.
func (x *relay) passOn(ctx context.Context, w carrier.ResponseWriter) error {
	mode := x.forwarder.Dialect.Mode(x.attempt, x.head)
	if mode == Events {
		return x.passEvents(ctx, w)
	}
	x.watchdog.start(x.attempt.IdleTimeout, errIdleTimeout)
	switch mode {
	case Streamed:
		return x.passChunks(ctx, w, nil)
	case Prefetched:
		return x.passPrefetched(ctx, w)
	}
	return x.passBuffered(ctx, w)
}

func (x *relay) begin(ctx context.Context, w carrier.ResponseWriter) error {
	if x.report.ResponseBegun {
		return nil
	}
	x.report.ResponseBegun, x.report.Status = true, x.head.Status
	return w.Begin(ctx, x.head)
}

// write passes a chunk on. The idle timeout of the endpoint is suspended while
// the caller is slow to take it.
func (x *relay) write(ctx context.Context, w carrier.ResponseWriter, p []byte) error {
	x.watchdog.stop()
	defer x.watchdog.progress()
	return w.Write(ctx, p)
}

// readHandle reads the response to a request that only prefills a prompt.
func (x *relay) readHandle(ctx context.Context) (carrier.PromptHandle, error) {
	x.watchdog.start(x.attempt.IdleTimeout, errIdleTimeout)
	data, held, err := x.readAll(ctx)
	if err != nil {
		return carrier.PromptHandle{}, err
	}
	defer held.Release()
	if x.head.Status != http.StatusOK {
		return carrier.PromptHandle{}, coder.New(coder.EndpointFailed, "the endpoint responded to a prefill request with status %d", x.head.Status)
	}
	return x.forwarder.Dialect.Handle(data)
}

// readAll reads a response to its end. The reservation is released when the data is no
// longer used; it holds nothing after an error.
func (x *relay) readAll(ctx context.Context) ([]byte, reserver.Reservation, error) {
	data, err := x.readFirst()
	if err != nil {
		return nil, reserver.Reservation{}, readFailure(ctx, err)
	}
	var held reserver.Reservation
	if len(data) == readBufferSize {
		held, err = x.forwarder.Memory.AwaitResponse(ctx, heldPerByte*maxBuffered, x.attempt.Request.Deadline.Sub(x.forwarder.Clock.Now()))
		if err != nil {
			return nil, held, coder.FromError(err).WithOutcome(coder.Unknown)
		}
		data, err = limiter.ReadAll(io.MultiReader(bytes.NewReader(data), x.response.Body), maxBuffered)
		if err != nil {
			held.Release()
			return nil, reserver.Reservation{}, readFailure(ctx, err)
		}
	}
	// A caller that is slow to take the response does not hold the connection.
	x.close()
	return data, held, nil
}

// heldPerByte is how many bytes may be in use for each byte of a response of unknown
// length while its buffer grows.
const heldPerByte = 2

// readFirst reads as much of a response as is held without a reservation; the response
// is complete if that is less than readBufferSize.
func (x *relay) readFirst() ([]byte, error) {
	return io.ReadAll(io.LimitReader(x.response.Body, readBufferSize))
}

func (x *relay) passBuffered(ctx context.Context, w carrier.ResponseWriter) error {
	data, held, err := x.readAll(ctx)
	if err != nil {
		return err
	}
	defer held.Release()
	return x.passWhole(ctx, w, data)
}

func (x *relay) passPrefetched(ctx context.Context, w carrier.ResponseWriter) error {
	data, err := x.readFirst()
	if err != nil {
		return readFailure(ctx, err)
	}
	if len(data) == readBufferSize {
		held, ok := x.forwarder.Memory.ReserveResponse(heldPerByte * maxPrefetch)
		if !ok {
			return x.passRest(ctx, w, data)
		}
		defer held.Release()
		rest, err := io.ReadAll(io.LimitReader(x.response.Body, maxPrefetch-readBufferSize))
		if err != nil {
			return readFailure(ctx, err)
		}
		if data = append(data, rest...); len(data) == maxPrefetch {
			return x.passRest(ctx, w, data)
		}
	}
	x.close()
	return x.passWhole(ctx, w, data)
}

// passRest passes on what has been read of a long response, and the rest as it arrives.
func (x *relay) passRest(ctx context.Context, w carrier.ResponseWriter, data []byte) error {
	if x.failedByEndpoint() {
		return x.statusError()
	}
	return x.passChunks(ctx, w, data)
}

// failedByEndpoint reports whether the endpoint failed a request that another one may
// still serve.
func (x *relay) failedByEndpoint() bool {
	return x.head.Status >= http.StatusInternalServerError && x.attempt.Request.MayRetry() && !x.report.ResponseBegun
}

func (x *relay) statusError() error {
	return coder.New(coder.EndpointFailed, "the endpoint responded with status %d", x.head.Status)
}

// passWhole passes a complete response on.
func (x *relay) passWhole(ctx context.Context, w carrier.ResponseWriter, data []byte) (err error) {
	x.report.Usage, err = x.forwarder.Dialect.CheckResponse(x.attempt, x.head, data)
	if err != nil {
		return err
	}
	if x.failedByEndpoint() {
		x.report.FailureResponse = carrier.Response{Head: x.head, Body: data}
		return x.statusError()
	}
	x.reportFirst()
	if err := x.begin(ctx, w); err != nil {
		return err
	}
	if len(data) == 0 {
		return nil
	}
	return x.write(ctx, w, data)
}

// reportFirst reports that a valid response has begun.
func (x *relay) reportFirst() {
	if x.attempt.OnFirstData != nil {
		x.attempt.OnFirstData()
	}
}

// passChunks passes on what has been read of a response, and the rest as it arrives.
func (x *relay) passChunks(ctx context.Context, w carrier.ResponseWriter, data []byte) error {
	x.reportFirst()
	if err := x.begin(ctx, w); err != nil {
		return err
	}
	if len(data) > 0 {
		if err := x.write(ctx, w, data); err != nil {
			return err
		}
	}
	buf := make([]byte, readBufferSize)
	for {
		n, err := x.response.Body.Read(buf)
		x.watchdog.progress()
		if errors.Is(err, io.EOF) {
			// Release the connection before the caller has the end of the response,
			// so that its next request can use it.
			x.close()
		}
		if n > 0 {
			if err := x.write(ctx, w, buf[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return readFailure(ctx, err)
		}
	}
}

// passEvents passes an event stream on. An incomplete event never reaches the
// caller, so the stream can be continued at another endpoint after the last
// complete one.
func (x *relay) passEvents(ctx context.Context, w carrier.ResponseWriter) error {
	r := newEventReader(ctx, x.response.Body)
	defer r.release()
	position := NewSequence(x.attempt.LastEvent, uint64(max(x.attempt.Request.MaxTokens, 0)))
	first := true
	for {
		data, err := r.next()
		if errors.Is(err, io.EOF) && !x.forwarder.Dialect.MarksEnd() {
			if first && (x.head.Undelimited || position.Last() == 0) {
				// A run has an event at least; only a continued stream may have none left.
				return coder.New(coder.AnswerCut, "the stream ended before an event")
			}
			return x.begin(ctx, w)
		}
		if err != nil {
			return readFailure(ctx, err)
		}
		e, next, err := x.decodeEvent(position, data)
		if err != nil {
			return err
		}
		position = next
		if e.Last && x.head.Undelimited && !x.response.RequestReceived() {
			return coder.New(coder.AnswerCut, "the stream ended while the request was being sent")
		}
		if !e.Comment {
			x.watchdog.progress()
			if first {
				x.reportFirst()
				x.watchdog.start(x.attempt.IdleTimeout, errIdleTimeout)
			}
			first = false
		}
		if err := x.passEvent(ctx, w, e, position); err != nil {
			return err
		}
		if e.Last {
			x.discard()
			return nil
		}
	}
}

// decodeEvent decodes an event and returns the position after it. It fails if the event is
// not the one that is due; the error does not contain the bytes.
func (x *relay) decodeEvent(position Sequence, data []byte) (Event, Sequence, error) {
	e, err := x.forwarder.Dialect.Event(x.attempt, data)
	if err == nil && !e.Comment {
		position, err = position.With(e)
	}
	if err != nil {
		return e, position, coder.Wrap(coder.FromError(err).Code(), err, "the endpoint sent %d bytes in place of event %d", len(data), position.Next())
	}
	return e, position, nil
}

// passEvent passes an event on; position is the one after it.
func (x *relay) passEvent(ctx context.Context, w carrier.ResponseWriter, e Event, position Sequence) error {
	if e.Usage.Reported {
		x.report.Usage = e.Usage
	}
	if len(e.Data) > 0 {
		if err := x.begin(ctx, w); err != nil {
			return err
		}
		if err := x.write(ctx, w, e.Data); err != nil {
			return err
		}
	}
	if e.Comment {
		return nil
	}
	// An event that is not passed on also counts, because the endpoint has
	// numbered it.
	x.report.Events++
	x.report.LastEvent = position.Last()
	return nil
}

func readFailure(ctx context.Context, err error) error {
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
	return coder.Wrap(coder.AnswerCut, err, "the response was cut off")
}

// watchdog cancels an attempt that makes no progress.
type watchdog struct {
	clock  timekeeper.Clock
	cancel context.CancelCauseFunc
	timer  timekeeper.Timer
	limit  time.Duration
}

var (
	errIdleTimeout  = coder.New(coder.AnswerCut, "the endpoint made no progress")
	errFirstTimeout = coder.New(coder.AnswerLate, "the endpoint did not begin its response in time")
)

// start replaces the current limit; a limit of 0 means none.
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
