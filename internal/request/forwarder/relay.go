package forwarder

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/engine/speaker"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
)

// relay passes one answer on.
type relay struct {
	attempt Attempt
	reply   carrier.Reply
	report  *Report
	watch   watchdog
}

const (
	pieceSize = 32 << 10
	// maxEvent bounds one line of an event stream, in bytes.
	maxEvent = 1 << 20
	// drainWait and drainLimit bound the wait for the end of a stream after its
	// end mark. Without that end the connection to the engine cannot be kept,
	// and the next request has to dial.
	drainWait  = 20 * time.Millisecond
	drainLimit = 1 << 10
)

func (r *relay) begin(ctx context.Context, resp *http.Response) error {
	if r.report.Begun {
		return nil
	}
	r.report.Begun, r.report.Status = true, resp.StatusCode
	return r.reply.Begin(ctx, carrier.Head{Status: resp.StatusCode, Header: carrier.Header(resp.Header)})
}

// whole passes on an answer that is not an event stream of an engine.
//
// The answer of an engine is read to its end before it is passed on, so that
// an attempt that is cut can be repeated.
func (r *relay) whole(ctx context.Context, resp *http.Response) error {
	if r.attempt.Request.Route.Kind == definer.Model {
		return r.buffered(ctx, resp)
	}
	if !r.delimited(resp) {
		return coder.New(coder.EndpointFailed, "the answer has neither a length nor a chunked ending")
	}
	if err := r.begin(ctx, resp); err != nil {
		return err
	}
	buf := make([]byte, pieceSize)
	for {
		n, err := resp.Body.Read(buf)
		r.watch.progress()
		if n > 0 {
			if err := r.reply.Write(ctx, buf[:n]); err != nil {
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

// delimited reports whether the end of the answer can be told from a cut.
func (r *relay) delimited(resp *http.Response) bool {
	return r.attempt.Request.Method == http.MethodHead || resp.ContentLength >= 0 || slices.Contains(resp.TransferEncoding, "chunked")
}

// maxBuffered bounds an answer that is held whole, in bytes.
const maxBuffered = 16 << 20

func (r *relay) buffered(ctx context.Context, resp *http.Response) error {
	if !r.delimited(resp) {
		return coder.New(coder.EndpointFailed, "the answer has neither a length nor a chunked ending")
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBuffered+1))
	if err != nil {
		return cut(ctx, err)
	}
	if len(data) > maxBuffered {
		return coder.New(coder.EndpointFailed, "the answer is larger than %d bytes", maxBuffered)
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return coder.New(coder.EndpointFailed, "the engine answered %d", resp.StatusCode)
	}
	if resp.StatusCode < http.StatusMultipleChoices {
		a, err := speaker.DecodeAnswer(data)
		if err != nil {
			return err
		}
		if err := r.checkID(a.ID); err != nil {
			return err
		}
		r.takeUsage(a)
	}
	if err := r.begin(ctx, resp); err != nil {
		return err
	}
	return r.reply.Write(ctx, data)
}

// events passes on the event stream of an engine.
//
// Only the mark at its end makes a stream whole: the end of the connection
// does not.
func (r *relay) events(ctx context.Context, resp *http.Response) error {
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, pieceSize), maxEvent)
	for lines.Scan() {
		r.watch.progress()
		data, ok := speaker.EventData(lines.Bytes())
		if !ok {
			continue
		}
		done, err := r.event(ctx, resp, data)
		if done {
			r.watch.within(drainWait)
			_, _ = io.CopyN(io.Discard, resp.Body, drainLimit)
		}
		if done || err != nil {
			return err
		}
	}
	err := lines.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return cut(ctx, err)
}

func (r *relay) event(ctx context.Context, resp *http.Response, data []byte) (done bool, err error) {
	if !speaker.IsDone(data) {
		a, err := speaker.DecodeAnswer(data)
		if err != nil {
			return false, err
		}
		if a.Failed {
			return false, coder.New(coder.EndpointFailed, "the engine ended its answer with an error")
		}
		if err := r.checkID(a.ID); err != nil {
			return false, err
		}
		r.takeUsage(a)
		if a.HasUsage && a.Choices == 0 && r.attempt.Request.HideUsage {
			// The engine counts the event, so a stream is resumed after it.
			r.report.Events++
			return false, nil
		}
	}
	if err := r.begin(ctx, resp); err != nil {
		return false, err
	}
	line := make([]byte, 0, len(data)+len("data: \n\n"))
	line = append(append(append(line, "data: "...), data...), "\n\n"...)
	if err := r.reply.Write(ctx, line); err != nil {
		return false, err
	}
	r.report.Events++
	return speaker.IsDone(data), nil
}

func (r *relay) checkID(id string) error {
	if !strings.HasSuffix(id, r.attempt.Request.ID) {
		return coder.New(coder.AnswerCrossed, "a part of the answer belongs to %q", id)
	}
	return nil
}

func (r *relay) takeUsage(a speaker.Answer) {
	if a.HasUsage {
		r.report.Usage = carrier.Usage{Reported: true, PromptTokens: a.PromptTokens, OutputTokens: a.OutputTokens, CachedTokens: a.CachedTokens}
	}
}

func cut(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return coder.Wrap(coder.DeadlinePassed, err, "the deadline has passed")
	}
	return coder.Wrap(coder.AnswerCut, err, "the answer was cut")
}

// watchdog cancels an attempt whose answer makes no progress.
type watchdog struct {
	timer timekeeper.Timer
	limit time.Duration
}

var errIdle = coder.New(coder.AnswerCut, "the endpoint made no progress")

func newWatchdog(clock timekeeper.Clock, limit time.Duration, cancel context.CancelCauseFunc) watchdog {
	return watchdog{timer: clock.AfterFunc(limit, func() { cancel(errIdle) }), limit: limit}
}

func (w watchdog) progress() { w.timer.Reset(w.limit) }

// within cancels the attempt after a shorter time.
func (w watchdog) within(d time.Duration) { w.timer.Reset(d) }

func (w watchdog) stop() { w.timer.Stop() }
