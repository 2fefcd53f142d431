// Package logger writes log lines without making their authors wait.
//
// A Writer takes lines into a bounded buffer, and one goroutine writes the
// buffer out, many lines in one write. Lines for which there is no room are
// counted and left out; the next write names their number. A Limited writer
// before it admits a bounded number of lines a second, so that a flood of
// requests neither fills the buffer nor costs the processor time that requests
// need. Warnings and errors have a reserve that ordinary lines cannot use up.
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

// The bounds of a Writer that sets none.
const (
	// defaultRoom holds some 4,000 lines of 250 bytes, several seconds of a
	// busy node.
	defaultRoom = 1 << 20
	// linger is how long lines are collected before they are written: a write
	// costs about as much processor time as ten lines.
	linger = 100 * time.Millisecond
)

var leftOut = expvar.NewInt("log-lines-left-out")

// Writer buffers lines for a slow output.
//
// Write may be called from any goroutine and never blocks on Out; Run writes.
type Writer struct {
	Clock timekeeper.Clock
	Out   io.Writer
	// Room is the greatest number of bytes that wait; 0 means 1 MiB.
	Room int

	mu      sync.Mutex
	waiting []byte
	lost    int
	wake    chan struct{}
}

// Write takes one line; it reports the line as written also when there is no
// room for it.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	room := w.Room
	if room == 0 {
		room = defaultRoom
	}
	if len(w.waiting)+len(line) > room {
		w.loseLocked()
	} else {
		w.waiting = append(w.waiting, line...)
	}
	if w.wake != nil {
		close(w.wake)
		w.wake = nil
	}
	return len(line), nil
}

// lose counts a line that is left out.
func (w *Writer) lose() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loseLocked()
}

func (w *Writer) loseLocked() {
	w.lost++
	leftOut.Add(1)
}

// Run writes lines out until ctx is done, and then what waits.
func (w *Writer) Run(ctx context.Context) {
	for w.wait(ctx) {
		if w.Clock.Sleep(ctx, linger) != nil {
			break
		}
		w.flush()
	}
	w.flush()
}

// wait blocks until a line waits; false means that ctx is done.
func (w *Writer) wait(ctx context.Context) bool {
	w.mu.Lock()
	if len(w.waiting) > 0 {
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

// flush writes the waiting lines and the number of those left out.
func (w *Writer) flush() {
	w.mu.Lock()
	lines, lost := w.waiting, w.lost
	w.waiting, w.lost = nil, 0
	w.mu.Unlock()
	if lost > 0 {
		note := bytes.NewBuffer(lines)
		log := zerolog.New(note)
		log.Warn().Int("lines", lost).Msg("log lines left out")
		lines = note.Bytes()
	}
	if len(lines) == 0 {
		return
	}
	if _, err := w.Out.Write(lines); err != nil {
		// There is nowhere to log that logging failed; the counter shows it.
		leftOut.Add(int64(bytes.Count(lines, []byte("\n"))))
	}
}

// Limited admits a bounded number of lines a second to a Writer.
type Limited struct {
	writer *Writer
	clock  timekeeper.Clock

	ordinary *rate.Limiter
	urgent   *rate.Limiter
}

// urgentShare is the number of ordinary lines to one warning or error that the
// reserve admits.
const urgentShare = 4

// Limit returns a writer that admits perSecond ordinary lines a second to w,
// and a quarter as many warnings and errors beside them. Bursts of two seconds
// pass.
func Limit(w *Writer, perSecond int) *Limited {
	urgent := max(perSecond/urgentShare, 1)
	return &Limited{
		writer:   w,
		clock:    w.Clock,
		ordinary: rate.NewLimiter(rate.Limit(perSecond), 2*perSecond),
		urgent:   rate.NewLimiter(rate.Limit(urgent), 2*urgent),
	}
}

// Write takes one ordinary line.
func (l *Limited) Write(line []byte) (int, error) {
	return l.WriteLevel(zerolog.InfoLevel, line)
}

// WriteLevel takes one line of a level.
func (l *Limited) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	limiter := l.ordinary
	if level >= zerolog.WarnLevel {
		limiter = l.urgent
	}
	if !limiter.AllowN(l.clock.Now(), 1) {
		l.writer.lose()
		return len(line), nil
	}
	return l.writer.Write(line)
}
