// Package logger writes log lines without blocking the code that logs.
//
// A Writer puts lines into a bounded buffer, and one goroutine writes the buffer
// to the output, many lines in one write. Lines that do not fit are dropped and
// counted; the next write includes a line with their number. A LimitedWriter in
// front of it admits a bounded number of lines per second, so that a flood of
// requests neither fills the buffer nor takes the CPU time that requests need.
// Warnings and errors have a rate limit of their own, which ordinary lines
// cannot use up.
package logger

import (
	"bytes"
	"context"
	"expvar"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
)

// The buffering of a Writer.
const (
	// defaultCapacity is the capacity of a buffer in bytes. It holds about 4,000
	// lines of 250 bytes, which a busy node logs in several seconds.
	defaultCapacity = 1 << 20
	// flushDelay is how long lines are collected before they are written. A write
	// costs about as much CPU time as ten lines.
	flushDelay = 100 * time.Millisecond
)

// TimeFormat is the format of the time of a log line: RFC 3339 with milliseconds.
const TimeFormat = "2006-01-02T15:04:05.000Z07:00"

var droppedLines = expvar.NewInt("log-lines-left-out")

// Writer buffers lines for a slow output.
//
// Write may be called from any goroutine and never blocks on Out; Run writes to
// Out.
type Writer struct {
	Clock timekeeper.Clock
	Out   io.Writer
	// Capacity is the maximum number of buffered bytes; 0 means 1 MiB.
	Capacity int

	mu       sync.Mutex
	buffered []byte
	dropped  int
	wake     chan struct{}
}

// Write adds one line to the buffer. A line that does not fit is dropped and
// still reported as written.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	capacity := w.Capacity
	if capacity == 0 {
		capacity = defaultCapacity
	}
	if len(w.buffered)+len(line) > capacity {
		w.countDroppedLocked()
	} else {
		w.buffered = append(w.buffered, line...)
	}
	if w.wake != nil {
		close(w.wake)
		w.wake = nil
	}
	return len(line), nil
}

// countDropped counts a line that is dropped.
func (w *Writer) countDropped() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.countDroppedLocked()
}

func (w *Writer) countDroppedLocked() {
	w.dropped++
	droppedLines.Add(1)
}

// Run writes lines to Out until ctx is done, and then those that are still
// buffered.
func (w *Writer) Run(ctx context.Context) {
	for w.awaitLines(ctx) {
		if w.Clock.Sleep(ctx, flushDelay) != nil {
			break
		}
		w.flush()
	}
	w.flush()
}

// awaitLines blocks until a line is buffered; false means that ctx is done.
func (w *Writer) awaitLines(ctx context.Context) bool {
	w.mu.Lock()
	if len(w.buffered) > 0 {
		w.mu.Unlock()
		return true
	}
	if w.wake == nil {
		w.wake = make(chan struct{})
	}
	wake := w.wake
	w.mu.Unlock()
	select {
	case <-ctx.Done():
		return false
	case <-wake:
		return true
	}
}

// flush writes the buffered lines, and the number of those dropped.
func (w *Writer) flush() {
	w.mu.Lock()
	lines, dropped := w.buffered, w.dropped
	w.buffered, w.dropped = nil, 0
	w.mu.Unlock()
	if dropped > 0 {
		buf := bytes.NewBuffer(lines)
		log := zerolog.New(buf)
		log.Warn().Int("lines", dropped).Msg("log lines dropped")
		lines = buf.Bytes()
	}
	if len(lines) == 0 {
		return
	}
	if _, err := w.Out.Write(lines); err != nil {
		// A failure to write the log cannot be logged; the counter shows it.
		droppedLines.Add(int64(bytes.Count(lines, []byte("\n"))))
	}
}

// LimitedWriter admits a bounded number of lines per second to a Writer.
type LimitedWriter struct {
	writer *Writer
	clock  timekeeper.Clock

	ordinary *rate.Limiter
	urgent   *rate.Limiter
}

// ordinaryPerUrgent is the ratio of the rate limit of ordinary lines to that of
// warnings and errors.
const ordinaryPerUrgent = 4

// NewLimitedWriter returns a writer that admits perSecond ordinary lines per second
// to w, and in addition a quarter as many warnings and errors. A burst may be as large
// as the lines of two seconds.
func NewLimitedWriter(w *Writer, perSecond int) *LimitedWriter {
	urgent := max(perSecond/ordinaryPerUrgent, 1)
	return &LimitedWriter{
		writer:   w,
		clock:    w.Clock,
		ordinary: rate.NewLimiter(rate.Limit(perSecond), 2*perSecond),
		urgent:   rate.NewLimiter(rate.Limit(urgent), 2*urgent),
	}
}

// Write writes one ordinary line.
func (l *LimitedWriter) Write(line []byte) (int, error) {
	return l.WriteLevel(zerolog.InfoLevel, line)
}

// WriteLevel writes one line of a level.
func (l *LimitedWriter) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	limiter := l.ordinary
	if level >= zerolog.WarnLevel {
		limiter = l.urgent
	}
	if !limiter.AllowN(l.clock.Now(), 1) {
		l.writer.countDropped()
		return len(line), nil
	}
	return l.writer.Write(line)
}
